package replica

// pendingRead waits until a quorum has confirmed the leader after the read
// began.
type pendingRead struct {
	id    uint64
	index uint64 // commit index when the read began
	round uint64
}

// ReadIndex begins a linearizable read. Its result comes in Output.Reads, now
// or later.
func (n *Node) ReadIndex(now Now, id uint64) Output {
	if n.role != Leader {
		n.out.Reads = append(n.out.Reads, ReadResult{ID: id, Rejected: true})
		return n.takeOutput(now)
	}
	n.lead.round++
	// Before the term's first entry is committed the leader does not know all
	// that earlier leaders committed.
	n.lead.reads = append(n.lead.reads, pendingRead{id: id, index: max(n.commit, n.lead.termStart), round: n.lead.round})
	n.broadcastHeartbeat(now)
	n.completeReads()
	return n.takeOutput(now)
}

// completeReads answers the reads whose round a quorum has echoed.
func (n *Node) completeReads() {
	kept := n.lead.reads[:0]
	for _, r := range n.lead.reads {
		if n.confirmed(r.round) {
			n.out.Reads = append(n.out.Reads, ReadResult{ID: r.id, Index: r.index})
		} else {
			kept = append(kept, r)
		}
	}
	n.lead.reads = kept
}

func (n *Node) confirmed(round uint64) bool {
	count := 0
	for _, x := range n.members {
		if !x.Learner && (x.Ref == n.Self || n.lead.progress[x.Ref].round >= round) {
			count++
		}
	}
	return count >= n.members.quorum()
}

func (n *Node) rejectReads() {
	for _, r := range n.lead.reads {
		n.out.Reads = append(n.out.Reads, ReadResult{ID: r.id, Rejected: true})
	}
	n.lead.reads = nil
}
