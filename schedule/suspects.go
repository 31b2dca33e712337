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
	// soloPatience is the maximum wait for the runs of other entry hosts on a
	// reserved server to end.
	soloPatience = 5 * time.Second
	// suspectLife is the time after its last crash for which a suspect is kept.
	suspectLife = time.Hour
)

// suspect is the state of a request that was in flight on crashed servers.
type suspect struct {
	own    int           // crashes observed by this host
	remote int           // crashes reported by all hosts, including this one
	server string        // server reserved for it by this host
	at     time.Duration // time of the last crash
}

func (u *suspect) crashes() int { return max(u.own, u.remote) }

// SetSuspects sets the suspects that all entry hosts have reported, and the
// servers that are reserved for them.
func (s *Scheduler) SetSuspects(now time.Duration, l []Suspect) {
	s.advance(now)
	for f, u := range s.suspects {
		u.remote = 0
		if u.own == 0 {
			delete(s.suspects, f)
		}
	}
	reserved := map[string]bool{}
	for _, n := range l {
		s.suspect(now, n.Fingerprint).remote = n.Crashes
		reserved[n.Server] = true
	}
	for _, v := range s.serverOrder {
		if v.remotelyReserved != reserved[v.ID] {
			v.remotelyReserved = reserved[v.ID]
			s.refresh(v)
		}
	}
}

// Suspects returns the suspects among the calls of this host, to be reported to
// the other entry hosts.
func (s *Scheduler) Suspects() []Suspect {
	var out []Suspect
	for f, u := range s.suspects {
		if u.own > 0 {
			out = append(out, Suspect{Fingerprint: f, Crashes: u.own, Server: u.server})
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

func (s *Scheduler) suspect(now time.Duration, fingerprint uint64) *suspect {
	u := s.suspects[fingerprint]
	if u == nil {
		u = &suspect{at: now}
		s.suspects[fingerprint] = u
	}
	return u
}

// crashed records the request of a crashed run as a suspect.
func (s *Scheduler) crashed(now time.Duration, c *call) {
	if c.Fingerprint == 0 {
		return
	}
	for f, u := range s.suspects {
		if now-u.at > suspectLife {
			delete(s.suspects, f)
		}
	}
	u := s.suspect(now, c.Fingerprint)
	u.own++
	u.at = now
}

// cleared removes a suspect after a successful run, unless it has reached the
// crash limit.
func (s *Scheduler) cleared(c *call) {
	if u := s.suspects[c.Fingerprint]; u != nil && u.crashes() < crashLimit {
		delete(s.suspects, c.Fingerprint)
	}
}

// divert refuses a suspect that has reached the crash limit, and queues other
// suspects to run alone. It reports whether the call is a suspect.
func (s *Scheduler) divert(c *call) bool {
	if len(s.suspects) == 0 || c.Fingerprint == 0 {
		return false
	}
	u := s.suspects[c.Fingerprint]
	if u == nil {
		return false
	}
	if u.crashes() >= crashLimit {
		s.refuse(c, string(verdict.Suspect), 0)
		return true
	}
	if !c.solo {
		c.solo = true
		c.pool.solo = append(c.pool.solo, c)
		if !slices.Contains(s.soloPools, c.pool) {
			s.soloPools = append(s.soloPools, c.pool)
		}
		s.expire(c)
	}
	return true
}

// nextSolo assigns the next suspect to a reserved server without runs.
func (s *Scheduler) nextSolo(now time.Duration) (Assignment, bool) {
	for _, p := range s.soloPools {
		s.reserve(now, p)
		if a, ok := s.startSolo(now, p); ok {
			return a, true
		}
	}
	s.soloPools = slices.DeleteFunc(s.soloPools, func(p *pool) bool {
		return len(p.solo) == 0 && len(p.reserved) == 0
	})
	return Assignment{}, false
}

// reserve reserves a tenth of the servers, at least one, while suspects wait.
func (s *Scheduler) reserve(now time.Duration, p *pool) {
	for len(p.reserved) < min(len(p.solo), 1+len(p.members)/10) {
		var best *server
		for _, v := range p.members {
			if v.available() && now >= v.speed.heldUntil && (best == nil || v.inFlight+v.others < best.inFlight+best.others) {
				best = v
			}
		}
		if best == nil {
			return
		}
		best.reserved, best.reservedAt = true, now
		p.reserved = append(p.reserved, best)
		s.refresh(best)
	}
	if len(p.solo) == 0 {
		s.release(p)
	}
}

// release ends the reservations of servers that run no suspect.
func (s *Scheduler) release(p *pool) {
	p.reserved = slices.DeleteFunc(p.reserved, func(v *server) bool {
		if v.runsSuspect() {
			return false
		}
		v.reserved = false
		s.refresh(v)
		return true
	})
}

// dropHeld ends the reservations of servers in backoff after a failure: they
// look idle because they have crashed.
func (s *Scheduler) dropHeld(now time.Duration, p *pool) {
	p.reserved = slices.DeleteFunc(p.reserved, func(v *server) bool {
		if now >= v.speed.heldUntil || v.runsSuspect() {
			return false
		}
		v.reserved = false
		s.refresh(v)
		return true
	})
}

func (s *Scheduler) startSolo(now time.Duration, p *pool) (Assignment, bool) {
	s.dropHeld(now, p)
	for _, v := range p.reserved {
		empty := v.inFlight == 0 && (v.others == 0 || now-v.reservedAt > soloPatience)
		if !empty || v.Leaving || v.removed || v.remotelyReserved {
			continue
		}
		for len(p.solo) > 0 {
			c := p.solo[0]
			p.solo = p.solo[1:]
			s.unexpire(c)
			u := s.suspects[c.Fingerprint]
			if u != nil && u.crashes() >= crashLimit {
				s.refuse(c, string(verdict.Suspect), 0)
				continue
			}
			if u != nil {
				u.server = v.ID
			}
			return s.start(now, c, choice{server: v, reason: ReasonSuspectAlone}), true
		}
	}
	return Assignment{}, false
}
