package replica

import (
	"slices"
	"time"

	"github.com/sycamoreline/sycamoreline/disk"
)

// leaderState is the state of a leader.
type leaderState struct {
	termStart     uint64 // index of the no-op entry of the term
	progress      map[Ref]*progress
	nextHeartbeat time.Duration
	round         uint64 // number of the current heartbeat round
	reads         []pendingRead
	joining       map[string]joiner // latest join request by replica id
	transferTo    Ref               // target of a leadership transfer in progress
	transferAt    time.Duration     // when the transfer began
	since         time.Duration     // when this replica became leader, or abandoned a transfer
}

// progress is a leader's view of one other replica.
type progress struct {
	match         uint64 // index of the last entry known to match the leader's log
	next          uint64 // index of the first entry to send
	probing       bool   // next is a guess: send one message at a time
	probeInFlight bool
	inflight      []inflightAppend
	lastContact   time.Duration // time of the last reply or, before it, of the start of tracking
	responded     bool          // has replied to an append since this replica became leader
	round         uint64        // last heartbeat round echoed
	diskLevel     int           // of the last reply to an append
	// Snapshot transfer; snapshot.Index is 0 if there is none.
	snapshot disk.SnapshotInfo
	offset   int64
	resendAt time.Duration // when the current chunk is presumed lost
}

// inflightAppend is an append without a reply.
type inflightAppend struct {
	last  uint64 // index of its last entry
	bytes int
}

// mayAppend returns whether another append may be sent to a follower.
func (n *Node) mayAppend(p *progress) bool {
	bytes := 0
	for _, a := range p.inflight {
		bytes += a.bytes
	}
	return len(p.inflight) < maxInflightAppends && (n.ResidentBytes == 0 || bytes < n.ResidentBytes)
}

func (n *Node) becomeLeader(now Now) {
	n.role, n.leader = Leader, n.Self
	n.leaderState = leaderState{progress: map[Ref]*progress{}, joining: map[string]joiner{}, since: now.Elapsed}
	n.syncProgress(now)
	n.leaderState.termStart = n.log.last() + 1
	n.appendAsLeader(now, disk.NoOp, [][]byte{nil})
	n.broadcastHeartbeat(now)
}

// syncProgress adds missing members to the progress map and removes replicas
// that are no longer members.
func (n *Node) syncProgress(now Now) {
	for _, x := range n.members {
		if x.Ref != n.Self && n.leaderState.progress[x.Ref] == nil {
			n.leaderState.progress[x.Ref] = &progress{next: n.log.last() + 1, probing: true, lastContact: now.Elapsed}
		}
	}
	for r := range n.leaderState.progress {
		if _, ok := n.members.find(r); !ok {
			delete(n.leaderState.progress, r)
		}
	}
}

// others returns the other members in a fixed order.
func (n *Node) others() []Ref {
	refs := make([]Ref, 0, len(n.members))
	for _, x := range n.members {
		if x.Ref != n.Self {
			refs = append(refs, x.Ref)
		}
	}
	return refs
}

func (n *Node) appendAsLeader(now Now, kind disk.EntryKind, data [][]byte) {
	entries := make([]disk.Entry, len(data))
	for i, d := range data {
		entries[i] = disk.Entry{Index: n.log.last() + 1 + uint64(i), Term: n.hardState.Term, UnixMillis: now.UnixMillis, Kind: kind, Data: d}
	}
	n.putEntries(entries)
	if kind == disk.Membership {
		n.syncProgress(now)
	}
}

// Propose appends commands to the leader's log. It returns the index of the
// first one, or 0 if this replica does not accept proposals and appended
// nothing.
func (n *Node) Propose(now Now, commands [][]byte) (uint64, Output) {
	if !n.acceptsProposals() || len(commands) == 0 {
		return 0, n.takeOutput(now)
	}
	first := n.log.last() + 1
	n.appendAsLeader(now, disk.Command, commands)
	n.replicate()
	return first, n.takeOutput(now)
}

// acceptsProposals returns whether the replica accepts proposals: it is the
// leader and is not transferring its leadership.
func (n *Node) acceptsProposals() bool { return n.role == Leader && n.leaderState.transferTo == Ref{} }

// replicate sends new entries to every replica whose in-flight limit allows it.
func (n *Node) replicate() {
	for _, r := range n.others() {
		n.sendEntries(r, n.leaderState.progress[r])
	}
}

func (n *Node) sendEntries(to Ref, p *progress) {
	for p.next <= n.log.last() && !p.probeInFlight && p.snapshot.Index == 0 && n.mayAppend(p) {
		n.sendAppend(to, p)
	}
}

// sendAppend sends the entries from next on, or starts a snapshot transfer if
// the log no longer contains the entry before them. Without entries the message
// is a probe or a heartbeat, whose reply also reveals whether earlier messages
// were lost.
func (n *Node) sendAppend(to Ref, p *progress) {
	m := n.message(appendEntries, to)
	m.Commit, m.Stable, m.Round = n.commit, n.log.stable, n.leaderState.round
	prev, ok := n.log.term(p.next - 1)
	if !ok {
		n.startSnapshotTransfer(to, p)
		return
	}
	m.Index, m.LogTerm = p.next-1, prev
	if !p.probing && p.next <= n.log.last() && n.mayAppend(p) {
		m.Entries = n.log.from(p.next, maxAppendBytes)
	}
	switch {
	case p.probing:
		p.probeInFlight = true
		m = n.attachPromises(m)
	case len(m.Entries) > 0:
		p.next = m.Entries[len(m.Entries)-1].Index + 1
		a := inflightAppend{last: p.next - 1}
		for _, e := range m.Entries {
			a.bytes += e.Bytes()
		}
		p.inflight = append(p.inflight, a)
	}
	n.sendNow(m)
}

// broadcastHeartbeat sends a heartbeat to every other member.
func (n *Node) broadcastHeartbeat(now Now) {
	n.leaderState.nextHeartbeat = now.Elapsed + n.Timing.Heartbeat
	for _, r := range n.others() {
		p := n.leaderState.progress[r]
		p.probeInFlight = false
		if p.snapshot.Index != 0 && n.continueSnapshotTransfer(now, p) {
			n.sendTransferHeartbeat(now, r, p)
			continue
		}
		n.sendAppend(r, p)
	}
}

func (n *Node) tickLeader(now Now) {
	if !n.hasQuorum(now) || n.diskStalled(now) {
		n.becomeFollower(now, n.hardState.Term)
		return
	}
	n.abandonTransfer(now)
	n.transferIfDiskSlow(now)
	n.reconfigure(now)
	if now.Elapsed >= n.leaderState.nextHeartbeat {
		n.broadcastHeartbeat(now)
	}
}

// transferCooldown is the number of election timeouts for which a new leader
// keeps leadership even if its disk is slow. If all disks are slow, repeated
// transfers would only add delay.
const transferCooldown = 8

// transferIfDiskSlow starts a leadership transfer if a disk write is slow.
func (n *Node) transferIfDiskSlow(now Now) {
	slow := n.Timing.SlowWrite > 0 && n.writeDelay(now) >= n.Timing.SlowWrite
	if !slow || n.leaderState.transferTo != (Ref{}) || now.Elapsed-n.leaderState.since < transferCooldown*n.Timing.Election {
		return
	}
	n.startTransfer(now, n.transferTarget(now))
}

// diskStalled returns whether the current disk write is late by an election
// timeout or more.
func (n *Node) diskStalled(now Now) bool {
	return n.writeDelay(now) >= n.Timing.Election
}

// hasQuorum returns whether a quorum has replied within the election timeout.
// Without one, another leader may have been elected already.
func (n *Node) hasQuorum(now Now) bool {
	count := 0
	for _, x := range n.members {
		if x.Learner {
			continue
		}
		if n.active(now, x.Ref) {
			count++
		}
	}
	return count >= n.members.quorum()
}

// advanceCommit advances the commit index to the last entry that a quorum of
// voters has on disk. Only entries of the leader's own term are counted;
// earlier ones are committed with them.
func (n *Node) advanceCommit() {
	var matches []uint64
	for _, x := range n.members {
		switch {
		case x.Learner:
		case x.Ref == n.Self:
			matches = append(matches, n.log.stable)
		default:
			matches = append(matches, n.leaderState.progress[x.Ref].match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.members.quorum()]
	if t, ok := n.log.term(index); !ok || t != n.hardState.Term || index <= n.commit {
		return
	}
	n.commit = index
	n.completeReads()
}

func (n *Node) onAppendReply(now Now, m Message) {
	if n.role != Leader {
		return
	}
	p := n.leaderState.progress[m.From]
	if p == nil {
		return // not a member: an earlier incarnation or a removed replica
	}
	p.lastContact, p.responded, p.diskLevel = now.Elapsed, true, m.DiskLevel
	p.round = max(p.round, m.Round)
	if m.Reject {
		n.onAppendRejected(m, p)
	} else {
		n.onAppendAccepted(m, p)
	}
	n.completeReads()
	n.sendEntries(m.From, p)
	n.completeTransfer(now)
}

func (n *Node) onAppendAccepted(m Message, p *progress) {
	p.match = max(p.match, m.Index)
	if p.probing && m.Index+1 >= p.next {
		p.probing, p.probeInFlight = false, false
	}
	p.next = max(p.next, p.match+1)
	p.inflight = slices.DeleteFunc(p.inflight, func(a inflightAppend) bool { return a.last <= p.match })
	n.advanceCommit()
}

func (n *Node) onAppendRejected(m Message, p *progress) {
	if m.Index > p.next {
		return // late reply to an earlier message
	}
	// A rejection at or below match is either late as well, or a sign that the
	// replica's disk was rolled back. To detect the latter, the probe carries the
	// record of what the replica has acknowledged.
	p.next = max(m.Index, p.match+1)
	p.inflight = nil
	p.probing, p.probeInFlight = true, false
}
