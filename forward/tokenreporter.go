package forward

import (
	"time"

	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/schedule"
)

// tokenReportInterval is the minimum time between two token reports of an
// attempt. Events arrive in bursts: if each were reported, half of the pauses
// would be far shorter than the mean, and every server would look slow compared
// to the median.
const tokenReportInterval = 100 * time.Millisecond

// tokenObserver receives the token reports of attempts.
type tokenObserver interface {
	FirstToken(id schedule.CallID, server string)
	Tokens(id schedule.CallID, server string, n int)
}

// tokenReporter reports the tokens of one attempt to the scheduler, at most
// once per interval.
type tokenReporter struct {
	queue      tokenObserver
	clock      dispatch.Clock
	started    bool
	lastReport time.Duration // time of the last report
	tokens     int           // tokens since the last report
}

// observe counts the tokens of an event and reports them if a report is due.
func (r *tokenReporter) observe(t target, tokens int) {
	now := r.clock()
	if !r.started {
		r.started, r.lastReport = true, now
		r.queue.FirstToken(t.id, t.server)
		return
	}
	r.tokens += tokens
	if now-r.lastReport >= tokenReportInterval {
		r.queue.Tokens(t.id, t.server, r.tokens)
		r.lastReport, r.tokens = now, 0
	}
}
