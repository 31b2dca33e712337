package forward

import (
	"time"

	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/schedule"
)

// tokenReportInterval is the time over which the tokens of a run are counted before
// they are reported. Events arrive in clumps; taken one by one, half of the
// pauses are far shorter than the mean, and every server looks slow beside the
// median.
const tokenReportInterval = 100 * time.Millisecond

// tokenObserver takes the progress of runs.
type tokenObserver interface {
	FirstToken(id schedule.CallID, server string)
	Tokens(id schedule.CallID, server string, n int)
}

// tokenReporter reports the progress of one run to the scheduler.
type tokenReporter struct {
	queue   tokenObserver
	clock   dispatch.Clock
	started bool
	lastReport      time.Duration // of the last report
	tokens  int           // since then
}

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
