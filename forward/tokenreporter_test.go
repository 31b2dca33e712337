package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/schedule"
)

// tokenLog records token reports.
type tokenLog struct {
	first  int
	tokens []int
}

func (l *tokenLog) FirstToken(schedule.CallID, string)        { l.first++ }
func (l *tokenLog) Tokens(_ schedule.CallID, _ string, n int) { l.tokens = append(l.tokens, n) }

// Guards against servers that look slow because their events arrive in bursts.
// Conversations were then moved to other servers, which had to prefill them
// again.
//
// The load is 100 events of 18 tokens, two at a time every 46 ms.
func TestPaceReportsOverAnInterval(t *testing.T) {
	now := time.Duration(0)
	l := &tokenLog{}
	r := tokenReporter{queue: l, clock: func() time.Duration { return now }}
	for range 50 {
		r.observe(target{}, 18)
		r.observe(target{}, 18)
		now += 46 * time.Millisecond
	}
	assert.Equal(t, l.first, 1)
	assert.Assert(t, len(l.tokens) > 10)
	for _, n := range l.tokens {
		assert.Assert(t, n >= 2*18, "%d tokens in one report", n)
	}
}
