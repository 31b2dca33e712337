package schedule

import (
	"slices"
	"time"
)

// historySize is the number of changes of the own in-flight count that are
// kept to interpret a late load report.
const historySize = 64

// server is a backend server and what this host believes of it.
type server struct {
	Server
	pools    []membership
	runs     []*call // calls with a run here
	inFlight int
	removed  bool
	monitoredIndex     int // position in Scheduler.busy, or -1

	// remoteInFlight estimates the runs of the other entry hosts.
	remoteInFlight  int
	history [historySize]inFlightAt
	newest  int
	// rounding is a random number in [0, 1) that rounds this host's share of
	// the slots up or down, so that the shares of all hosts add up to about
	// the slots of the server.
	rounding float64

	speed speed
	cache cacheEstimate
	// reserved is set while the server is kept for a suspect of this host,
	// remotelyReserved while it is for one of another host.
	reserved         bool
	reservedAt       time.Duration
	remotelyReserved bool
}

type inFlightAt struct {
	at    time.Duration
	count int
}

func (v *server) slots() int { return max(1, v.Slots) }

// utilization is the estimated number of runs of all hosts per slot.
func (v *server) utilization() float64 {
	return float64(v.inFlight+v.remoteInFlight) / float64(v.slots())
}

func (v *server) addInFlight(now time.Duration, change int) {
	v.inFlight += change
	if v.history[v.newest].at != now {
		v.newest = (v.newest + 1) % historySize
	}
	v.history[v.newest] = inFlightAt{at: now, count: v.inFlight}
}

// inFlightBefore returns the own in-flight count at a past time.
func (v *server) inFlightBefore(at time.Duration) int {
	for i := range historySize {
		h := v.history[(v.newest-i+historySize)%historySize]
		if h.at <= at {
			return h.count
		}
	}
	return v.history[(v.newest+1)%historySize].count
}

// limit is the number of runs that this host may have on the server.
func (s *Scheduler) limit(v *server) int {
	if s.unlimited {
		return 1 << 30
	}
	n := v.slots()
	if s.hosts > 1 {
		share := int(float64(n)/float64(s.hosts) + v.rounding)
		free := n - v.remoteInFlight
		n = max(share, min(n, free), s.floor(v))
	}
	return v.speed.limit(n)
}

// floors are the runs that a host may always have on a server.
type floors struct{ engine, service int }

// WithFloors sets the least number of runs that a host may have on an engine
// and on a plain service, whatever the others have there. Their load is known a
// moment late: where calls are shorter than that, hosts would leave free slots
// unused, and a server that is full after all says so.
func WithFloors(engine, service int) Option {
	return func(s *Scheduler) { s.floors = floors{engine, service} }
}

func (s *Scheduler) floor(v *server) int {
	if v.Service != "" {
		return s.floors.service
	}
	return s.floors.engine
}

// available reports whether new work may be sent, the slots aside.
func (v *server) available() bool {
	return !v.Leaving && !v.removed && !v.reserved && !v.remotelyReserved && !v.runsSuspect()
}

// runsSuspect reports whether a suspect runs here, which must stay alone.
func (v *server) runsSuspect() bool { return len(v.runs) > 0 && v.runs[0].exclusive }

// updateEligibility brings the open lists up to date after a change of the server.
func (s *Scheduler) updateEligibility(v *server) {
	open := v.available() && v.inFlight < s.limit(v) && v.speed.mayProbe(s.now, v.inFlight)
	for i := range v.pools {
		v.setEligible(i, open)
	}
}

// SetServer adds a backend server or replaces what is known of it.
func (s *Scheduler) SetServer(now time.Duration, n Server) {
	s.advance(now)
	v := s.servers[n.ID]
	if v == nil {
		v = &server{monitoredIndex: -1, rounding: s.random.Float64(), speed: newSpeed(s.thresholds)}
		s.servers[n.ID] = v
		s.serverOrder = append(s.serverOrder, v)
	} else if v.equal(&n) {
		return
	} else if v.Incarnation != n.Incarnation {
		v.speed, v.cache, v.remoteInFlight = newSpeed(s.thresholds), cacheEstimate{}, 0
	}
	s.slots += n.modelSlots() - v.modelSlots()
	v.Server = n
	v.cache.limit = n.CacheTokens
	v.removeFromPools()
	for _, p := range s.poolOrder {
		if p.key.servedBy(&v.Server) {
			s.addToPool(p, v)
		}
	}
}

// equal reports whether two descriptions of a server are equal.
func (v *Server) equal(o *Server) bool {
	return v.ID == o.ID && v.Incarnation == o.Incarnation && v.DataCentre == o.DataCentre &&
		v.Service == o.Service && v.Slots == o.Slots && v.CacheTokens == o.CacheTokens &&
		v.Leaving == o.Leaving && slices.EqualFunc(v.Models, o.Models, func(a, b ServerModel) bool {
		return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
	})
}

// modelSlots is what the server adds to the capacity that admission counts.
func (v *Server) modelSlots() int {
	if v.Service != "" || v.Leaving {
		return 0
	}
	return v.Slots
}

// RemoveServer forgets a server. Its runs are still reported by Finished.
func (s *Scheduler) RemoveServer(now time.Duration, id string) {
	s.advance(now)
	v := s.servers[id]
	if v == nil {
		return
	}
	v.removed = true
	v.removeFromPools()
	s.slots -= v.modelSlots()
	delete(s.servers, id)
	for i, o := range s.serverOrder {
		if o == v {
			s.serverOrder = append(s.serverOrder[:i], s.serverOrder[i+1:]...)
			break
		}
	}
}

// Report takes in a server's own load report. The runs that are not this
// host's own at the time of the report are those of the other hosts.
func (s *Scheduler) Report(now time.Duration, id string, l Load) {
	s.advance(now)
	v := s.servers[id]
	if v == nil || s.ignoreReports {
		return
	}
	v.remoteInFlight = max(0, l.Running+l.Queued-v.inFlightBefore(now-l.Age))
	s.updateEligibility(v)
}

// SetHosts sets the number of live entry hosts that share the servers,
// including this one.
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

// updateMonitored keeps the list of servers that the periodic check visits: those with
// runs, and those that are not at full speed.
func (s *Scheduler) updateMonitored(v *server) {
	busy := len(v.runs) > 0 || v.speed.limited()
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
