package replica

import (
	"time"
)

// TransferLeadership starts a leadership transfer: the leader stops accepting
// proposals, and requests the most up-to-date active voter to start an election
// once that voter has the complete log. It returns false if this replica is not
// the leader or no other voter is active.
func (n *Node) TransferLeadership(now Now) (Output, bool) {
	if n.role != Leader {
		return n.takeOutput(now), false
	}
	best := n.transferTarget(now)
	if best == (Ref{}) {
		return n.takeOutput(now), false
	}
	n.lead.transferTo = best
	n.completeTransfer(now)
	return n.takeOutput(now), true
}

func (n *Node) transferTarget(now Now) Ref {
	var best Ref
	var match uint64
	for _, r := range n.others() {
		p := n.lead.progress[r]
		if n.members.isVoter(r) && !n.leaving(r.ID) && now.Elapsed-p.lastContact < 2*n.Timing.Heartbeat+100*time.Millisecond && p.match >= match {
			best, match = r, p.match
		}
	}
	return best
}

func (n *Node) completeTransfer(_ Now) {
	p := n.lead.progress[n.lead.transferTo]
	if p == nil || p.match < n.log.last() || n.commit < n.log.last() {
		return
	}
	n.sendNow(n.message(timeoutNow, n.lead.transferTo))
}
