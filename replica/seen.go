package replica

import (
	"errors"
	"maps"
)

// ErrRolledBack stops a replica whose disk holds less than the replica has
// promised to another one. It may only come back as a new incarnation.
var ErrRolledBack = errors.New("disk was rolled back: it lacks a vote or entries that were acknowledged")

// Promises is what a replica remembers of the promises of another one: up to which
// entry it acknowledged the log of the leader of a term, and the last term in
// which it gave its vote.
type Promises struct {
	Term  uint64 `json:"term,omitempty"`
	Index uint64 `json:"index,omitempty"`
	Vote  uint64 `json:"vote,omitempty"` // term
}

func (s Promises) withAck(term, index uint64) Promises {
	if term > s.Term || term == s.Term && index > s.Index {
		s.Term, s.Index = term, index
	}
	return s
}

func (s Promises) withVote(term uint64) Promises {
	s.Vote = max(s.Vote, term)
	return s
}

// exceeds returns whether s holds a promise that p does not.
func (s Promises) exceeds(p Promises) bool {
	return s.Vote > p.Vote || s.Term > p.Term || s.Term == p.Term && s.Index > p.Index
}

// promisesOnDisk returns the most that a replica can have promised, going by
// what it found on its disk. In one term, entries acknowledged to the leader
// are never replaced.
func (n *Node) promisesOnDisk() Promises {
	s := Promises{Term: n.hardState.Term, Index: n.log.last(), Vote: n.hardState.Term}
	if n.hardState.VoteID == "" && s.Vote > 0 {
		s.Vote--
	}
	return s
}

// recordPromises notes the promises that this replica makes, and those that others
// make to it.
func (n *Node) recordPromises(m Message) {
	s := n.promises[m.From]
	switch {
	case m.Reject:
		return
	case m.Kind == appendReply || m.Kind == chunkReply && m.Last:
		s = s.withAck(m.Term, m.Index)
	case m.Kind == voteReply:
		s = s.withVote(m.Term)
	default:
		return
	}
	n.promises[m.From] = s
}

// attachPromises adds to a message what this replica remembers of the receiver.
func (n *Node) attachPromises(m Message) Message {
	if s, ok := n.promises[m.To]; ok {
		m.Promises = &s
	}
	return m
}

// checkPromises stops a replica that has forgotten a promise.
func (n *Node) checkPromises(m Message) bool {
	if m.Promises == nil || !m.Promises.exceeds(n.promises[n.Self]) {
		return true
	}
	n.out.Fatal = ErrRolledBack
	return false
}

// startPromiseCheck makes a restarted replica ask the other voters what they have
// seen of it before it votes.
func (n *Node) startPromiseCheck(now Now) {
	n.unverified = map[Ref]bool{}
	for _, x := range n.members {
		if x.Ref != n.Self && !x.Learner {
			n.unverified[x.Ref] = true
		}
	}
	n.checkDeadline = now.Elapsed + n.Timing.Election
	n.queryNonce = n.Random.Uint64()
}

// onPromiseReply notes that a host has told what it remembers. An answer to this
// life of the replica from another incarnation than the member's shows that the
// member's disk is gone, and with it what it remembered.
func (n *Node) onPromiseReply(m Message) {
	delete(n.unverified, m.From)
	if m.Round == n.queryNonce {
		maps.DeleteFunc(n.unverified, func(r Ref, _ bool) bool { return r.ID == m.From.ID })
	}
}

// ReplyWithoutReplica returns the answer of a host that keeps no replica of the group
// which a message is meant for, and false if none is due.
func ReplyWithoutReplica(m Message) (Message, bool) {
	if m.Kind != promiseQuery {
		return Message{}, false
	}
	return Message{Kind: promiseReply, From: Ref{ID: m.To.ID}, To: m.From, Round: m.Round}, true
}

func (n *Node) tickPromiseCheck(now Now) {
	if len(n.unverified) == 0 || now.Elapsed < n.nextQueryAt || now.Elapsed >= n.checkDeadline {
		return
	}
	n.nextQueryAt = now.Elapsed + n.Timing.Heartbeat
	for _, r := range n.others() {
		if n.unverified[r] {
			m := n.message(promiseQuery, r)
			m.Term, m.Round = 0, n.queryNonce
			n.sendNow(m)
		}
	}
}

// canVote returns whether the replica has its full state, as far as it can
// know: a log, and no voter that may still remember more than it does. It
// waits for a voter that is down no longer than the election timeout.
func (n *Node) canVote(now Now) bool {
	return n.formed() && (len(n.unverified) == 0 || now.Elapsed >= n.checkDeadline)
}
