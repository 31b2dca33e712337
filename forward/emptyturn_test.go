package forward

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// Guards against a connection that is closed without a response, if a turn without
// events can't be recorded.
func TestUnrecordedTurnWithoutEventsGetsErrorResponse(t *testing.T) {
	var f *fixture
	f = newFixture(t, startServer(t, func(_ int, r *http.Request, w io.Writer) bool {
		f.turns.mu.Lock()
		f.turns.unavailable = true
		f.turns.mu.Unlock()
		streamEvents(w, r.Header.Get("Id"), 1, 0, true)
		return true
	}))
	c := f.call("s", &route.Route{Name: "s", Kind: route.Stream, MaxAttempts: 1, KeepsHistory: true, Retention: time.Minute})
	c.Program, c.Turn = "p", &Turn{Budget: 1000, MaxTokens: 100}
	rec, aborted, err := f.serve(c)
	assert.Assert(t, !aborted)
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	assert.Equal(t, len(rec.Header()), 0)
}
