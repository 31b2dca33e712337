package schedule

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// idleWake bounds the time between two calls of Next when nothing is due.
const idleWake = time.Second

// Option configures a Scheduler.
type Option func(*Scheduler)

// Scheduler holds the queue, the in-flight counts and the estimates of one
// entry host. It is not safe for concurrent use.
type Scheduler struct {
	random   *rand.Rand
	servers  map[string]*server
	programs map[string]Program
	calls    map[CallID]*call
	queue    []*call
	refused  []Refused
	teams    map[string]TeamLimits
	hosts    int
}

type server struct {
	Server
	inFlight int
}

type call struct {
	Request
	servers []string // with a run in progress
}

// New returns a Scheduler without servers. All its randomness comes from
// source.
func New(source rand.Source, opts ...Option) *Scheduler {
	s := &Scheduler{
		random:   rand.New(source),
		servers:  map[string]*server{},
		programs: map[string]Program{},
		calls:    map[CallID]*call{},
		teams:    map[string]TeamLimits{},
		hosts:    1,
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetServer adds a backend server or replaces what is known of it.
func (s *Scheduler) SetServer(_ time.Duration, v Server) {
	if old := s.servers[v.ID]; old != nil {
		old.Server = v
		return
	}
	s.servers[v.ID] = &server{Server: v}
}

// RemoveServer forgets a server. Its runs are still reported by Finished.
func (s *Scheduler) RemoveServer(_ time.Duration, id string) { delete(s.servers, id) }

// SetTeam sets the limits of a team.
func (s *Scheduler) SetTeam(_ time.Duration, team string, l TeamLimits) { s.teams[team] = l }

// SetHosts sets the number of live entry hosts that share the servers,
// including this one.
func (s *Scheduler) SetHosts(_ time.Duration, n int) { s.hosts = max(1, n) }

// AdmitProgram decides whether a new program may start. The calls of an
// admitted program are not refused for load.
func (s *Scheduler) AdmitProgram(_ time.Duration, p Program) Admission {
	s.programs[p.ID] = p
	return Admission{Admitted: true, Reason: "capacity"}
}

// EndProgram forgets a program.
func (s *Scheduler) EndProgram(_ time.Duration, id string) { delete(s.programs, id) }

// Enqueue queues a call.
func (s *Scheduler) Enqueue(_ time.Duration, r Request) {
	c := &call{Request: r}
	s.calls[r.ID] = c
	s.queue = append(s.queue, c)
}

// Cancel removes a call from the queue. Runs in progress are ended by
// Finished.
func (s *Scheduler) Cancel(_ time.Duration, id CallID) {
	s.queue = slices.DeleteFunc(s.queue, func(c *call) bool { return c.ID == id })
	if c := s.calls[id]; c != nil && len(c.servers) == 0 {
		delete(s.calls, id)
	}
}

// Next returns the next call to send. The driver calls it until it returns
// false, after every event and when Wake is due.
func (s *Scheduler) Next(_ time.Duration) (Assignment, bool) {
	for i, c := range s.queue {
		v, n := s.leastOutstanding(c)
		if v == nil {
			continue
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		v.inFlight++
		c.servers = append(c.servers, v.ID)
		return Assignment{
			ID: c.ID, Server: v.ID, Priority: int(c.Class),
			Reason: "least-outstanding", Alternatives: n,
		}, true
	}
	return Assignment{}, false
}

func (s *Scheduler) leastOutstanding(c *call) (*server, int) {
	var best *server
	n := 0
	for _, v := range s.servers {
		if v.Leaving || v.inFlight >= v.Slots || !v.serves(&c.Request) {
			continue
		}
		n++
		if best == nil || cmp.Or(cmp.Compare(v.inFlight, best.inFlight), cmp.Compare(v.ID, best.ID)) < 0 {
			best = v
		}
	}
	return best, n
}

func (v *server) serves(r *Request) bool {
	if r.Service != "" {
		return v.Service == r.Service
	}
	return slices.ContainsFunc(v.Models, func(m ServerModel) bool {
		return m.Name == r.Model && (r.Version == "" || m.Version == r.Version) &&
			(r.Adapter == "" || slices.Contains(m.Adapters, r.Adapter))
	})
}

// Refused returns the queued calls that will not be run, each once.
func (s *Scheduler) Refused(now time.Duration) []Refused {
	s.queue = slices.DeleteFunc(s.queue, func(c *call) bool {
		if c.Deadline == 0 || now < c.Deadline {
			return false
		}
		s.refused = append(s.refused, Refused{ID: c.ID, Reason: "deadline-expired"})
		delete(s.calls, c.ID)
		return true
	})
	out := s.refused
	s.refused = nil
	return out
}

// FirstToken reports the first token of the run of a call on a server.
func (s *Scheduler) FirstToken(_ time.Duration, _ CallID, _ string) {}

// Tokens reports n further tokens of the run of a call on a server.
func (s *Scheduler) Tokens(_ time.Duration, _ CallID, _ string, _ int) {}

// Finished reports the end of the run of a call on a server. It must be
// called exactly once for each Assignment.
func (s *Scheduler) Finished(_ time.Duration, id CallID, server string, _ Usage, _ End) {
	c := s.calls[id]
	if c == nil {
		return
	}
	i := slices.Index(c.servers, server)
	if i < 0 {
		return
	}
	c.servers = slices.Delete(c.servers, i, i+1)
	if v := s.servers[server]; v != nil {
		v.inFlight--
	}
	if len(c.servers) == 0 {
		delete(s.calls, id)
	}
}

// Report takes in a server's own load report.
func (s *Scheduler) Report(_ time.Duration, _ string, _ Load) {}

// CacheEvicted reports that a server dropped cached tokens of a program.
func (s *Scheduler) CacheEvicted(_ time.Duration, _, _ string, _ int) {}

// CacheStored reports that a server holds tokens of a program in its cache.
func (s *Scheduler) CacheStored(_ time.Duration, _, _ string, _ int) {}

// CacheOrders returns the orders about the caches of paused and ended
// programs, each once. A lost order costs memory, not correctness.
func (s *Scheduler) CacheOrders(_ time.Duration) []CacheOrder { return nil }

// MayRetry reports whether the retry budgets allow one more attempt for a
// team, and takes it from them.
func (s *Scheduler) MayRetry(_ time.Duration, _ string) bool { return true }

// SetSuspects sets the suspects that other entry hosts know.
func (s *Scheduler) SetSuspects(_ time.Duration, _ []Suspect) {}

// Suspects returns the suspects that this host knows from its own calls, for
// the other entry hosts.
func (s *Scheduler) Suspects() []Suspect { return nil }

// Wake returns the time at which Next and Refused are to be called again at
// the latest.
func (s *Scheduler) Wake(now time.Duration) time.Duration { return now + idleWake }

// Snapshot returns the state for status pages.
func (s *Scheduler) Snapshot() Snapshot {
	n := Snapshot{Queued: map[Class]int{}, Programs: len(s.programs)}
	for _, c := range s.queue {
		n.Queued[c.Class]++
	}
	for _, v := range s.servers {
		n.Servers = append(n.Servers, ServerStatus{ID: v.ID, InFlight: v.inFlight, Speed: 1, Leaving: v.Leaving})
	}
	slices.SortFunc(n.Servers, func(a, b ServerStatus) int { return cmp.Compare(a.ID, b.ID) })
	return n
}
