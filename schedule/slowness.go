package schedule

import (
	"slices"
	"time"
)

const (
	// defaultSlowBelow and defaultRecoveredAbove are relative speeds. A full batch
	// and the prefill of long prompts alone bring a server down to about 0.6.
	defaultSlowBelow      = 0.45
	defaultRecoveredAbove = 0.7
	// speedMemory is the time constant of the token time of a server, divided
	// by its runs: with four runs a change shows within about half a second.
	speedMemory = 1.5
	// probeInterval separates the runs that test a slow server.
	probeInterval = time.Second
	// returnStep is the time after which a recovered server gets more slots.
	returnStep = 250 * time.Millisecond
	// firstHold and maxHold bound the time without new work after a failure.
	firstHold = 100 * time.Millisecond
	maxHold   = 10 * time.Second
	// silence is the shortest time without a token that counts as slow.
	silence = 600 * time.Millisecond
)

// thresholds are the relative speeds at which a server becomes slow and is
// recovered.
type thresholds struct{ below, above float64 }

var defaultThresholds = thresholds{defaultSlowBelow, defaultRecoveredAbove}

// WithSlowness sets the relative speeds at which a server becomes slow and is
// recovered, where neighbours slow servers so shortly that leaving them costs
// more than it saves.
func WithSlowness(below, recoveredAbove float64) Option {
	return func(s *Scheduler) { s.thresholds = thresholds{below, recoveredAbove} }
}

// speed is the estimated speed of one server.
type speed struct {
	thresholds
	relative  float64 // to the median of the pool; 1 is typical
	token     float64 // mean seconds per token, 0 without observation
	slow      bool
	ramping   bool
	slots     int // while slow or ramping
	nextStep  time.Duration
	nextProbe time.Duration
	failures  int // runs in a row that did not reach the server or broke
	heldUntil time.Duration
}

func newSpeed(t thresholds) speed { return speed{thresholds: t, relative: 1} }

// held reports whether the server gets less than its slots.
func (p *speed) held() bool { return p.slow || p.ramping || p.failures > 0 }

func (p *speed) limit(n int) int {
	if p.slow || p.ramping {
		return min(n, p.slots)
	}
	return n
}

func (p *speed) mayProbe(now time.Duration, inFlight int) bool {
	if now < p.heldUntil {
		return false
	}
	return !p.slow || (inFlight == 0 && now >= p.nextProbe)
}

// failed holds back new work for a time that doubles with each failure in a
// row: a server that fails at once would otherwise look idle and get all work.
func (p *speed) failed(now time.Duration) {
	p.failures++
	p.heldUntil = now + min(maxHold, firstHold<<min(p.failures-1, 10))
}

// observe takes in that a run needed some seconds per token for a while.
func (p *speed) observe(now time.Duration, perToken, during, typical float64) {
	if p.token == 0 {
		p.token = typical
	}
	p.token += (perToken - p.token) * during / (during + speedMemory)
	p.judge(now, typical)
}

// judge compares the server with the median of its pool.
func (p *speed) judge(now time.Duration, typical float64) {
	p.relative = min(1.5, max(0.02, typical/p.token))
	switch {
	case !p.slow && p.relative < p.below:
		p.slow, p.ramping, p.slots = true, false, 1
		p.nextProbe = now + probeInterval
	case p.slow && p.relative > p.above:
		p.slow, p.ramping = false, true
		p.nextStep = now + returnStep
	}
}

// step returns work to a recovered server, half as much again at a time: one
// slot at a time takes minutes on a server with many slots.
func (p *speed) step(now time.Duration, slots int) {
	if !p.ramping || now < p.nextStep {
		return
	}
	p.slots += max(1, p.slots/2)
	p.nextStep = now + returnStep
	p.ramping = p.slots < slots
}

// checkSilence lowers the speed of a server none of whose runs produces tokens.
func (s *Scheduler) checkSilence(now time.Duration, v *server) {
	p := v.runs[0].pool
	gap, decoding := now, false
	for _, c := range v.runs {
		r := c.runOn(v)
		if r.tokens > 0 {
			decoding = true
			gap = min(gap, now-r.last)
		}
	}
	if !decoding || gap < silence || gap.Seconds() < v.speed.token {
		return
	}
	v.speed.token = gap.Seconds()
	before := v.speed.slow
	v.speed.judge(now, p.costs.token)
	if v.speed.slow && !before {
		s.reviewPool(now, p)
	}
}

// reviewPool compares the members of a pool with each other once one of them
// has become slow. When most are slow, the pool as a whole is: there is nowhere
// to shift work to, and holding all of them back would only add to the load.
func (s *Scheduler) reviewPool(now time.Duration, p *pool) {
	slow := 0
	var times []float64
	for _, v := range p.members {
		if v.speed.slow {
			slow++
		}
		if v.speed.token > 0 {
			times = append(times, v.speed.token)
		}
	}
	if 2*slow <= len(p.members) || len(times) == 0 {
		return
	}
	slices.Sort(times)
	p.costs.token = times[len(times)/2]
	for _, v := range p.members {
		v.speed.pardon(now, p.costs.token)
		s.refresh(v)
	}
}

// pardon judges a server anew by a new median of its pool.
func (p *speed) pardon(now time.Duration, typical float64) {
	if p.token == 0 || !p.slow {
		return
	}
	p.slow, p.ramping = false, false
	p.judge(now, typical)
}

// check runs the periodic work: silent servers, returning work, hedges.
func (s *Scheduler) check(now time.Duration) {
	if now < s.nextCheck {
		return
	}
	s.nextCheck = now + checkInterval
	for i := len(s.busy) - 1; i >= 0; i-- {
		v := s.busy[i]
		if s.detect && len(v.runs) > 0 {
			s.checkSilence(now, v)
		}
		v.speed.step(now, v.slots())
		if v.speed.slow {
			s.hedgeRuns(v)
		}
		s.refresh(v)
		s.setBusy(v)
	}
}
