package replica

import (
	"time"
)

// TransferLeadership makes the leader stop taking proposals and ask the most advanced
// voter to take over once it has the whole log. It returns false if this
// replica does not lead or there is no other voter at work.
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
