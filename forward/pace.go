package forward

import (
	"time"

	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/schedule"
)

// paceInterval is the time over which the tokens of a run are counted before
// they are reported. Events arrive in clumps; taken one by one, half of the
// pauses are far shorter than the mean, and every server looks slow beside the
// median.
const paceInterval = 100 * time.Millisecond

// tokenReports takes the progress of runs.
type tokenReports interface {
	FirstToken(id schedule.CallID, server string)
	Tokens(id schedule.CallID, server string, n int)
}

// pace reports the progress of one run to the scheduler.
type pace struct {
	queue   tokenReports
	clock   dispatch.Clock
	started bool
	at      time.Duration // of the last report
	tokens  int           // since then
}

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
