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
	// speedTimeConstant is the time constant of the token time of a server, divided
	// by its runs: with four runs a change shows within about half a second.
	speedTimeConstant = 1.5
	// probeInterval separates the runs that test a slow server.
	probeInterval = time.Second
	// rampInterval is the time after which a recovered server gets more slots.
	rampInterval = 250 * time.Millisecond
	// initialBackoff and maxHold bound the time without new work after a failure.
	initialBackoff = 100 * time.Millisecond
	maxBackoff   = 10 * time.Second
	// stallTimeout is the shortest time without a token that counts as slow.
	stallTimeout = 600 * time.Millisecond
)

// thresholds are the relative speeds at which a server becomes slow and is
// recovered.
type thresholds struct{ slowBelow, recoveredAbove float64 }

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
	secondsPerToken     float64 // mean seconds per token, 0 without observation
	slow      bool
	ramping   bool
	slotLimit     int // while slow or ramping
	nextRamp  time.Duration
	nextProbe time.Duration
	consecutiveFailures  int // runs in a row that did not reach the server or broke
	backoffUntil time.Duration
}

func newSpeed(t thresholds) speed { return speed{thresholds: t, relative: 1} }

// limited reports whether the server gets less than its slots.
func (p *speed) limited() bool { return p.slow || p.ramping || p.consecutiveFailures > 0 }

func (p *speed) limit(n int) int {
	if p.slow || p.ramping {
		return min(n, p.slotLimit)
	}
	return n
}

func (p *speed) mayProbe(now time.Duration, inFlight int) bool {
	if now < p.backoffUntil {
		return false
	}
	return !p.slow || (inFlight == 0 && now >= p.nextProbe)
}

// recordFailure holds back new work for a time that doubles with each failure in a
// row: a server that fails at once would otherwise look idle and get all work.
func (p *speed) recordFailure(now time.Duration) {
	p.consecutiveFailures++
	p.backoffUntil = now + min(maxBackoff, initialBackoff<<min(p.consecutiveFailures-1, 10))
}

// observe takes in that a run needed some seconds per token for a while.
func (p *speed) observe(now time.Duration, perToken, during, typical float64) {
	if p.secondsPerToken == 0 {
		p.secondsPerToken = typical
	}
	p.secondsPerToken += (perToken - p.secondsPerToken) * during / (during + speedTimeConstant)
	p.classify(now, typical)
}

// classify compares the server with the median of its pool.
func (p *speed) classify(now time.Duration, typical float64) {
	p.relative = min(1.5, max(0.02, typical/p.secondsPerToken))
	switch {
	case !p.slow && p.relative < p.slowBelow:
		p.slow, p.ramping, p.slotLimit = true, false, 1
		p.nextProbe = now + probeInterval
	case p.slow && p.relative > p.recoveredAbove:
		p.slow, p.ramping = false, true
		p.nextRamp = now + rampInterval
	}
}

// ramp returns work to a recovered server, half as much again at a time: one
// slot at a time takes minutes on a server with many slots.
func (p *speed) ramp(now time.Duration, slots int) {
	if !p.ramping || now < p.nextRamp {
		return
	}
	p.slotLimit += max(1, p.slotLimit/2)
	p.nextRamp = now + rampInterval
	p.ramping = p.slotLimit < slots
}

// checkStalled lowers the speed of a server none of whose runs produces tokens.
func (s *Scheduler) checkStalled(now time.Duration, v *server) {
	p := v.runs[0].pool
	gap, decoding := now, false
	for _, c := range v.runs {
		r := c.runOn(v)
		if r.tokens > 0 {
			decoding = true
			gap = min(gap, now-r.lastToken)
		}
	}
	if !decoding || gap < stallTimeout || gap.Seconds() < v.speed.secondsPerToken {
		return
	}
	v.speed.secondsPerToken = gap.Seconds()
	before := v.speed.slow
	v.speed.classify(now, p.costs.secondsPerToken)
	if v.speed.slow && !before {
		s.recalibratePool(now, p)
	}
}

// recalibratePool compares the members of a pool with each other once one of them
// has become slow. When most are slow, the pool as a whole is: there is nowhere
// to shift work to, and holding all of them back would only add to the load.
func (s *Scheduler) recalibratePool(now time.Duration, p *pool) {
	slow := 0
	var times []float64
	for _, v := range p.members {
		if v.speed.slow {
			slow++
		}
		if v.speed.secondsPerToken > 0 {
			times = append(times, v.speed.secondsPerToken)
		}
	}
	if 2*slow <= len(p.members) || len(times) == 0 {
		return
	}
	slices.Sort(times)
	p.costs.secondsPerToken = times[len(times)/2]
	for _, v := range p.members {
		v.speed.reclassify(now, p.costs.secondsPerToken)
		s.updateEligibility(v)
	}
}

// reclassify judges a server anew by a new median of its pool.
func (p *speed) reclassify(now time.Duration, typical float64) {
	if p.secondsPerToken == 0 || !p.slow {
		return
	}
	p.slow, p.ramping = false, false
	p.classify(now, typical)
}

// checkServers runs the periodic work: silent servers, returning work, hedges.
func (s *Scheduler) checkServers(now time.Duration) {
	if now < s.nextCheck {
		return
	}
	s.nextCheck = now + checkInterval
	for i := len(s.monitored) - 1; i >= 0; i-- {
		v := s.monitored[i]
		if s.detectSlow && len(v.runs) > 0 {
			s.checkStalled(now, v)
		}
		v.speed.ramp(now, v.slots())
		if v.speed.slow {
			s.queueHedges(v)
		}
		s.updateEligibility(v)
		s.updateMonitored(v)
	}
}
