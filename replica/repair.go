package replica

import (
	"time"

	"github.com/sycamoreline/sycamoreline/disk"
)

// joiner is a new incarnation of a member whose disk was lost.
type joiner struct {
	ref Ref
	at  time.Duration
}

func (n *Node) onJoiner(now Now, r Ref) {
	if _, ok := n.members.find(r); !ok && r.ID != n.Self.ID {
		n.lead.joining[r.ID] = joiner{ref: r, at: now.Elapsed}
	}
}

// repair moves the replacement of a lost replica on by one step, if the last
// membership change is committed.
func (n *Node) repair(now Now) {
	if n.membersIndex > n.commit || n.commit < n.lead.termStart {
		return
	}
	if next := n.nextMembers(now); next != nil {
		n.appendOwn(now, disk.Membership, [][]byte{next.encode()})
		n.replicate()
	}
}

func (n *Node) nextMembers(now Now) Members {
	for _, id := range n.Initial {
		if next := n.nextFor(now, id); next != nil {
			return next
		}
	}
	return nil
}

// nextFor returns the membership after the next step for one id: a new
// incarnation becomes a learner; once it has caught up, the old one is removed
// and then the new one made a voter. The old one goes first because it counts
// towards the quorum but can no longer vote: with both as voters, the loss of
// the new one too would leave two of four, and the group stuck for good.
func (n *Node) nextFor(now Now, id string) Members {
	lives := n.lives(id)
	j, joining := n.lead.joining[id]
	joining = joining && now.Elapsed-j.at < n.Timing.Election
	if len(lives) == 0 {
		if joining {
			return n.members.with(Member{Ref: j.ref, Learner: true})
		}
		return nil
	}
	newest := lives[len(lives)-1]
	switch {
	case joining && newest.Ref == j.ref:
		delete(n.lead.joining, id)
		return nil
	case joining && newest.Learner:
		return n.members.without(newest.Ref) // it was lost before it caught up
	case joining:
		return n.members.with(Member{Ref: j.ref, Learner: true})
	case newest.Learner && !n.active(now, newest.Ref) && n.active(now, lives[0].Ref):
		return n.members.without(newest.Ref) // a late message announced it
	case newest.Learner && n.caughtUp(now, newest.Ref):
		return n.afterCatchUp(lives)
	}
	return nil
}

func (n *Node) afterCatchUp(lives Members) Members {
	if len(lives) > 1 {
		return n.members.without(lives[0].Ref)
	}
	return n.members.with(Member{Ref: lives[0].Ref})
}

// lives returns the members with an id, oldest first.
func (n *Node) lives(id string) Members {
	var out Members
	for _, x := range n.members {
		if x.ID == id {
			out = append(out, x)
		}
	}
	return out
}

func (n *Node) caughtUp(now Now, r Ref) bool {
	p := n.lead.progress[r]
	return p != nil && !p.probing && p.match >= n.commit && n.active(now, r)
}

// active returns whether a member answered lately.
func (n *Node) active(now Now, r Ref) bool {
	p := n.lead.progress[r]
	return r == n.Self || p != nil && now.Elapsed-p.heardAt < n.Timing.Election
}
