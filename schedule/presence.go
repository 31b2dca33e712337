package schedule

import "time"

// presenceTime is the idle time after which a program is removed from this host.
// It is needed because the load balancer distributes the calls of a program over
// the entry hosts, while the end of the program is reported to only one of them.
const presenceTime = time.Minute

// program is the state of a program that is active on this host.
type program struct {
	id         string
	team       *team
	calls      int // waiting and running
	seen       time.Duration
	cachedOn   []*server // servers with a cached prefix, oldest first
	gone       bool
	prev, next *program
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

// present records activity of a program, adds it if it is unknown, and returns
// it.
func (s *Scheduler) present(id string, t *team) *program {
	p := s.programs[id]
	if p == nil {
		p = &program{id: id, team: t, seen: s.now}
		s.programs[id] = p
		t.change(s.now, 1)
		s.presence.add(p)
		return p
	}
	s.touch(p)
	return p
}

// touch records activity of a program.
func (s *Scheduler) touch(p *program) {
	if p.gone {
		return
	}
	p.seen = s.now
	s.presence.remove(p)
	s.presence.add(p)
}

// expirePrograms removes idle programs.
func (s *Scheduler) expirePrograms() {
	for p := s.presence.oldest; p != nil && s.now-p.seen > presenceTime; p = s.presence.oldest {
		if p.calls > 0 {
			s.touch(p)
			continue
		}
		s.depart(p)
		for _, v := range p.cachedOn {
			v.cache.forget(p.id)
		}
	}
}

func (s *Scheduler) depart(p *program) {
	p.gone = true
	s.presence.remove(p)
	p.team.change(s.now, -1)
	delete(s.programs, p.id)
}

// EndProgram removes a program and releases its cached prefixes.
func (s *Scheduler) EndProgram(now time.Duration, id string) {
	s.advance(now)
	p := s.programs[id]
	if p == nil {
		return
	}
	s.depart(p)
	s.dropAll(p, id)
}
