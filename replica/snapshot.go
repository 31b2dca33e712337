package replica

import "github.com/sycamoreline/sycamoreline/disk"

// incomingSnapshot is a snapshot being received from the leader.
type incomingSnapshot struct {
	info     disk.SnapshotInfo
	offset   int64 // of the next chunk
	complete bool  // all chunks have been received and are being written
}

func (n *Node) startSnapshotTransfer(to Ref, p *progress) {
	p.snapshot, p.offset, p.resendAt = n.snapshot, 0, 0
	p.inflight = nil
	n.sendChunk(to, p)
}

// continueSnapshotTransfer returns whether to continue a snapshot transfer. It
// aborts one whose receiver does not reply or whose snapshot has been replaced.
func (n *Node) continueSnapshotTransfer(now Now, p *progress) bool {
	if p.snapshot.Index == n.snapshot.Index && now.Elapsed-p.lastContact < n.Timing.Election {
		return true
	}
	p.snapshot, p.offset = disk.SnapshotInfo{}, 0
	p.probing = true
	return false
}

// sendTransferHeartbeat sends a heartbeat that matches any log, and resends the
// current chunk if it is presumed lost.
func (n *Node) sendTransferHeartbeat(now Now, to Ref, p *progress) {
	m := n.message(appendEntries, to)
	m.Stable, m.Round = n.log.stable, n.leaderState.round
	n.sendNow(m)
	if now.Elapsed >= p.resendAt {
		p.resendAt = now.Elapsed + n.Timing.Election/2
		n.sendChunk(to, p)
	}
}

// SendingSnapshot returns whether a snapshot is being sent. Replacing the
// snapshot would restart the transfer, so that a slow one might never complete.
func (n *Node) SendingSnapshot() bool {
	for _, p := range n.leaderState.progress {
		if n.role == Leader && p.snapshot.Index != 0 {
			return true
		}
	}
	return false
}

func (n *Node) sendChunk(to Ref, p *progress) {
	m := n.message(chunk, to)
	m.Index, m.LogTerm, m.Offset, m.Round = p.snapshot.Index, p.snapshot.Term, p.offset, n.leaderState.round
	members, err := decodeMembers(p.snapshot.Members)
	if err != nil {
		n.fail("read membership of snapshot: %w", err)
		return
	}
	m.Members = members
	n.out.Chunks = append(n.out.Chunks, ChunkRead{Info: p.snapshot, Message: m})
}

func (n *Node) onChunk(m Message) {
	r := n.message(chunkReply, m.From)
	r.Index, r.Round = m.Index, m.Round
	members := m.Members.encode()
	if m.Index <= n.commit {
		r.Last = true
		n.reply(r)
		return
	}
	same := n.incoming.info.Index == m.Index && n.incoming.info.Term == m.LogTerm
	if !same || m.Offset == 0 && !n.incoming.complete {
		n.incoming = incomingSnapshot{info: disk.SnapshotInfo{Index: m.Index, Term: m.LogTerm, Members: members}}
	}
	if n.incoming.complete {
		r.Offset = m.Offset
		n.reply(r)
		return
	}
	if m.Offset != n.incoming.offset {
		r.Offset = n.incoming.offset
		n.reply(r)
		return
	}
	n.incoming.offset += int64(len(m.Data))
	n.incoming.info.Bytes, n.incoming.complete = n.incoming.offset, m.Last
	n.out.Persist.Chunk = &Chunk{Info: n.incoming.info, Offset: m.Offset, Data: m.Data, Last: m.Last}
	r.Offset = n.incoming.offset
	if m.Last {
		r.Offset = m.Offset // the final reply is sent by installSnapshot
	}
	n.sendAfterPersist(r)
}

// ChunkFailed reports that a Persist is on disk except for its snapshot chunk.
// The transfer starts again.
func (n *Node) ChunkFailed(now Now, p Persist) Output {
	p.Chunk = nil
	n.incoming = incomingSnapshot{}
	return n.Persisted(now, p)
}

// installSnapshot restores a received snapshot that is on disk. It discards the
// log entries that the snapshot covers, and all others unless they continue it.
func (n *Node) installSnapshot(now Now, info disk.SnapshotInfo) {
	n.incoming = incomingSnapshot{}
	n.snapshot = info
	if info.Index <= n.commit {
		return
	}
	base := disk.Base{Index: info.Index, Term: info.Term, Members: info.Members}
	n.log.reset(base)
	n.commit, n.applied = info.Index, info.Index
	if err := n.loadMembers(); err != nil {
		n.fail("read membership of snapshot: %w", err)
	}
	n.out.Persist.Reset = &base
	n.out.Persist.Entries = n.log.entries
	n.out.Restore = &info
	if n.leader != (Ref{}) {
		r := n.message(chunkReply, n.leader)
		r.Index, r.Last = info.Index, true
		n.sendAfterPersist(r)
	}
	n.resetElectionTimer(now)
}

func (n *Node) onChunkReply(now Now, m Message) {
	if n.role != Leader {
		return
	}
	p := n.leaderState.progress[m.From]
	if p == nil {
		return
	}
	p.lastContact = now.Elapsed
	p.round = max(p.round, m.Round)
	n.completeReads()
	if p.snapshot.Index == 0 || p.snapshot.Index != m.Index || m.Reject {
		return
	}
	if m.Last {
		p.match, p.next = max(p.match, m.Index), max(p.next, m.Index+1)
		p.snapshot = disk.SnapshotInfo{}
		p.probing, p.probeInFlight = true, false
		n.advanceCommit()
		n.sendEntries(m.From, p)
		return
	}
	if m.Offset != p.offset {
		p.offset = m.Offset
		p.resendAt = now.Elapsed + n.Timing.Election/2
		n.sendChunk(m.From, p)
	}
}

// Compact removes entries covered by a durable local snapshot. It keeps the
// last keep entries before the snapshot, up to maxKeptBytes, for followers that
// are slightly behind.
func (n *Node) Compact(now Now, info disk.SnapshotInfo, keep uint64) Output {
	if info.Index > n.snapshot.Index {
		n.snapshot = info
	}
	keep = min(keep, n.log.countBefore(info.Index, maxKeptBytes))
	if info.Index < keep || info.Index-keep <= n.log.base.Index || info.Index > n.log.stable {
		return n.takeOutput(now)
	}
	index := info.Index - keep
	term, _ := n.log.term(index)
	base := disk.Base{Index: index, Term: term, Members: n.membersAt(index)}
	n.log.reset(base)
	n.out.Persist.Reset = &base
	n.out.Persist.Entries = n.log.entries
	return n.takeOutput(now)
}

// membersAt returns the encoded membership in effect at a log index.
func (n *Node) membersAt(index uint64) []byte {
	data := n.log.base.Members
	for _, e := range n.log.between(n.log.base.Index, index) {
		if e.Kind == disk.Membership {
			data = e.Data
		}
	}
	return data
}
