package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/route"
)

// Guards against retries of a non-idempotent request that may have run, against
// more attempts than the route allows, and against a request that fails although
// it can be retried.
func TestNextStep(t *testing.T) {
	tests := []struct {
		name               string
		route              route.Route
		before             progress
		notRun, serverDown bool
		want               Step
	}{
		{"not run, non-idempotent", route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, progress{}, true, false, Retry},
		{"not run, too many attempts", route.Route{Kind: route.Idempotent, MaxAttempts: 3}, progress{notRun: maxNotRun - 1}, true, false, Fail},
		{"not run, response begun", route.Route{Kind: route.Stream, MaxAttempts: 1}, progress{notRun: maxNotRun - 1, started: true}, true, false, Retry},
		{"non-idempotent may have run", route.Route{Kind: route.NonIdempotent, MaxAttempts: 5}, progress{}, false, false, Fail},
		{"non-idempotent, server down", route.Route{Kind: route.NonIdempotent, MaxAttempts: 5}, progress{}, false, true, Fail},
		{"idempotent with attempts left", route.Route{Kind: route.Idempotent, MaxAttempts: 2}, progress{}, false, false, Retry},
		{"idempotent, no attempts left", route.Route{Kind: route.Idempotent, MaxAttempts: 2}, progress{mayHaveRun: 1}, false, false, Fail},
		{"idempotent without a maximum of attempts", route.Route{Kind: route.Idempotent}, progress{}, false, false, Fail},
		{"stream", route.Route{Kind: route.Stream, MaxAttempts: 2}, progress{}, false, false, Fail},
		{"resumable stream, no attempts left", route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 1}, progress{}, false, false, Fail},
		{"resumable stream, server down", route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 1}, progress{}, false, true, Retry},
		{"too close to the deadline", route.Route{Kind: route.Idempotent, MaxAttempts: 3}, progress{remaining: time.Millisecond}, true, false, Fail},
	}
	for _, tt := range tests {
		p := tt.before
		if p.remaining == 0 {
			p.remaining = time.Second
		}
		assert.Equal(t, p.next(&tt.route, tt.notRun, tt.serverDown), tt.want, tt.name)
	}
}

// Guards against calls that fail within milliseconds because the only server of
// their service is full for a moment: of three servers with six slots each, one
// is left, and it rejects a burst of calls that take 20 ms each.
func TestBackoffOutlastsAFullServer(t *testing.T) {
	p := progress{remaining: time.Second}
	r := &route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}
	total := time.Duration(0)
	for p.next(r, true, false) == Retry {
		d := p.backoff(0)
		assert.Assert(t, d > 0 && d <= maxBackoff)
		assert.Assert(t, p.backoff(0.99) <= 2*maxBackoff)
		total += d
	}
	assert.Assert(t, total > 300*time.Millisecond, "failed after %v of backoff", total)
}
