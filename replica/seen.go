package replica

import (
	"errors"
	"maps"
)

// ErrRolledBack is the failure of a replica whose disk lacks a vote or entries
// that it has acknowledged to another replica. It may only rejoin as a new
// incarnation.
var ErrRolledBack = errors.New("disk was rolled back: it lacks a vote or entries that were acknowledged")

// Seen is a record of the promises made by a replica: the last entry it
// acknowledged, to the leader of which term, and the last term in which it
// granted a vote. Each replica records the promises of the others, and a
// replica whose state falls short of such a record knows that its disk was
// rolled back.
type Seen struct {
	Term  uint64 `json:"term,omitempty"`  // term of the leader to which Index was acknowledged
	Index uint64 `json:"index,omitempty"` // last acknowledged entry
	Vote  uint64 `json:"vote,omitempty"`  // last term with a granted vote
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

// beyond returns whether s contains a promise that is not in p.
func (s Seen) beyond(p Seen) bool {
	return s.Vote > p.Vote || s.Term > p.Term || s.Term == p.Term && s.Index > p.Index
}

// promisedOnDisk returns the most that this replica can have promised according
// to its recovered state. Entries acknowledged to the leader of a term are never
// replaced within that term.
func (n *Node) promisedOnDisk() Seen {
	s := Seen{Term: n.hard.Term, Index: n.log.last(), Vote: n.hard.Term}
	if n.hard.VoteID == "" && s.Vote > 0 {
		s.Vote--
	}
	return s
}

// remember records the promises in a message that this replica sends or
// receives.
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

// showSeen adds the record of the receiver's promises to a message.
func (n *Node) showSeen(m Message) Message {
	if s, ok := n.seen[m.To]; ok {
		m.Seen = &s
	}
	return m
}

// checkSeen stops this replica if the sender has recorded a promise that its
// state does not contain.
func (n *Node) checkSeen(m Message) bool {
	if m.Seen == nil || !m.Seen.beyond(n.seen[n.Self]) {
		return true
	}
	n.out.Fatal = ErrRolledBack
	return false
}

// startRecall makes a restarted replica query the other voters for their records
// of its promises before it votes.
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

// onRecallReply marks a voter as queried. A reply to this incarnation's query
// from another incarnation than the member's shows that the member's disk is
// lost, and its records with it.
func (n *Node) onRecallReply(m Message) {
	delete(n.unchecked, m.From)
	if m.Round == n.recallID {
		maps.DeleteFunc(n.unchecked, func(r Ref, _ bool) bool { return r.ID == m.From.ID })
	}
}

// WithoutReplica returns the reply of a host that has no replica of the group to
// which a message is addressed, and false if the message needs no reply.
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

// mayVote returns whether the replica may take part in elections: it has a log,
// and no voter is left whose record may exceed its state. It waits for voters
// that are down for one election timeout at most.
func (n *Node) mayVote(now Now) bool {
	return n.formed() && (len(n.unchecked) == 0 || now.Elapsed >= n.mayVoteAt)
}
