package schedule

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// idleWake bounds the time between two calls of Next.
	idleWake = time.Second
	// serverPatience is the time for which a call waits for a first server
	// that can run it.
	serverPatience = 5 * time.Second
)

// Scheduler holds the queue, the in-flight counts and the estimates of one
// entry host. It is not safe for concurrent use.
type Scheduler struct {
	random *rand.Rand
	now    time.Duration
	hosts  int

	servers     map[string]*server
	serverOrder []*server
	busy        []*server
	slots       int // of all servers that run models
	pools       map[poolKey]*pool
	poolOrder   []*pool
	waiting     []*pool // pools with waiting calls
	soloPools   []*pool // pools with waiting suspects or reserved servers

	calls    map[CallID]*call
	spare    []*call
	serial   uint64
	queued   int
	running  int
	expiries indexedHeap
	refused  []Refused

	programs  map[string]*program
	presence  programList // in order of last activity
	active    float64     // fraction of programs that run a call
	teams     map[string]*team
	teamOrder []*team
	retries   budget
	suspects  map[uint64]*suspect

	hedges      []*call
	hedgeBuffer []*call
	hedgeBudget budget
	nextCheck   time.Duration
	cacheOrders []CacheOrder

	policies
}

// call is a call from Enqueue to the end of its last run.
type call struct {
	Request
	pool     *pool
	team     *teamQueue
	home     *program
	last     *server // that ran the program's previous call
	rank     time.Duration
	serial   uint64
	position int // in the queue of its team, or -1
	expires  time.Duration
	expiry   int // position in Scheduler.expiries, or -1
	solo     bool
	hedge    hedgeState
	runs     [2]run
	running  int
}

type hedgeState uint8

const (
	hedgeNone hedgeState = iota
	hedgeQueued
	hedgeSent
)

// run is one run of a call on a server.
type run struct {
	server   *server
	position int // in server.runs
	started  time.Duration
	last     time.Duration // of the last token
	first    time.Duration // of the first token
	tokens   int
	resumed  int // tokens produced before this run
}

func (r *run) produced() int { return r.resumed + r.tokens }

func (c *call) runOn(v *server) *run {
	for i := range c.runs[:c.running] {
		if c.runs[i].server == v {
			return &c.runs[i]
		}
	}
	return nil
}

// New returns a Scheduler without servers. All its randomness comes from
// source.
func New(source rand.Source, opts ...Option) *Scheduler {
	s := &Scheduler{
		random:      rand.New(source),
		hosts:       1,
		servers:     map[string]*server{},
		pools:       map[poolKey]*pool{},
		calls:       map[CallID]*call{},
		programs:    map[string]*program{},
		active:      1,
		teams:       map[string]*team{},
		suspects:    map[uint64]*suspect{},
		retries:     newBudget(globalRetryRatio, globalRetryRate, globalRetryBurst),
		hedgeBudget: newBudget(hedgeRatio, 0, hedgeBurst),
		policies:    defaultPolicies(),
	}
	s.hedgeBuffer = make([]*call, 0, 2*hedgeBurst)
	s.hedges = s.hedgeBuffer
	s.expiries.less = func(a, b *call) bool {
		return a.expires < b.expires || (a.expires == b.expires && a.serial < b.serial)
	}
	s.expiries.place = func(c *call, i int) { c.expiry = i }
	for _, o := range opts {
		o(s)
	}
	return s
}

// advance moves the clock of the scheduler. A time before the last one counts
// as the last one.
func (s *Scheduler) advance(now time.Duration) {
	if now <= s.now {
		return
	}
	s.observeActivity(now - s.now)
	s.now = now
	s.expirePrograms()
}

// Enqueue queues a call. A call that is already known is not queued again.
func (s *Scheduler) Enqueue(now time.Duration, r Request) {
	s.advance(now)
	if s.calls[r.ID] != nil {
		return
	}
	c := s.newCall()
	s.serial++
	*c = call{Request: r, serial: s.serial, position: -1, expiry: -1}
	c.pool = s.poolFor(&c.Request)
	c.team = c.pool.queue.team(r.Team, s.team(r.Team).weight())
	c.home = s.present(r.ID.Program, s.team(r.Team))
	c.home.calls++
	c.last = s.servers[r.LastServer]
	c.rank = s.order.Rank(s.now, &c.Request)
	s.calls[r.ID] = c
	s.queued++
	if r.ID.Attempt <= 1 {
		s.retries.deposit()
		s.team(r.Team).retries.deposit()
	}
	if s.divert(c) {
		return
	}
	c.pool.queue.push(c)
	s.listPool(c.pool)
	s.expire(c)
}

func (s *Scheduler) newCall() *call {
	if n := len(s.spare); n > 0 {
		c := s.spare[n-1]
		s.spare = s.spare[:n-1]
		return c
	}
	return &call{}
}

// forget ends the life of a call.
func (s *Scheduler) forget(c *call) {
	delete(s.calls, c.ID)
	c.home.calls--
	s.touch(c.home)
	if c.hedge == hedgeQueued {
		s.hedges = slices.DeleteFunc(s.hedges, func(o *call) bool { return o == c })
	}
	s.spare = append(s.spare, c)
}

// unqueue takes a call out of all queues.
func (s *Scheduler) unqueue(c *call) {
	if c.position >= 0 {
		c.pool.queue.remove(c)
		s.listPool(c.pool)
	}
	if c.solo {
		c.pool.solo = slices.DeleteFunc(c.pool.solo, func(o *call) bool { return o == c })
	}
	s.unexpire(c)
}

// Cancel removes a call from the queue. Runs in progress are ended by
// Finished.
func (s *Scheduler) Cancel(now time.Duration, id CallID) {
	s.advance(now)
	c := s.calls[id]
	if c == nil || c.running > 0 {
		return
	}
	s.unqueue(c)
	s.queued--
	s.forget(c)
}

// listPool keeps the list of pools with waiting calls.
func (s *Scheduler) listPool(p *pool) {
	switch {
	case p.queue.length > 0 && p.waiting < 0:
		p.waiting = len(s.waiting)
		s.waiting = append(s.waiting, p)
	case p.queue.length == 0 && p.waiting >= 0:
		last := len(s.waiting) - 1
		s.waiting[p.waiting] = s.waiting[last]
		s.waiting[p.waiting].waiting = p.waiting
		s.waiting = s.waiting[:last]
		p.waiting = -1
	}
}

// Next returns the next call to send. The driver calls it until it returns
// false, after every event and when Wake is due.
func (s *Scheduler) Next(now time.Duration) (Assignment, bool) {
	s.advance(now)
	s.check(s.now)
	if a, ok := s.nextSolo(s.now); ok {
		return a, true
	}
	if a, ok := s.nextHedge(s.now); ok {
		return a, true
	}
	for {
		p := s.nextPool()
		if p == nil {
			return Assignment{}, false
		}
		c := p.queue.next().calls.head()
		o := s.router.choose(s, c)
		s.unqueue(c)
		if s.divert(c) {
			continue
		}
		return s.start(s.now, c, o), true
	}
}

// nextPool returns the pool with an open server whose next call ranks first.
func (s *Scheduler) nextPool() *pool {
	var best *pool
	var head *call
	for _, p := range s.waiting {
		if len(p.open) == 0 {
			continue
		}
		if c := p.queue.next().calls.head(); head == nil || byRank(c, head) {
			best, head = p, c
		}
	}
	return best
}

// start records a run of a call on a server.
func (s *Scheduler) start(now time.Duration, c *call, o choice) Assignment {
	v := o.server
	a := Assignment{
		ID: c.ID, Server: v.ID, Priority: s.priority(c),
		Reason: o.reason, Alternatives: len(c.pool.open), Hedge: c.running > 0,
	}
	r := run{server: v, position: len(v.runs), started: now, last: now}
	if c.running > 0 {
		r.resumed = c.runs[0].produced()
		a.ResumeFrom = r.resumed
	} else {
		s.queued--
		s.hedgeBudget.deposit()
	}
	c.runs[c.running] = r
	c.running++
	s.running++
	c.pool.queue.started(c)
	v.runs = append(v.runs, c)
	v.count(now, 1)
	v.speed.nextProbe = now + probeInterval
	s.refresh(v)
	s.setBusy(v)
	return a
}

// priority tells the engine the same order as the queue, without the time of
// arrival: the engine sees the calls of several hosts in order of arrival.
func (s *Scheduler) priority(c *call) int {
	return int(s.order.Rank(0, &c.Request) / time.Millisecond)
}

// FirstToken reports the first token of the run of a call on a server.
func (s *Scheduler) FirstToken(now time.Duration, id CallID, server string) {
	s.advance(now)
	_, r := s.find(id, server)
	if r == nil || r.tokens > 0 {
		return
	}
	r.first, r.last, r.tokens = now, now, 1
}

// Tokens reports n further tokens of the run of a call on a server.
func (s *Scheduler) Tokens(now time.Duration, id CallID, server string, n int) {
	s.advance(now)
	c, r := s.find(id, server)
	if r == nil || n <= 0 {
		return
	}
	during := (now - r.last).Seconds()
	r.last = now
	r.tokens += n
	if !s.detect || during <= 0 {
		return
	}
	k := &c.pool.costs
	k.observeToken(during / float64(n))
	v := r.server
	held := v.speed.held()
	v.speed.observe(now, during/float64(n), during, k.token)
	if v.speed.held() != held {
		s.refresh(v)
		s.setBusy(v)
	}
}

func (s *Scheduler) find(id CallID, server string) (*call, *run) {
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
func (s *Scheduler) Finished(now time.Duration, id CallID, server string, u Usage, e End) {
	s.advance(now)
	c, r := s.find(id, server)
	if r == nil {
		return
	}
	s.learn(now, c, r, u, e)
	s.stop(now, c, r)
	if c.running == 0 {
		s.forget(c)
	}
}

// learn updates estimates, beliefs and suspects from the end of a run.
func (s *Scheduler) learn(now time.Duration, c *call, r *run, u Usage, e End) {
	switch e {
	case Succeeded:
		c.pool.costs.observeRun(u.OutputTokens, now-r.started)
		if r.tokens > 0 && r.resumed == 0 && !r.server.speed.slow {
			c.pool.costs.observePrefill(u.PromptTokens-u.CachedTokens, r.first-r.started)
		}
		s.cleared(c)
		r.server.speed.failures = 0
	case Unreachable:
		r.server.speed.failed(now)
	case Crashed:
		r.server.speed.failed(now)
		s.crashed(now, c)
		r.server.cache = cache{limit: r.server.cache.limit}
	}
	if c.Service == "" && (e == Succeeded || r.tokens > 0) {
		s.believe(r.server, c.ID.Program, c.PromptTokens+r.produced())
	}
}

// stop takes a run off its server.
func (s *Scheduler) stop(now time.Duration, c *call, r *run) {
	v := r.server
	last := len(v.runs) - 1
	moved := v.runs[last]
	v.runs[r.position] = moved
	moved.runOn(v).position = r.position
	v.runs[last] = nil
	v.runs = v.runs[:last]
	v.count(now, -1)
	c.pool.queue.ended(c)
	s.running--
	c.running--
	if r == &c.runs[0] {
		c.runs[0] = c.runs[1]
	}
	s.refresh(v)
	s.setBusy(v)
}

// expire sets the time at which a waiting call is looked at again.
func (s *Scheduler) expire(c *call) {
	s.unexpire(c)
	c.expires = s.now + serverPatience
	if c.Deadline > 0 && c.Deadline < c.expires {
		c.expires = c.Deadline
	}
	s.expiries.push(c)
}

func (s *Scheduler) unexpire(c *call) {
	if c.expiry >= 0 {
		s.expiries.remove(c.expiry)
	}
}

func (s *Scheduler) refuse(c *call, reason string, after time.Duration) {
	s.unqueue(c)
	s.refused = append(s.refused, Refused{ID: c.ID, Reason: reason, RetryAfter: after})
	s.queued--
	s.forget(c)
}

// Refused returns the queued calls that will not be run, each once.
func (s *Scheduler) Refused(now time.Duration) []Refused {
	s.advance(now)
	for c := s.expiries.head(); c != nil && c.expires <= s.now; c = s.expiries.head() {
		switch {
		case c.Deadline > 0 && c.Deadline <= s.now:
			s.refuse(c, "deadline-expired", 0)
		case len(c.pool.members) == 0:
			s.refuse(c, "no-server", serverPatience)
		default:
			s.expire(c)
		}
	}
	out := s.refused
	s.refused = nil
	return out
}

// Wake returns the time at which Next and Refused are to be called again at
// the latest.
func (s *Scheduler) Wake(now time.Duration) time.Duration {
	at := now + idleWake
	if len(s.busy) > 0 || len(s.hedges) > 0 {
		at = min(at, s.nextCheck)
	}
	if c := s.expiries.head(); c != nil {
		at = min(at, c.expires)
	}
	return max(at, now)
}

// Snapshot returns the state for status pages.
func (s *Scheduler) Snapshot() Snapshot {
	n := Snapshot{Queued: map[Class]int{}, Programs: len(s.programs)}
	for _, c := range s.calls {
		if c.running == 0 {
			n.Queued[c.Class]++
		}
	}
	for _, v := range s.serverOrder {
		n.Servers = append(n.Servers, ServerStatus{
			ID: v.ID, InFlight: v.inFlight, Speed: v.speed.relative, Leaving: v.Leaving,
		})
	}
	slices.SortFunc(n.Servers, func(a, b ServerStatus) int { return cmp.Compare(a.ID, b.ID) })
	return n
}
