package replica

import (
	"slices"
	"time"

	"github.com/sycamoreline/sycamoreline/disk"
)

// formation is the state for forming a group and for joining one.
//
// The coordinator (the initial member with the lowest id) chooses the initial
// membership. A replica addresses each join to the latest known incarnation of
// the receiver. The join carries a nonce, which the sender changes whenever it
// receives a join from another incarnation of the coordinator. A replica adopts
// an initial membership only if its log is empty and the message carries the
// replica's current nonce. Thus every replica that has received a join from a
// later incarnation of the coordinator rejects a delayed membership from a lost
// one.
type formation struct {
	nonce      uint64
	latest     map[string]Ref       // latest known incarnation by id
	empty      map[string]emptyPeer // replicas with empty logs by id
	nextJoinAt time.Duration        // when this replica sends the next join
}

// emptyPeer is a replica that has announced an empty log.
type emptyPeer struct {
	ref        Ref
	nonce      uint64
	receivedAt time.Duration
}

func (n *Node) newFormation() formation {
	return formation{nonce: n.Random.Uint64(), latest: map[string]Ref{}, empty: map[string]emptyPeer{}}
}

func (n *Node) coordinator() string {
	if len(n.Initial) == 0 {
		return ""
	}
	return slices.Min(n.Initial)
}

// SetJoinPeers sets the ids of replicas of an open group to which this one
// sends its requests to join.
func (n *Node) SetJoinPeers(ids []string) { n.joinPeers = ids }

func (n *Node) joinTargets() []string {
	if !n.Open {
		return n.Initial
	}
	ids := append(slices.Clone(n.Initial), n.joinPeers...)
	for _, x := range n.members {
		ids = append(ids, x.ID)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// tickJoin sends join requests while this replica has no contact with a leader.
// They are needed if its log is empty, or if the membership that added it was
// never committed, so that the leader sends it nothing. Join requests of
// members that have only lost contact with their leader have no effect.
func (n *Node) tickJoin(now Now) {
	if n.role == Leader || n.leaderActive(now) || now.Elapsed < n.formation.nextJoinAt {
		return
	}
	n.formation.nextJoinAt = now.Elapsed + n.Timing.Heartbeat
	for _, id := range n.joinTargets() {
		if id != n.Self.ID {
			to := n.formation.latest[id]
			to.ID = id
			m := n.message(join, to)
			m.Index, m.Round = n.log.last(), n.formation.nonce
			n.sendNow(m)
		}
	}
}

// formGroup writes the initial membership and sends it to the other initial
// members, once all of them have announced empty logs within the last four
// heartbeat intervals. Only the coordinator does so.
func (n *Node) formGroup(now Now) {
	if n.Self.ID != n.coordinator() || !slices.Contains(n.Initial, n.Self.ID) {
		return
	}
	var members Members
	for _, id := range n.Initial {
		ref := n.Self
		if id != n.Self.ID {
			p, ok := n.formation.empty[id]
			if !ok || now.Elapsed-p.receivedAt > 4*n.Timing.Heartbeat {
				return
			}
			ref = p.ref
		}
		members = append(members, Member{Ref: ref})
	}
	n.writeInitialMembership(members)
	n.electionAt = now.Elapsed + n.Timing.Heartbeat
	for _, r := range n.others() {
		n.sendForm(r, n.formation.empty[r.ID].nonce)
	}
}

// writeInitialMembership writes the initial membership as the first log entry,
// which is the same on every initial member.
func (n *Node) writeInitialMembership(members Members) {
	n.setHardState(disk.HardState{Term: 1})
	n.putEntries([]disk.Entry{{Index: 1, Term: 1, Kind: disk.Membership, Data: members.encode()}})
}

func (n *Node) sendForm(to Ref, nonce uint64) {
	m := n.message(form, to)
	m.Members, m.Round = n.members, nonce
	n.sendAfterPersist(m)
}

func (n *Node) onForm(now Now, m Message) {
	if n.formed() || !m.Members.isVoter(n.Self) || m.Round != n.formation.nonce {
		return
	}
	n.writeInitialMembership(m.Members)
	n.resetElectionTimer(now)
}

func (n *Node) onJoin(now Now, m Message) {
	if n.formation.latest[m.From.ID] != m.From {
		n.formation.latest[m.From.ID] = m.From
		if m.From.ID == n.coordinator() {
			n.formation.nonce = n.Random.Uint64()
		}
	}
	switch {
	case n.role == Leader:
		n.addJoiner(now, m.From)
	case n.formed() && n.log.last() == 1 && n.members.isVoter(m.From):
		n.sendForm(m.From, m.Round) // the previous form message may be lost
	case m.Index == 0 && m.To == n.Self:
		n.formation.empty[m.From.ID] = emptyPeer{ref: m.From, nonce: m.Round, receivedAt: now.Elapsed}
	}
}
