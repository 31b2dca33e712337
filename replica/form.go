package replica

import (
	"slices"
	"time"

	"github.com/sycamoreline/sycamoreline/disk"
)

// formation is what a replica knows before it belongs to a group.
//
// A replica with an empty log addresses its joins to the incarnation of the
// coordinator (the initial member with the lowest id) that it knows, with a
// nonce that changes whenever it hears of another one. A membership is adopted
// only with the current nonce. So a membership that a lost incarnation of the
// coordinator sent, and that arrives late, is refused by every replica on
// which a later incarnation counts.
type formation struct {
	nonce  uint64
	latest  map[string]Ref       // last incarnation heard of, by id
	empty  map[string]emptyPeer // replicas with empty logs, by id
	nextJoinAt time.Duration        // when this replica announces itself next
}

// emptyPeer is a replica that said that its log is empty.
type emptyPeer struct {
	ref   Ref
	nonce uint64
	at    time.Duration
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

// SetJoinPeers sets the ids of replicas of an open group that this one asks to
// let it join.
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

// tickJoin announces a replica that no leader talks to: one with an empty log,
// or one that the leader does not know because the membership that named it
// was never committed. Members that only lost their leader do no harm by it.
func (n *Node) tickJoin(now Now) {
	if n.role == Leader || n.leaderActive(now) || now.Elapsed < n.form.nextJoinAt {
		return
	}
	n.form.nextJoinAt = now.Elapsed + n.Timing.Heartbeat
	for _, id := range n.joinTargets() {
		if id != n.Self.ID {
			to := n.form.latest[id]
			to.ID = id
			m := n.message(join, to)
			m.Index, m.Round = n.log.last(), n.form.nonce
			n.sendNow(m)
		}
	}
}

// formGroup writes the first membership once all initial members have said
// that their logs are empty. Only the member with the lowest id does so.
func (n *Node) formGroup(now Now) {
	if n.Self.ID != n.coordinator() || !slices.Contains(n.Initial, n.Self.ID) {
		return
	}
	var members Members
	for _, id := range n.Initial {
		ref := n.Self
		if id != n.Self.ID {
			p, ok := n.form.empty[id]
			if !ok || now.Elapsed-p.at > 4*n.Timing.Heartbeat {
				return
			}
			ref = p.ref
		}
		members = append(members, Member{Ref: ref})
	}
	n.adopt(members)
	n.electionAt = now.Elapsed + n.Timing.Heartbeat
	for _, r := range n.others() {
		n.sendForm(r, n.form.empty[r.ID].nonce)
	}
}

// adopt writes the first entry, which is the same on every initial member.
func (n *Node) adopt(members Members) {
	n.setHardState(disk.HardState{Term: 1})
	n.putEntries([]disk.Entry{{Index: 1, Term: 1, Kind: disk.Membership, Data: members.encode()}})
}

func (n *Node) sendForm(to Ref, nonce uint64) {
	m := n.message(form, to)
	m.Members, m.Round = n.members, nonce
	n.sendAfterPersist(m)
}

func (n *Node) onForm(now Now, m Message) {
	if n.formed() || !m.Members.isVoter(n.Self) || m.Round != n.form.nonce {
		return
	}
	n.adopt(m.Members)
	n.resetElectionTimer(now)
}

func (n *Node) onJoin(now Now, m Message) {
	if n.form.latest[m.From.ID] != m.From {
		n.form.latest[m.From.ID] = m.From
		if m.From.ID == n.coordinator() {
			n.form.nonce = n.Random.Uint64()
		}
	}
	switch {
	case n.role == Leader:
		n.onJoiner(now, m.From)
	case n.formed() && n.log.last() == 1 && n.members.isVoter(m.From):
		n.sendForm(m.From, m.Round) // the first message was lost
	case m.Index == 0 && m.To == n.Self:
		n.form.empty[m.From.ID] = emptyPeer{ref: m.From, nonce: m.Round, at: now.Elapsed}
	}
}
