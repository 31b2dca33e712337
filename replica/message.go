package replica

import "github.com/sycamoreline/sycamoreline/disk"

// Ref identifies one incarnation of a replica. Incarnation is a random number
// chosen when the replica's data folder is created.
type Ref struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// MessageKind is the type of a message between replicas.
type MessageKind string

const (
	preVote       MessageKind = "pre-vote"
	preVoteReply  MessageKind = "pre-vote-reply"
	vote          MessageKind = "vote"
	voteReply     MessageKind = "vote-reply"
	appendEntries MessageKind = "append"
	appendReply   MessageKind = "append-reply"
	chunk         MessageKind = "snapshot"
	chunkReply    MessageKind = "snapshot-reply"
	timeoutNow    MessageKind = "hand-over"    // the receiver starts an election at once
	promiseQuery  MessageKind = "recall"       // requests the receiver's record of the sender's promises
	promiseReply  MessageKind = "recall-reply" // carries that record in Promises
	join          MessageKind = "join"         // requests membership
	form          MessageKind = "form"         // carries the initial membership of a new group
)

// Message is a message between replicas of a group. To.Incarnation is 0 if it
// is unknown to the sender.
type Message struct {
	Kind MessageKind `json:"kind"`
	From Ref         `json:"from"`
	To   Ref         `json:"to"`
	Term uint64      `json:"term,omitempty"`
	// Index and LogTerm are, depending on Kind, the position of the entry before
	// Entries, the last position of a candidate's log, or the position of a
	// snapshot. In a join, Index is the last index of the sender's log. In an
	// append reply, Index is that of the last entry known to match the leader's
	// log or, in a rejection, the index from which to retry.
	Index   uint64 `json:"index,omitempty"`
	LogTerm uint64 `json:"log-term,omitempty"`
	Commit  uint64 `json:"commit,omitempty"`
	Stable  uint64 `json:"stable,omitempty"` // in an append: index of the last entry on the leader's disk
	// Round is echoed in replies. In messages of a leader it is the number of a
	// heartbeat round, which confirms leadership for reads; in join and form
	// messages and promise queries it is a nonce.
	Round   uint64       `json:"round,omitempty"`
	Reject  bool         `json:"reject,omitempty"`
	Forced  bool         `json:"forced,omitempty"` // vote requested on behalf of the leader
	Entries []disk.Entry `json:"entries,omitempty"`
	Members Members      `json:"members,omitempty"`
	Offset  int64        `json:"offset,omitempty"` // of Data in the snapshot or, in a reply, of the next chunk, in bytes
	Data    []byte       `json:"data,omitempty"`
	Last    bool         `json:"last,omitempty"` // Data is the last chunk of the snapshot; in a reply, no further chunk is needed
	// DiskLevel is, in an append reply, the level that the follower's SetDiskLevel
	// was given.
	DiskLevel int `json:"disk-level,omitempty"`
	// Promises is the sender's record of the receiver's promises.
	Promises *Promises `json:"seen,omitempty"`
}
