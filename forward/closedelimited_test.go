package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// closeDelimited are the start and the header fields of responses with neither a
// length nor chunks.
var closeDelimited = []struct{ version, header string }{
	{"HTTP/1.1", ""},
	{"HTTP/1.1", "Connection: close\r\n"},
	{"HTTP/1.0", ""},
	{"HTTP/1.0", "Connection: close\r\n"},
}

// countReads makes the forwarder use connections that count the bytes read.
func (f *fixture) countReads(read *atomic.Int64) {
	f.forwarder.pool.Close()
	f.forwarder.pool = backend.NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{nc, read}, nil
	})
}

// resetAfter writes text and resets the connection once the text has been read.
func resetAfter(t *testing.T, w io.Writer, text string, read *atomic.Int64) {
	want := read.Load() + int64(len(text))
	_, err := io.WriteString(w, text)
	assert.Check(t, err)
	for read.Load() < want && t.Context().Err() == nil {
		time.Sleep(time.Millisecond) // until the text is read: a reset drops what is not
	}
	assert.Check(t, w.(*net.TCPConn).SetLinger(0))
}

// Guards against a part of an answer that is forwarded as a whole one, and against
// a whole one that is retried, because the answer has no length.
func TestServeCloseDelimitedAnswers(t *testing.T) {
	tests := []struct {
		name     string
		kind     route.Kind
		reset    bool
		requests int
		body     string // empty for an error
	}{
		{"whole", route.NonIdempotent, false, 1, "whole answer"},
		{"whole, idempotent", route.Idempotent, false, 1, "whole answer"},
		{"reset", route.NonIdempotent, true, 1, ""},
		{"reset, idempotent", route.Idempotent, true, 2, "ok"},
	}
	for _, tt := range tests {
		for _, h := range closeDelimited {
			t.Run(fmt.Sprint(tt.name, " ", h), func(t *testing.T) {
				var read atomic.Int64
				s := startServer(t, func(n int, r *http.Request, w io.Writer) bool {
					if n > 1 {
						return answerWith("ok")(n, r, w)
					}
					text := fmt.Sprintf("%s 200 OK\r\nId: %s\r\nSigned: yes\r\n%s\r\nwhole answer", h.version, r.Header.Get("Id"), h.header)
					if tt.reset {
						resetAfter(t, w, text, &read)
						return false
					}
					_, err := io.WriteString(w, text)
					assert.Check(t, err)
					return false
				})
				f := newFixture(t, s)
				f.countReads(&read)
				rec, _, err := f.serve(f.call("1", &route.Route{Kind: tt.kind, MaxAttempts: 2}))
				assert.Equal(t, rec.Body.String(), tt.body)
				assert.Equal(t, s.requests(), tt.requests)
				if tt.body == "" {
					assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, rec.Header().Get("Content-Length"), fmt.Sprint(len(tt.body)))
			})
		}
	}
}

// Guards against a stream without a length that is taken for complete although it
// ends within an event or is reset, and against a complete one that is resumed.
func TestServeCloseDelimitedStreams(t *testing.T) {
	const first, second = "id: 1\ndata: e1\n\n", "id: 2\ndata: e2\n\n"
	tests := []struct {
		name      string
		text      string
		reset     bool
		complete  bool
		forwarded string // events of the text that are whole
	}{
		{"after an event", first + second, false, true, first + second},
		{"after an event and an empty line", first + second + "\n", false, true, first + second},
		{"within the name of a field", first + "i", false, false, first},
		{"within the value of a field", first + "id: 2\ndata: e", false, false, first},
		{"after a line", first + "id: 2\n", false, false, first},
		{"after all lines", first + "id: 2\ndata: e2\n", false, false, first},
		{"reset within an event", first + "id: 2\nda", true, false, first},
		{"reset after an event", first, true, false, first},
		{"reset after the last event", first + second, true, false, first + second},
		{"reset before the first event", "", true, false, ""},
	}
	rest := map[string]string{"": first + second, "1": second, "2": ""} // by the last event received
	for _, tt := range tests {
		for _, h := range closeDelimited {
			for _, resumable := range []bool{true, false} {
				t.Run(fmt.Sprint(tt.name, " ", h, " resumable ", resumable), func(t *testing.T) {
					var read atomic.Int64
					s := startServer(t, func(n int, r *http.Request, w io.Writer) bool {
						head := fmt.Sprintf("%s 200 OK\r\nId: %s\r\nSigned: yes\r\n%s\r\n", h.version, r.Header.Get("Id"), h.header)
						text := tt.text
						if n > 1 {
							text = rest[r.Header.Get("Last")]
						}
						if n == 1 && tt.reset {
							resetAfter(t, w, head+text, &read)
							return false
						}
						_, err := io.WriteString(w, head+text)
						assert.Check(t, err)
						return false
					})
					f := newFixture(t, s)
					f.countReads(&read)
					rec, aborted, err := f.serve(f.call("1", &route.Route{Kind: route.Stream, MaxAttempts: 2, Resumable: resumable}))
					switch {
					case tt.complete || resumable:
						assert.NilError(t, err)
						assert.Assert(t, !aborted)
						assert.Equal(t, rec.Body.String(), first+second)
					case tt.forwarded == "": // nothing has been written, so that the caller can be told
						assert.Assert(t, !aborted)
						assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
						assert.Equal(t, rec.Body.String(), "")
						assert.Equal(t, len(rec.Header()), 0)
					default:
						assert.NilError(t, err)
						assert.Assert(t, aborted)
						assert.Equal(t, rec.Body.String(), tt.forwarded)
					}
					want := 1
					if !tt.complete && resumable {
						want = 2
					}
					assert.Equal(t, s.requests(), want)
				})
			}
		}
	}
}

// Guards against a call that waits for the end of a rejection, and not for
// another server.
func TestServeCloseDelimitedRejection(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable\r\nNot-Run: 1", "421 Misdirected Request"} {
		for _, h := range closeDelimited {
			t.Run(fmt.Sprint(status, " ", h), func(t *testing.T) {
				ended, rejected := make(chan struct{}), make(chan struct{})
				first := startServer(t, func(n int, _ *http.Request, w io.Writer) bool {
					fmt.Fprintf(w, "%s %s\r\n%s\r\nno", h.version, status, h.header)
					if n == 1 {
						close(rejected)
					}
					<-ended
					return false
				})
				defer close(ended)
				second := startServer(t, answerWith("ok"))
				f := newFixture(t, first)
				var wg sync.WaitGroup
				wg.Go(func() {
					<-rejected
					f.setServers(first, second)
				})
				rec, _, err := f.serve(f.call("1", &route.Route{Kind: route.NonIdempotent}))
				wg.Wait()
				assert.NilError(t, err)
				assert.Equal(t, rec.Body.String(), "ok")
			})
		}
	}
}
