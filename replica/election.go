package replica

import (
	"time"

	"github.com/sycamoreline/sycamoreline/disk"
)

// resetElection restarts the election timeout of a follower.
func (n *Node) resetElection(now Now) {
	n.electionAt = now.Elapsed + n.Timing.Election + n.spread()
}

// retryElection sets the time of a candidate's next attempt, and of the first
// one after a start. The timeout is shorter than a follower's, because the group
// probably has no leader.
func (n *Node) retryElection(now Now) {
	n.electionAt = now.Elapsed + n.Timing.Election/4 + n.spread()
}

func (n *Node) spread() time.Duration {
	return time.Duration(n.Random.Int64N(int64(n.Timing.Election / 2)))
}

// follow makes the replica a follower. The term must not be lower than its own.
func (n *Node) follow(now Now, term uint64) {
	if term > n.hard.Term {
		n.setHard(disk.HardState{Term: term})
	}
	if n.role == Leader {
		n.refuseReads()
	}
	n.role, n.leader = Follower, Ref{}
	n.leaderHeard = false
	n.votes = nil
	n.resetElection(now)
}

// heard records a message from the leader of the current term.
func (n *Node) heard(now Now, leader Ref) {
	if n.role != Follower {
		n.follow(now, n.hard.Term)
	}
	n.leader, n.leaderHeardAt, n.leaderHeard = leader, now.Elapsed, true
	n.resetElection(now)
}

// hearsLeader returns whether this replica leads or had contact with a leader
// within the election timeout. It then ignores vote requests, unless they are
// sent on behalf of the leader.
func (n *Node) hearsLeader(now Now) bool {
	if n.role == Leader {
		return true
	}
	return n.leaderHeard && now.Elapsed-n.leaderHeardAt < n.Timing.Election
}

// campaign requests pre-votes.
func (n *Node) campaign(now Now) {
	n.retryElection(now)
	if !n.members.isVoter(n.Self) || n.stalled(now) || !n.mayVote(now) {
		return
	}
	n.role, n.leader, n.leaderHeard = PreCandidate, Ref{}, false
	n.votes = map[Ref]bool{n.Self: true}
	if n.won() {
		n.elect(now, false)
		return
	}
	n.askVotes(preVote, n.hard.Term+1, false)
}

// elect increments the term and requests votes. The candidate's own vote counts
// once it is on disk.
func (n *Node) elect(now Now, forced bool) {
	if !n.members.isVoter(n.Self) {
		return
	}
	n.retryElection(now)
	n.role, n.leader, n.leaderHeard = Candidate, Ref{}, false
	n.votes = map[Ref]bool{}
	n.setHard(disk.HardState{Term: n.hard.Term + 1, VoteID: n.Self.ID, VoteIncarnation: n.Self.Incarnation})
	n.askVotes(vote, n.hard.Term, forced)
}

func (n *Node) askVotes(kind MessageKind, term uint64, forced bool) {
	for _, x := range n.members {
		if x.Ref == n.Self || x.Learner {
			continue
		}
		m := n.message(kind, x.Ref)
		m.Term, m.Forced = term, forced
		m.Index, m.LogTerm = n.log.last(), n.log.lastTerm()
		n.after(n.showSeen(m))
	}
}

func (n *Node) countOwnVote(now Now) {
	if n.role != Candidate || n.synced != n.hard {
		return
	}
	n.votes[n.Self] = true
	if n.won() {
		n.becomeLeader(now)
	}
}

// upToDate returns whether a candidate's log is at least as up to date as this
// one, comparing the term and index of the last entries.
func (n *Node) upToDate(m Message) bool {
	last := n.log.lastTerm()
	return m.LogTerm > last || m.LogTerm == last && m.Index >= n.log.last()
}

func (n *Node) onPreVote(now Now, m Message) {
	if !n.mayVote(now) || n.hearsLeader(now) {
		return
	}
	r := n.message(preVoteReply, m.From)
	if m.Term > n.hard.Term && n.upToDate(m) {
		r.Term = m.Term
	} else {
		r.Reject = true
	}
	n.after(r)
}

func (n *Node) onVote(now Now, m Message) {
	if !n.mayVote(now) {
		return
	}
	r := n.message(voteReply, m.From)
	mine := Ref{ID: n.hard.VoteID, Incarnation: n.hard.VoteIncarnation}
	free := mine == Ref{} || mine == m.From
	if free && n.upToDate(m) {
		if mine != m.From {
			n.setHard(disk.HardState{Term: n.hard.Term, VoteID: m.From.ID, VoteIncarnation: m.From.Incarnation})
		}
		n.resetElection(now)
	} else {
		r.Reject = true
	}
	n.after(r)
}

func (n *Node) onVoteReply(now Now, m Message) {
	want := n.role == Candidate && m.Kind == voteReply && m.Term == n.hard.Term ||
		n.role == PreCandidate && m.Kind == preVoteReply && m.Term == n.hard.Term+1
	if !want || m.Reject {
		return
	}
	n.votes[m.From] = true
	if !n.won() {
		return
	}
	if n.role == PreCandidate {
		n.elect(now, false)
	} else {
		n.becomeLeader(now)
	}
}

// won returns whether a quorum has granted its vote. Votes of incarnations that
// are not members do not count.
func (n *Node) won() bool {
	count := 0
	for r := range n.votes {
		if n.members.isVoter(r) {
			count++
		}
	}
	return count >= n.members.quorum()
}
