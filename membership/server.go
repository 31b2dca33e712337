package membership

import (
	"reflect"
	"slices"
)

// maxReplaced is the maximum number of replaced incarnations recorded per server.
const maxReplaced = 32

// server is the state of a backend server, and its JSON record in a snapshot.
type server struct {
	Server
	// JoinRevision is the member revision at which the server last joined.
	JoinRevision int64 `json:"joined"`
	GoneAt       int64 `json:"gone-at,omitempty"` // Unix milliseconds
	// ReplacedIncarnations is sorted by the time of replacement, oldest first.
	ReplacedIncarnations []string `json:"retired,omitempty"`
}

func (m *StateMachine) announce(a *Announcement) Result {
	s := m.servers[a.Server]
	if s == nil {
		s = &server{Server: Server{Gone: true}}
		m.servers[a.Server] = s
	} else if s.isReplaced(a.Incarnation) || (s.Incarnation == a.Incarnation && !m.canRejoin(s)) {
		return m.refuse(StaleIncarnation, "server %q incarnation %q was replaced or has left", a.Server, a.Incarnation)
	}
	next := *a
	replaces := s.Incarnation != a.Incarnation
	if !replaces {
		// A delayed announcement must not make a leaving server available again.
		next.Leaving = a.Leaving || s.Leaving
	}
	if replaces || s.Gone || !reflect.DeepEqual(s.Announcement, next) {
		m.setAnnouncement(s, next)
	}
	copied := s.Server
	return Result{Server: &copied}
}

// setAnnouncement replaces the announcement of a server, which is a member
// afterwards.
func (m *StateMachine) setAnnouncement(s *server, a Announcement) {
	joins := s.Gone || s.Incarnation != a.Incarnation
	if s.Incarnation != "" && s.Incarnation != a.Incarnation {
		s.ReplacedIncarnations = append(s.ReplacedIncarnations, s.Incarnation)
		if excess := len(s.ReplacedIncarnations) - maxReplaced; excess > 0 {
			s.ReplacedIncarnations = slices.Delete(s.ReplacedIncarnations, 0, excess)
		}
	}
	s.Announcement, s.Gone, s.GoneAt = a, false, 0
	m.recordServerChange(s)
	if joins {
		s.JoinRevision = s.Revision
	}
}

func (s *server) isReplaced(incarnation string) bool {
	return slices.Contains(s.ReplacedIncarnations, incarnation)
}

// canRejoin reports whether the current incarnation of a server is a member or
// can rejoin.
func (m *StateMachine) canRejoin(s *server) bool {
	return !s.Gone || (!s.Leaving && m.clock < s.GoneAt+m.options.rejoinWindow)
}

// Alive reports whether a server incarnation is a member or can rejoin. The
// engine memory of any other incarnation is lost.
func (m *StateMachine) Alive(id, incarnation string) bool {
	s := m.servers[id]
	return s != nil && s.Incarnation == incarnation && m.canRejoin(s)
}

func (m *StateMachine) recordServerChange(s *server) {
	s.Revision = m.recordChange(s.Revision, recordKey{server: s.Announcement.Server}, s.Gone)
}

// expire removes the given incarnations, and leaves other incarnations of the
// same members unchanged.
func (m *StateMachine) expire(c *Expire) Result {
	var r Result
	for _, member := range c.Members {
		if m.remove(member) {
			r.Expired = append(r.Expired, member)
		}
	}
	return r
}

func (m *StateMachine) remove(member Member) bool {
	if _, ok := m.joinRevision(member); !ok {
		return false
	}
	if member.Kind == HostMember {
		h := m.hosts[hostIncarnation{member.ID, member.Incarnation}]
		h.Gone = true
		m.liveHosts--
		m.recordHostChange(h)
		return true
	}
	s := m.servers[member.ID]
	s.Gone, s.GoneAt = true, m.clock
	m.recordServerChange(s)
	return true
}

// joinRevision returns the revision at which a member last joined, or false if it
// is not a member.
func (m *StateMachine) joinRevision(member Member) (revision int64, ok bool) {
	switch member.Kind {
	case HostMember:
		if h := m.hosts[hostIncarnation{member.ID, member.Incarnation}]; h != nil && !h.Gone {
			return h.JoinRevision, true
		}
	case ServerMember:
		if s := m.servers[member.ID]; s != nil && s.Incarnation == member.Incarnation && !s.Gone {
			return s.JoinRevision, true
		}
	}
	return 0, false
}
