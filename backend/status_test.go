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

// invalidHeads are starts of responses that no request may get.
var invalidHeads = []string{
	"HTTP/1.1 000 No\r\n", "HTTP/1.1 001 No\r\n", "HTTP/1.1 099 No\r\n", "HTTP/1.1 101 Switching Protocols\r\n",
	"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n",
	"HTTP/1.1 600 No\r\n", "HTTP/1.1 999 No\r\n", "HTTP/1.0 600 No\r\n", "HTTP/1.1 20 OK\r\n", "HTTP/1.1 2000 OK\r\n",
	"HTTP/1.1 abc No\r\n", "HTTP/1.1 -20 No\r\n", "HTTP/1.1 +20 No\r\n", "HTTP/1.1 OK\r\n", "HTTP/1.1\r\n",
	strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100) + "HTTP/1.1 200 OK\r\n",
}

// testClient is one of the clients of backend servers.
type testClient struct {
	name string
	send func(ctx context.Context, address, method, id string, body []byte) (*http.Response, error)
}

func newTestClients(t *testing.T) []testClient {
	p := NewPool(nil)
	t.Cleanup(p.Close)
	transport := NewTransport(nil)
	t.Cleanup(transport.CloseIdleConnections)
	return []testClient{
		{"pool", func(ctx context.Context, address, method, id string, body []byte) (*http.Response, error) {
			req := requestFor(id)
			req.Method, req.Body = method, body
			return p.Do(ctx, address, req, matchID(id))
		}},
		{"transport", func(ctx context.Context, address, method, id string, body []byte) (*http.Response, error) {
			r, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/", bytes.NewReader(body))
			if err != nil {
				return nil, err
			}
			r.Header.Set("Id", id)
			return Do(transport, r)
		}},
	}
}

// answerWait bounds the wait for an exchange that must fail at once.
const answerWait = 5 * time.Second

// Guards against an invalid response that is passed on, taken for an informational
// one or for proof that a request has not run, and against another request on its
// connection.
func TestInvalidResponses(t *testing.T) {
	rests := []string{
		"Content-Length: 0\r\n\r\n", "Content-Length: 4\r\n\r\nbody", "Connection: close\r\nContent-Length: 4\r\n\r\nbody",
		"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "Connection: close\r\n\r\nbody",
		"Content-Length: 0\r\n\r\n" + responseText("1", "second"),
	}
	for _, c := range newTestClients(t) {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			for _, head := range invalidHeads {
				t.Run(fmt.Sprint(c.name, " ", method, " ", strings.ReplaceAll(head[:min(len(head), 60)], "\r\n", " ")), func(t *testing.T) {
					for _, rest := range rests {
						s := newScriptedServer(t, func(_ int, r *http.Request, _ []byte, w net.Conn) bool {
							if r.Header.Get("Id") == "2" {
								fmt.Fprint(w, responseText("2", "next"))
								return true
							}
							_, _ = io.WriteString(w, head+"Id: 1\r\n"+verdict.HeaderVerdict+": not-run\r\n"+rest) // the client may have closed the connection
							return !strings.Contains(rest, "close")
						})
						ctx, cancel := context.WithTimeout(t.Context(), answerWait)
						status, body, err := readAll(c.send(ctx, s.address(), method, "1", []byte("body")))
						cancel()
						var e *verdict.Error
						assert.Check(t, errors.As(err, &e) && e.Verdict() == verdict.MayHaveRun && e.Reason() == verdict.ServerFailed,
							"got %d %q, %v with %q", status, body, err, rest)
						_, body, err = readAll(c.send(t.Context(), s.address(), method, "2", []byte("body")))
						assert.NilError(t, err)
						assert.Equal(t, body, "next")
						assert.Check(t, s.conns.Load() > 1, "the connection was used again, with %q", rest)
					}
				})
			}
		}
	}
}

// readAll returns the status and the body of a response, and closes it.
func readAll(r *http.Response, err error) (status int, body string, _ error) {
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	return r.StatusCode, string(data), err
}
