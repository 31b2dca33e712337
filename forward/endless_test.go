package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// countingConn counts the bytes read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// Guards against servers whose answers do not end and together fill the memory
// of a host, and against memory that is not released afterwards.
func TestServeBoundsEndlessAnswers(t *testing.T) {
	const limit, calls = 1 << 20, 8
	tests := []struct {
		name   string
		kind   route.Kind
		header string
		repeat string
	}{
		{"body", route.NonIdempotent, "", strings.Repeat("b", 4<<10)},
		{"stream", route.Stream, "Content-Type: text/event-stream\r\n", "id: 1\ndata: " + strings.Repeat("b", 4<<10) + "\n\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var read atomic.Int64
			s := startServer(t, func(_ int, r *http.Request, w io.Writer) bool {
				if strings.HasPrefix(r.Header.Get("Id"), "last") {
					return answerWith("ok")(0, r, w)
				}
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\n%s\r\n", r.Header.Get("Id"), tt.header)
				for sent := 0; sent < 8*limit; sent += len(tt.repeat) {
					if _, err := io.WriteString(w, tt.repeat); err != nil {
						break
					}
				}
				return false
			})
			f := newFixture(t, s, s, s, s)
			f.forwarder.pool.Close()
			f.forwarder.pool = backend.NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
				nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &countingConn{nc, &read}, err
			})
			f.forwarder.answers, f.forwarder.maxAnswerBytes = semaphore.NewWeighted(limit), limit/maxAnswerShare
			var g errgroup.Group
			for i := range calls {
				g.Go(func() error {
					c := f.call(fmt.Sprint(i), &route.Route{Kind: tt.kind, KeepsHistory: true})
					c.Turn = &Turn{Budget: 1 << 40, MaxTokens: 10}
					c.Program = c.ID
					_, aborted, err := f.serve(c)
					if !aborted && verdict.Of(err) != verdict.MayHaveRun {
						return fmt.Errorf("call %d: %w", i, err)
					}
					return nil
				})
			}
			assert.NilError(t, g.Wait())
			assert.Assert(t, f.forwarder.answers.TryAcquire(limit), "memory is not released")
			f.forwarder.answers.Release(limit)
			assert.Assert(t, read.Load() < 4*limit, "%d bytes were read", read.Load())
		})
	}
}
