package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// crashLimit is the number of crashes after which a request is refused.
	crashLimit = 2
	// exclusiveMaxWait is the maximum wait for the runs of other entry hosts on
	// a reserved server to end.
	exclusiveMaxWait = 5 * time.Second
	// suspectTTL is the time after its last crash for which a suspect is kept.
	suspectTTL = time.Hour
)

// suspect is the state of a request that was in flight on crashed servers.
type suspect struct {
	localCrashes    int    // crashes observed by this host
	reportedCrashes int    // crashes reported by all hosts, including this one
	reservedServer  string // server on which this host last ran it alone
	lastCrash       time.Duration
}

func (u *suspect) crashes() int { return max(u.localCrashes, u.reportedCrashes) }

// SetSuspects sets the suspects that all entry hosts have reported, and the
// servers that are reserved for them.
func (s *Scheduler) SetSuspects(now time.Duration, l []Suspect) {
	s.advance(now)
	for f, u := range s.suspects {
		u.reportedCrashes = 0
		if u.localCrashes == 0 {
			delete(s.suspects, f)
		}
	}
	reserved := map[string]bool{}
	for _, n := range l {
		s.suspect(now, n.Fingerprint).reportedCrashes = n.Crashes
		reserved[n.Server] = true
	}
	for _, v := range s.serverOrder {
		if v.remotelyReserved != reserved[v.ID] {
			v.remotelyReserved = reserved[v.ID]
			s.updateEligibility(v)
		}
	}
}

// Suspects returns the suspects among the calls of this host, to be reported to
// the other entry hosts.
func (s *Scheduler) Suspects() []Suspect {
	var out []Suspect
	for f, u := range s.suspects {
		if u.localCrashes > 0 {
			out = append(out, Suspect{Fingerprint: f, Crashes: u.localCrashes, Server: u.reservedServer})
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

func (s *Scheduler) suspect(now time.Duration, fingerprint uint64) *suspect {
	u := s.suspects[fingerprint]
	if u == nil {
		u = &suspect{lastCrash: now}
		s.suspects[fingerprint] = u
	}
	return u
}

// recordCrash records the request of a crashed run as a suspect.
func (s *Scheduler) recordCrash(now time.Duration, c *call) {
	if c.Fingerprint == 0 {
		return
	}
	for f, u := range s.suspects {
		if now-u.lastCrash > suspectTTL {
			delete(s.suspects, f)
		}
	}
	u := s.suspect(now, c.Fingerprint)
	u.localCrashes++
	u.lastCrash = now
}

// clearSuspect removes a suspect after a successful run, unless it has reached
// the crash limit.
func (s *Scheduler) clearSuspect(c *call) {
	if u := s.suspects[c.Fingerprint]; u != nil && u.crashes() < crashLimit {
		delete(s.suspects, c.Fingerprint)
	}
}

// divertSuspect refuses a suspect that has reached the crash limit, and queues
// other suspects to run alone. It reports whether the call is a suspect.
func (s *Scheduler) divertSuspect(c *call) bool {
	if len(s.suspects) == 0 || c.Fingerprint == 0 {
		return false
	}
	u := s.suspects[c.Fingerprint]
	if u == nil {
		return false
	}
	if u.crashes() >= crashLimit {
		s.refuse(c, string(verdict.CrashedServers), 0)
		return true
	}
	if !c.exclusive {
		c.exclusive = true
		c.pool.exclusive = append(c.pool.exclusive, c)
		if !slices.Contains(s.exclusivePools, c.pool) {
			s.exclusivePools = append(s.exclusivePools, c.pool)
		}
		s.scheduleExpiry(c)
	}
	return true
}

// nextExclusive assigns the next suspect to a reserved server without runs. It
// ignores runs of other hosts after exclusiveMaxWait.
func (s *Scheduler) nextExclusive(now time.Duration) (Assignment, bool) {
	for _, p := range s.exclusivePools {
		s.reserve(now, p)
		if a, ok := s.startExclusive(now, p); ok {
			return a, true
		}
	}
	s.exclusivePools = slices.DeleteFunc(s.exclusivePools, func(p *pool) bool {
		return len(p.exclusive) == 0 && len(p.reserved) == 0
	})
	return Assignment{}, false
}

// reserve reserves a server for each waiting suspect, up to a tenth of the
// servers plus one. It ends the reservations when no suspect waits.
func (s *Scheduler) reserve(now time.Duration, p *pool) {
	for len(p.reserved) < min(len(p.exclusive), 1+len(p.members)/10) {
		var best *server
		for _, v := range p.members {
			if v.available() && now >= v.speed.backoffUntil && (best == nil || v.inFlight+v.remoteInFlight < best.inFlight+best.remoteInFlight) {
				best = v
			}
		}
		if best == nil {
			return
		}
		best.reserved, best.reservedAt = true, now
		p.reserved = append(p.reserved, best)
		s.updateEligibility(best)
	}
	if len(p.exclusive) == 0 {
		s.releaseReserved(p)
	}
}

// releaseReserved ends the reservations of servers that run no suspect.
func (s *Scheduler) releaseReserved(p *pool) {
	p.reserved = slices.DeleteFunc(p.reserved, func(v *server) bool {
		if v.runsSuspect() {
			return false
		}
		v.reserved = false
		s.updateEligibility(v)
		return true
	})
}

// releaseFailing ends the reservations of servers in backoff after a failure:
// they look idle because they have crashed.
func (s *Scheduler) releaseFailing(now time.Duration, p *pool) {
	p.reserved = slices.DeleteFunc(p.reserved, func(v *server) bool {
		if now >= v.speed.backoffUntil || v.runsSuspect() {
			return false
		}
		v.reserved = false
		s.updateEligibility(v)
		return true
	})
}

func (s *Scheduler) startExclusive(now time.Duration, p *pool) (Assignment, bool) {
	s.releaseFailing(now, p)
	for _, v := range p.reserved {
		empty := v.inFlight == 0 && (v.remoteInFlight == 0 || now-v.reservedAt > exclusiveMaxWait)
		if !empty || v.Leaving || v.removed || v.remotelyReserved {
			continue
		}
		for len(p.exclusive) > 0 {
			c := p.exclusive[0]
			p.exclusive = p.exclusive[1:]
			s.cancelExpiry(c)
			u := s.suspects[c.Fingerprint]
			if u != nil && u.crashes() >= crashLimit {
				s.refuse(c, string(verdict.CrashedServers), 0)
				continue
			}
			if u != nil {
				u.reservedServer = v.ID
			}
			return s.startRun(now, c, choice{server: v, reason: ReasonSuspectAlone}), true
		}
	}
	return Assignment{}, false
}
