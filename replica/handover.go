package replica

import (
	"time"
)

// HandOver starts a leadership transfer: the leader stops accepting proposals,
// and requests the most up-to-date active voter to start an election once that
// voter has the complete log. It returns false if this replica is not the leader
// or no other voter is active.
func (n *Node) HandOver(now Now) (Output, bool) {
	if n.role != Leader {
		return n.take(now), false
	}
	best := n.successor(now)
	if best == (Ref{}) {
		return n.take(now), false
	}
	n.lead.handover = best
	n.finishHandover(now)
	return n.take(now), true
}

func (n *Node) successor(now Now) Ref {
	var best Ref
	var match uint64
	for _, r := range n.others() {
		p := n.lead.progress[r]
		if n.members.isVoter(r) && !n.leaving(r.ID) && now.Elapsed-p.heardAt < 2*n.Timing.Heartbeat+100*time.Millisecond && p.match >= match {
			best, match = r, p.match
		}
	}
	return best
}

func (n *Node) finishHandover(_ Now) {
	p := n.lead.progress[n.lead.handover]
	if p == nil || p.match < n.log.last() || n.commit < n.log.last() {
		return
	}
	n.early(n.message(handover, n.lead.handover))
}
