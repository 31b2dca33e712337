package replica

// pendingRead is a read that waits for a quorum to confirm the leader by
// echoing a heartbeat round sent after the read began.
type pendingRead struct {
	id    uint64
	index uint64 // index to apply before the read is served
	round uint64
}

// ReadIndex starts a linearizable read. Its result is returned in Output.Reads
// of this or a later event.
func (n *Node) ReadIndex(now Now, id uint64) Output {
	if n.role != Leader {
		n.out.Reads = append(n.out.Reads, ReadResult{ID: id, Rejected: true})
		return n.takeOutput(now)
	}
	n.leaderState.round++
	// Until the first entry of its term is committed, a leader's commit index may
	// be lower than that of earlier leaders.
	n.leaderState.reads = append(n.leaderState.reads, pendingRead{id: id, index: max(n.commit, n.leaderState.termStart), round: n.leaderState.round})
	n.broadcastHeartbeat(now)
	n.completeReads()
	return n.takeOutput(now)
}

// completeReads completes the reads whose round a quorum has echoed.
func (n *Node) completeReads() {
	kept := n.leaderState.reads[:0]
	for _, r := range n.leaderState.reads {
		if n.confirmed(r.round) {
			n.out.Reads = append(n.out.Reads, ReadResult{ID: r.id, Index: r.index})
		} else {
			kept = append(kept, r)
		}
	}
	n.leaderState.reads = kept
}

func (n *Node) confirmed(round uint64) bool {
	count := 0
	for _, x := range n.members {
		if !x.Learner && (x.Ref == n.Self || n.leaderState.progress[x.Ref].round >= round) {
			count++
		}
	}
	return count >= n.members.quorum()
}

func (n *Node) rejectReads() {
	for _, r := range n.leaderState.reads {
		n.out.Reads = append(n.out.Reads, ReadResult{ID: r.id, Rejected: true})
	}
	n.leaderState.reads = nil
}
