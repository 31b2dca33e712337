package schedule

import "time"

const (
	// checkInterval is the interval of the periodic check of the servers.
	checkInterval = 100 * time.Millisecond
	// hedgeRatio limits the hedges to a tenth of the calls. hedgeBurst is the
	// capacity of the budget, enough to hedge the calls of one slow server.
	hedgeRatio = 0.1
	hedgeBurst = 16
	// hedgeMinSpeedup is the factor by which a hedge must be expected to finish
	// faster than the rest of the first run.
	hedgeMinSpeedup = 1.5
)

// queueHedges queues hedges for the calls of a slow server that are expected to
// finish earlier on another one.
func (s *Scheduler) queueHedges(v *server) {
	if !s.hedging {
		return
	}
	for _, c := range v.runs {
		if s.worthHedging(c, v) {
			c.hedge = hedgeQueued
			s.hedges = append(s.hedges, c)
		}
	}
}

func (s *Scheduler) worthHedging(c *call, v *server) bool {
	if !c.Idempotent || c.exclusive || c.hedge != hedgeNone || c.Service != "" {
		return false
	}
	k := c.pool.costs
	produced := c.runOn(v).produced()
	decodeSeconds := c.remainingTokens(produced) * k.secondsPerToken
	currentSeconds := decodeSeconds / v.speed.relative
	if produced == 0 {
		currentSeconds += float64(c.uncachedTokens(v)) * k.prefillPerToken / v.speed.relative
	}
	hedgeSeconds := decodeSeconds + float64(c.PromptTokens+produced)*k.prefillPerToken
	return currentSeconds > hedgeMinSpeedup*hedgeSeconds
}

// remainingTokens estimates how many output tokens the call still has to
// produce.
func (c *call) remainingTokens(produced int) float64 {
	n := max(c.pool.costs.meanOutputTokens-float64(produced), c.pool.costs.meanOutputTokens/4)
	if c.MaxTokens > 0 {
		n = min(n, float64(c.MaxTokens-produced))
	}
	return max(n, 1)
}

// nextHedge assigns the next queued hedge if the budget allows it and a
// suitable server is eligible. It discards hedges whose first run has ended,
// whose first server is no longer slow, or for which no server is suitable.
func (s *Scheduler) nextHedge(now time.Duration) (Assignment, bool) {
	for len(s.hedges) > 0 {
		c := s.hedges[0]
		if c.running != 1 || !c.runs[0].server.speed.slow {
			s.popHedge(c)
			continue
		}
		if len(c.pool.eligible) == 0 || !s.hedgeBudget.refill(now) {
			return Assignment{}, false
		}
		o := s.router.choose(s, c)
		if o.server == nil {
			s.popHedge(c) // the next check queues it again
			continue
		}
		if o.server.speed.slow {
			return Assignment{}, false
		}
		s.popHedge(c)
		c.hedge = hedgeSent
		s.hedgeBudget.take()
		return s.startRun(now, c, choice{server: o.server, reason: "slow-server"}), true
	}
	return Assignment{}, false
}

func (s *Scheduler) popHedge(c *call) {
	c.hedge = hedgeNone
	s.hedges[0] = nil
	s.hedges = s.hedges[1:]
	if len(s.hedges) == 0 {
		s.hedges = s.hedgeBuffer[:0]
	}
}
