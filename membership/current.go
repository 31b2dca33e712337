package membership

import "reflect"

// IsCurrent says whether an announcement repeats what is known of the server,
// so that renewing its lease is enough.
func (m *StateMachine) IsCurrent(a Announcement) bool {
	s := m.servers[a.Server]
	if s == nil || s.Gone {
		return false
	}
	a.Leaving = a.Leaving || s.Leaving
	return reflect.DeepEqual(s.Announcement, a)
}

// Server returns a backend server that is a member.
func (m *StateMachine) Server(id string) (Server, bool) {
	s := m.servers[id]
	if s == nil || s.Gone {
		return Server{}, false
	}
	return s.Server, true
}

// AppliedRevision returns the configuration revision that an entry host has
// reported to this leader, or 0.
func (s *Leases) AppliedRevision(member Member) int64 {
	if l := s.leases[member]; l != nil {
		return l.appliedRevision
	}
	return 0
}
