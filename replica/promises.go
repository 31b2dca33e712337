package replica

import (
	"errors"
	"maps"
)

// ErrRolledBack is the failure of a replica whose disk lacks a vote or entries
// that it has acknowledged to another replica. It may only rejoin as a new
// incarnation.
var ErrRolledBack = errors.New("disk was rolled back: it lacks a vote or entries that were acknowledged")

// Promises is a record of the promises made by a replica: the last entry that
// it acknowledged, the term of the leader to which it acknowledged that entry,
// and the last term in which it granted a vote. A leader acknowledges the
// entries on its own disk with its appends; those that it has counted towards a
// quorum since its last append are in no record. Each replica records the
// promises of the others; a replica whose state lacks a promise in such a record
// detects that its disk was rolled back.
type Promises struct {
	Term  uint64 `json:"term,omitempty"`  // term of the leader to which Index was acknowledged
	Index uint64 `json:"index,omitempty"` // last acknowledged entry
	Vote  uint64 `json:"vote,omitempty"`  // last term with a granted vote
}

func (p Promises) withAck(term, index uint64) Promises {
	if term > p.Term || term == p.Term && index > p.Index {
		p.Term, p.Index = term, index
	}
	return p
}

func (p Promises) withVote(term uint64) Promises {
	p.Vote = max(p.Vote, term)
	return p
}

// exceeds returns whether p contains a promise that is not in other.
func (p Promises) exceeds(other Promises) bool {
	return p.Vote > other.Vote || p.Term > other.Term || p.Term == other.Term && p.Index > other.Index
}

// promisesOnDisk returns the most that this replica can have promised according
// to its recovered state. Entries acknowledged to the leader of a term are
// never replaced within that term.
func (n *Node) promisesOnDisk() Promises {
	p := Promises{Term: n.hardState.Term, Index: n.log.last(), Vote: n.hardState.Term}
	if n.hardState.VoteID == "" && p.Vote > 0 {
		p.Vote--
	}
	return p
}

// recordPromises records the promises in a message that this replica sends or
// receives.
func (n *Node) recordPromises(m Message) {
	p := n.promises[m.From]
	switch {
	case m.Reject:
		return
	case m.Kind == appendReply || m.Kind == chunkReply && m.Last:
		p = p.withAck(m.Term, m.Index)
	case m.Kind == voteReply:
		p = p.withVote(m.Term)
	case m.Kind == appendEntries:
		p = p.withAck(m.Term, m.Stable)
	default:
		return
	}
	n.promises[m.From] = p
}

// attachPromises adds the record of the receiver's promises to a message.
func (n *Node) attachPromises(m Message) Message {
	if p, ok := n.promises[m.To]; ok {
		m.Promises = &p
	}
	return m
}

// checkPromises stops this replica and returns false if the message's record of
// this replica's promises contains one that the replica's state lacks.
func (n *Node) checkPromises(m Message) bool {
	if m.Promises == nil || !m.Promises.exceeds(n.promises[n.Self]) {
		return true
	}
	n.out.Fatal = ErrRolledBack
	return false
}

// startPromiseCheck makes a restarted replica query the other voters for their
// records of its promises before it votes.
func (n *Node) startPromiseCheck(now Now) {
	n.unverified = map[Ref]bool{}
	for _, x := range n.members {
		if x.Ref != n.Self && !x.Learner {
			n.unverified[x.Ref] = true
		}
	}
	n.nextQueryAt = now.Elapsed
	n.queryRounds = max(1, int(n.Timing.Election/n.Timing.Heartbeat))
	n.queryNonce = n.Random.Uint64()
}

// onPromiseReply records that a voter has replied. If a reply to a query of this
// incarnation comes from an incarnation that is not the member, the member's
// disk was lost and its records with it, so that this replica stops waiting for
// the member.
func (n *Node) onPromiseReply(m Message) {
	delete(n.unverified, m.From)
	if m.Round == n.queryNonce {
		maps.DeleteFunc(n.unverified, func(r Ref, _ bool) bool { return r.ID == m.From.ID })
	}
}

// ReplyWithoutReplica returns the reply of a host that has no replica of the
// group to which a message is addressed, and false if the message needs no
// reply.
func ReplyWithoutReplica(m Message) (Message, bool) {
	if m.Kind != promiseQuery {
		return Message{}, false
	}
	return Message{Kind: promiseReply, From: Ref{ID: m.To.ID}, To: m.From, Round: m.Round}, true
}

func (n *Node) tickPromiseCheck(now Now) {
	if len(n.unverified) == 0 || now.Elapsed < n.nextQueryAt || n.queryRounds == 0 {
		return
	}
	n.nextQueryAt = now.Elapsed + n.Timing.Heartbeat
	n.queryRounds--
	for _, r := range n.others() {
		if n.unverified[r] {
			m := n.message(promiseQuery, r)
			m.Term, m.Round = 0, n.queryNonce
			n.sendNow(m)
		}
	}
}

// canVote returns whether the replica may take part in elections: it has a log,
// and no voter is left whose record may exceed its state. It waits for voters that
// are down only until it has sent all queries.
func (n *Node) canVote(now Now) bool {
	return n.formed() && (len(n.unverified) == 0 || n.queryRounds == 0 && now.Elapsed >= n.nextQueryAt)
}
