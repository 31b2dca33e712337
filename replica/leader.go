package replica

import (
	"slices"
	"time"

	"github.com/sycamoreline/sycamoreline/disk"
)

// leadership is the state that only a leader has.
type leadership struct {
	termStart uint64 // index of the no-op entry of the term
	progress  map[Ref]*progress
	nextHeartbeat  time.Duration
	round     uint64
	reads     []pendingRead
	joining   map[string]joiner
	transferTo  Ref
	since     time.Duration // when this replica became leader
}

// progress is what a leader knows of one other replica.
type progress struct {
	match   uint64 // entries up to here are known to agree
	next    uint64 // first entry to send
	probing bool   // next is a guess: send one message at a time
	probeInFlight bool   // a probe is under way
	inflight  []uint64
	lastContact time.Duration
	responded   bool   // since this replica leads
	round   uint64 // last round that was echoed
	// Transfer of a snapshot; Index 0 when there is none.
	snapshot disk.SnapshotInfo
	offset   int64
	resendAt time.Duration // when the part under way is taken for lost
}

func (n *Node) becomeLeader(now Now) {
	n.role, n.leader = Leader, n.Self
	n.lead = leadership{progress: map[Ref]*progress{}, joining: map[string]joiner{}, since: now.Elapsed}
	n.syncProgress(now)
	n.lead.termStart = n.log.last() + 1
	n.appendAsLeader(now, disk.NoOp, [][]byte{nil})
	n.broadcastHeartbeat(now)
}

// syncProgress makes progress hold exactly the other members.
func (n *Node) syncProgress(now Now) {
	for _, x := range n.members {
		if x.Ref != n.Self && n.lead.progress[x.Ref] == nil {
			n.lead.progress[x.Ref] = &progress{next: n.log.last() + 1, probing: true, lastContact: now.Elapsed}
		}
	}
	for r := range n.lead.progress {
		if _, ok := n.members.find(r); !ok {
			delete(n.lead.progress, r)
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
// first one, or 0 if this replica does not take proposals: nothing was
// appended then.
func (n *Node) Propose(now Now, commands [][]byte) (uint64, Output) {
	if !n.acceptsProposals() || len(commands) == 0 {
		return 0, n.takeOutput(now)
	}
	first := n.log.last() + 1
	n.appendAsLeader(now, disk.Command, commands)
	n.replicate()
	return first, n.takeOutput(now)
}

// acceptsProposals returns whether the replica takes proposals: a leader that is not
// handing over.
func (n *Node) acceptsProposals() bool { return n.role == Leader && n.lead.transferTo == Ref{} }

// replicate sends new entries to every replica that can take them.
func (n *Node) replicate() {
	for _, r := range n.others() {
		n.sendEntries(r, n.lead.progress[r])
	}
}

func (n *Node) sendEntries(to Ref, p *progress) {
	for p.next <= n.log.last() && !p.probeInFlight && p.snapshot.Index == 0 && len(p.inflight) < maxInflightAppends {
		n.sendAppend(to, p)
	}
}

// sendAppend sends the entries from next on. Without any it is a heartbeat,
// which also finds out whether earlier messages were lost.
func (n *Node) sendAppend(to Ref, p *progress) {
	m := n.message(appendEntries, to)
	m.Commit, m.Round = n.commit, n.lead.round
	prev, ok := n.log.term(p.next - 1)
	if !ok {
		n.startSnapshotTransfer(to, p)
		return
	}
	m.Index, m.LogTerm = p.next-1, prev
	if !p.probing && p.next <= n.log.last() && len(p.inflight) < maxInflightAppends {
		m.Entries = n.log.from(p.next, maxAppendBytes)
	}
	switch {
	case p.probing:
		p.probeInFlight = true
		m = n.attachPromises(m)
	case len(m.Entries) > 0:
		p.next = m.Entries[len(m.Entries)-1].Index + 1
		p.inflight = append(p.inflight, p.next-1)
	}
	n.sendNow(m)
}

// broadcastHeartbeat sends a heartbeat to every member.
func (n *Node) broadcastHeartbeat(now Now) {
	n.lead.nextHeartbeat = now.Elapsed + n.Timing.Heartbeat
	for _, r := range n.others() {
		p := n.lead.progress[r]
		p.probeInFlight = false
		if p.snapshot.Index != 0 && n.snapshotTransferActive(now, p) {
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
	n.transferIfDiskSlow(now)
	n.reconfigure(now)
	if now.Elapsed >= n.lead.nextHeartbeat {
		n.broadcastHeartbeat(now)
	}
}

// transferCooldown is the number of election timeouts for which a new leader keeps
// the lead even on a slow disk: where all disks are slow, handing over in turn
// would only add to it.
const transferCooldown = 8

// transferIfDiskSlow hands over when a write takes long.
func (n *Node) transferIfDiskSlow(now Now) {
	slow := n.Timing.SlowWrite > 0 && n.writes > 0 && now.Elapsed-n.writeSince >= n.Timing.SlowWrite
	if !slow || n.lead.transferTo != (Ref{}) || now.Elapsed-n.lead.since < transferCooldown*n.Timing.Election {
		return
	}
	n.lead.transferTo = n.transferTarget(now)
	n.completeTransfer(now)
}

// diskStalled returns whether the disk has not finished a write for long.
func (n *Node) diskStalled(now Now) bool {
	return n.writes > 0 && now.Elapsed-n.writeSince >= n.Timing.Election
}

// hasQuorum returns whether a quorum answered within the election timeout. A
// leader without one may have been replaced already.
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

// advanceCommit commits what a quorum of voters has on disk. Only entries of
// the leader's own term are counted; earlier ones are committed with them.
func (n *Node) advanceCommit() {
	var matches []uint64
	for _, x := range n.members {
		switch {
		case x.Learner:
		case x.Ref == n.Self:
			matches = append(matches, n.log.stable)
		default:
			matches = append(matches, n.lead.progress[x.Ref].match)
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
	p := n.lead.progress[m.From]
	if p == nil {
		return // not a member: an old incarnation, or one removed
	}
	p.lastContact, p.responded = now.Elapsed, true
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
	p.inflight = slices.DeleteFunc(p.inflight, func(i uint64) bool { return i <= p.match })
	n.advanceCommit()
}

func (n *Node) onAppendRejected(m Message, p *progress) {
	if m.Index > p.next {
		return // late answer to a message that was overtaken
	}
	// An answer at or below match is late too, or the replica's disk was rolled
	// back; the probe shows the replica what it had acknowledged.
	p.next = max(m.Index, p.match+1)
	p.inflight = nil
	p.probing, p.probeInFlight = true, false
}
