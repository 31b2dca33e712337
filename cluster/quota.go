package cluster

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// leaseDuration is how long a leader may grant permits for workspaces after the
	// start of a confirmed read. It is shorter than electionTimeout, so that the next
	// leader, unless it was forced, is elected only after it.
	leaseDuration = 350 * time.Millisecond
	// peakInterval and peakCount are the interval and the number of the highest
	// levels that a bucket keeps. Refunds of earlier permits are void. Calls wait for
	// a server for up to a few seconds.
	peakInterval = 500 * time.Millisecond
	peakCount    = 16
	// exceededMemory limits the effect of requests beyond a limit: after they have
	// ended, the demand counts as within the limit when the requests of this time
	// would have been.
	exceededMemory = 2 * time.Second
	// maxQuotaWait is the time over which refused requests are spread, unless the
	// first permit takes longer.
	maxQuotaWait = 10 * time.Second
	// tokenTolerance makes up for rounding.
	tokenTolerance = 1e-9
)

// QuotaLimit is the quota of a workspace. A PerSecond of 0 means none.
type QuotaLimit struct {
	PerSecond float64 `json:"rate,omitempty"` // requests per second
	Burst     float64 `json:"burst,omitempty"`
}

// QuotaBound states by how much the requests of a workspace may exceed its quota
// over all hosts: in each window, at most (rate x Window + burst) x (1 + Overage) +
// Slack requests may be sent by callers and reach servers that run them.
type QuotaBound struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// requests returns the highest number of requests in a window.
func (q QuotaBound) requests(l QuotaLimit) float64 {
	return (l.PerSecond*q.Window.Seconds()+l.Burst)*(1+q.Overage) + q.Slack
}

// bucket returns the rate and the capacity of the bucket that keeps to the bound:
// it grants at most capacity + rate x Window permits in a window. Both are at least
// those of the limit. The rate is as high as the burst allows, so that a workspace
// that sends more than its limit for long gets what the limit allows in each window,
// and not only its rate.
func (q QuotaBound) bucket(l QuotaLimit) (rate, capacity float64) {
	all := q.requests(l)
	capacity = max(1, l.Burst, all-(l.PerSecond*q.Window.Seconds()+l.Burst))
	rate = l.PerSecond
	if q.Window > 0 {
		rate = (all - capacity) / q.Window.Seconds()
	}
	return max(rate, 0), capacity
}

// quotaBucket counts the permits of a workspace. Its levels are at most the
// capacity, and between two times they fall by the permits granted, without those
// refunded later, and rise by at most the rate.
type quotaBucket struct {
	limit          QuotaLimit
	table          int64 // version of the table that has the limit
	rate, capacity float64
	credit
	// peaks are at least the highest levels in the last intervals of peakInterval.
	peaks  [peakCount]float64
	demand credit // of a bucket of the same rate and capacity that serves every request
	begin  beginnings
	// nextContinuation and nextBeginning are the times that are not yet assigned to
	// refused requests.
	nextContinuation, nextBeginning time.Duration
}

// peakSlot returns the number of an interval of peakInterval.
func peakSlot(at time.Duration) int64 { return int64(at / peakInterval) }

// advance fills the bucket up to now.
func (b *quotaBucket) advance(now time.Duration) {
	from := peakSlot(b.updatedAt)
	b.fill(now, b.rate, b.capacity)
	for n := max(from, peakSlot(b.updatedAt)-peakCount+1); n <= peakSlot(b.updatedAt); n++ {
		if n > from {
			b.peaks[n%peakCount] = math.Inf(-1)
		}
		b.peaks[n%peakCount] = max(b.peaks[n%peakCount], b.tokens)
	}
	b.demand.fill(now, b.rate, b.capacity)
	b.begin.advance(now)
}

// setLimit changes the limit.
func (b *quotaBucket) setLimit(q QuotaBound, l QuotaLimit, table int64) {
	b.table = table
	if b.limit == l {
		return
	}
	b.limit = l
	b.rate, b.capacity = q.bucket(l)
	b.tokens = min(b.tokens, b.capacity)
	b.demand.tokens = min(b.demand.tokens, b.capacity)
}

// refund undoes the grant of permits at a time of this bucket's clock.
func (b *quotaBucket) refund(at time.Duration, count int) {
	now := peakSlot(b.updatedAt)
	if count <= 0 || at < 0 || at > b.updatedAt || peakSlot(at) <= now-peakCount {
		return
	}
	b.demand.tokens = min(b.demand.tokens+float64(count), b.capacity)
	highest := b.tokens
	for n := peakSlot(at); n <= now; n++ {
		highest = max(highest, b.peaks[n%peakCount])
	}
	tokens := min(float64(count), b.capacity-highest)
	if tokens <= 0 {
		return
	}
	b.tokens += tokens
	for n := peakSlot(at); n <= now; n++ {
		b.peaks[n%peakCount] += tokens
	}
}

// grant decides on a request for permits. The bucket must be filled up to now.
func (b *quotaBucket) grant(now time.Duration, r *workspaceRequest, random *rand.Rand) workspaceGrant {
	b.demand.tokens -= float64(max(0, r.Continuations+r.Beginnings-r.Repeated))
	b.demand.tokens = max(b.demand.tokens, -max(1, b.rate*exceededMemory.Seconds()))
	g := workspaceGrant{Exceeded: b.demand.tokens < -tokenTolerance}
	for g.Continuations < r.Continuations && b.take() {
		g.Continuations++
		b.begin.continued++
	}
	missing := b.begin.missing(b.tokens, b.capacity, b.rate, g.Exceeded)
	for g.Beginnings < r.Beginnings && missing <= tokenTolerance && b.take() {
		g.Beginnings++
		b.begin.recent++
		missing = b.begin.missing(b.tokens, b.capacity, b.rate, g.Exceeded)
	}
	if n := r.Continuations - g.Continuations; n > 0 {
		g.Wait, g.Spread = assignRetries(now, &b.nextContinuation, 1-b.tokens, b.rate, n, random)
		g.QuotaLimit = b.limit
	}
	if n := r.Beginnings - g.Beginnings; n > 0 {
		rate := b.begin.rate(b.rate)
		g.BeginWait, g.BeginSpread = assignRetries(now, &b.nextBeginning, missing*rate/b.rate, rate, n, random)
		g.QuotaLimit = b.limit
	}
	return g
}

// take takes a token if there is one.
func (b *quotaBucket) take() bool {
	if b.tokens < 1-tokenTolerance {
		return false
	}
	b.tokens--
	return true
}

// assignRetries returns the time after which the first of n refused requests may
// get a permit, and the time over which the others follow. next is the time that
// earlier requests have been told to return at.
func assignRetries(now time.Duration, next *time.Duration, missing, rate float64, n int, random *rand.Rand) (wait, spread time.Duration) {
	if rate <= 0 {
		return maxQuotaWait, maxQuotaWait
	}
	first := max(minPermitWait, seconds(missing/rate))
	limit := max(first, maxQuotaWait)
	*next = max(*next, now+first)
	wait, spread = *next-now, seconds(float64(n)/rate)
	*next += spread
	if wait+spread > limit {
		// More requests wait than could be served by then: some of them won't return.
		*next = now + limit
		wait = first + time.Duration(random.Float64()*float64(limit-first))
		spread = limit - wait
	}
	return wait, spread
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// quotas grants permits for workspaces in one term of the leader of the control
// hosts' log. It is not safe for concurrent use.
type quotas struct {
	bound QuotaBound
	term  uint64
	// since is the start of the term. Permits of the term before may have been granted
	// until leaseDuration later.
	since   time.Duration
	random  *rand.Rand
	table   int64 // version of limits
	limits  map[string]QuotaLimit
	buckets map[string]*quotaBucket
}

func newQuotas(q QuotaBound, term uint64, since time.Duration, source rand.Source) *quotas {
	return &quotas{bound: q, term: term, since: since, random: rand.New(source), buckets: map[string]*quotaBucket{}}
}

// limit returns the limit of the newest table that the host of a request or this
// leader has.
func (q *quotas) limit(r *workspaceRequest) (QuotaLimit, int64) {
	if l, ok := q.limits[r.Workspace]; ok && q.table >= r.Table {
		return l, q.table
	}
	return r.QuotaLimit, r.Table
}

// bucket returns the bucket of a workspace, filled up to now, or nil if it has no
// limit.
func (q *quotas) bucket(now time.Duration, r *workspaceRequest) *quotaBucket {
	l, table := q.limit(r)
	b := q.buckets[r.Workspace]
	switch {
	case b == nil && l.PerSecond <= 0:
		return nil
	case b == nil:
		b = &quotaBucket{credit: credit{updatedAt: now}, begin: beginnings{updatedAt: now}}
		b.setLimit(q.bound, l, table)
		b.demand = credit{b.capacity, now}
		b.tokens = b.rate * (now - q.since - leaseDuration).Seconds()
		b.tokens = min(b.capacity, b.tokens)
		b.peaks[peakSlot(now)%peakCount] = b.tokens
		q.buckets[r.Workspace] = b
	default:
		b.advance(now)
		if table >= b.table {
			b.setLimit(q.bound, l, table)
		}
	}
	if b.limit.PerSecond <= 0 {
		return nil
	}
	return b
}

// grant handles the refunds in a request and decides on it.
func (q *quotas) grant(now time.Duration, r *workspaceRequest) workspaceGrant {
	b := q.bucket(now, r)
	if b == nil {
		return workspaceGrant{Continuations: r.Continuations, Beginnings: r.Beginnings}
	}
	for _, f := range r.Refunds {
		if f.Term == q.term {
			b.refund(f.At, f.Count)
		}
	}
	return b.grant(now, r, q.random)
}

// expire removes the buckets that are full: a new one would be so too. The
// continuations per beginning of the workspace are forgotten.
func (q *quotas) expire(now time.Duration) {
	maps.DeleteFunc(q.buckets, func(_ string, b *quotaBucket) bool {
		return now-b.updatedAt > limitTTL && b.limit.PerSecond <= 0 || now-b.updatedAt > limitTTL && b.tokens+b.rate*(now-b.updatedAt).Seconds() >= b.capacity &&
			b.rate*(now-q.since-leaseDuration).Seconds() >= b.capacity
	})
}

// leadershipLease is the time until which a leader may grant permits, by a clock
// that counts the suspension of the machine.
type leadershipLease struct {
	term  uint64
	until time.Duration
}

// confirm extends the lease after a read that began at a time and has been
// confirmed by a quorum in the term.
func (l *leadershipLease) confirm(startedAt time.Duration, term uint64) {
	if term > l.term {
		*l = leadershipLease{term: term}
	}
	if term == l.term {
		l.until = max(l.until, startedAt+leaseDuration)
	}
}

// valid reports whether permits may be granted in a term.
func (l *leadershipLease) valid(now time.Duration, term uint64) bool {
	return term != 0 && term == l.term && now < l.until
}
