package replica

import (
	"slices"
	"time"

	"github.com/sycamoreline/sycamoreline/disk"
)

// joiner is a replica that has requested to join: a new incarnation of a member
// whose disk was lost or, in an open group, one with a new id.
type joiner struct {
	ref        Ref
	receivedAt time.Duration
}

func (n *Node) addJoiner(now Now, r Ref) {
	if n.leaving(r.ID) {
		return
	}
	if _, ok := n.members.find(r); !ok && r.ID != n.Self.ID {
		n.leaderState.joining[r.ID] = joiner{ref: r, receivedAt: now.Elapsed}
	}
}

// reconfigure proposes the next membership change, such as a step in the
// replacement of a lost replica, if the previous change and an entry of the
// leader's own term are committed.
func (n *Node) reconfigure(now Now) {
	if n.membersIndex > n.commit || n.commit < n.leaderState.termStart {
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
// open group also those of the members and of replicas that request to join.
func (n *Node) eligibleIDs() []string {
	if !n.Open {
		return n.Initial
	}
	ids := slices.Clone(n.Initial)
	for _, x := range n.members {
		ids = append(ids, x.ID)
	}
	for id := range n.leaderState.joining {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// lostVoter returns the voter of an open group that a new member replaces, and
// whether any voter is unresponsive. The voter to replace is the one that has
// been unresponsive longest, for at least two election timeouts, provided that
// the responsive voters are a quorum without it. It is removed before the new
// member becomes a voter: if the new member were added to three voters of which
// one is lost, the loss of another one would leave two of four, which is no
// quorum.
func (n *Node) lostVoter(now Now) (lost Ref, unresponsive bool) {
	if !n.Open {
		return Ref{}, false
	}
	voters, responsive := 0, 0
	longest := 2 * n.Timing.Election
	for _, x := range n.members {
		if x.Learner {
			continue
		}
		voters++
		if n.active(now, x.Ref) && n.hasResponded(x.Ref) {
			responsive++
			continue
		}
		unresponsive = true
		if d := n.sinceLastContact(now, x.Ref); d >= longest {
			lost, longest = x.Ref, d
		}
	}
	if responsive < (voters-1)/2+1 {
		return Ref{}, unresponsive
	}
	return lost, unresponsive
}

// SetRetiring sets the ids of members to be removed permanently from an open
// group.
func (n *Node) SetRetiring(ids []string) { n.retiring = ids }

// SetDesiredMembers sets the ids of the desired members of an open group. Other
// replicas may not join, and other members are removed once all desired ones
// are voters. nil allows any replica to join.
func (n *Node) SetDesiredMembers(ids []string) { n.desired = ids }

// leaving returns whether a replica must be removed or kept out of the group.
func (n *Node) leaving(id string) bool {
	return slices.Contains(n.retiring, id) || n.desired != nil && !slices.Contains(n.desired, id)
}

// desiredVotersActive returns whether all desired members are active voters.
func (n *Node) desiredVotersActive(now Now) bool {
	for _, id := range n.desired {
		if !slices.ContainsFunc(n.members, func(x Member) bool { return x.ID == id && !x.Learner && n.active(now, x.Ref) }) {
			return false
		}
	}
	return true
}

// withoutLeaving returns the membership without one of the leaving members, or
// nil if there is none, if a desired member is not an active voter, or if a voter
// that stays is not active. A leaving leader transfers its leadership first.
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
		if target := n.leaderState.transferTo; target == (Ref{}) || !n.active(now, target) {
			n.startTransfer(now, n.transferTarget(now))
		}
	}
	return nil
}

// minVoters is the number of voters that must remain when an open group removes
// a lost one: with three, the loss of one more is tolerated.
const minVoters = 3

// withoutLost returns the membership of an open group without one member that
// has not replied for Timing.RemoveAfter, or nil if there is none. A voter is
// removed only if all other voters are active and there are at least minVoters
// of them. A host that is lost for good would otherwise count towards the
// quorum for ever; one that returns joins again.
func (n *Node) withoutLost(now Now) Members {
	if !n.Open || n.Timing.RemoveAfter <= 0 {
		return nil
	}
	var lost Ref
	voters := 0
	for _, x := range n.members {
		expired := x.Ref != n.Self && n.sinceLastContact(now, x.Ref) >= n.Timing.RemoveAfter
		switch {
		case x.Learner && expired:
			return n.members.without(x.Ref)
		case x.Learner:
		case expired && lost == (Ref{}):
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

// hasResponded returns whether a member has replied to an append of this leader
// at all. It is needed besides active, since a new leader counts all members as
// active at first.
func (n *Node) hasResponded(r Ref) bool {
	p := n.leaderState.progress[r]
	return r == n.Self || p != nil && p.responded
}

func (n *Node) sinceLastContact(now Now, r Ref) time.Duration {
	p := n.leaderState.progress[r]
	if p == nil {
		return 0
	}
	return now.Elapsed - p.lastContact
}

// nextMembersFor returns the membership after the next step in the replacement
// of one id, or nil if there is none: a new incarnation becomes a learner; once
// it has caught up, the old incarnation is removed and then the new one
// promoted to voter. The old one is removed first because it counts towards the
// quorum but can no longer vote: with both as voters, losing the new one too
// would leave two of four, and the group without a quorum for good.
func (n *Node) nextMembersFor(now Now, id string) Members {
	incarnations := n.incarnations(id)
	j, joining := n.leaderState.joining[id]
	joining = joining && now.Elapsed-j.receivedAt < n.Timing.Election
	if len(incarnations) == 0 {
		if joining {
			return n.members.with(Member{Ref: j.ref, Learner: true})
		}
		return nil
	}
	newest := incarnations[len(incarnations)-1]
	switch {
	case joining && newest.Ref == j.ref:
		delete(n.leaderState.joining, id)
		return nil
	case joining && newest.Learner:
		return n.members.without(newest.Ref) // lost before it caught up
	case joining:
		return n.members.with(Member{Ref: j.ref, Learner: true})
	case newest.Learner && !n.active(now, newest.Ref) && n.active(now, incarnations[0].Ref):
		return n.members.without(newest.Ref) // added by a delayed join of an old incarnation
	case newest.Learner && n.caughtUp(now, newest.Ref):
		return n.afterCatchUp(now, incarnations)
	}
	return nil
}

// afterCatchUp returns the next membership when the newest incarnation of an id,
// a learner, has caught up: without the oldest incarnation if there are several,
// without a lost voter if one must be replaced, or else with the learner
// promoted to voter. It returns nil if a voter is unresponsive but must not be
// removed yet.
func (n *Node) afterCatchUp(now Now, incarnations Members) Members {
	if len(incarnations) > 1 {
		return n.members.without(incarnations[0].Ref)
	}
	if lost, unresponsive := n.lostVoter(now); unresponsive {
		if lost == (Ref{}) {
			return nil
		}
		return n.members.without(lost)
	}
	return n.members.with(Member{Ref: incarnations[0].Ref})
}

// incarnations returns the incarnations of a replica that are members, in the
// order in which they joined.
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
	p := n.leaderState.progress[r]
	return p != nil && !p.probing && p.match >= n.commit && n.active(now, r)
}

// active returns whether a member has replied within the election timeout.
func (n *Node) active(now Now, r Ref) bool {
	p := n.leaderState.progress[r]
	return r == n.Self || p != nil && now.Elapsed-p.lastContact < n.Timing.Election
}
