package schedule

import "time"

// HasAlternative reports whether a running call could be run on another server
// now: a healthy one with a free slot that the call neither runs on nor avoids.
func (s *Scheduler) HasAlternative(now time.Duration, id CallID) bool {
	s.advance(now)
	c := s.calls[id]
	if c == nil {
		return false
	}
	for _, v := range c.pool.eligible {
		if c.runOn(v) == nil && !c.avoids(v) && v.healthy(s.now) {
			return true
		}
	}
	return false
}
