package schedule

import "time"

// run is the state of one run of a call on a server.
type run struct {
	server        *server
	index         int // index in server.runs
	started       time.Duration
	lastToken     time.Duration // time of the last token
	firstToken    time.Duration // time of the first token
	tokens        int           // tokens produced by this run
	resumedTokens int           // tokens produced before this run
}

func (r *run) produced() int { return r.resumedTokens + r.tokens }

// runOn returns the run of the call on a server or on an earlier incarnation of
// it, or nil. There is at most one, since the driver identifies runs by the ID of
// the server.
func (c *call) runOn(v *server) *run {
	for i := range c.runs[:c.running] {
		if c.runs[i].server.ID == v.ID {
			return &c.runs[i]
		}
	}
	return nil
}

// startRun records a run of a call on a server, and returns its Assignment.
func (s *Scheduler) startRun(now time.Duration, c *call, o choice) Assignment {
	v := o.server
	a := Assignment{
		ID: c.ID, Server: v.ID, Priority: s.priority(c),
		Reason: o.reason, Alternatives: len(c.pool.eligible), Hedge: c.running > 0, Trial: v.inDoubt,
	}
	r := run{server: v, index: len(v.runs), started: now, lastToken: now}
	if c.running > 0 {
		r.resumedTokens = c.runs[0].produced()
		a.ResumeFrom = r.resumedTokens
	} else {
		s.queued--
		s.hedgeBudget.deposit()
	}
	c.runs[c.running] = r
	c.running++
	s.running++
	c.pool.queue.started(c)
	s.chargeStart(c)
	if s.shared {
		a.Level = s.level(c)
	}
	v.runs = append(v.runs, c)
	v.connections.take(now)
	v.addInFlight(now, 1)
	v.speed.nextProbe = now + probeInterval
	s.updateEligibility(v)
	s.updateMonitored(v)
	return a
}

// priority returns the engine priority of a call. It is the rank without the
// arrival time, since the engine receives the calls of all hosts in order of
// arrival.
func (s *Scheduler) priority(c *call) int {
	return int(s.ranking.rank(0, &c.Request) / time.Millisecond)
}

// FirstToken reports the first token of a run.
func (s *Scheduler) FirstToken(now time.Duration, id CallID, server string) {
	s.advance(now)
	_, r := s.findRun(id, server)
	if r == nil || r.tokens > 0 {
		return
	}
	r.firstToken, r.lastToken, r.tokens = now, now, 1
}

// Tokens reports n more tokens of a run.
func (s *Scheduler) Tokens(now time.Duration, id CallID, server string, n int) {
	s.advance(now)
	c, r := s.findRun(id, server)
	if r == nil || n <= 0 {
		return
	}
	elapsed := (now - r.lastToken).Seconds()
	r.lastToken = now
	r.tokens += n
	if elapsed > 0 {
		r.server.timing.observe(now, elapsed/float64(n))
	}
	if !s.detectSlow || elapsed <= 0 {
		return
	}
	k := c.pool.costs
	k.observeToken(elapsed / float64(n))
	v := r.server
	wasLimited, wasSlow := v.speed.limited(), v.speed.slow
	v.speed.observe(now, elapsed/float64(n), elapsed, k.secondsPerToken)
	if v.speed.slow && !wasSlow {
		s.recalibratePool(now, c.pool)
	}
	if v.speed.limited() != wasLimited {
		s.updateEligibility(v)
		s.updateMonitored(v)
	}
}

func (s *Scheduler) findRun(id CallID, server string) (*call, *run) {
	c := s.calls[id]
	if c == nil {
		return nil, nil
	}
	for i := range c.runs[:c.running] {
		if c.runs[i].server.ID == server {
			return c, &c.runs[i]
		}
	}
	return c, nil
}

// Finished reports the end of a run. The driver must call it exactly once for
// each Assignment.
func (s *Scheduler) Finished(now time.Duration, id CallID, server string, u Usage, o Outcome) {
	s.advance(now)
	c, r := s.findRun(id, server)
	if r == nil {
		return
	}
	s.recordOutcome(now, c, r, u, o)
	s.chargeEnd(c, u, o)
	s.endRun(now, c, r)
	if c.running == 0 {
		s.removeCall(c)
	}
}

// recordOutcome updates the cost, speed and cache estimates and the suspects
// after a run.
func (s *Scheduler) recordOutcome(now time.Duration, c *call, r *run, u Usage, o Outcome) {
	switch o {
	case Succeeded:
		if c.Service != "" {
			r.server.timing.observe(now, (now - r.started).Seconds())
		}
		c.pool.costs.observeRun(u.OutputTokens, now-r.started)
		if r.tokens > 0 && r.resumedTokens == 0 && !r.server.speed.slow {
			c.pool.costs.observePrefill(u.PromptTokens-u.CachedTokens, r.firstToken-r.started)
		}
		s.clearSuspect(c)
		r.server.speed.consecutiveFailures = 0
		r.server.connections.put(now)
		c.pool.markRecent(r.server)
	case Unreachable:
		r.server.speed.recordFailure(now)
	case Crashed:
		r.server.speed.recordFailure(now)
		s.recordCrash(now, c)
		r.server.cache = cacheEstimate{limit: r.server.cache.limit}
	}
	if c.Service == "" && (o == Succeeded || r.tokens > 0) {
		s.recordCached(r.server, c.ID.Program, c.PromptTokens+r.produced())
	}
}

// endRun removes a run from its call and its server.
func (s *Scheduler) endRun(now time.Duration, c *call, r *run) {
	v := r.server
	last := len(v.runs) - 1
	moved := v.runs[last]
	v.runs[r.index] = moved
	moved.runOn(v).index = r.index
	v.runs[last] = nil
	v.runs = v.runs[:last]
	v.addInFlight(now, -1)
	c.pool.queue.ended(c)
	s.running--
	c.running--
	if r == &c.runs[0] {
		c.runs[0] = c.runs[1]
	}
	if v.removed && len(v.runs) == 0 {
		delete(s.removedServers, v.key())
	}
	s.updateEligibility(v)
	s.updateMonitored(v)
}
