package replica

import (
	"time"

	"github.com/sycamoreline/sycamoreline/disk"
)

// resetElectionTimer restarts the election timeout of a follower.
func (n *Node) resetElectionTimer(now Now) {
	n.electionAt = now.Elapsed + n.Timing.Election + n.electionJitter()
}

// scheduleElectionRetry sets the time of a candidate's next attempt, or of the
// first attempt after the replica has started. The timeout is shorter than a
// follower's, because the group probably has no leader.
func (n *Node) scheduleElectionRetry(now Now) {
	n.electionAt = now.Elapsed + n.Timing.Election/4 + n.electionJitter()
}

func (n *Node) electionJitter() time.Duration {
	return time.Duration(n.Random.Int64N(int64(n.Timing.Election / 2)))
}

// becomeFollower makes the replica a follower. The term must not be lower than
// its own.
func (n *Node) becomeFollower(now Now, term uint64) {
	if term > n.hardState.Term {
		n.setHardState(disk.HardState{Term: term})
	}
	if n.role == Leader {
		n.rejectReads()
	}
	n.role, n.leader = Follower, Ref{}
	n.leaderContacted = false
	n.votes = nil
	n.resetElectionTimer(now)
}

// onLeaderContact records a message from the leader of the current term. A
// candidate becomes a follower.
func (n *Node) onLeaderContact(now Now, leader Ref) {
	if n.role != Follower {
		n.becomeFollower(now, n.hardState.Term)
	}
	n.leader, n.lastLeaderContact, n.leaderContacted = leader, now.Elapsed, true
	n.resetElectionTimer(now)
}

// leaderActive returns whether this replica leads or had contact with a leader
// within the election timeout. If so, the replica ignores vote requests, unless
// they are sent on behalf of the leader.
func (n *Node) leaderActive(now Now) bool {
	if n.role == Leader {
		return true
	}
	return n.leaderContacted && now.Elapsed-n.lastLeaderContact < n.Timing.Election
}

// campaign requests pre-votes, or starts the election at once if the replica's
// own vote is a quorum. If the replica is not a voter, must not vote yet, or has
// a stalled disk, campaign only schedules the next attempt.
func (n *Node) campaign(now Now) {
	n.scheduleElectionRetry(now)
	if !n.members.isVoter(n.Self) || n.diskStalled(now) || !n.canVote(now) {
		return
	}
	n.role, n.leader, n.leaderContacted = PreCandidate, Ref{}, false
	n.votes = map[Ref]bool{n.Self: true}
	if n.won() {
		n.startElection(now, false)
		return
	}
	n.requestVotes(preVote, n.hardState.Term+1, false)
}

// startElection increments the term and requests votes, on behalf of the leader
// if forced is set. The candidate's own vote counts once it is on disk.
func (n *Node) startElection(now Now, forced bool) {
	if !n.members.isVoter(n.Self) {
		return
	}
	n.scheduleElectionRetry(now)
	n.role, n.leader, n.leaderContacted = Candidate, Ref{}, false
	n.votes = map[Ref]bool{}
	n.setHardState(disk.HardState{Term: n.hardState.Term + 1, VoteID: n.Self.ID, VoteIncarnation: n.Self.Incarnation})
	n.requestVotes(vote, n.hardState.Term, forced)
}

func (n *Node) requestVotes(kind MessageKind, term uint64, forced bool) {
	for _, x := range n.members {
		if x.Ref == n.Self || x.Learner {
			continue
		}
		m := n.message(kind, x.Ref)
		m.Term, m.Forced = term, forced
		m.Index, m.LogTerm = n.log.last(), n.log.lastTerm()
		n.sendAfterPersist(n.attachPromises(m))
	}
}

func (n *Node) countOwnVote(now Now) {
	if n.role != Candidate || n.durableHardState != n.hardState {
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
	if !n.canVote(now) || n.leaderActive(now) {
		return
	}
	r := n.message(preVoteReply, m.From)
	if m.Term > n.hardState.Term && n.upToDate(m) {
		r.Term = m.Term
	} else {
		r.Reject = true
	}
	n.sendAfterPersist(r)
}

func (n *Node) onVote(now Now, m Message) {
	if !n.canVote(now) {
		return
	}
	r := n.message(voteReply, m.From)
	votedFor := Ref{ID: n.hardState.VoteID, Incarnation: n.hardState.VoteIncarnation}
	mayVote := votedFor == Ref{} || votedFor == m.From
	if mayVote && n.upToDate(m) {
		if votedFor != m.From {
			n.setHardState(disk.HardState{Term: n.hardState.Term, VoteID: m.From.ID, VoteIncarnation: m.From.Incarnation})
		}
		n.resetElectionTimer(now)
	} else {
		r.Reject = true
	}
	n.sendAfterPersist(r)
}

func (n *Node) onVoteReply(now Now, m Message) {
	expected := n.role == Candidate && m.Kind == voteReply && m.Term == n.hardState.Term ||
		n.role == PreCandidate && m.Kind == preVoteReply && m.Term == n.hardState.Term+1
	if !expected || m.Reject {
		return
	}
	n.votes[m.From] = true
	if !n.won() {
		return
	}
	if n.role == PreCandidate {
		n.startElection(now, false)
	} else {
		n.becomeLeader(now)
	}
}

// won returns whether a quorum of voters has voted for this replica. Votes of
// incarnations that are not members do not count.
func (n *Node) won() bool {
	count := 0
	for r := range n.votes {
		if n.members.isVoter(r) {
			count++
		}
	}
	return count >= n.members.quorum()
}
