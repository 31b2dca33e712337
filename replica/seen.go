package replica

import "errors"

// ErrRolledBack stops a replica whose disk holds less than the replica has
// promised to another one. It may only come back as a new incarnation.
var ErrRolledBack = errors.New("disk was rolled back: it lacks a vote or entries that were acknowledged")

// Seen is what a replica remembers of the promises of another one: up to which
// entry it acknowledged the log of the leader of a term, and the last term in
// which it gave its vote.
type Seen struct {
	Term  uint64 `json:"term,omitempty"`
	Index uint64 `json:"index,omitempty"`
	Vote  uint64 `json:"vote,omitempty"` // term
}

func (s Seen) acknowledged(term, index uint64) Seen {
	if term > s.Term || term == s.Term && index > s.Index {
		s.Term, s.Index = term, index
	}
	return s
}

func (s Seen) voted(term uint64) Seen {
	s.Vote = max(s.Vote, term)
	return s
}

// beyond returns whether s holds a promise that p does not.
func (s Seen) beyond(p Seen) bool {
	return s.Vote > p.Vote || s.Term > p.Term || s.Term == p.Term && s.Index > p.Index
}

// promisedOnDisk returns the most that a replica can have promised, going by
// what it found on its disk. In one term, entries acknowledged to the leader
// are never replaced.
func (n *Node) promisedOnDisk() Seen {
	s := Seen{Term: n.hard.Term, Index: n.log.last(), Vote: n.hard.Term}
	if n.hard.VoteID == "" && s.Vote > 0 {
		s.Vote--
	}
	return s
}

// remember notes the promises that this replica makes, and those that others
// make to it.
func (n *Node) remember(m Message) {
	s := n.seen[m.From]
	switch {
	case m.Reject:
		return
	case m.Kind == appendReply || m.Kind == chunkReply && m.Last:
		s = s.acknowledged(m.Term, m.Index)
	case m.Kind == voteReply:
		s = s.voted(m.Term)
	default:
		return
	}
	n.seen[m.From] = s
}

// showSeen adds to a message what this replica remembers of the receiver.
func (n *Node) showSeen(m Message) Message {
	if s, ok := n.seen[m.To]; ok {
		m.Seen = &s
	}
	return m
}

// checkSeen stops a replica that has forgotten a promise.
func (n *Node) checkSeen(m Message) bool {
	if m.Seen == nil || !m.Seen.beyond(n.seen[n.Self]) {
		return true
	}
	n.out.Fatal = ErrRolledBack
	return false
}

// startRecall makes a restarted replica ask the other voters what they have
// seen of it before it votes.
func (n *Node) startRecall(now Now) {
	n.unchecked = map[Ref]bool{}
	for _, x := range n.members {
		if x.Ref != n.Self && !x.Learner {
			n.unchecked[x.Ref] = true
		}
	}
	n.mayVoteAt = now.Elapsed + n.Timing.Election
}

func (n *Node) tickRecall(now Now) {
	if len(n.unchecked) == 0 || now.Elapsed < n.recallAt || now.Elapsed >= n.mayVoteAt {
		return
	}
	n.recallAt = now.Elapsed + n.Timing.Heartbeat
	for _, r := range n.others() {
		if n.unchecked[r] {
			m := n.message(recall, r)
			m.Term = 0
			n.early(m)
		}
	}
}

// mayVote returns whether the replica has its full state, as far as it can
// know: a log, and no voter that may still remember more than it does. It
// waits for a voter that is down no longer than the election timeout.
func (n *Node) mayVote(now Now) bool {
	return n.formed() && (len(n.unchecked) == 0 || now.Elapsed >= n.mayVoteAt)
}
