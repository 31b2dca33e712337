package schedule

import (
	"time"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// noServerTimeout is the time after which a call is refused if no server can
// run it.
const noServerTimeout = 5 * time.Second

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
