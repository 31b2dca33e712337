package membership

import "reflect"

// IsCurrent reports whether an announcement would not change the record of a
// member, so that it need not be proposed: renewing the lease is enough.
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

// AppliedRevision returns the latest configuration revision that an entry host
// has reported to this leader as applied, or 0.
func (s *Leases) AppliedRevision(member Member) int64 {
	if l := s.leases[member]; l != nil {
		return l.appliedRevision
	}
	return 0
}
