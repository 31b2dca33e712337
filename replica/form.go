package replica

import (
	"slices"
	"time"

	"github.com/sycamoreline/sycamoreline/disk"
)

// emptyPeer is a replica that said that its log is empty.
type emptyPeer struct {
	ref Ref
	at  time.Duration
}

// tickJoin announces a replica that no leader talks to: one with an empty log,
// or one that the leader does not know because the membership that named it
// was never committed. Members that only lost their leader do no harm by it.
func (n *Node) tickJoin(now Now) {
	if n.role == Leader || n.hearsLeader(now) || now.Elapsed < n.joinAt {
		return
	}
	n.joinAt = now.Elapsed + n.Timing.Heartbeat
	for _, id := range n.Initial {
		if id != n.Self.ID {
			m := n.message(join, Ref{ID: id})
			m.Index = n.log.last()
			n.early(m)
		}
	}
}

// formGroup writes the first membership once all initial members have said
// that their logs are empty. Only the member with the lowest id does so.
func (n *Node) formGroup(now Now) {
	if n.Self.ID != slices.Min(n.Initial) {
		return
	}
	var members Members
	for _, id := range n.Initial {
		ref := n.Self
		if id != n.Self.ID {
			p, ok := n.empty[id]
			if !ok || now.Elapsed-p.at > 3*n.Timing.Heartbeat {
				return
			}
			ref = p.ref
		}
		members = append(members, Member{Ref: ref})
	}
	n.adopt(members)
	n.electionAt = now.Elapsed + n.Timing.Heartbeat
	for _, r := range n.others() {
		n.sendForm(r)
	}
}

// adopt writes the first entry, which is the same on every initial member.
func (n *Node) adopt(members Members) {
	n.setHard(disk.HardState{Term: 1})
	n.putEntries([]disk.Entry{{Index: 1, Term: 1, Kind: disk.Membership, Data: members.encode()}})
}

func (n *Node) sendForm(to Ref) {
	m := n.message(form, to)
	m.Members = n.members
	n.after(m)
}

func (n *Node) onForm(now Now, m Message) {
	if n.formed() || !m.Members.isVoter(n.Self) {
		return
	}
	// A late message from a former incarnation of the sender must not form a
	// second group.
	if p, ok := n.empty[m.From.ID]; ok && p.ref != m.From {
		return
	}
	n.adopt(m.Members)
	n.resetElection(now)
}

func (n *Node) onJoin(now Now, m Message) {
	if m.Index == 0 {
		n.empty[m.From.ID] = emptyPeer{ref: m.From, at: now.Elapsed}
	}
	switch {
	case n.role == Leader:
		n.onJoiner(now, m.From)
	case n.formed() && n.log.last() == 1 && n.members.isVoter(m.From):
		n.sendForm(m.From) // the first message was lost
	}
}
