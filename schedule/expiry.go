package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// noServerTimeout is the time after which a call is refused if no server can
// run it.
const noServerTimeout = 5 * time.Second

// ServiceChanged is the reason for refusing a call of a model whose servers now run
// a plain service of that name, or the other way round. The driver may queue the
// call again as one of the other kind.
const ServiceChanged = "service-changed"

// scheduleExpiry sets the time of the next check of a waiting call: its
// deadline or, if that is later or not set, the time at which the call is
// refused if its pool has no server.
func (s *Scheduler) scheduleExpiry(c *call) {
	s.cancelExpiry(c)
	c.expires = s.now + noServerTimeout
	if c.Deadline > 0 && c.Deadline < c.expires {
		c.expires = c.Deadline
	}
	s.expiries.push(c)
}

func (s *Scheduler) cancelExpiry(c *call) {
	if c.expiryIndex >= 0 {
		s.expiries.remove(c.expiryIndex)
	}
}

func (s *Scheduler) refuse(c *call, reason string, retryAfter time.Duration) {
	s.unqueue(c)
	s.refused = append(s.refused, Refused{ID: c.ID, Reason: reason, RetryAfter: retryAfter})
	s.queued--
	s.removeCall(c)
}

// Refused returns each queued call that has been refused, once.
func (s *Scheduler) Refused(now time.Duration) []Refused {
	s.advance(now)
	for c := s.expiries.head(); c != nil && c.expires <= s.now; c = s.expiries.head() {
		switch {
		case c.Deadline > 0 && c.Deadline <= s.now:
			s.refuse(c, string(verdict.DeadlineExceeded), 0)
		case len(c.pool.members) == 0:
			s.refuse(c, string(verdict.NoServer), noServerTimeout)
		default:
			s.scheduleExpiry(c)
		}
	}
	out := s.refused
	s.refused = nil
	return out
}

// refuseMisplaced refuses the waiting calls of a pool if only servers of the other
// kind are left. They would wait until their deadlines.
func (s *Scheduler) refuseMisplaced(p *pool) {
	if len(p.members) > 0 || p.queue.length == 0 && len(p.exclusive) == 0 || !s.servesOtherKind(p.key) {
		return
	}
	var misplaced []*call
	for _, c := range s.calls {
		if c.pool == p && c.running == 0 {
			misplaced = append(misplaced, c)
		}
	}
	slices.SortFunc(misplaced, func(a, b *call) int { return cmp.Compare(a.serial, b.serial) })
	for _, c := range misplaced {
		s.refuse(c, ServiceChanged, minHopelessRetry)
	}
}

// servesOtherKind reports whether a server runs a plain service with the name of a
// model, or a model with the name of a plain service.
func (s *Scheduler) servesOtherKind(k poolKey) bool {
	other := poolKey{service: k.model}
	if k.service != "" {
		other = poolKey{model: k.service}
	}
	return slices.ContainsFunc(s.serverOrder, func(v *server) bool { return !v.Leaving && other.servedBy(&v.Server) })
}
