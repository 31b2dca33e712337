package cluster

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// maxEndedAge is how long hosts report that a response named no limit any
	// more.
	maxEndedAge = 5 * time.Second
	// limitTTL is how long a limit applies after the last response that named
	// it, and how long a bucket is kept after the last request for a permit.
	limitTTL = 2 * time.Minute
	// permitInterval is the time over which the hosts that wait for a permit are
	// counted. It is also the longest wait.
	permitInterval = 3 * time.Second
	// minPermitWait keeps a wait from being rounded to 0, which is a permit.
	minPermitWait = time.Millisecond
	// permitBurst is the time over which unused permits are kept.
	permitBurst = time.Second
	// minLimit is the rate at which a server that takes no requests is asked
	// whether it still does, in requests per second.
	minLimit = 0.2
)

// ServerLimit is the number of requests per second that a backend server takes
// from all hosts together, as named in a response. A PerSecond of 0 means that
// the response named none.
type ServerLimit struct {
	Server    string  `json:"server"`
	StartedAt int64   `json:"born"` // incarnation of the server
	PerSecond float64 `json:"per-second,omitempty"`
	// Age is the time since the response.
	Age time.Duration `json:"age"`
}

// observedLimit is a limit, with the local time of the response that named it.
type observedLimit struct {
	startedAt  int64
	perSecond  float64
	observedAt time.Duration
}

// Limits holds the limits of backend servers, as observed by any host. It is
// not safe for concurrent use.
type Limits struct {
	byServer map[string]observedLimit
}

// NewLimits returns an empty set of limits.
func NewLimits() *Limits { return &Limits{byServer: map[string]observedLimit{}} }

// Observe records what a response said about the limit of a server, unless a
// later response or a later incarnation is known.
func (l *Limits) Observe(now time.Duration, o ServerLimit) {
	n := observedLimit{o.StartedAt, o.PerSecond, now - o.Age}
	old, ok := l.byServer[o.Server]
	if !ok && o.PerSecond <= 0 {
		return
	}
	if ok && (n.startedAt < old.startedAt || n.startedAt == old.startedAt && n.observedAt <= old.observedAt) {
		return
	}
	l.byServer[o.Server] = n
}

// Get returns the limit of an incarnation of a server. Its PerSecond is 0 if
// there is none.
func (l *Limits) Get(now time.Duration, server string, startedAt int64) ServerLimit {
	out := ServerLimit{Server: server, StartedAt: startedAt}
	if o, ok := l.byServer[server]; ok && o.startedAt == startedAt {
		out.PerSecond, out.Age = o.perSecond, now-o.observedAt
	}
	return out
}

// Report returns the limits, and those that have ended recently.
func (l *Limits) Report(now time.Duration) []ServerLimit {
	var out []ServerLimit
	for id, o := range l.byServer {
		if o.perSecond > 0 || now-o.observedAt <= maxEndedAge {
			out = append(out, ServerLimit{Server: id, StartedAt: o.startedAt, PerSecond: o.perSecond, Age: now - o.observedAt})
		}
	}
	return out
}

// Expire removes the limits whose last response is older than limitTTL.
func (l *Limits) Expire(now time.Duration) {
	maps.DeleteFunc(l.byServer, func(_ string, o observedLimit) bool { return now-o.observedAt > limitTTL })
}

// credit is the level of a token bucket.
type credit struct {
	tokens    float64
	updatedAt time.Duration
}

// fill adds the tokens of the time since the last call.
func (c *credit) fill(now time.Duration, rate, capacity float64) {
	if now > c.updatedAt {
		c.tokens += rate * (now - c.updatedAt).Seconds()
		c.updatedAt = now
	}
	c.tokens = min(c.tokens, capacity)
}

// permits hands out permits to send one request to a limited server. All
// permits come from the leader of the control hosts' log, so that the hosts
// together keep to the limit. It is not safe for concurrent use.
type permits struct {
	random  *rand.Rand
	buckets map[string]*permitBucket // by server
}

// permitBucket is a token bucket for one incarnation of a server. It starts
// empty, since an earlier leader may have handed out permits just before.
type permitBucket struct {
	startedAt int64
	credit
	waiting map[string]time.Duration // time of the last refusal, by host
}

func newPermits(source rand.Source) *permits {
	return &permits{random: rand.New(source), buckets: map[string]*permitBucket{}}
}

// request returns 0 if the host may send a request now, or else the time after
// which it should ask again.
func (p *permits) request(now time.Duration, host, server string, startedAt int64, perSecond float64) time.Duration {
	rate := max(perSecond, minLimit)
	b := p.buckets[server]
	if b == nil || b.startedAt != startedAt {
		b = &permitBucket{startedAt: startedAt, credit: credit{updatedAt: now}, waiting: map[string]time.Duration{}}
		p.buckets[server] = b
	}
	b.fill(now, rate, max(1, rate*permitBurst.Seconds()))
	maps.DeleteFunc(b.waiting, func(_ string, at time.Duration) bool { return now-at > permitInterval })
	if b.tokens >= 1 {
		b.tokens--
		delete(b.waiting, host)
		return 0
	}
	b.waiting[host] = now
	// The hosts that wait share the permits; their requests are spread over the
	// time in which all of them could get one.
	seconds := (1-b.tokens)/rate + float64(len(b.waiting)-1)*p.random.Float64()/rate
	return min(permitInterval, max(minPermitWait, time.Duration(seconds*float64(time.Second))))
}

// expire removes the buckets of servers that nobody has asked for recently.
func (p *permits) expire(now time.Duration) {
	maps.DeleteFunc(p.buckets, func(_ string, b *permitBucket) bool { return now-b.updatedAt > limitTTL })
}
