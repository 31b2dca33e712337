package schedule

import "time"

// HasAlternative reports whether a running call could be run on another server
// now: a healthy one with a free slot that the call neither runs on nor avoids,
// and of the given software version unless that is empty.
func (s *Scheduler) HasAlternative(now time.Duration, id CallID, softwareVersion string) bool {
	s.advance(now)
	c := s.calls[id]
	if c == nil {
		return false
	}
	for _, v := range c.pool.eligible {
		if softwareVersion != "" && v.SoftwareVersion != softwareVersion {
			continue
		}
		if c.runOn(v) == nil && !c.avoids(v) && v.healthy(s.now) {
			return true
		}
	}
	return false
}
