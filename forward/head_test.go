package forward

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// headThen answers with the head of a stream, and then closes the connection or
// keeps it open.
func headThen(stayOpen bool) func(int, *http.Request, io.Writer) bool {
	return func(_ int, r *http.Request, w io.Writer) bool {
		streamEvents(w, r.Header.Get("Id"), 1, 0, false)
		return stayOpen
	}
}

// Guards against a connection that is closed without a response, when a stream
// ends between the head of the server's response and its first event.
func TestStreamThatEndsBeforeItsFirstEventGetsErrorResponse(t *testing.T) {
	tests := []struct {
		name   string
		answer func(int, *http.Request, io.Writer) bool
		want   verdict.Reason
	}{
		{"silent until the deadline", headThen(true), verdict.Timeout},
		{"interrupted", headThen(false), verdict.ServerFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, startServer(t, tt.answer))
			host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				c := f.call("s", &route.Route{Name: "s", Kind: route.Stream, MaxAttempts: 1, Resumable: true})
				c.Route.Timeout = 500 * time.Millisecond
				if err := f.forwarder.Serve(r.Context(), w, c); err != nil {
					w.Header().Set("Reason", string(verdict.From(err).Reason()))
					w.WriteHeader(http.StatusBadGateway)
				}
			}))
			t.Cleanup(host.Close)
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, host.URL, nil)
			assert.NilError(t, err)
			resp, err := host.Client().Do(r)
			assert.NilError(t, err)
			defer resp.Body.Close()
			assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
			assert.Equal(t, resp.Header.Get("Reason"), string(tt.want))
			assert.Equal(t, resp.Header.Get("Signed"), "", "an error response must not carry the server's header")
		})
	}
}

// Guards against an answer that mixes the head of one server with the events of
// another, if the first one sends no event.
func TestStreamHasHeadOfServerThatBeginsIt(t *testing.T) {
	answer := func(name, rest string) func(int, *http.Request, io.Writer) bool {
		return func(_ int, r *http.Request, w io.Writer) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: %s\r\nTransfer-Encoding: chunked\r\n\r\n%s", r.Header.Get("Id"), name, rest)
			return rest != ""
		}
	}
	f := newFixture(t, startServer(t, answer("first", "")))
	second := startServer(t, answer("second", "b\r\nid: 1\ndata:\r\n2\r\n\n\n\r\n0\r\n\r\n"))
	first := f.forwarder.View().servers["engine0"]
	f.setEntries(first, second.entry("engine1", "engine", "", 1))
	for i := range 8 {
		c := f.call(fmt.Sprint("s", i), &route.Route{Name: "s", Kind: route.Stream, MaxAttempts: 2, Resumable: true})
		rec, aborted, err := f.serve(c)
		assert.NilError(t, err)
		assert.Assert(t, !aborted)
		assert.Equal(t, rec.Header().Get("Signed"), "second")
	}
}

// Guards against a stream without events that gets no response.
func TestStreamWithoutEventsIsComplete(t *testing.T) {
	f := newFixture(t, startServer(t, func(_ int, r *http.Request, w io.Writer) bool {
		streamEvents(w, r.Header.Get("Id"), 1, 0, true)
		return true
	}))
	rec, aborted, err := f.serve(f.call("s", &route.Route{Name: "s", Kind: route.Stream, MaxAttempts: 1}))
	assert.NilError(t, err)
	assert.Assert(t, !aborted)
	assert.Equal(t, rec.Code, http.StatusOK)
	assert.Equal(t, rec.Header().Get("Signed"), "yes")
}
