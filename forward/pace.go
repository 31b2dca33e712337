package forward

import (
	"time"

	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/schedule"
)

// paceInterval is the minimum time between two token reports of an attempt.
// Events arrive in bursts: if each were reported, half of the pauses would be far
// shorter than the mean, and every server would look slow compared to the median.
const paceInterval = 100 * time.Millisecond

// tokenReports receives the token reports of attempts.
type tokenReports interface {
	FirstToken(id schedule.CallID, server string)
	Tokens(id schedule.CallID, server string, n int)
}

// pace reports the tokens of one attempt to the scheduler, at most once per
// interval.
type pace struct {
	queue   tokenReports
	clock   dispatch.Clock
	started bool
	at      time.Duration // time of the last report
	tokens  int           // tokens since the last report
}

// event counts the tokens of an event and reports them if a report is due.
func (p *pace) event(t target, tokens int) {
	now := p.clock()
	if !p.started {
		p.started, p.at = true, now
		p.queue.FirstToken(t.id, t.server)
		return
	}
	p.tokens += tokens
	if now-p.at >= paceInterval {
		p.queue.Tokens(t.id, t.server, p.tokens)
		p.at, p.tokens = now, 0
	}
}
