package forward

import (
	"io"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/route"
)

// Guards against a stream that lacks an event, if there was no memory to keep it
// and the stream goes on at another server.
func TestStreamResumesBeforeEventThatWasNotKept(t *testing.T) {
	const limit, eventBytes = 100, int64(len("e1\n"))
	var f *fixture
	s := startServer(t, func(n int, r *http.Request, w io.Writer) bool {
		if n == 1 {
			return streamFour(n, r, w)
		}
		f.forwarder.answers.Release(limit - eventBytes)
		streamEvents(w, r.Header.Get("Id"), 2, 4, true)
		return true
	})
	f = newFixture(t, s)
	f.forwarder.answers = semaphore.NewWeighted(limit)
	assert.Assert(t, f.forwarder.answers.TryAcquire(limit-eventBytes))
	c := f.call("s", &route.Route{Name: "s", Kind: route.Stream, MaxAttempts: 2, Resumable: true, KeepsHistory: true, Retention: time.Minute})
	c.Program, c.Turn = "p", &Turn{Budget: 1000, MaxTokens: 100}
	rec, aborted, err := f.serve(c)
	assert.NilError(t, err)
	assert.Assert(t, !aborted)
	assert.DeepEqual(t, s.lastEvents, []string{"", "1"})
	assert.Equal(t, rec.Body.String(), "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n")
}
