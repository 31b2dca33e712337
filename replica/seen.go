package replica

import (
	"errors"
	"maps"
)

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
	n.recallID = n.Random.Uint64()
}

// onRecallReply notes that a host has told what it remembers. An answer to this
// life of the replica from another incarnation than the member's shows that the
// member's disk is gone, and with it what it remembered.
func (n *Node) onRecallReply(m Message) {
	delete(n.unchecked, m.From)
	if m.Round == n.recallID {
		maps.DeleteFunc(n.unchecked, func(r Ref, _ bool) bool { return r.ID == m.From.ID })
	}
}

// WithoutReplica returns the answer of a host that keeps no replica of the group
// which a message is meant for, and false if none is due.
func WithoutReplica(m Message) (Message, bool) {
	if m.Kind != recall {
		return Message{}, false
	}
	return Message{Kind: recallReply, From: Ref{ID: m.To.ID}, To: m.From, Round: m.Round}, true
}

func (n *Node) tickRecall(now Now) {
	if len(n.unchecked) == 0 || now.Elapsed < n.recallAt || now.Elapsed >= n.mayVoteAt {
		return
	}
	n.recallAt = now.Elapsed + n.Timing.Heartbeat
	for _, r := range n.others() {
		if n.unchecked[r] {
			m := n.message(recall, r)
			m.Term, m.Round = 0, n.recallID
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
