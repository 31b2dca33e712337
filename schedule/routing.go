package schedule

import "slices"

// choice is a server for a call.
type choice struct {
	server *server
	reason string // kebab-case
}

// router chooses a server among the open ones of the call's pool. It returns a
// choice without a server when the call is better off waiting.
type router interface {
	choose(s *Scheduler, c *call) choice
}

// earliestFinish chooses the server where the call is expected to end first.
// It looks at the server that ran the program's last call and at a few random
// open servers, so that the cost does not depend on the number of servers and
// that hosts with the same view do not all pick the same server.
type earliestFinish struct {
	samples int
	// recomputeWeight values a second of prefill, which also delays the other
	// runs of its server.
	recomputeWeight float64
	// loadWeight is the relative slowdown of a run on a full server compared
	// with an empty one.
	loadWeight float64
	// maxOvercommit is the fraction of its slots by which the server of the
	// program's last call may be overcommitted to save a recomputation.
	maxOvercommit float64
}

func (e earliestFinish) choose(s *Scheduler, c *call) choice {
	l := selection{earliestFinish: e, call: c}
	l.considerLast(s)
	open := c.pool.eligible
	if len(open) <= e.samples {
		for _, v := range open {
			l.consider(v, 0, "earliest-finish")
		}
		return l.best
	}
	for range e.samples {
		l.consider(open[s.random.IntN(len(open))], 0, "earliest-finish")
	}
	return l.best
}

// selection is the best server found so far for a call.
type selection struct {
	earliestFinish
	call *call
	best choice
	cost float64 // seconds until the call ends there
}

// considerLast considers the server of the program's last call, even if its
// slots are taken: its queue may be shorter than a recomputation.
func (l *selection) considerLast(s *Scheduler) {
	c, v := l.call, l.call.lastServer
	if v == nil || !v.available() || v.speed.slow || s.now < v.speed.backoffUntil || v.membershipOf(c.pool) == nil {
		return
	}
	excess := float64(v.inFlight - s.limit(v) + 1)
	switch {
	case excess <= 0:
		l.consider(v, 0, "cached-prefix")
	case excess <= l.maxOvercommit*float64(v.slots()):
		l.consider(v, excess*c.pool.costs.meanRunSeconds/float64(v.slots()), "cached-prefix-wait")
	}
}

// consider compares a server, on which the call waits for some seconds, with
// the best one so far.
func (l *selection) consider(v *server, wait float64, reason string) {
	if l.call.runOn(v) != nil {
		return
	}
	cost := wait + l.estimate(l.call, v)
	if l.call.avoids(v) {
		cost += avoidPenaltySeconds
	}
	if l.best.server == nil || cost < l.cost {
		l.best, l.cost = choice{server: v, reason: reason}, cost
	}
}

// estimate returns the seconds that the call is expected to take on a server.
func (e earliestFinish) estimate(c *call, v *server) float64 {
	k := &c.pool.costs
	recompute := float64(c.uncachedTokens(v)) * k.prefillPerToken
	work := k.meanRunSeconds
	if c.Service == "" {
		work = k.meanOutputTokens * k.secondsPerToken
	}
	return (e.recomputeWeight*recompute + work*(1+e.loadWeight*v.utilization())) / v.speed.relative
}

// uncachedTokens returns the number of prompt tokens believed not to be cached on a
// server.
func (c *call) uncachedTokens(v *server) int {
	if c.Service != "" {
		return 0
	}
	cached, shrunk := 0, false
	if slices.Contains(c.program.cachedOn, v) {
		cached, shrunk = v.cache.tokens(c.ID.Program)
	}
	if v == c.lastServer && !shrunk {
		cached = max(cached, c.PrefixTokens) // another host may have sent the last call
	}
	return max(0, c.PromptTokens-cached)
}

// avoidPenaltySeconds in seconds puts a server that failed an earlier attempt behind all
// others, but does not exclude it: it may be the only one.
const avoidPenaltySeconds = 1000

func (c *call) avoids(v *server) bool {
	for _, id := range c.Avoid {
		if id == v.ID {
			return true
		}
	}
	return false
}
