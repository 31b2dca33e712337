package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a server that fills the memory of a host with a response head
// that does not end.
func TestPoolBoundsEndlessHeads(t *testing.T) {
	// maxSent is far above the limit of a head and the buffers of a connection.
	const maxSent = 32 << 20
	tests := []struct{ name, start, repeat string }{
		{"no response", "", "garbage"},
		{"status line", "HTTP/1.1 200 ", "OK"},
		{"header field", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"header fields", "HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"other responses", "", responseText("other", "body")},
		{"body of another response", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "body"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var sent atomic.Int64
			ended := make(chan struct{})
			s := newScriptedServer(t, func(_ int, _ *http.Request, _ []byte, w net.Conn) bool {
				defer close(ended)
				n, err := io.WriteString(w, tt.start)
				chunk := strings.Repeat(tt.repeat, 1+(64<<10)/len(tt.repeat))
				for err == nil && sent.Add(int64(n)) < maxSent {
					n, err = io.WriteString(w, chunk)
				}
				return false
			})
			p := NewPool(nil)
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			_, err := p.Do(ctx, s.address(), requestFor("1"), matchID("1")) //nolint:bodyclose // an error is expected
			assert.Assert(t, err != nil)
			<-ended
			assert.Assert(t, sent.Load() < maxSent, "%d bytes were read", sent.Load())
		})
	}
}

// Guards against a limit of heads that cuts large bodies and later responses of
// the connection.
func TestPoolReadsLargeBodies(t *testing.T) {
	body := strings.Repeat("b", 8*maxHeadBytes)
	s := newScriptedServer(t, func(_ int, r *http.Request, _ []byte, w net.Conn) bool {
		_, err := io.WriteString(w, responseText(r.Header.Get("Id"), body))
		return err == nil
	})
	p := NewPool(nil)
	defer p.Close()
	for range 3 {
		got, err := roundTrip(t, p, s.address(), "1")
		assert.NilError(t, err)
		assert.Equal(t, len(got), len(body))
	}
	assert.Equal(t, s.conns.Load(), int64(1))
}
