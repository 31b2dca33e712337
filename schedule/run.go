package schedule

import "time"

// run is one run of a call on a server.
type run struct {
	server   *server
	position int // in server.runs
	started  time.Duration
	lastToken     time.Duration // of the last token
	firstToken    time.Duration // of the first token
	tokens   int
	resumedTokens  int // tokens produced before this run
}

func (r *run) produced() int { return r.resumedTokens + r.tokens }

func (c *call) runOn(v *server) *run {
	for i := range c.runs[:c.running] {
		if c.runs[i].server == v {
			return &c.runs[i]
		}
	}
	return nil
}

// startRun records a run of a call on a server.
func (s *Scheduler) startRun(now time.Duration, c *call, o choice) Assignment {
	v := o.server
	a := Assignment{
		ID: c.ID, Server: v.ID, Priority: s.priority(c),
		Reason: o.reason, Alternatives: len(c.pool.eligible), Hedge: c.running > 0,
	}
	r := run{server: v, position: len(v.runs), started: now, lastToken: now}
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
	v.runs = append(v.runs, c)
	v.addInFlight(now, 1)
	v.speed.nextProbe = now + probeInterval
	s.updateEligibility(v)
	s.updateMonitored(v)
	return a
}

// priority tells the engine the same order as the queue, without the time of
// arrival: the engine sees the calls of several hosts in order of arrival.
func (s *Scheduler) priority(c *call) int {
	return int(s.ranking.rank(0, &c.Request) / time.Millisecond)
}

// FirstToken reports the first token of the run of a call on a server.
func (s *Scheduler) FirstToken(now time.Duration, id CallID, server string) {
	s.advance(now)
	_, r := s.findRun(id, server)
	if r == nil || r.tokens > 0 {
		return
	}
	r.firstToken, r.lastToken, r.tokens = now, now, 1
}

// Tokens reports n further tokens of the run of a call on a server.
func (s *Scheduler) Tokens(now time.Duration, id CallID, server string, n int) {
	s.advance(now)
	c, r := s.findRun(id, server)
	if r == nil || n <= 0 {
		return
	}
	during := (now - r.lastToken).Seconds()
	r.lastToken = now
	r.tokens += n
	if !s.detectSlow || during <= 0 {
		return
	}
	k := &c.pool.costs
	k.observeToken(during / float64(n))
	v := r.server
	held, slow := v.speed.limited(), v.speed.slow
	v.speed.observe(now, during/float64(n), during, k.secondsPerToken)
	if v.speed.slow && !slow {
		s.recalibratePool(now, c.pool)
	}
	if v.speed.limited() != held {
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

// Finished reports the end of the run of a call on a server. It must be
// called exactly once for each Assignment.
func (s *Scheduler) Finished(now time.Duration, id CallID, server string, u Usage, e Outcome) {
	s.advance(now)
	c, r := s.findRun(id, server)
	if r == nil {
		return
	}
	s.recordOutcome(now, c, r, u, e)
	s.endRun(now, c, r)
	if c.running == 0 {
		s.removeCall(c)
	}
}

// recordOutcome updates estimates, beliefs and suspects from the end of a run.
func (s *Scheduler) recordOutcome(now time.Duration, c *call, r *run, u Usage, e Outcome) {
	switch e {
	case Succeeded:
		c.pool.costs.observeRun(u.OutputTokens, now-r.started)
		if r.tokens > 0 && r.resumedTokens == 0 && !r.server.speed.slow {
			c.pool.costs.observePrefill(u.PromptTokens-u.CachedTokens, r.firstToken-r.started)
		}
		s.clearSuspect(c)
		r.server.speed.consecutiveFailures = 0
	case Unreachable:
		r.server.speed.recordFailure(now)
	case Crashed:
		r.server.speed.recordFailure(now)
		s.recordCrash(now, c)
		r.server.cache = cacheEstimate{limit: r.server.cache.limit}
	}
	if c.Service == "" && (e == Succeeded || r.tokens > 0) {
		s.recordCached(r.server, c.ID.Program, c.PromptTokens+r.produced())
	}
}

// endRun takes a run off its server.
func (s *Scheduler) endRun(now time.Duration, c *call, r *run) {
	v := r.server
	last := len(v.runs) - 1
	moved := v.runs[last]
	v.runs[r.position] = moved
	moved.runOn(v).position = r.position
	v.runs[last] = nil
	v.runs = v.runs[:last]
	v.addInFlight(now, -1)
	c.pool.queue.ended(c)
	s.running--
	c.running--
	if r == &c.runs[0] {
		c.runs[0] = c.runs[1]
	}
	s.updateEligibility(v)
	s.updateMonitored(v)
}
