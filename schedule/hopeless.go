package schedule

import (
	"slices"
	"time"

	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// queuesMaxAge is the age from which the queues of all hosts are not considered.
	queuesMaxAge = time.Second
	// minHopelessWait is the expected wait below which no call is refused. Queues
	// of less come and go, as when some servers are replaced.
	minHopelessWait = time.Second
	// minCompletions is the rate of completed calls below which the wait is not
	// known: servers may just have been lost, or not be known yet.
	minCompletions = 1.0
	// firstCallShare is the largest expected wait of the first call of a program, as
	// a share of the time until its deadline. Later calls would wait as long.
	firstCallShare = 0.4
	// minHopelessRetry and maxHopelessRetry limit the time after which a refused
	// caller is told to return.
	minHopelessRetry = 200 * time.Millisecond
	maxHopelessRetry = 4 * time.Second
)

// ServiceQueue is the queue of a service at all entry hosts together.
type ServiceQueue struct {
	Waiting   int     `json:"waiting"`    // calls that wait for a server, or to be sent again after a rejection
	PerSecond float64 `json:"per-second"` // calls that its servers complete
	// Levels are the numbers of calls by level if teams share the servers, waiting ones
	// and those that run.
	Levels []int `json:"levels,omitempty"`
}

// AddLevels adds the numbers of calls of a host by level.
func (q *ServiceQueue) AddLevels(counts []int) {
	for i, n := range counts[:min(len(counts), priorityLevels)] {
		for len(q.Levels) <= i {
			q.Levels = append(q.Levels, 0)
		}
		q.Levels[i] += n
	}
}

// wait returns the expected wait of a call that arrives now, behind the calls that
// wait at hosts and a number of others that wait at servers.
func (q ServiceQueue) wait(atServers int) time.Duration {
	return time.Duration(float64(q.Waiting+atServers) / q.PerSecond * float64(time.Second))
}

// SetQueues sets the queues of all entry hosts, by model or service. Those that are
// left out are empty.
func (s *Scheduler) SetQueues(now time.Duration, queues map[string]ServiceQueue) {
	s.advance(now)
	s.queues, s.queuesAt = queues, s.now
}

// Waiting returns the number of waiting calls of this host, by model or service.
func (s *Scheduler) Waiting() map[string]int {
	out := map[string]int{}
	for _, p := range s.waiting {
		out[p.key.name()] += p.queue.length
	}
	return out
}

// name returns the model or the service of the calls of a pool.
func (k poolKey) name() string {
	if k.service != "" {
		return k.service
	}
	return k.model
}

// refuseIfHopeless refuses a call that has just been queued if it can't expect a
// server in time, and reports whether it has.
//
// It answers a load above the capacity that lasts, or servers that all take fewer
// calls than they get: without it, calls wait until their deadlines, and those
// that still get a server are late. The first calls of programs are refused
// earlier, so that programs under way can end in time. Hosts know the queues and
// the completions of all hosts, since their own are few.
//
// With many hosts, the queue is at the servers: each host may have a few runs on
// any server, so that hardly a call waits at a host.
func (s *Scheduler) refuseIfHopeless(c *call) bool {
	if c.Deadline == 0 || c.pool.hasFreeSlot() || s.now-s.queuesAt > queuesMaxAge {
		return false
	}
	q := s.queues[c.pool.key.name()]
	if q.PerSecond < minCompletions {
		return false
	}
	expected := q.wait(c.pool.waitingAtServers())
	acceptable := c.Deadline - s.now
	if c.First {
		acceptable = time.Duration(firstCallShare * float64(acceptable))
	}
	acceptable = max(acceptable, minHopelessWait)
	if s.shared && len(q.Levels) > 0 {
		expected = s.sharedWait(c, q)
	}
	if expected <= acceptable {
		return false
	}
	if s.shared {
		s.refuse(c, string(verdict.Overloaded), s.sharedRetry(c.pool, q, expected-acceptable))
		return true
	}
	// The jitter spreads the return of the callers that are refused together.
	retryAfter := time.Duration(float64(expected-acceptable) * (1 + s.random.Float64()))
	s.refuse(c, string(verdict.Overloaded), min(maxHopelessRetry, max(minHopelessRetry, retryAfter)))
	return true
}

// hasFreeSlot reports whether a server may take a run of this host at once, as far
// as the runs of all hosts are known.
func (p *pool) hasFreeSlot() bool {
	return slices.ContainsFunc(p.eligible, func(v *server) bool { return v.surplus() < 0 })
}

// waitingAtServers returns the number of runs of all hosts that wait for a slot of
// their server.
func (p *pool) waitingAtServers() int {
	n := 0
	for _, v := range p.members {
		n += max(0, v.surplus())
	}
	return n
}

// surplus returns the number of runs of all hosts beyond what the slots of the server
// are worth, which is negative if slots are free.
func (v *server) surplus() int { return v.inFlight + v.remoteInFlight - v.worth() }
