package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// closeDelimitedHeads are heads of responses with neither a length nor chunks.
var closeDelimitedHeads = []string{
	"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n",
	"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: keep-alive\r\n\r\n",
	"HTTP/1.0 200 OK\r\nId: 1\r\n\r\n",
	"HTTP/1.0 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n",
	"HTTP/1.0 200 OK\r\nId: 1\r\nConnection: keep-alive\r\n\r\n",
	"HTTP/1.1 500 Internal Server Error\r\nId: 1\r\n\r\n",
}

// Guards against an answer that ends with its connection and is cut, taken for
// several responses or followed by another request on its connection.
func TestPoolCloseDelimitedAnswers(t *testing.T) {
	bodies := []struct{ name, text string }{
		{"empty", ""},
		{"short", "12345"},
		{"long", strings.Repeat("12345", 200_000)},
		{"with another response", "12345" + responseText("1", "wrong") + responseText("2", "wrong")},
	}
	for _, head := range closeDelimitedHeads {
		for _, body := range bodies {
			t.Run(strings.ReplaceAll(head, "\r\n", " ")+body.name, func(t *testing.T) {
				s := newScriptedServer(t, func(_ int, r *http.Request, _ []byte, w net.Conn) bool {
					if id := r.Header.Get("Id"); id != "1" {
						fmt.Fprint(w, responseText(id, "next"))
						return true
					}
					_, err := io.WriteString(w, head+body.text)
					assert.Check(t, err)
					return false
				})
				p := NewPool(nil)
				defer p.Close()
				got, err := roundTrip(t, p, s.address(), "1")
				assert.NilError(t, err)
				assert.Assert(t, got == body.text, "%d bytes", len(got))
				got, err = roundTrip(t, p, s.address(), "2")
				assert.NilError(t, err)
				assert.Equal(t, got, "next")
				assert.Equal(t, s.conns.Load(), int64(2))
			})
		}
	}
}

// Guards against an answer that ends with its connection and is taken for
// complete although the connection was reset.
func TestPoolCloseDelimitedAnswersReset(t *testing.T) {
	for _, head := range closeDelimitedHeads {
		t.Run(strings.ReplaceAll(head, "\r\n", " "), func(t *testing.T) {
			received := make(chan struct{})
			s := newScriptedServer(t, func(_ int, _ *http.Request, _ []byte, w net.Conn) bool {
				_, err := io.WriteString(w, head+"12345")
				assert.Check(t, err)
				<-received
				assert.Check(t, w.(*net.TCPConn).SetLinger(0))
				return false
			})
			p := NewPool(nil)
			defer p.Close()
			resp, err := p.Do(t.Context(), s.address(), requestFor("1"), matchID("1"))
			assert.NilError(t, err)
			defer resp.Body.Close()
			_, err = io.ReadFull(resp.Body, make([]byte, 5))
			assert.NilError(t, err)
			close(received)
			_, err = io.ReadAll(resp.Body)
			assert.Assert(t, err != nil)
		})
	}
}

// Guards against an answer that ends with its connection and is taken for complete
// although the connection was reset, because the reset was reported to the writing
// of a long body; and against a complete one that is refused because the server did
// not read the whole body.
func TestPoolCloseDelimitedAnswersBesideLongBodies(t *testing.T) {
	const bodyBytes, readBytes = 16 << 20, 100 << 10
	body := bytes.Repeat([]byte("x"), bodyBytes)
	for _, client := range newTestClients(t) {
		for _, reset := range []bool{true, false} {
			for _, head := range closeDelimitedHeads {
				t.Run(fmt.Sprint(client.name, " reset ", reset, strings.ReplaceAll(head, "\r\n", " ")), func(t *testing.T) {
					for range 20 { // the reader and the writer race for the report
						l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
						assert.NilError(t, err)
						received, ended := make(chan struct{}), make(chan struct{})
						go func() {
							c, err := l.Accept()
							if !assert.Check(t, err) {
								return
							}
							defer c.Close()
							_, err = io.CopyN(io.Discard, c, readBytes)
							assert.Check(t, err)
							_, err = io.WriteString(c, head+"12345")
							assert.Check(t, err)
							<-received
							if reset {
								assert.Check(t, c.(*net.TCPConn).SetLinger(0))
								return
							}
							assert.Check(t, c.(*net.TCPConn).CloseWrite())
							<-ended
						}()
						resp, err := client.send(t.Context(), l.Addr().String(), http.MethodPost, "1", body)
						assert.NilError(t, err)
						_, err = io.ReadFull(resp.Body, make([]byte, 5))
						assert.NilError(t, err)
						close(received)
						_, err = io.ReadAll(resp.Body)
						assert.Equal(t, err != nil, reset, "%v", err)
						close(ended)
						resp.Body.Close()
						l.Close()
					}
				})
			}
		}
	}
}

// Guards against answers that have no body and are given the bytes that follow
// them, or wait for a body, and against losing their connections.
func TestPoolAnswersWithoutBody(t *testing.T) {
	answers := []struct{ method, status string }{
		{http.MethodPost, "204 No Content"},
		{http.MethodPost, "304 Not Modified"},
		{http.MethodHead, "200 OK"},
		{http.MethodHead, "404 Not Found"},
	}
	headers := []string{"", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"}
	for _, a := range answers {
		for _, header := range headers {
			for _, extra := range []string{"", "12345", responseText("2", "wrong")} {
				t.Run(strings.Join([]string{a.method, a.status, header, extra}, " "), func(t *testing.T) {
					s := newScriptedServer(t, func(_ int, r *http.Request, _ []byte, w net.Conn) bool {
						if id := r.Header.Get("Id"); id != "1" {
							fmt.Fprint(w, responseText(id, "next"))
							return true
						}
						_, err := io.WriteString(w, "HTTP/1.1 "+a.status+"\r\nId: 1\r\n"+header+"\r\n"+extra)
						assert.Check(t, err)
						return true
					})
					p := NewPool(nil)
					defer p.Close()
					req := requestFor("1")
					req.Method, req.Body = a.method, nil
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					resp, err := p.Do(ctx, s.address(), req, matchID("1"))
					assert.NilError(t, err)
					body, err := io.ReadAll(resp.Body)
					assert.NilError(t, errors.Join(err, resp.Body.Close()))
					assert.Equal(t, string(body), "")
					got, err := roundTrip(t, p, s.address(), "2")
					assert.NilError(t, err)
					assert.Equal(t, got, "next")
					if extra == "" {
						assert.Equal(t, s.conns.Load(), int64(1))
					}
				})
			}
		}
	}
}

// Guards against a response to another request that ends with its connection and
// delays the exchange, or whose body is searched for the expected response.
func TestPoolCloseDelimitedStrayResponse(t *testing.T) {
	for _, head := range closeDelimitedHeads {
		for _, open := range []bool{false, true} {
			t.Run(fmt.Sprint(strings.ReplaceAll(head, "\r\n", " "), "open ", open), func(t *testing.T) {
				ended := make(chan struct{})
				s := newScriptedServer(t, func(_ int, _ *http.Request, _ []byte, w net.Conn) bool {
					_, err := io.WriteString(w, head+"12345"+responseText("2", "wrong"))
					assert.Check(t, err)
					if open {
						<-ended
					}
					return false
				})
				p := NewPool(nil)
				defer p.Close()
				defer close(ended)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				_, err := p.Do(ctx, s.address(), requestFor("2"), matchID("2")) //nolint:bodyclose // an error is expected
				assert.Assert(t, errors.Is(err, ErrUnmatchedResponses), err)
				assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
				assert.NilError(t, ctx.Err())
			})
		}
	}
}
