package replica

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sycamoreline/sycamoreline/disk"
)

// Role is the part a replica plays in its group.
type Role uint8

// The roles. A pre-candidate asks whether it could win before it raises the
// term, so that a replica that was cut off does not disturb the group.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleTexts = []string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the text form.
func (r Role) String() string { return roleTexts[r] }

// Now is the time at which an event is handled. Elapsed is monotonic and runs
// elections; UnixMillis is only written into entries.
type Now struct {
	Elapsed    time.Duration
	UnixMillis int64
}

// Timing sets the pace of a group.
type Timing struct {
	Heartbeat time.Duration
	// Election is the shortest time without a leader before a replica asks for
	// votes; the longest is half as much again. A leader that has not heard from a
	// quorum, or whose disk has not finished a write, for this long steps down.
	Election time.Duration
	// SlowWrite is the duration of a write from which a leader hands over: it
	// applies only what is on its own disk, so that a slow one holds up the whole
	// group while the other disks would do; 0 means never.
	SlowWrite time.Duration
	// RemoveAfter is the silence after which an open group removes a member; 0
	// means never.
	RemoveAfter time.Duration
}

// DefaultTiming keeps fail-over under 3 s: at most 1.5 s until a replica
// notices, and up to 0.75 s more if the first vote is split. Shorter heartbeats
// cost an idle group more traffic in proportion.
func DefaultTiming() Timing {
	return Timing{Heartbeat: 300 * time.Millisecond, Election: time.Second}
}

// Limits of what is in flight to one follower.
const (
	maxAppendBytes   = 512 << 10
	maxInflightAppends = 64
	chunkBytes       = 256 << 10
)

// Persist is what must be on disk before the messages of the same Output, and
// all later ones, are sent. The parts are written in the order of the fields.
type Persist struct {
	Reset     *disk.Base // the log is replaced by one that starts here
	HardState *disk.HardState
	Entries   []disk.Entry
	Chunk     *Chunk
}

func (p Persist) empty() bool {
	return p.Reset == nil && p.HardState == nil && len(p.Entries) == 0 && p.Chunk == nil
}

// Chunk is a part of a snapshot that another replica sends.
type Chunk struct {
	Info   disk.SnapshotInfo
	Offset int64
	Data   []byte
	Last   bool
}

// ChunkRead asks the driver to complete Message with the part of the snapshot
// at its offset, and to send it.
type ChunkRead struct {
	Info    disk.SnapshotInfo
	Message Message
}

// ReadResult answers a ReadIndex. The read may be served once Index has been
// applied, unless it was refused because leadership was lost.
type ReadResult struct {
	ID      uint64
	Index   uint64
	Rejected bool
}

// Output is what the driver must do after an event, in the order of the
// fields.
type Output struct {
	Immediate   []Message // need not wait for Persist
	Chunks  []ChunkRead
	Persist Persist
	AfterPersist   []Message // sent once Persist and all before it is on disk
	// Restore replaces the machine's state by a received snapshot.
	Restore *disk.SnapshotInfo
	Apply   []disk.Entry
	Reads   []ReadResult
	// Fatal means that the replica must stop.
	Fatal error
}

// NodeOptions are the fixed properties of a replica.
type NodeOptions struct {
	Self Ref
	// Initial are the ids of the replicas that form the group. A replica
	// without them only joins a group that exists.
	Initial []string
	// Open lets replicas with other ids join, and removes lost ones.
	Open   bool
	Timing Timing
	// Random spreads election timeouts.
	Random *rand.Rand
}

// Node is the deterministic core of a replica. It does no I/O: every event
// gets the time and returns an Output.
type Node struct {
	NodeOptions
	out Output

	role   Role
	hardState   disk.HardState // as it will be on disk
	durableHardState disk.HardState // as it is on disk
	leader Ref
	log    entryLog
	commit uint64
	// applied is the last entry given to the driver in Output.Apply.
	applied  uint64
	snapshot disk.SnapshotInfo // newest durable one

	members      Members // the newest in the log, committed or not
	membersIndex uint64

	electionAt    time.Duration
	lastLeaderContact time.Duration // last message from the leader of the term
	leaderContacted   bool
	votes         map[Ref]bool
	writeSince    time.Duration // a write has been outstanding since then
	writes        int           // outstanding writes

	unverified map[Ref]bool  // voters not yet asked about this replica's promises
	queryNonce  uint64        // echoed in their answers
	checkDeadline time.Duration // when it votes even so
	nextQueryAt  time.Duration

	lead     leadership
	form     formation
	joinPeers []string     // ids that a joining replica asks, besides Initial
	retiring []string     // ids of members that are to leave
	desired   []string     // ids that are to be members; nil for any
	promises     map[Ref]Promises // promises of each replica, this one too
	incoming    incomingSnapshot
}

// NewNode returns the core of a replica with the state found on its disk.
func NewNode(now Now, o NodeOptions, r disk.Recovered) (*Node, error) {
	n := &Node{
		NodeOptions: o,
		hardState:        r.HardState,
		durableHardState:      r.HardState,
		log:         entryLog{base: r.Base, entries: r.Entries, stable: r.Base.Index + uint64(len(r.Entries))},
		snapshot:    r.Snapshot,
		commit:      max(r.Base.Index, r.Snapshot.Index),
		promises:        map[Ref]Promises{},
	}
	n.promises[n.Self] = n.promisesOnDisk()
	n.form = n.newFormation()
	n.applied = n.commit
	if err := n.loadMembers(); err != nil {
		return nil, err
	}
	// AfterPersist a loss of power nobody leads. Where somebody does, the others refuse
	// the pre-vote.
	n.scheduleElectionRetry(now)
	n.startPromiseCheck(now)
	return n, nil
}

// loadMembers takes the newest membership from the log.
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

// formed returns whether the replica has a log to build on.
func (n *Node) formed() bool { return len(n.members) > 0 }

// Role returns the replica's role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// Leader returns the leader of the term, and false if it is not known.
func (n *Node) Leader() (Ref, bool) { return n.leader, n.leader != Ref{} }

// Commit returns the index of the last entry known to be committed.
func (n *Node) Commit() uint64 { return n.commit }

// Applied returns the index of the last entry given out to be applied.
func (n *Node) Applied() uint64 { return n.applied }

// Members returns the newest membership in the log.
func (n *Node) Members() Members { return n.members }

// takeOutput returns the output gathered since the last event.
func (n *Node) takeOutput(now Now) Output {
	n.collectCommitted()
	if !n.out.Persist.empty() {
		if n.writes == 0 {
			n.writeSince = now.Elapsed
		}
		n.writes++
	}
	out := n.out
	n.out = Output{}
	return out
}

// collectCommitted hands out committed entries that are on the local disk.
func (n *Node) collectCommitted() {
	high := min(n.commit, n.log.stable)
	if high > n.applied {
		n.out.Apply = append(n.out.Apply, n.log.between(n.applied, high)...)
		n.applied = high
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
	// A replaced suffix may have held the newest membership.
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

// Persisted reports that a Persist is on disk, in the order in which they were
// given out.
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
		n.install(now, p.Chunk.Info)
	}
	return n.takeOutput(now)
}

func (n *Node) writeDone(now Now) {
	n.writes--
	n.writeSince = now.Elapsed
}

func (n *Node) entriesStable(e disk.Entry) {
	if t, ok := n.log.term(e.Index); ok && t == e.Term {
		n.log.stable = max(n.log.stable, e.Index)
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Tick moves the timers. It is called several times per heartbeat.
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

// acceptsMessage drops messages that were meant for another incarnation of this
// replica, such as one whose disk was lost.
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

// stepInTerm handles a message of the current term, or a granted pre-vote.
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

// onStaleTerm tells the sender of an outdated request about the newer term.
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
