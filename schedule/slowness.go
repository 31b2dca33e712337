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
	// speedMemory is the time constant in seconds of the mean seconds per token
	// of a server with one run. Each run adds observations, so with four runs a
	// change shows within about half a second.
	speedMemory = 1.5
	// probeInterval is the interval between the probe runs of a slow server.
	probeInterval = time.Second
	// returnStep is the interval at which a recovered server gets more slots.
	returnStep = 250 * time.Millisecond
	// firstHold and maxHold limit the backoff after failures.
	firstHold = 100 * time.Millisecond
	maxHold   = 10 * time.Second
	// silence is the minimum time without a token after which a server counts as
	// stalled.
	silence = 600 * time.Millisecond
)

// thresholds are the relative speeds below which a server is slow and above
// which a slow server has recovered.
type thresholds struct{ below, above float64 }

var defaultThresholds = thresholds{defaultSlowBelow, defaultRecoveredAbove}

// WithSlowness sets the relative speeds below which a server is slow and above
// which a slow server has recovered. Lower values suit deployments where noisy
// neighbours slow servers for so short a time that moving the work costs more
// than it saves.
func WithSlowness(below, recoveredAbove float64) Option {
	return func(s *Scheduler) { s.thresholds = thresholds{below, recoveredAbove} }
}

// speed is the speed estimate and the failure state of one server.
type speed struct {
	thresholds
	relative  float64 // relative to the median of the pool
	token     float64 // mean seconds per token, 0 before the first observation
	slow      bool
	ramping   bool // recovered, with a growing slot limit
	slots     int  // slot limit while slow or ramping
	nextStep  time.Duration
	nextProbe time.Duration
	failures  int           // consecutive runs that crashed or did not reach the server
	heldUntil time.Duration // end of the backoff
}

func newSpeed(t thresholds) speed { return speed{thresholds: t, relative: 1} }

// held reports whether the server gets fewer runs than its slots allow.
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

// failed starts a backoff that doubles with each consecutive failure. Without
// it, a server that fails immediately would look idle and attract all calls.
func (p *speed) failed(now time.Duration) {
	p.failures++
	p.heldUntil = now + min(maxHold, firstHold<<min(p.failures-1, 10))
}

// observe updates the estimate from a run that took perToken seconds per token
// over the last elapsed seconds. Median is the seconds per token of the pool.
func (p *speed) observe(now time.Duration, perToken, elapsed, median float64) {
	if p.token == 0 {
		p.token = median
	}
	p.token += (perToken - p.token) * elapsed / (elapsed + speedMemory)
	p.judge(now, median)
}

// judge updates the relative speed and the slow state from the median of the
// pool.
func (p *speed) judge(now time.Duration, median float64) {
	p.relative = min(1.5, max(0.02, median/p.token))
	switch {
	case !p.slow && p.relative < p.below:
		p.slow, p.ramping, p.slots = true, false, 1
		p.nextProbe = now + probeInterval
	case p.slow && p.relative > p.above:
		p.slow, p.ramping = false, true
		p.nextStep = now + returnStep
	}
}

// step raises the slot limit of a recovered server by half. Raising it by one
// slot would take minutes on a server with many slots.
func (p *speed) step(now time.Duration, slots int) {
	if !p.ramping || now < p.nextStep {
		return
	}
	p.slots += max(1, p.slots/2)
	p.nextStep = now + returnStep
	p.ramping = p.slots < slots
}

// checkSilence lowers the estimated speed of a server if none of its decoding
// runs has produced a token for a while.
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
	wasSlow := v.speed.slow
	v.speed.judge(now, p.costs.token)
	if v.speed.slow && !wasSlow {
		s.reviewPool(now, p)
	}
}

// reviewPool recalibrates the median of a pool after one of its servers has
// become slow. If most servers are slow, the pool as a whole is slow: work cannot
// be moved to faster servers, and limiting all of them would only add to the
// load.
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

// pardon resets the slow state of a server and evaluates it against a new median
// of its pool.
func (p *speed) pardon(now time.Duration, median float64) {
	if p.token == 0 || !p.slow {
		return
	}
	p.slow, p.ramping = false, false
	p.judge(now, median)
}

// check runs the periodic work: it detects stalled servers, raises the slot
// limits of recovered ones and queues hedges for the calls of slow ones.
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
