package schedule

import "time"

// programIdleTimeout is the idle time after which a program is removed from
// this host. It is needed because the load balancer distributes the calls of a
// program over the entry hosts, while the end of the program is reported to
// only one of them.
const programIdleTimeout = time.Minute

// program is the state of a program that is active on this host.
type program struct {
	id           string
	team         *team
	calls        int // waiting and running
	lastActivity time.Duration
	cachedOn     []*server // servers with a cached prefix, oldest first
	removed      bool
	prev, next   *program
}

// programList is a linked list of programs in order of last activity.
type programList struct {
	oldest, newest *program
}

func (l *programList) add(p *program) {
	p.prev, p.next = l.newest, nil
	if l.newest != nil {
		l.newest.next = p
	} else {
		l.oldest = p
	}
	l.newest = p
}

func (l *programList) remove(p *program) {
	if p.prev != nil {
		p.prev.next = p.next
	} else {
		l.oldest = p.next
	}
	if p.next != nil {
		p.next.prev = p.prev
	} else {
		l.newest = p.prev
	}
	p.prev, p.next = nil, nil
}

// activateProgram records activity of a program, adds it if it is unknown, and
// returns it.
func (s *Scheduler) activateProgram(id string, t *team) *program {
	p := s.programs[id]
	if p == nil {
		p = &program{id: id, team: t, lastActivity: s.now}
		s.programs[id] = p
		t.addPrograms(s.now, 1)
		s.programsByActivity.add(p)
		return p
	}
	s.touch(p)
	return p
}

// touch records activity of a program.
func (s *Scheduler) touch(p *program) {
	if p.removed {
		return
	}
	p.lastActivity = s.now
	s.programsByActivity.remove(p)
	s.programsByActivity.add(p)
}

// expirePrograms removes idle programs. Unlike EndProgram, it only removes the
// cache estimates and does not release the cached prefixes, since the programs
// may still be active on other hosts.
func (s *Scheduler) expirePrograms() {
	for p := s.programsByActivity.oldest; p != nil && s.now-p.lastActivity > programIdleTimeout; p = s.programsByActivity.oldest {
		if p.calls > 0 {
			s.touch(p)
			continue
		}
		s.removeProgram(p)
		for _, v := range p.cachedOn {
			v.cache.remove(p.id)
		}
	}
}

func (s *Scheduler) removeProgram(p *program) {
	p.removed = true
	s.programsByActivity.remove(p)
	p.team.addPrograms(s.now, -1)
	delete(s.programs, p.id)
}

// EndProgram removes a program and releases its cached prefixes.
func (s *Scheduler) EndProgram(now time.Duration, id string) {
	s.advance(now)
	p := s.programs[id]
	if p == nil {
		return
	}
	s.removeProgram(p)
	s.releaseAllCached(p, id)
}
