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
	// excess is the fraction of its slots by which the server of the
	// program's last call may be overcommitted to save a recomputation.
	excess float64
}

func (e earliestFinish) choose(s *Scheduler, c *call) choice {
	var best choice
	bestCost := 0.0
	consider := func(v *server, wait float64, reason string) {
		if c.runOn(v) != nil {
			return
		}
		recompute := float64(c.missing(v)) * c.pool.costs.prefill
		cost := wait + e.cost(c, v, recompute)
		if c.avoids(v) {
			cost += avoidCost
		}
		if best.server == nil || cost < bestCost {
			best, bestCost = choice{server: v, reason: reason}, cost
		}
	}
	if v := c.last; v != nil && v.available() && !v.speed.slow && s.now >= v.speed.heldUntil {
		if m := v.membershipOf(c.pool); m != nil {
			if excess := v.inFlight - s.limit(v) + 1; excess <= 0 {
				consider(v, 0, "cached-prefix")
			} else if float64(excess) <= e.excess*float64(v.slots()) {
				consider(v, float64(excess)*c.pool.costs.run/float64(v.slots()), "cached-prefix-wait")
			}
		}
	}
	open := c.pool.open
	if len(open) <= e.samples {
		for _, v := range open {
			consider(v, 0, "earliest-finish")
		}
		return best
	}
	for range e.samples {
		consider(open[s.random.IntN(len(open))], 0, "earliest-finish")
	}
	return best
}

// cost estimates the seconds until the call ends on a server.
func (e earliestFinish) cost(c *call, v *server, recompute float64) float64 {
	k := &c.pool.costs
	work := k.run
	if c.Service == "" {
		work = k.output * k.token
	}
	return (e.recomputeWeight*recompute + work*(1+e.loadWeight*v.occupancy())) / v.speed.relative
}

// missing returns the number of prompt tokens believed not to be cached on a
// server.
func (c *call) missing(v *server) int {
	if c.Service != "" {
		return 0
	}
	cached, shrunk := 0, false
	if slices.Contains(c.home.cachedOn, v) {
		cached, shrunk = v.cache.tokens(c.ID.Program)
	}
	if v == c.last && !shrunk {
		cached = max(cached, c.PrefixTokens) // another host may have sent the last call
	}
	return max(0, c.PromptTokens-cached)
}

// avoidCost in seconds puts a server that failed an earlier attempt behind all
// others, but does not exclude it: it may be the only one.
const avoidCost = 1000

func (c *call) avoids(v *server) bool {
	for _, id := range c.Avoid {
		if id == v.ID {
			return true
		}
	}
	return false
}
