package membership

import (
	"reflect"
	"slices"
)

// maxRetired limits the replaced incarnations that are recorded for a server.
const maxRetired = 32

// server is the state of a backend server, and its JSON record in a snapshot.
type server struct {
	Server
	// Joined is the member revision at which the server last joined.
	Joined int64 `json:"joined"`
	GoneAt int64 `json:"gone-at,omitempty"` // Unix milliseconds
	// Retired has the replaced incarnations, latest last.
	Retired []string `json:"retired,omitempty"`
}

func (m *Machine) announce(a *Announcement) Result {
	s := m.servers[a.Server]
	if s == nil {
		s = &server{Server: Server{Gone: true}}
		m.servers[a.Server] = s
	} else if s.isRetired(a.Incarnation) || (s.Incarnation == a.Incarnation && !m.canReturn(s)) {
		return m.refuse(StaleIncarnation, "server %q incarnation %q was replaced or has left", a.Server, a.Incarnation)
	}
	next := *a
	replaces := s.Incarnation != a.Incarnation
	if !replaces {
		// A delayed announcement must not make a leaving server available again.
		next.Leaving = a.Leaving || s.Leaving
	}
	if replaces || s.Gone || !reflect.DeepEqual(s.Announcement, next) {
		m.replace(s, next)
	}
	copied := s.Server
	return Result{Server: &copied}
}

func (m *Machine) replace(s *server, a Announcement) {
	rejoins := s.Gone || s.Incarnation != a.Incarnation
	if s.Incarnation != "" && s.Incarnation != a.Incarnation {
		s.Retired = append(s.Retired, s.Incarnation)
		if excess := len(s.Retired) - maxRetired; excess > 0 {
			s.Retired = slices.Delete(s.Retired, 0, excess)
		}
	}
	s.Announcement, s.Gone, s.GoneAt = a, false, 0
	m.noteServer(s)
	if rejoins {
		s.Joined = s.Revision
	}
}

func (s *server) isRetired(incarnation string) bool { return slices.Contains(s.Retired, incarnation) }

// canReturn reports whether the current incarnation of a server is a member or
// can rejoin.
func (m *Machine) canReturn(s *server) bool {
	return !s.Gone || (!s.Leaving && m.clock < s.GoneAt+m.options.returnWindow)
}

// Alive reports whether a server incarnation is a member or can rejoin. The
// engine memory of any other incarnation is lost.
func (m *Machine) Alive(id, incarnation string) bool {
	s := m.servers[id]
	return s != nil && s.Incarnation == incarnation && m.canReturn(s)
}

func (m *Machine) noteServer(s *server) {
	s.Revision = m.note(s.Revision, item{server: s.Announcement.Server}, s.Gone)
}

// expire removes members, except those that have a newer incarnation.
func (m *Machine) expire(c *Expire) Result {
	var r Result
	for _, member := range c.Members {
		if m.remove(member) {
			r.Expired = append(r.Expired, member)
		}
	}
	return r
}

func (m *Machine) remove(member Member) bool {
	if _, ok := m.joined(member); !ok {
		return false
	}
	if member.Kind == HostMember {
		h := m.hosts[hostID{member.ID, member.Incarnation}]
		h.Gone = true
		m.liveHosts--
		m.noteHost(h)
		return true
	}
	s := m.servers[member.ID]
	s.Gone, s.GoneAt = true, m.clock
	m.noteServer(s)
	return true
}

// joined returns the revision at which a member last joined, or false if it is
// not a member.
func (m *Machine) joined(member Member) (revision int64, ok bool) {
	switch member.Kind {
	case HostMember:
		if h := m.hosts[hostID{member.ID, member.Incarnation}]; h != nil && !h.Gone {
			return h.Joined, true
		}
	case ServerMember:
		if s := m.servers[member.ID]; s != nil && s.Incarnation == member.Incarnation && !s.Gone {
			return s.Joined, true
		}
	}
	return 0, false
}
