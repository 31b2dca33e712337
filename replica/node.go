package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sycamoreline/sycamoreline/disk"
)

// Role is the Raft role of a replica.
type Role uint8

// A pre-candidate checks that it could win an election before it increments the
// term (pre-vote), so that a replica returning from a network partition does
// not disrupt the group.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleTexts = []string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the name of the role.
func (r Role) String() string { return roleTexts[r] }

// Now is the time at which an event is handled. Elapsed is monotonic and drives
// all timers; UnixMillis is wall-clock time and is only stored in entries.
type Now struct {
	Elapsed    time.Duration
	UnixMillis int64
}

// Timing holds the intervals and timeouts of a group.
type Timing struct {
	Heartbeat time.Duration
	// Election is the minimum election timeout; the maximum is 1.5 times as long.
	// A leader that has had no reply from a quorum for this long, or whose disk
	// has not completed a write for this long, steps down.
	Election time.Duration
	// SlowWrite is the duration of a small disk write from which a leader transfers
	// its leadership: a leader applies only entries on its own disk, so that a slow
	// disk delays every commit even if the other disks are fast. 0 disables it.
	SlowWrite time.Duration
	// WriteRate is the rate, in bytes per second, at which a healthy disk writes at
	// least. The time that large writes take at this rate is added to SlowWrite and
	// Election. 0 adds none.
	WriteRate int
	// RemoveAfter is the time without a reply after which an open group removes a
	// member. 0 disables it.
	RemoveAfter time.Duration
}

// DefaultTiming keeps fail-over under 3 s: at most 1.5 s until the failure is
// detected, and up to 0.75 s more if the first vote is split. The traffic of an
// idle group is proportional to the heartbeat rate.
func DefaultTiming() Timing {
	return Timing{Heartbeat: 300 * time.Millisecond, Election: time.Second}
}

// Limits for the messages in flight to one follower.
const (
	maxAppendBytes     = 512 << 10
	maxInflightAppends = 64
	chunkBytes         = 256 << 10
)

// maxKeptBytes bounds the entries before a snapshot that are kept for slow
// followers. Those that need earlier ones get the snapshot.
const maxKeptBytes = 8 << 20

// Persist is state that must be on disk before Output.AfterPersist of the same
// and of later outputs is sent. The fields are written in order.
type Persist struct {
	Reset     *disk.Base // replaces the log with one that starts at this base
	HardState *disk.HardState
	Entries   []disk.Entry
	Chunk     *Chunk
}

// size returns the number of bytes to write, without the headers of entries.
func (p Persist) size() int {
	size := 0
	for i := range p.Entries {
		size += p.Entries[i].Bytes()
	}
	if p.Chunk != nil {
		size += len(p.Chunk.Data)
	}
	return size
}

func (p Persist) empty() bool {
	return p.Reset == nil && p.HardState == nil && len(p.Entries) == 0 && p.Chunk == nil
}

// Chunk is a part of a snapshot received from the leader.
type Chunk struct {
	Info   disk.SnapshotInfo
	Offset int64
	Data   []byte
	Last   bool
}

// ChunkRead requests that the driver fill Message with the snapshot chunk at
// its offset and send it.
type ChunkRead struct {
	Info    disk.SnapshotInfo
	Message Message
}

// ReadResult is the result of a ReadIndex. The read may be served once Index
// has been applied, unless it was rejected because this replica does not lead.
type ReadResult struct {
	ID       uint64
	Index    uint64
	Rejected bool
}

// Output is the work that an event requires of the driver, such as Group, in
// the order of the fields.
type Output struct {
	Immediate    []Message // sent without waiting for Persist
	Chunks       []ChunkRead
	Persist      Persist
	AfterPersist []Message // sent once this and all earlier Persists are on disk
	// Restore replaces the state machine's state with a received snapshot.
	Restore *disk.SnapshotInfo
	Apply   []disk.Entry
	Reads   []ReadResult
	// Fatal is the reason why the replica must stop, or nil. If it is set, the driver
	// ignores the other fields.
	Fatal error
}

// NodeOptions is the configuration of a Node.
type NodeOptions struct {
	Self Ref
	// Initial are the ids of the replicas that form a new group. If it is empty,
	// the replica can only join an existing group.
	Initial []string
	// Open allows replicas with other ids to join, and lost ones to be removed.
	Open   bool
	Timing Timing
	// Random randomises election timeouts and generates nonces.
	Random *rand.Rand
	// ResidentBytes is the size of the data of applied entries that stays in memory,
	// and the size of the entries in flight to one follower. Up to twice as much may
	// be in memory. Output and messages then have entries whose data the driver must
	// load. 0 keeps all in memory.
	ResidentBytes int
}

// Node is the deterministic core of a replica. It does no I/O and reads no
// clock: every event takes the current time and returns an Output.
type Node struct {
	NodeOptions
	out Output

	role             Role
	hardState        disk.HardState // including changes not yet on disk
	durableHardState disk.HardState // on disk
	leader           Ref
	log              entryLog
	commit           uint64
	// applied is the index of the last entry returned in Output.Apply.
	applied  uint64
	snapshot disk.SnapshotInfo // newest durable snapshot

	members      Members // newest membership in the log, committed or not
	membersIndex uint64  // log index of members

	electionAt        time.Duration
	lastLeaderContact time.Duration // time of the last message from the leader of the term
	leaderContacted   bool
	votes             map[Ref]bool
	writeSince        time.Duration // start of the current disk write: when it was issued or the previous one completed
	writes            []int         // sizes in bytes of the outstanding disk writes, oldest first

	// A restarted replica does not vote until the other voters have returned
	// their record of its promises, or until it has sent queries for an election
	// timeout. Rounds are counted instead of time, which also passes while the
	// process is stalled and sends and receives nothing.
	unverified  map[Ref]bool  // voters that have not replied
	queryNonce  uint64        // nonce echoed in the replies
	queryRounds int           // rounds of queries that are still to be sent
	nextQueryAt time.Duration // time of the next query or, after the last, of the end of the wait

	leaderState leaderState
	formation   formation
	joinPeers   []string         // ids to which a joining replica sends requests, besides Initial
	retiring    []string         // ids of members to be removed
	desired     []string         // ids of the desired members; nil for no restriction
	promises    map[Ref]Promises // promises made by each replica, including this one
	incoming    incomingSnapshot
	diskLevel   int
}

// NewNode returns a Node with the state recovered from disk.
func NewNode(now Now, o NodeOptions, r disk.Recovered) (*Node, error) {
	n := &Node{
		NodeOptions:      o,
		hardState:        r.HardState,
		durableHardState: r.HardState,
		log:              entryLog{base: r.Base, entries: r.Entries, stable: r.Base.Index + uint64(len(r.Entries))},
		snapshot:         r.Snapshot,
		commit:           max(r.Base.Index, r.Snapshot.Index),
		promises:         map[Ref]Promises{},
	}
	n.promises[n.Self] = n.promisesOnDisk()
	n.formation = n.newFormation()
	n.applied = n.commit
	if err := n.loadMembers(); err != nil {
		return nil, err
	}
	// Use the short timeout: after a power loss the group has no leader. If it
	// has one, the other replicas ignore the pre-vote.
	n.scheduleElectionRetry(now)
	n.startPromiseCheck(now)
	return n, nil
}

// loadMembers sets members to the newest membership in the log.
func (n *Node) loadMembers() error {
	index, data := n.log.base.Index, n.log.base.Members
	for i := len(n.log.entries) - 1; i >= 0; i-- {
		if e := n.log.entries[i]; e.Kind == disk.Membership {
			index, data = e.Index, e.Data
			break
		}
	}
	m, err := decodeMembers(data)
	if err != nil {
		return err
	}
	n.members, n.membersIndex = m, index
	return nil
}

// formed returns whether the replica's log contains a membership.
func (n *Node) formed() bool { return len(n.members) > 0 }

// Role returns the replica's role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// Leader returns the leader of the term, and false if it is not known.
func (n *Node) Leader() (Ref, bool) { return n.leader, n.leader != Ref{} }

// Commit returns the index of the last entry known to be committed.
func (n *Node) Commit() uint64 { return n.commit }

// Applied returns the index of the last entry returned in Output.Apply.
func (n *Node) Applied() uint64 { return n.applied }

// Members returns the newest membership in the log.
func (n *Node) Members() Members { return n.members }

// takeOutput ends the handling of an event: it returns and clears the
// accumulated output, and counts its disk write.
func (n *Node) takeOutput(now Now) Output {
	n.collectCommitted()
	if !n.out.Persist.empty() {
		if len(n.writes) == 0 {
			n.writeSince = now.Elapsed
		}
		n.writes = append(n.writes, n.out.Persist.size())
	}
	out := n.out
	n.out = Output{}
	return out
}

// collectCommitted adds committed entries that are on the local disk to the
// output.
func (n *Node) collectCommitted() {
	high := min(n.commit, n.log.stable)
	if high > n.applied {
		n.out.Apply = append(n.out.Apply, n.log.between(n.applied, high)...)
		n.applied = high
	}
	if n.ResidentBytes > 0 {
		n.log.evict(n.applied, n.ResidentBytes)
	}
}

func (n *Node) fail(format string, args ...any) {
	if n.out.Fatal == nil {
		n.out.Fatal = fmt.Errorf(format, args...)
	}
}

func (n *Node) message(kind MessageKind, to Ref) Message {
	return Message{Kind: kind, From: n.Self, To: to, Term: n.hardState.Term}
}

func (n *Node) sendNow(m Message) {
	n.recordPromises(m)
	n.out.Immediate = append(n.out.Immediate, m)
}

func (n *Node) sendAfterPersist(m Message) {
	n.recordPromises(m)
	n.out.AfterPersist = append(n.out.AfterPersist, m)
}

func (n *Node) setHardState(h disk.HardState) {
	n.hardState = h
	n.out.Persist.HardState = &h
}

func (n *Node) putEntries(entries []disk.Entry) {
	n.log.put(entries)
	n.out.Persist.Entries = append(n.out.Persist.Entries, entries...)
	// The newest membership may have been in a replaced suffix of the log.
	if n.membersIndex >= entries[0].Index {
		if err := n.loadMembers(); err != nil {
			n.fail("read membership: %w", err)
		}
		return
	}
	for _, e := range entries {
		if e.Kind == disk.Membership {
			n.setMembers(e)
		}
	}
}

func (n *Node) setMembers(e disk.Entry) {
	m, err := decodeMembers(e.Data)
	if err != nil {
		n.fail("read membership: %w", err)
		return
	}
	n.members, n.membersIndex = m, e.Index
}

// Persisted reports that p is on disk. For every Persist that is not empty, in
// the order in which they were returned, the driver must call Persisted or
// ChunkFailed.
func (n *Node) Persisted(now Now, p Persist) Output {
	n.writeDone(now)
	if p.HardState != nil {
		n.durableHardState = *p.HardState
		n.countOwnVote(now)
	}
	if k := len(p.Entries); k > 0 {
		n.entriesStable(p.Entries[k-1])
	}
	if p.Chunk != nil && p.Chunk.Last {
		n.installSnapshot(now, p.Chunk.Info)
	}
	return n.takeOutput(now)
}

func (n *Node) writeDone(now Now) {
	n.writes = slices.Delete(n.writes, 0, 1)
	n.writeSince = now.Elapsed
}

// writeDelay returns for how long the current disk write has taken longer than a
// healthy disk may need for the bytes of all outstanding writes, which may share a
// sync. It is 0 without a write.
func (n *Node) writeDelay(now Now) time.Duration {
	if len(n.writes) == 0 {
		return 0
	}
	delay := now.Elapsed - n.writeSince
	if n.Timing.WriteRate > 0 {
		bytes := 0
		for _, size := range n.writes {
			bytes += size
		}
		delay -= time.Duration(float64(bytes) / float64(n.Timing.WriteRate) * float64(time.Second))
	}
	return max(0, delay)
}

func (n *Node) entriesStable(e disk.Entry) {
	if t, ok := n.log.term(e.Index); ok && t == e.Term {
		n.log.stable = max(n.log.stable, e.Index)
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Tick processes expired timers. It should be called at least twice per
// heartbeat interval, since timers are checked only then.
func (n *Node) Tick(now Now) Output {
	n.tickPromiseCheck(now)
	n.tickJoin(now)
	switch {
	case !n.formed():
		n.formGroup(now)
	case n.role == Leader:
		n.tickLeader(now)
	case now.Elapsed >= n.electionAt:
		n.campaign(now)
	}
	return n.takeOutput(now)
}

// Step handles a message from another replica.
func (n *Node) Step(now Now, m Message) Output {
	if n.acceptsMessage(m) && n.checkPromises(m) {
		n.recordPromises(m)
		n.step(now, m)
	}
	return n.takeOutput(now)
}

// acceptsMessage returns whether a message is addressed to this incarnation,
// rather than to an earlier one whose disk was lost. Join requests and promise
// queries are accepted with any incarnation.
func (n *Node) acceptsMessage(m Message) bool {
	if m.To.ID != n.Self.ID || m.From.ID == n.Self.ID {
		return false
	}
	return m.To.Incarnation == n.Self.Incarnation || m.Kind == join || m.Kind == promiseQuery
}

func (n *Node) step(now Now, m Message) {
	switch m.Kind {
	case promiseQuery:
		r := n.attachPromises(n.message(promiseReply, m.From))
		r.Term, r.Round = 0, m.Round
		n.sendNow(r)
		return
	case promiseReply:
		n.onPromiseReply(m)
		return
	case join:
		n.onJoin(now, m)
		return
	case form:
		n.onForm(now, m)
		return
	case preVote:
		n.onPreVote(now, m)
		return
	case vote:
		if n.leaderActive(now) && !m.Forced {
			return
		}
	}
	if m.Term > n.hardState.Term && (m.Kind != preVoteReply || m.Reject) {
		n.becomeFollower(now, m.Term)
	}
	if m.Term < n.hardState.Term {
		n.onStaleTerm(m)
		return
	}
	n.stepInTerm(now, m)
}

// stepInTerm handles a message of the current term, or a granted pre-vote for
// the next one.
func (n *Node) stepInTerm(now Now, m Message) {
	switch m.Kind {
	case preVoteReply, voteReply:
		n.onVoteReply(now, m)
	case vote:
		n.onVote(now, m)
	case appendEntries:
		n.onLeaderContact(now, m.From)
		n.onAppend(m)
	case appendReply:
		n.onAppendReply(now, m)
	case chunk:
		n.onLeaderContact(now, m.From)
		n.onChunk(m)
	case chunkReply:
		n.onChunkReply(now, m)
	case timeoutNow:
		n.startElection(now, true)
	}
}

// onStaleTerm rejects a request from an earlier term and ignores other
// messages. The reply carries the current term.
func (n *Node) onStaleTerm(m Message) {
	var kind MessageKind
	switch m.Kind {
	case appendEntries:
		kind = appendReply
	case chunk:
		kind = chunkReply
	case vote:
		kind = voteReply
	default:
		return
	}
	r := n.message(kind, m.From)
	r.Reject = true
	n.sendAfterPersist(r)
}
