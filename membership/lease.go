package membership

import (
	"cmp"
	"time"

	"github.com/tidwall/btree"
)

// Leases is the table of the members' leases. It is not replicated: the leader of
// the membership group, group 0, keeps it in memory. Times are durations on the
// leader's monotonic clock. It is not safe for concurrent use, and shares the
// synchronisation of its state machine.
//
// The leader must acknowledge a heartbeat only after a quorum has confirmed its
// leadership since the heartbeat arrived. Otherwise a deposed leader could
// renew a lease that its successor treats as expired.
type Leases struct {
	machine  *StateMachine
	ttl      time.Duration
	leases   map[Member]*lease
	byExpiry *btree.BTreeG[*lease]
	// synced is the member revision up to which the table has been updated.
	synced int64
	// inForceRevision is the greatest configuration revision known to be in force.
	inForceRevision int64
}

type lease struct {
	member          Member
	joinRevision    int64 // member revision of the join; a later join starts a new lease
	expiresAt       time.Duration
	appliedRevision int64 // configuration revision
}

// NewLeases returns an empty lease table for the members of a state machine. A
// new leader must call ExtendAll.
func NewLeases(machine *StateMachine, ttl time.Duration) *Leases {
	return &Leases{
		machine: machine, ttl: ttl, leases: make(map[Member]*lease),
		byExpiry: btree.NewBTreeGOptions(lessByExpiry, btree.Options{NoLocks: true}),
	}
}

func lessByExpiry(a, b *lease) bool {
	return cmp.Or(cmp.Compare(a.expiresAt, b.expiresAt), cmp.Compare(a.member.Kind, b.member.Kind),
		cmp.Compare(a.member.ID, b.member.ID), cmp.Compare(a.member.Incarnation, b.member.Incarnation)) < 0
}

// Renew sets the expiry of a member's lease to a full TTL from now. It returns
// false if the member is unknown, was replaced, or has an expired lease. An
// unknown member has to join or announce. So does one with an expired lease,
// once the Expire command has been applied.
func (s *Leases) Renew(now time.Duration, member Member) bool {
	joined, ok := s.machine.joinRevision(member)
	if !ok || s.machine.isReplaced(member) {
		return false
	}
	l := s.leases[member]
	if l == nil || l.joinRevision != joined {
		s.set(&lease{member: member, joinRevision: joined, expiresAt: now + s.ttl})
		return true
	}
	if l.expiresAt <= now {
		return false
	}
	s.setExpiry(l, now+s.ttl)
	return true
}

// SetAppliedRevision records a configuration revision that an entry host has
// reported as applied. An older revision has no effect.
func (s *Leases) SetAppliedRevision(member Member, revision int64) {
	if l := s.leases[member]; l != nil {
		l.appliedRevision = max(l.appliedRevision, revision)
	}
}

// Expired returns the members whose lease has expired, for an Expire command. A
// member is returned until that command is applied.
func (s *Leases) Expired(now time.Duration) []Member {
	s.sync(now)
	var members []Member
	var stale []*lease
	s.byExpiry.Scan(func(l *lease) bool {
		if l.expiresAt > now {
			return false
		}
		if joined, ok := s.machine.joinRevision(l.member); ok && joined == l.joinRevision {
			members = append(members, l.member)
		} else {
			stale = append(stale, l)
		}
		return true
	})
	for _, l := range stale {
		s.byExpiry.Delete(l)
		delete(s.leases, l.member)
	}
	return members
}

// ExtendAll renews the leases of all members by a full TTL. A new leader must call
// it, since the renewals by the previous leader are not replicated.
func (s *Leases) ExtendAll(now time.Duration) {
	s.synced = 0
	s.sync(now)
	for _, l := range s.byExpiry.Items() {
		s.setExpiry(l, max(l.expiresAt, now+s.ttl))
	}
}

// InForce reports whether a configuration revision is in force, which means that
// every entry host with an unexpired lease has applied it. If not, it returns the
// hosts that have not. A revision once in force stays in force: a host that joins
// later applies the latest configuration before it accepts work.
func (s *Leases) InForce(now time.Duration, revision int64) (ok bool, pending []Member) {
	if revision <= s.inForceRevision {
		return true, nil
	}
	s.sync(now)
	s.byExpiry.Ascend(&lease{expiresAt: now + 1}, func(l *lease) bool {
		if l.member.Kind == HostMember && l.appliedRevision < revision {
			pending = append(pending, l.member)
		}
		return true
	})
	if len(pending) > 0 {
		return false, pending
	}
	s.inForceRevision = revision
	return true, nil
}

// Hosts returns the entry hosts, sorted by id and incarnation, with the latest
// configuration revision that each has reported to this leader as applied.
func (s *Leases) Hosts() []Host {
	var hosts []Host
	for _, id := range s.machine.sortedHosts() {
		h := s.machine.hosts[id].Host
		if l := s.leases[Member{HostMember, id.host, id.incarnation}]; l != nil {
			h.AppliedRevision = l.appliedRevision
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// sync adds a lease for each member that has joined since the last call.
func (s *Leases) sync(now time.Duration) {
	if s.synced == s.machine.revision {
		return
	}
	s.machine.changed.Ascend(s.synced+1, func(_ int64, key recordKey) bool {
		member, ok := s.machine.member(key)
		if !ok {
			return true
		}
		joined, ok := s.machine.joinRevision(member)
		if l := s.leases[member]; ok && (l == nil || l.joinRevision != joined) {
			s.set(&lease{member: member, joinRevision: joined, expiresAt: now + s.ttl})
		}
		return true
	})
	s.synced = s.machine.revision
}

func (s *Leases) set(l *lease) {
	if before := s.leases[l.member]; before != nil {
		s.byExpiry.Delete(before)
		l.appliedRevision = before.appliedRevision
	}
	s.leases[l.member] = l
	s.byExpiry.Set(l)
}

func (s *Leases) setExpiry(l *lease, expiresAt time.Duration) {
	s.byExpiry.Delete(l)
	l.expiresAt = expiresAt
	s.byExpiry.Set(l)
}

// member returns the member that a record key identifies, or false for the key of
// a suspect.
func (m *StateMachine) member(key recordKey) (member Member, ok bool) {
	switch {
	case key.server != "":
		return Member{ServerMember, key.server, m.servers[key.server].Incarnation}, true
	case key.host.host != "":
		return Member{HostMember, key.host.host, key.host.incarnation}, true
	}
	return Member{}, false
}

func (m *StateMachine) isReplaced(member Member) bool {
	if member.Kind != HostMember {
		return false
	}
	h := m.hosts[hostIncarnation{member.ID, member.Incarnation}]
	return h != nil && h.Replaced
}
