package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/balancer"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/platform"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// Guards against a refusal that a caller which sends a long body does not get,
// because its connection is reset while it sends.
func TestRefusalReachesCallerThatStillSends(t *testing.T) {
	refuse := func(w http.ResponseWriter, r *http.Request) {
		platform.Reject(w, r, verdict.New(verdict.NotRun, verdict.Draining, "refused"))
	}
	refusing := balancer.NewGate()
	refusing.Signal()
	refusing.Signal()
	tooLarge := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, 5<<10))
		assert.Check(t, err != nil)
		refuse(w, r)
	})
	const pieces = 40 // sent over 800 ms
	for _, h := range []struct {
		name    string
		handler http.Handler
	}{
		{"serving", http.HandlerFunc(refuse)},
		{"shutting down", refusing.Wrap(countRequests(refusing, http.HandlerFunc(refuse)))},
		{"body too large", tooLarge},
	} {
		for _, size := range []int{10 << 10, 100 << 10, 250 << 10, 400 << 10, 1000 << 10} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d kB/chunked %t", h.name, size>>10, chunked), func(t *testing.T) {
					t.Parallel()
					s := serveWatched(t, "127.0.0.1:0", h.handler.ServeHTTP)
					c := dialRaw(t, s.listener.Addr().String())
					head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n\r\n", size)
					if chunked {
						head = "POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n"
					}
					c.send(head)
					for n := range pieces {
						piece := strings.Repeat("x", size/pieces)
						if chunked {
							piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
						}
						_, err := c.Write([]byte(piece))
						assert.NilError(t, err, "piece %d", n)
						assert.Assert(t, pause.For(t.Context(), 20*time.Millisecond))
					}
					if chunked {
						_, err := c.Write([]byte("0\r\n\r\n"))
						assert.NilError(t, err)
					}
					status, err := c.answer()
					assert.NilError(t, err)
					assert.Equal(t, status, http.StatusServiceUnavailable)
					logged, _ := s.causes()
					assert.Equal(t, len(logged), 0, "%v", logged)
				})
			}
		}
	}
}

// Guards against a refusal that waits for the body of a request, and against a
// connection that is kept for a body that does not come.
func TestRefusalDoesNotWaitForLongBody(t *testing.T) {
	for _, length := range []string{"Content-Length: 400000", "Transfer-Encoding: chunked"} {
		t.Run(length, func(t *testing.T) {
			t.Parallel()
			s := serveWatched(t, "127.0.0.1:0", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Connection", "close")
				platform.Reject(w, r, verdict.New(verdict.NotRun, verdict.Draining, "refused"))
			})
			c := dialRaw(t, s.listener.Addr().String())
			start := time.Now()
			c.send("POST / HTTP/1.1\r\nHost: test\r\n" + length + "\r\n\r\n")
			_, err := c.buffered.ReadString('\n')
			assert.NilError(t, err)
			assert.Check(t, time.Since(start) < discardTimeout/2, "answered after %v", time.Since(start))
			_, err = io.Copy(io.Discard, c.buffered)
			assert.NilError(t, err)
			assert.Check(t, time.Since(start) < 2*discardTimeout, "closed after %v", time.Since(start))
		})
	}
}
