package replica

import "github.com/sycamoreline/sycamoreline/disk"

// Ref names one life of a replica: its id, and the incarnation that was drawn
// when its data folder was created.
type Ref struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// MessageKind tells messages between replicas apart.
type MessageKind string

// The kinds of message.
const (
	preVote       MessageKind = "pre-vote"
	preVoteReply  MessageKind = "pre-vote-reply"
	vote          MessageKind = "vote"
	voteReply     MessageKind = "vote-reply"
	appendEntries MessageKind = "append"
	appendReply   MessageKind = "append-reply"
	chunk         MessageKind = "snapshot"
	chunkReply    MessageKind = "snapshot-reply"
	timeoutNow      MessageKind = "hand-over"
	promiseQuery        MessageKind = "recall"
	promiseReply   MessageKind = "recall-reply"
	join          MessageKind = "join"
	form          MessageKind = "form"
)

// Message is what replicas of a group send to each other. To.Incarnation is 0
// when the sender does not know it.
type Message struct {
	Kind MessageKind `json:"kind"`
	From Ref         `json:"from"`
	To   Ref         `json:"to"`
	Term uint64      `json:"term,omitempty"`
	// Index and LogTerm are the position before the entries, the end of a
	// candidate's log, or the position of a snapshot. In a reply, Index is the
	// last entry that is known to agree, or where to try next.
	Index   uint64       `json:"index,omitempty"`
	LogTerm uint64       `json:"log-term,omitempty"`
	Commit  uint64       `json:"commit,omitempty"`
	Round   uint64       `json:"round,omitempty"` // echoed, confirms leadership for reads
	Reject  bool         `json:"reject,omitempty"`
	Forced  bool         `json:"forced,omitempty"` // vote asked for by the leader itself
	Entries []disk.Entry `json:"entries,omitempty"`
	Members Members      `json:"members,omitempty"`
	Offset  int64        `json:"offset,omitempty"` // bytes of a snapshot
	Data    []byte       `json:"data,omitempty"`
	Last    bool         `json:"last,omitempty"` // last part of a snapshot
	// Promises is what the sender remembers of the receiver's promises.
	Promises *Promises `json:"seen,omitempty"`
}
