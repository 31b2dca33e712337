package schedule

import (
	"slices"
	"time"
)

// choice is the server chosen for a call, with the reason.
type choice struct {
	server *server
	reason string // kebab-case
}

// router chooses a server for a call among the eligible ones of its pool. The
// choice has no server if none is suitable for a hedge.
type router interface {
	choose(s *Scheduler, c *call) choice
}

// earliestFinish chooses the server on which the call is expected to finish
// first. It considers the server of the program's last call and a random sample
// of the eligible servers. Sampling keeps the cost of a decision independent of
// the number of servers, and prevents hosts with the same load information from
// all choosing the same server.
type earliestFinish struct {
	samples int
	// recomputeWeight is the weight of the prefill time in the estimated cost.
	// It is above 1 since a prefill also delays the other runs of the server.
	recomputeWeight float64
	// loadWeight is the relative slowdown of a run on a fully utilised server
	// compared with an idle one.
	loadWeight float64
	// maxOvercommit is the fraction of its slots by which the server of the
	// program's last call may be overcommitted to avoid a prefill.
	maxOvercommit float64
}

func (e earliestFinish) choose(s *Scheduler, c *call) choice {
	l := selection{earliestFinish: e, call: c, now: s.now}
	l.considerLast(s)
	eligible := c.pool.eligible
	if len(eligible) <= e.samples {
		for _, v := range eligible {
			l.consider(v, 0, "earliest-finish")
		}
		return l.best
	}
	for range e.samples {
		l.consider(s.sample(eligible), 0, "earliest-finish")
	}
	for _, v := range c.pool.recent {
		if c.Service != "" && c.pool.isEligible(v) && s.accepts(v) {
			l.consider(v, 0, "open-connection")
		}
	}
	return l.best
}

// selection is the best server found so far for a call.
type selection struct {
	earliestFinish
	call *call
	now  time.Duration
	best choice
	cost float64 // weighted seconds until the call finishes
}

// considerLast considers the server of the program's last call, even if it has
// no free slot, since the wait may be shorter than the prefill elsewhere. A hedge
// runs only in a free slot.
func (l *selection) considerLast(s *Scheduler) {
	c, v := l.call, l.call.lastServer
	if v == nil || !v.available() || v.inDoubt || v.speed.slow || s.now < v.speed.backoffUntil || s.now < v.pausedUntil || v.membershipOf(c.pool) == nil {
		return
	}
	excess := float64(v.inFlight - s.limit(v) + 1)
	switch {
	case excess <= 0:
		l.consider(v, 0, "cached-prefix")
	case c.running == 0 && excess <= l.maxOvercommit*float64(v.slots()):
		l.consider(v, excess*c.pool.costs.meanRunSeconds/float64(v.slots()), "cached-prefix-wait")
	}
}

// consider compares a server with the best one so far. Wait is the expected
// queueing time on the server in seconds.
func (l *selection) consider(v *server, wait float64, reason string) {
	if !l.call.mayRunOn(v) {
		return
	}
	cost := wait + l.estimate(l.call, v)
	if l.call.Service != "" && !v.connections.open(l.now) {
		cost += connectSeconds
	}
	cost += avoidPenaltySeconds * float64(l.call.failuresOn(v))
	if l.best.server == nil || cost < l.cost {
		l.best, l.cost = choice{server: v, reason: reason}, cost
	}
}

// estimate returns the expected run time of the call on a server, in weighted
// seconds.
func (e earliestFinish) estimate(c *call, v *server) float64 {
	k := c.pool.costs
	recompute := float64(c.uncachedTokens(v)) * k.prefillPerToken
	work := k.meanRunSeconds
	if c.Service == "" {
		work = k.meanOutputTokens * k.secondsPerToken
	}
	return (e.recomputeWeight*recompute + work*(1+e.loadWeight*v.utilisation())) / v.speed.relative
}

// uncachedTokens returns the estimated number of prompt tokens that a server
// has not cached.
func (c *call) uncachedTokens(v *server) int {
	if c.Service != "" {
		return 0
	}
	cached, shrunk := 0, false
	if slices.Contains(c.program.cachedOn, v) {
		cached, shrunk = v.cache.cachedTokens(c.ID.Program)
	}
	if v == c.lastServer && !shrunk {
		cached = max(cached, c.PrefixTokens) // another host may have sent the last call
	}
	return max(0, c.PromptTokens-cached)
}

// avoidPenaltySeconds is the penalty in seconds for each earlier attempt of the
// call that a server has failed. Such a server is chosen last, but not excluded,
// since it may be the only one. Of several, the one that has failed least often
// is chosen: a server that was silent may go on while a full one stays full.
const avoidPenaltySeconds = 1000

func (c *call) avoids(v *server) bool { return slices.Contains(c.Avoid, v.ID) }

// failuresOn returns the number of attempts of the call that a server has failed.
func (c *call) failuresOn(v *server) int {
	n := 0
	for _, id := range c.Avoid {
		if id == v.ID {
			n++
		}
	}
	return n
}
