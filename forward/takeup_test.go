package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/cluster"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/schedule"
	"github.com/sycamoreline/sycamoreline/verdict"
)

func (l *testTurns) setUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
}

// Guards against a stream whose host is lost and that is refused to the client
// that takes it up, because the budget holds just one more turn, and against a
// turn that exceeds the budget because it generates more than the rest of the
// stream.
func TestTakeUpSharesReservation(t *testing.T) {
	const budget, most = 40, 40
	engine := []route.Target{{Service: "engine", Weight: 1}}
	tests := []struct {
		name      string
		route     route.Route
		resumes   string
		lastEvent string
		refused   bool
	}{
		{"rest", route.Route{Resumable: true, Targets: engine}, "first", "2", false},
		{"from the start", route.Route{Resumable: true, Targets: engine}, "first", "", true},
		{"stream not named", route.Route{Resumable: true, Targets: engine}, "", "2", true},
		{"another stream", route.Route{Resumable: true, Targets: engine}, "other", "2", true},
		{"route without resumption", route.Route{Targets: engine}, "first", "2", true},
		{"events of other sizes", route.Route{Resumable: true, Targets: append(engine, route.Target{Service: "plain", Weight: 0})}, "first", "2", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fixture{}
			s := startServer(t, func(n int, r *http.Request, w io.Writer) bool {
				if n == 1 {
					f.turns.setUnavailable(true) // the turn is not settled
					streamEvents(w, r.Header.Get("Id"), 1, 2, false)
					return false
				}
				streamEvents(w, r.Header.Get("Id"), 3, 4, true)
				return true
			})
			*f = *newFixture(t, s)
			c := f.call("first", &route.Route{Name: "s", Kind: route.Stream, MaxAttempts: 1, Resumable: true})
			c.Program, c.Turn = "p", &Turn{Budget: budget, MaxTokens: most}
			_, aborted, err := f.serve(c)
			assert.NilError(t, err)
			assert.Assert(t, aborted)
			f.waitForSettlements()
			f.turns.setUnavailable(false)

			tt.route.Name, tt.route.Kind, tt.route.MaxAttempts = "s", route.Stream, 1
			c = f.call("second", &tt.route)
			c.Program, c.Turn = "p", &Turn{Budget: budget, MaxTokens: most}
			c.Resumes, c.LastEvent = tt.resumes, tt.lastEvent
			_, aborted, err = f.serve(c)
			assert.Assert(t, !aborted)
			if tt.refused {
				assert.Equal(t, verdict.Of(err), verdict.NotRun)
				assert.Equal(t, verdict.From(err).Reason(), verdict.BudgetExceeded)
				assert.Equal(t, s.requests(), 1)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, s.lastEvents[1], "2")
		})
	}
}

// Guards against a stream that is broken off in the middle, because the expected
// wait for another server is longer than its time.
func TestStartedStreamIsNotRefusedForItsExpectedWait(t *testing.T) {
	var f *fixture
	f = newFixture(t, startServer(t, func(n int, r *http.Request, w io.Writer) bool {
		if n > 1 {
			streamEvents(w, r.Header.Get("Id"), 2, 4, true)
			return true
		}
		f.forwarder.View().Load(cluster.SharedLoad{
			Hosts: 2, InFlight: map[string]int{"engine0": 4}, Queues: map[string]schedule.ServiceQueue{"engine": {Waiting: 1000, PerSecond: 10}},
		})
		streamEvents(w, r.Header.Get("Id"), 1, 1, false)
		return false
	}))
	rec, aborted, err := f.serve(f.call("1", &route.Route{Kind: route.Stream, MaxAttempts: 2, Resumable: true}))
	assert.NilError(t, err)
	assert.Assert(t, !aborted)
	assert.Equal(t, strings.Count(rec.Body.String(), "data:"), 4)
}
