package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/verdict"
)

var (
	errBroken  = errors.New("connection is broken")
	errRefused = errors.New("connection refused")
)

// breakableConn is a connection whose peer can disappear. The client notices
// only when it writes.
type breakableConn struct {
	net.Conn
	broken   *atomic.Bool
	writable int // bytes that a write accepts after the peer has disappeared
}

func (c *breakableConn) Write(p []byte) (int, error) {
	if !c.broken.Load() {
		return c.Conn.Write(p)
	}
	return min(c.writable, len(p)), errBroken
}

// Guards against may-have-run, which prevents a retry, if nothing was written
// to a reused connection and no other could be opened, and against not-run if a
// part of the request was written.
func TestVerdictOfABrokenReusedConnection(t *testing.T) {
	tests := []struct {
		name    string
		writes  int
		verdict verdict.Verdict
	}{
		{"nothing written", 0, verdict.NotRun},
		{"part written", 10, verdict.MayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "application/json")
				_, _ = io.Copy(w, r.Body)
			}))
			defer s.Close()
			var broken atomic.Bool
			transport := NewTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
				if broken.Load() {
					return nil, errRefused
				}
				var d net.Dialer
				c, err := d.DialContext(ctx, network, address)
				return &breakableConn{Conn: c, broken: &broken, writable: tt.writes}, err
			})
			defer transport.CloseIdleConnections()
			address := s.Listener.Addr().String()
			_, err := Post[int](t.Context(), transport, address, "/", 1, 100)
			assert.NilError(t, err)
			broken.Store(true)
			_, err = Post[int](t.Context(), transport, address, "/", 1, 100)
			assert.Equal(t, verdict.Of(err), tt.verdict, "%v", err)
		})
	}
}
