package replica

import (
	"slices"
	"time"

	"github.com/sycamoreline/sycamoreline/disk"
)

// joiner is a new incarnation of a member whose disk was lost.
type joiner struct {
	ref Ref
	at  time.Duration
}

func (n *Node) onJoiner(now Now, r Ref) {
	if n.leaving(r.ID) {
		return
	}
	if _, ok := n.members.find(r); !ok && r.ID != n.Self.ID {
		n.lead.joining[r.ID] = joiner{ref: r, at: now.Elapsed}
	}
}

// reconfigure moves the replacement of a lost replica on by one step, if the last
// membership change is committed.
func (n *Node) reconfigure(now Now) {
	if n.membersIndex > n.commit || n.commit < n.lead.termStart {
		return
	}
	if next := n.nextMembers(now); next != nil {
		n.appendAsLeader(now, disk.Membership, [][]byte{next.encode()})
		n.replicate()
	}
}

func (n *Node) nextMembers(now Now) Members {
	if next := n.withoutLeaving(now); next != nil {
		return next
	}
	for _, id := range n.eligibleIDs() {
		if next := n.nextMembersFor(now, id); next != nil {
			return next
		}
	}
	return n.withoutLost(now)
}

// eligibleIDs returns the ids that may be members: the initial ones, and in an
// open group those of the members and of all that ask to join.
func (n *Node) eligibleIDs() []string {
	if !n.Open {
		return n.Initial
	}
	ids := slices.Clone(n.Initial)
	for _, x := range n.members {
		ids = append(ids, x.ID)
	}
	for id := range n.lead.joining {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// lostVoter returns whether a voter of an open group is silent, and the one that
// a new member replaces: the one that has been silent longest, for two election
// timeouts or more, if those that answer are a quorum without it. A new member
// gets no vote before that: of three voters and one more, the loss of another
// one would leave two of four.
func (n *Node) lostVoter(now Now) (lost Ref, silent bool) {
	if !n.Open {
		return Ref{}, false
	}
	voters, answering := 0, 0
	longest := 2 * n.Timing.Election
	for _, x := range n.members {
		if x.Learner {
			continue
		}
		voters++
		if n.active(now, x.Ref) && n.hasResponded(x.Ref) {
			answering++
			continue
		}
		silent = true
		if d := n.sinceLastContact(now, x.Ref); d >= longest {
			lost, longest = x.Ref, d
		}
	}
	if answering < (voters-1)/2+1 {
		return Ref{}, silent
	}
	return lost, silent
}

// SetRetiring sets the ids of members that are to leave an open group for good.
func (n *Node) SetRetiring(ids []string) { n.retiring = ids }

// SetDesiredMembers sets the ids that are to be the members of an open group. Others
// may not join, and those that are members leave once all that are wanted have
// a vote. nil lets any replica join.
func (n *Node) SetDesiredMembers(ids []string) { n.desired = ids }

// leaving returns whether a replica is to be a member no longer.
func (n *Node) leaving(id string) bool {
	return slices.Contains(n.retiring, id) || n.desired != nil && !slices.Contains(n.desired, id)
}

// desiredVotersActive returns whether all replicas that are to be members have a vote
// and answer.
func (n *Node) desiredVotersActive(now Now) bool {
	for _, id := range n.desired {
		if !slices.ContainsFunc(n.members, func(x Member) bool { return x.ID == id && !x.Learner && n.active(now, x.Ref) }) {
			return false
		}
	}
	return true
}

// withoutLeaving removes one member that is to leave, if all others answer. A
// leader that is to leave hands over first.
func (n *Node) withoutLeaving(now Now) Members {
	if len(n.retiring) == 0 && n.desired == nil || !n.desiredVotersActive(now) {
		return nil
	}
	for _, x := range n.members {
		if !x.Learner && !n.active(now, x.Ref) && !n.leaving(x.ID) {
			return nil
		}
	}
	for _, x := range n.members {
		if !n.leaving(x.ID) {
			continue
		}
		if x.Ref != n.Self {
			return n.members.without(x.Ref)
		}
		if h := n.lead.transferTo; h == (Ref{}) || !n.active(now, h) {
			n.lead.transferTo = n.transferTarget(now)
			n.completeTransfer(now)
		}
	}
	return nil
}

// minVoters is the number of voters below which an open group removes none: of
// three, one may be lost.
const minVoters = 3

// withoutLost removes one member of an open group that has been silent for
// Timing.Remove, if all other voters answer. A host that is gone for good would
// otherwise count towards the quorum for ever; one that returns joins again.
func (n *Node) withoutLost(now Now) Members {
	if !n.Open || n.Timing.RemoveAfter <= 0 {
		return nil
	}
	var lost Ref
	voters := 0
	for _, x := range n.members {
		silent := x.Ref != n.Self && n.sinceLastContact(now, x.Ref) >= n.Timing.RemoveAfter
		switch {
		case x.Learner && silent:
			return n.members.without(x.Ref)
		case x.Learner:
		case silent && lost == (Ref{}):
			lost = x.Ref
		case !n.active(now, x.Ref):
			return nil
		default:
			voters++
		}
	}
	if lost == (Ref{}) || voters < minVoters {
		return nil
	}
	return n.members.without(lost)
}

// hasResponded returns whether a member has answered this leader at all. A new
// leader counts all members as active at first.
func (n *Node) hasResponded(r Ref) bool {
	p := n.lead.progress[r]
	return r == n.Self || p != nil && p.responded
}

func (n *Node) sinceLastContact(now Now, r Ref) time.Duration {
	p := n.lead.progress[r]
	if p == nil {
		return 0
	}
	return now.Elapsed - p.lastContact
}

// nextMembersFor returns the membership after the next step for one id: a new
// incarnation becomes a learner; once it has caught up, the old one is removed
// and then the new one made a voter. The old one goes first because it counts
// towards the quorum but can no longer vote: with both as voters, the loss of
// the new one too would leave two of four, and the group stuck for good.
func (n *Node) nextMembersFor(now Now, id string) Members {
	lives := n.incarnations(id)
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
		return n.afterCatchUp(now, lives)
	}
	return nil
}

func (n *Node) afterCatchUp(now Now, lives Members) Members {
	if len(lives) > 1 {
		return n.members.without(lives[0].Ref)
	}
	if lost, silent := n.lostVoter(now); silent {
		if lost == (Ref{}) {
			return nil
		}
		return n.members.without(lost)
	}
	return n.members.with(Member{Ref: lives[0].Ref})
}

// incarnations returns the members with an id, oldest first.
func (n *Node) incarnations(id string) Members {
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
	return r == n.Self || p != nil && now.Elapsed-p.lastContact < n.Timing.Election
}
