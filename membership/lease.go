package membership

import (
	"cmp"
	"time"

	"github.com/tidwall/btree"
)

// Leases is the lease table in the memory of group 0's leader. Times are
// durations on the leader's monotonic clock. It is not safe for concurrent
// use, and needs the same synchronisation as its machine.
//
// The leader must answer a heartbeat only after a quorum has confirmed its
// leadership since the heartbeat arrived. Otherwise a deposed leader could
// renew a lease that its successor counts as run out.
type Leases struct {
	machine  *StateMachine
	ttl      time.Duration
	leases   map[Member]*lease
	byExpiry *btree.BTreeG[*lease]
	// synced is the member revision up to which members have a lease.
	synced int64
	// inForceRevision is the greatest configuration revision found in force.
	inForceRevision int64
}

type lease struct {
	member          Member
	joinRevision    int64 // revision at which the member joined; a later join is a new lease
	expiresAt       time.Duration
	appliedRevision int64 // configuration revision
}

// NewLeases returns an empty table for the members of machine. Call Extend
// when leadership begins.
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

// Renew renews the lease of a member by a full TTL. It returns false for one
// that is not a member, was replaced, or whose lease has run out: it has to
// join or announce again once the expiry has been applied.
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

// SetAppliedRevision notes the configuration revision that an entry host has reported.
func (s *Leases) SetAppliedRevision(member Member, revision int64) {
	if l := s.leases[member]; l != nil {
		l.appliedRevision = max(l.appliedRevision, revision)
	}
}

// Expired returns the members whose lease has run out, for an Expire command.
// A member is returned until that command was applied.
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

// ExtendAll gives every member a full TTL. A new leader does not know when the
// leader before it renewed a lease last.
func (s *Leases) ExtendAll(now time.Duration) {
	s.synced = 0
	s.sync(now)
	for _, l := range s.byExpiry.Items() {
		s.setExpiry(l, max(l.expiresAt, now+s.ttl))
	}
}

// InForce says whether every entry host has applied a configuration revision
// or let its lease run out. If not, it returns the hosts that are waited for.
// A revision that was in force once stays so: a host that joins later applies
// the latest configuration before it accepts work.
func (s *Leases) InForce(now time.Duration, revision int64) (ok bool, waiting []Member) {
	if revision <= s.inForceRevision {
		return true, nil
	}
	s.sync(now)
	s.byExpiry.Ascend(&lease{expiresAt: now + 1}, func(l *lease) bool {
		if l.member.Kind == HostMember && l.appliedRevision < revision {
			waiting = append(waiting, l.member)
		}
		return true
	})
	if len(waiting) > 0 {
		return false, waiting
	}
	s.inForceRevision = revision
	return true, nil
}

// Hosts returns the entry hosts, sorted, with the configuration revision that
// each has reported to this leader.
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

// sync gives members that joined since the last call a lease.
func (s *Leases) sync(now time.Duration) {
	if s.synced == s.machine.revision {
		return
	}
	s.machine.changed.Ascend(s.synced+1, func(_ int64, it recordKey) bool {
		member, ok := s.machine.member(it)
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

func (s *Leases) setExpiry(l *lease, until time.Duration) {
	s.byExpiry.Delete(l)
	l.expiresAt = until
	s.byExpiry.Set(l)
}

// member returns the member that a record is about.
func (m *StateMachine) member(it recordKey) (member Member, ok bool) {
	switch {
	case it.server != "":
		return Member{ServerMember, it.server, m.servers[it.server].Incarnation}, true
	case it.host.host != "":
		return Member{HostMember, it.host.host, it.host.incarnation}, true
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
