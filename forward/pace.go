package forward

import (
	"time"

	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/schedule"
)

// tokenReportInterval is the minimum time between two token reports of an attempt.
// Events arrive in bursts: if each were reported, half of the pauses would be far
// shorter than the mean, and every server would look slow compared to the median.
const tokenReportInterval = 100 * time.Millisecond

// tokenObserver receives the token reports of attempts.
type tokenObserver interface {
	FirstToken(id schedule.CallID, server string)
	Tokens(id schedule.CallID, server string, n int)
}

// tokenReporter reports the tokens of one attempt to the scheduler, at most once per
// interval.
type tokenReporter struct {
	queue   tokenObserver
	clock   dispatch.Clock
	started bool
	lastReport      time.Duration // time of the last report
	tokens  int           // tokens since the last report
}

// observe counts the tokens of an event and reports them if a report is due.
func (p *tokenReporter) observe(t target, tokens int) {
	now := p.clock()
	if !p.started {
		p.started, p.lastReport = true, now
		p.queue.FirstToken(t.id, t.server)
		return
	}
	p.tokens += tokens
	if now-p.lastReport >= tokenReportInterval {
		p.queue.Tokens(t.id, t.server, p.tokens)
		p.lastReport, p.tokens = now, 0
	}
}
