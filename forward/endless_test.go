package forward

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

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
			var sent atomic.Int64
			s := startServer(t, func(_ int, r *http.Request, w io.Writer) bool {
				if strings.HasPrefix(r.Header.Get("Id"), "last") {
					return answerWith("ok")(0, r, w)
				}
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\n%s\r\n", r.Header.Get("Id"), tt.header)
				for {
					n, err := io.WriteString(w, tt.repeat)
					if err != nil || sent.Add(int64(n)) > 64*limit {
						return false
					}
				}
			})
			f := newFixture(t, s, s, s, s)
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
			// Unread bytes of each connection fill its buffers.
			assert.Assert(t, sent.Load() < 64*limit, "%d bytes were read", sent.Load())
		})
	}
}
