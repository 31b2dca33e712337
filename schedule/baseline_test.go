package schedule

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// fifo ranks calls by arrival.
type fifo struct{}

func (fifo) rank(now time.Duration, _ *Request) time.Duration { return now }

// roundRobin sends each call to the next server.
type roundRobin struct{ next int }

func (r *roundRobin) choose(_ *Scheduler, c *call) choice {
	r.next++
	return choice{server: c.pool.members[r.next%len(c.pool.members)], reason: "round-robin"}
}

// leastOutstanding sends each call to the server with the fewest runs of this
// host.
type leastOutstanding struct{}

func (leastOutstanding) choose(s *Scheduler, c *call) choice {
	m := c.pool.members
	best := m[s.random.IntN(len(m))]
	for _, v := range m {
		if v.inFlight < best.inFlight {
			best = v
		}
	}
	return choice{server: best, reason: "least-outstanding"}
}

// prefixHash sends all calls of a program to the same server.
type prefixHash struct{}

func (prefixHash) choose(_ *Scheduler, c *call) choice {
	m := c.pool.members
	return choice{server: m[xxhash.Sum64String(c.ID.Program)%uint64(len(m))], reason: "prefix-hash"}
}

// baseline returns an Option that sends all calls at once, so that they queue in
// the engines in order of arrival.
func baseline(r func() router) Option {
	return func(s *Scheduler) {
		s.policies = policies{
			admitter: admitAll{}, ranking: fifo{}, router: r(), unlimited: true,
		}
	}
}

var baselines = []struct {
	name   string
	option Option
}{
	{"round-robin", baseline(func() router { return &roundRobin{} })},
	{"least-outstanding", baseline(func() router { return leastOutstanding{} })},
	{"prefix-hash", baseline(func() router { return prefixHash{} })},
}
