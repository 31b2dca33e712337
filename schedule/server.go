package schedule

import (
	"slices"
	"time"
)

// historySize is the number of past in-flight counts of this host that are kept
// per server. They are needed to interpret delayed load reports.
const historySize = 64

// server is the state of a backend server, and the estimates of this host for
// it.
type server struct {
	Server
	pools          []membership
	runs           []*call // calls with a run on this server
	inFlight       int     // runs of this host
	removed        bool
	pausedUntil    time.Duration
	monitoredIndex int // index in Scheduler.monitored, or -1

	// remoteInFlight is the estimated number of runs of the other entry hosts.
	remoteInFlight int
	history        [historySize]inFlightAt // ring buffer
	newest         int                     // index in history
	inDoubt        bool                    // see Evidence
	nextTrial      time.Duration           // of a run while in doubt
	// rounding is a random number in [0, 1) that rounds this host's share of
	// the slots up or down, so that the shares of all hosts add up to about
	// the slots of the server.
	rounding float64

	connections openConnections
	speed       speed
	timing      timing
	shared      float64 // speed that all hosts have learned; see Speeds
	cache       cacheEstimate
	// reserved is set while the server is reserved for a suspect of this host,
	// remotelyReserved while it is reserved for a suspect of another host.
	reserved         bool
	reservedAt       time.Duration
	remotelyReserved bool
}

type inFlightAt struct {
	at    time.Duration
	count int
}

func (v *server) slots() int { return max(1, v.Slots) }

// utilisation returns the estimated utilisation: the runs of all hosts per
// slot.
func (v *server) utilisation() float64 {
	return float64(v.inFlight+v.remoteInFlight) / float64(v.slots())
}

func (v *server) addInFlight(now time.Duration, change int) {
	v.inFlight += change
	if v.history[v.newest].at != now {
		v.newest = (v.newest + 1) % historySize
	}
	v.history[v.newest] = inFlightAt{at: now, count: v.inFlight}
}

// inFlightBefore returns the in-flight count of this host at a past time, or
// the oldest count in the history if that starts later.
func (v *server) inFlightBefore(at time.Duration) int {
	for i := range historySize {
		h := v.history[(v.newest-i+historySize)%historySize]
		if h.at <= at {
			return h.count
		}
	}
	return v.history[(v.newest+1)%historySize].count
}

// limit returns the number of runs that this host may have on a server: the
// largest of its equal share of the slots, the slots that the other hosts leave
// free and the configured floor, or less if the server is slow or recovering.
func (s *Scheduler) limit(v *server) int {
	if s.unlimited {
		return 1 << 30
	}
	n := v.worth()
	if s.hosts > 1 {
		share := int(float64(n)/float64(s.hosts) + v.rounding)
		free := n - v.remoteInFlight
		n = max(share, min(n, free), s.floor(v))
	}
	return v.speed.limit(n)
}

// floors are the numbers of runs that a host may always have on a server.
type floors struct{ engine, service int }

// WithFloors sets the number of runs that a host may always have on an engine
// and on a server of a plain service, regardless of the runs of other hosts.
// Load information is delayed: if calls are shorter than the delay, hosts would
// leave free slots unused. A server that is full rejects the surplus calls.
func WithFloors(engine, service int) Option {
	return func(s *Scheduler) { s.floors = floors{engine, service} }
}

func (s *Scheduler) floor(v *server) int {
	if v.Service != "" {
		return s.floors.service
	}
	return s.floors.engine
}

// available reports whether the server may get new runs, regardless of its free
// slots and its speed.
func (v *server) available() bool {
	return !v.Leaving && !v.removed && !v.reserved && !v.remotelyReserved && !v.runsSuspect()
}

// runsSuspect reports whether the server runs a suspect, beside which nothing
// else may run.
func (v *server) runsSuspect() bool { return len(v.runs) > 0 && v.runs[0].exclusive }

// updateEligibility updates the eligibility of a server in its pools after a
// change of its state.
func (s *Scheduler) updateEligibility(v *server) {
	eligible := v.usable(s.now) && !v.inDoubt && v.inFlight < s.limit(v)
	for i := range v.pools {
		v.setEligible(i, eligible)
	}
}

// serverKey identifies a process of a backend server.
type serverKey struct{ id, incarnation string }

func (v *server) key() serverKey { return serverKey{v.ID, v.Incarnation} }

// SetServer adds a backend server or updates its description. A server that was
// removed while it had runs keeps them, and the estimates of its speed and cache,
// if it comes back before they end. A new incarnation starts without runs and
// with new estimates.
func (s *Scheduler) SetServer(now time.Duration, n Server) {
	s.advance(now)
	v := s.servers[n.ID]
	switch {
	case v == nil:
		v = s.addServer(&n)
	case v.equal(&n):
		return
	case v.Incarnation != n.Incarnation:
		s.removeServer(v)
		v = s.addServer(&n)
	default:
		s.slots -= v.modelSlots()
	}
	s.slots += n.modelSlots()
	v.Server = n
	v.cache.limit = n.CacheTokens
	s.removeFromPools(v)
	for _, p := range s.poolOrder {
		if p.key.servedBy(&v.Server) {
			s.addToPool(p, v)
		}
	}
}

// SetServers replaces the list of backend servers. Its cost grows with the
// number of servers, and with that of the changes.
func (s *Scheduler) SetServers(now time.Duration, list []Server) {
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
	}
	for _, v := range slices.Clone(s.serverOrder) {
		if !listed[v.ID] {
			s.RemoveServer(now, v.ID)
		}
	}
	for _, v := range list {
		s.SetServer(now, v)
	}
	for _, p := range slices.Clone(s.poolOrder) { // refused calls may leave pools unused
		s.refuseMisplaced(p)
	}
}

// addServer adds a server without a description, or again the removed one of the
// same incarnation that still has runs.
func (s *Scheduler) addServer(n *Server) *server {
	k := serverKey{n.ID, n.Incarnation}
	v := s.removedServers[k]
	if v == nil {
		v = &server{monitoredIndex: -1, rounding: s.random.Float64(), speed: newSpeed(s.thresholds), shared: sharedSpeed(s.sharedSpeeds, n.ID)}
	}
	delete(s.removedServers, k)
	v.removed = false
	s.servers[n.ID] = v
	s.serverOrder = append(s.serverOrder, v)
	return v
}

// equal reports whether the description of the server equals o.
func (v *Server) equal(o *Server) bool {
	return v.ID == o.ID && v.Incarnation == o.Incarnation && v.DataCentre == o.DataCentre &&
		v.Service == o.Service && v.SoftwareVersion == o.SoftwareVersion && v.Slots == o.Slots && v.CacheTokens == o.CacheTokens &&
		v.Leaving == o.Leaving && slices.EqualFunc(v.Models, o.Models, func(a, b ServerModel) bool {
		return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
	})
}

// modelSlots returns the slots of the server that count for admission.
func (v *Server) modelSlots() int {
	if v.Service != "" || v.Leaving {
		return 0
	}
	return v.Slots
}

// PauseServer keeps new runs from a server until a given time.
func (s *Scheduler) PauseServer(now time.Duration, id string, until time.Duration) {
	s.advance(now)
	if v := s.servers[id]; v != nil {
		v.pausedUntil = until
		s.updateEligibility(v)
		s.updateMonitored(v)
	}
}

// RemoveServer removes a server. The driver still reports the end of its runs
// with Finished.
func (s *Scheduler) RemoveServer(now time.Duration, id string) {
	s.advance(now)
	if v := s.servers[id]; v != nil {
		s.removeServer(v)
	}
}

func (s *Scheduler) removeServer(v *server) {
	v.removed = true
	s.removeFromPools(v)
	if v.inDoubt {
		s.setDoubt(v, false)
	}
	s.slots -= v.modelSlots()
	delete(s.servers, v.ID)
	s.serverOrder = slices.DeleteFunc(s.serverOrder, func(o *server) bool { return o == v })
	// SetHosts, SetSuspects and Report do not update removed servers.
	v.remoteInFlight, v.remotelyReserved = 0, false
	if len(v.runs) > 0 {
		s.removedServers[v.key()] = v
	}
	s.updateMonitored(v)
}

// Report records a load report of a server. The reported load minus the
// in-flight count of this host at the time of the measurement is the load from
// the other hosts.
func (s *Scheduler) Report(now time.Duration, id string, l Load) {
	s.advance(now)
	v := s.servers[id]
	if v == nil || s.ignoreReports {
		return
	}
	v.remoteInFlight = max(0, l.Running+l.Queued-v.inFlightBefore(now-l.Age))
	s.updateEligibility(v)
}

// SetHosts sets the number of live entry hosts, including this one, that share
// the servers.
func (s *Scheduler) SetHosts(now time.Duration, n int) {
	s.advance(now)
	s.hosts = max(1, n)
	for _, v := range s.serverOrder {
		if s.hosts == 1 {
			v.remoteInFlight = 0
		}
		s.updateEligibility(v)
	}
}

// updateMonitored updates the list of servers that the periodic check visits:
// those with runs and, unless they were removed, those that are slow, recovering,
// failing, in backoff or paused.
func (s *Scheduler) updateMonitored(v *server) {
	busy := len(v.runs) > 0 || !v.removed && (v.speed.limited() || s.now < max(v.pausedUntil, v.speed.backoffUntil))
	switch {
	case busy && v.monitoredIndex < 0:
		v.monitoredIndex = len(s.monitored)
		s.monitored = append(s.monitored, v)
	case !busy && v.monitoredIndex >= 0:
		last := len(s.monitored) - 1
		s.monitored[v.monitoredIndex] = s.monitored[last]
		s.monitored[v.monitoredIndex].monitoredIndex = v.monitoredIndex
		s.monitored = s.monitored[:last]
		v.monitoredIndex = -1
	}
}
