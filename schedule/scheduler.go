package schedule

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// maxWakeInterval is the longest interval between two calls of Next.
const maxWakeInterval = time.Second

// Scheduler holds the queues, the in-flight counts and the estimates of one
// entry host. The driver queues calls with Enqueue, sends those that Next
// returns and reports their progress with FirstToken, Tokens and Finished.
//
// A Scheduler is not safe for concurrent use.
type Scheduler struct {
	random *rand.Rand
	now    time.Duration
	hosts  int // live entry hosts, including this one

	servers        map[string]*server
	serverOrder    []*server               // in order of addition, since map order is random
	removedServers map[serverKey]*server   // those that still have runs
	monitored      []*server               // checked periodically
	doubted        []*server               // in doubt, see Evidence
	evidenceAt     time.Duration           // time of the last evidence
	queues         map[string]ServiceQueue // of all hosts, by model or service
	queuesAt       time.Duration
	sharedSpeeds   map[string]int // percent, by server; see Speeds
	fastest        float64        // highest of the speeds
	slots          int            // sum over the servers that run models and are not leaving
	pools          map[poolKey]*pool
	poolOrder      []*pool // in order of addition
	waiting        []*pool // pools with waiting calls
	exclusivePools []*pool // pools with queued suspects or reserved servers

	calls     map[CallID]*call
	freeCalls []*call
	serial    uint64 // of the last call
	queued    int    // calls without a run
	running   int    // runs, including hedges
	expiries  indexedHeap
	refused   []Refused

	sharing
	programs           map[string]*program
	programsByActivity programList // in order of last activity
	activeFraction     float64     // smoothed fraction of the programs that run a call
	teams              map[string]*team
	teamOrder          []*team // in order of addition
	retryBudget        tokenBucket
	suspects           map[uint64]*suspect

	hedges        []*call // calls with a queued hedge
	hedgeBuffer   []*call // backing array of hedges, reused once all hedges are removed
	hedgeBudget   tokenBucket
	nextCheck     time.Duration
	cacheReleases []CacheRelease

	policies
}

// call is the state of a call from Enqueue to the end of its last run.
type call struct {
	Request
	pool        *pool
	team        *teamQueue
	program     *program
	lastServer  *server // server of the program's previous call, or nil
	rank        time.Duration
	serial      uint64        // in order of arrival
	queueIndex  int           // index in the queue of its team, or -1
	expires     time.Duration // time of the next expiry check
	expiryIndex int           // index in Scheduler.expiries, or -1
	exclusive   bool          // suspect that must run alone
	hedge       hedgeState
	runs        [2]run  // only runs[:running] is in use
	running     int     // number of runs in progress
	charged     float64 // to the team for the runs in progress, in seconds of a slot
}

type hedgeState uint8

const (
	hedgeNone hedgeState = iota
	hedgeQueued
	hedgeSent
)

// New returns a Scheduler without servers. Source is its only source of
// randomness.
func New(source rand.Source, opts ...Option) *Scheduler {
	s := &Scheduler{
		random:         rand.New(source),
		hosts:          1,
		servers:        map[string]*server{},
		removedServers: map[serverKey]*server{},
		pools:          map[poolKey]*pool{},
		calls:          map[CallID]*call{},
		programs:       map[string]*program{},
		activeFraction: 1,
		teams:          map[string]*team{},
		suspects:       map[uint64]*suspect{},
		retryBudget:    newTokenBucket(hostRetryRatio, hostRetryRate, hostRetryBurst),
		hedgeBudget:    newTokenBucket(hedgeRatio, 0, hedgeBurst),
		policies:       defaultPolicies(),
	}
	s.hedgeBuffer = make([]*call, 0, 2*hedgeBurst)
	s.hedges = s.hedgeBuffer
	s.expiries.less = func(a, b *call) bool {
		return a.expires < b.expires || (a.expires == b.expires && a.serial < b.serial)
	}
	s.expiries.setIndex = func(c *call, i int) { c.expiryIndex = i }
	for _, o := range opts {
		o(s)
	}
	return s
}

// advance sets the current time. The clock never goes back: an earlier time is
// ignored.
func (s *Scheduler) advance(now time.Duration) {
	if now <= s.now {
		return
	}
	s.updateActiveFraction(now - s.now)
	s.now = now
	s.expirePrograms()
}

// Enqueue queues a call. It does nothing if the call is already queued or
// running.
func (s *Scheduler) Enqueue(now time.Duration, r Request) {
	s.advance(now)
	if s.calls[r.ID] != nil {
		return
	}
	c := s.newCall()
	s.serial++
	*c = call{Request: r, serial: s.serial, queueIndex: -1, expiryIndex: -1}
	c.pool = s.poolFor(&c.Request)
	c.team = c.pool.queue.team(r.Team, s.team(r.Team).weight())
	c.team.shares = s.team(r.Team)
	c.program = s.activateProgram(r.ID.Program, s.team(r.Team))
	c.program.calls++
	c.lastServer = s.servers[r.LastServer]
	c.rank = s.ranking.rank(s.now, &c.Request)
	if s.shared {
		c.rank += c.objective()
	}
	s.calls[r.ID] = c
	s.queued++
	if r.ID.Attempt <= 1 {
		s.retryBudget.deposit()
		s.team(r.Team).retryBudget.deposit()
	}
	if s.divertSuspect(c) {
		return
	}
	c.pool.queue.push(c)
	s.updateWaiting(c.pool)
	if s.refuseIfHopeless(c) {
		return
	}
	s.scheduleExpiry(c)
	s.refuseMisplaced(c.pool)
}

func (s *Scheduler) newCall() *call {
	if n := len(s.freeCalls); n > 0 {
		c := s.freeCalls[n-1]
		s.freeCalls = s.freeCalls[:n-1]
		return c
	}
	return &call{}
}

// removeCall removes a call that has no runs and is in no queue, and adds it to
// the free list.
func (s *Scheduler) removeCall(c *call) {
	delete(s.calls, c.ID)
	c.program.calls--
	s.touch(c.program)
	s.removeIfUnused(c.pool)
	if c.pool.base != nil {
		s.removeIfUnused(c.pool.base)
	}
	if c.hedge == hedgeQueued {
		s.hedges = slices.DeleteFunc(s.hedges, func(o *call) bool { return o == c })
	}
	s.freeCalls = append(s.freeCalls, c)
}

// unqueue removes a call from all queues.
func (s *Scheduler) unqueue(c *call) {
	if c.queueIndex >= 0 {
		c.pool.queue.remove(c)
		s.updateWaiting(c.pool)
	}
	if c.exclusive {
		c.pool.exclusive = slices.DeleteFunc(c.pool.exclusive, func(o *call) bool { return o == c })
	}
	s.cancelExpiry(c)
}

// Cancel removes a call from the queue. It does nothing if the call is running:
// the driver cancels the runs and reports their end with Finished.
func (s *Scheduler) Cancel(now time.Duration, id CallID) {
	s.advance(now)
	c := s.calls[id]
	if c == nil || c.running > 0 {
		return
	}
	s.unqueue(c)
	s.queued--
	s.removeCall(c)
}

// updateWaiting updates the list of pools with waiting calls.
func (s *Scheduler) updateWaiting(p *pool) {
	switch {
	case p.queue.length > 0 && p.waitingIndex < 0:
		p.waitingIndex = len(s.waiting)
		s.waiting = append(s.waiting, p)
	case p.queue.length == 0 && p.waitingIndex >= 0:
		last := len(s.waiting) - 1
		s.waiting[p.waitingIndex] = s.waiting[last]
		s.waiting[p.waitingIndex].waitingIndex = p.waitingIndex
		s.waiting = s.waiting[:last]
		p.waitingIndex = -1
	}
}

// Next returns the next call to send. After every event, and at the time that
// Wake returned, the driver calls it until it returns false.
func (s *Scheduler) Next(now time.Duration) (Assignment, bool) {
	s.advance(now)
	s.checkServers(s.now)
	if a, ok := s.nextExclusive(s.now); ok {
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
		var o choice
		if v := s.trial(c); v != nil {
			o = choice{server: v, reason: "trial"}
		} else {
			o = s.router.choose(s, c)
		}
		s.unqueue(c)
		if s.divertSuspect(c) {
			continue
		}
		return s.startRun(s.now, c, o), true
	}
}

// nextPool returns the pool with the lowest-ranked next call among the pools
// with an eligible server, or nil.
func (s *Scheduler) nextPool() *pool {
	var best *pool
	var head *call
	before := byRank
	if s.shared {
		before = byShare
	}
	for _, p := range s.waiting {
		if len(p.eligible) == 0 {
			continue
		}
		if c := p.queue.next().calls.head(); head == nil || before(c, head) {
			best, head = p, c
		}
	}
	return best
}

// Wake returns the time by which the driver must call Next and Refused again,
// even if no event occurs.
func (s *Scheduler) Wake(now time.Duration) time.Duration {
	at := now + maxWakeInterval
	if len(s.monitored) > 0 || len(s.hedges) > 0 {
		at = min(at, s.nextCheck)
	}
	if c := s.expiries.head(); c != nil {
		at = min(at, c.expires)
	}
	return max(at, now)
}

// Snapshot returns the current state for status pages.
func (s *Scheduler) Snapshot() Snapshot {
	n := Snapshot{Queued: map[Class]int{}, Programs: len(s.programs)}
	for _, c := range s.calls {
		if c.running == 0 {
			n.Queued[c.Class]++
		}
	}
	for _, v := range s.serverOrder {
		n.Servers = append(n.Servers, ServerStatus{
			ID: v.ID, InFlight: v.inFlight, Speed: v.relativeSpeed(), Leaving: v.Leaving,
		})
	}
	slices.SortFunc(n.Servers, func(a, b ServerStatus) int { return cmp.Compare(a.ID, b.ID) })
	return n
}
