package schedule

import (
	"slices"
	"time"
)

const (
	// defaultSlowBelow and defaultRecoveredAbove are relative speeds. A healthy
	// server with a full batch and prefills of long prompts drops to about 0.6.
	defaultSlowBelow      = 0.45
	defaultRecoveredAbove = 0.7
	// speedTimeConstant is the time constant in seconds of the mean seconds per
	// token of a server with one run. Each run adds observations, so with four
	// runs a change shows within about half a second.
	speedTimeConstant = 1.5
	// probeInterval is the interval between the probe runs of a slow server.
	probeInterval = time.Second
	// rampInterval is the interval at which a recovered server gets more slots.
	rampInterval = 250 * time.Millisecond
	// initialBackoff and maxBackoff limit the backoff after failures.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 10 * time.Second
	// stallTimeout is the minimum time without a token after which a server
	// counts as stalled.
	stallTimeout = 600 * time.Millisecond
)

// thresholds are the relative speeds below which a server is slow and above
// which a slow server has recovered.
type thresholds struct{ slowBelow, recoveredAbove float64 }

var defaultThresholds = thresholds{defaultSlowBelow, defaultRecoveredAbove}

// WithSlowThresholds sets the relative speeds below which a server is slow and
// above which a slow server has recovered. Lower values suit deployments where
// noisy neighbours slow servers only briefly, so that moving the work costs more
// than it saves.
func WithSlowThresholds(below, recoveredAbove float64) Option {
	return func(s *Scheduler) { s.thresholds = thresholds{below, recoveredAbove} }
}

// speed is the speed estimate and the failure state of one server.
type speed struct {
	thresholds
	relative            float64 // relative to the median of the pool
	secondsPerToken     float64 // mean; 0 before the first observation
	slow                bool
	ramping             bool // recovered, with a growing slot limit
	slotLimit           int  // while slow or ramping
	nextRamp            time.Duration
	nextProbe           time.Duration
	consecutiveFailures int // runs that crashed or did not reach the server
	backoffUntil        time.Duration
}

func newSpeed(t thresholds) speed { return speed{thresholds: t, relative: 1} }

// limited reports whether the server is slow, recovering or failing.
func (p *speed) limited() bool { return p.slow || p.ramping || p.consecutiveFailures > 0 }

func (p *speed) limit(n int) int {
	if p.slow || p.ramping {
		return min(n, p.slotLimit)
	}
	return n
}

func (p *speed) mayStartRun(now time.Duration, inFlight int) bool {
	if now < p.backoffUntil {
		return false
	}
	return !p.slow || (inFlight == 0 && now >= p.nextProbe)
}

// recordFailure starts a backoff that doubles with each consecutive failure.
// Without it, a server that fails immediately would look idle and attract all
// calls.
func (p *speed) recordFailure(now time.Duration) {
	p.consecutiveFailures++
	p.backoffUntil = now + min(maxBackoff, initialBackoff<<min(p.consecutiveFailures-1, 10))
}

// observe updates the estimate from a run that took perToken seconds per token
// over the last elapsed seconds. Median is the seconds per token of the pool.
func (p *speed) observe(now time.Duration, perToken, elapsed, median float64) {
	if p.secondsPerToken == 0 {
		p.secondsPerToken = median
	}
	p.secondsPerToken += (perToken - p.secondsPerToken) * elapsed / (elapsed + speedTimeConstant)
	p.classify(now, median)
}

// classify updates the relative speed and the slow state from the median of the
// pool.
func (p *speed) classify(now time.Duration, median float64) {
	p.relative = min(1.5, max(0.02, median/p.secondsPerToken))
	switch {
	case !p.slow && p.relative < p.slowBelow:
		p.slow, p.ramping, p.slotLimit = true, false, 1
		p.nextProbe = now + probeInterval
	case p.slow && p.relative > p.recoveredAbove:
		p.slow, p.ramping = false, true
		p.nextRamp = now + rampInterval
	}
}

// ramp raises the slot limit of a recovered server by half. Raising it by one
// slot would take minutes on a server with many slots.
func (p *speed) ramp(now time.Duration, slots int) {
	if !p.ramping || now < p.nextRamp {
		return
	}
	p.slotLimit += max(1, p.slotLimit/2)
	p.nextRamp = now + rampInterval
	p.ramping = p.slotLimit < slots
}

// checkStalled lowers the estimated speed of a server if none of its decoding
// runs has produced a token for a while.
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
	wasSlow := v.speed.slow
	v.speed.classify(now, p.costs.secondsPerToken)
	if v.speed.slow && !wasSlow {
		s.recalibratePool(now, p)
	}
}

// recalibratePool sets the median of a pool, or of its base, to that of its
// servers if most of them are slow, and classifies them again. It is called when
// a server becomes slow. If most servers are slow, work cannot be moved to faster
// ones, and limiting all of them would only lengthen the queue.
func (s *Scheduler) recalibratePool(now time.Duration, p *pool) {
	if p.base != nil {
		p = p.base
	}
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

// reclassify resets the slow state of a server and evaluates it against a new
// median of its pool.
func (p *speed) reclassify(now time.Duration, median float64) {
	if p.secondsPerToken == 0 || !p.slow {
		return
	}
	p.slow, p.ramping = false, false
	p.classify(now, median)
}

// checkServers runs the periodic work: it detects stalled servers, raises the
// slot limits of recovered ones and queues hedges for the calls of slow ones.
func (s *Scheduler) checkServers(now time.Duration) {
	if now < s.nextCheck {
		return
	}
	s.nextCheck = now + checkInterval
	s.expireEvidence()
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
