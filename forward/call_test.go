package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/route"
)

// Guards against a request that runs twice although it must not, or on more
// servers than its route allows, and against one that is given up although it
// has not run.
func TestNextStep(t *testing.T) {
	tests := []struct {
		name          string
		route         route.Route
		before        progress
		notRun, ended bool
		want          Step
	}{
		{"not run, any kind", route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, progress{}, true, false, Retry},
		{"not run too often", route.Route{Kind: route.Idempotent, MaxAttempts: 3}, progress{notRun: maxNotRun - 1}, true, false, Fail},
		{"non-idempotent may have run", route.Route{Kind: route.NonIdempotent, MaxAttempts: 5}, progress{}, false, false, Fail},
		{"non-idempotent, server ended", route.Route{Kind: route.NonIdempotent, MaxAttempts: 5}, progress{}, false, true, Fail},
		{"idempotent with attempts left", route.Route{Kind: route.Idempotent, MaxAttempts: 2}, progress{}, false, false, Retry},
		{"idempotent, attempts used", route.Route{Kind: route.Idempotent, MaxAttempts: 2}, progress{mayHaveRun: 1}, false, false, Fail},
		{"idempotent without a number", route.Route{Kind: route.Idempotent}, progress{}, false, false, Fail},
		{"stream", route.Route{Kind: route.Stream, MaxAttempts: 2}, progress{}, false, false, Fail},
		{"resumable stream, attempts used", route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 1}, progress{}, false, false, Fail},
		{"resumable stream, server ended", route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 1}, progress{}, false, true, Retry},
		{"no time left", route.Route{Kind: route.Idempotent, MaxAttempts: 3}, progress{remaining: time.Millisecond}, true, false, Fail},
	}
	for _, tt := range tests {
		p := tt.before
		if p.remaining == 0 {
			p.remaining = time.Second
		}
		assert.Equal(t, p.next(&tt.route, tt.notRun, tt.ended), tt.want, tt.name)
	}
}

// Guards against calls that are refused within milliseconds although the only
// server of their service is full for a moment.
//
// The load pattern: one server of six slots is left of three, and turns a burst
// away; its calls take 20 ms.
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
	assert.Assert(t, total > 300*time.Millisecond, "gave up after %v", total)
}
