package replica

import (
	"time"
)

// TransferLeadership starts a leadership transfer: the leader stops accepting
// proposals and, once its log is committed and the most up-to-date active voter
// has all of it, sends that voter a request to start an election. It returns
// false if this replica is not the leader or no other voter is active.
func (n *Node) TransferLeadership(now Now) (Output, bool) {
	if n.role != Leader {
		return n.takeOutput(now), false
	}
	best := n.transferTarget(now)
	if best == (Ref{}) {
		return n.takeOutput(now), false
	}
	n.startTransfer(now, best)
	return n.takeOutput(now), true
}

// startTransfer starts a leadership transfer to a replica, if it is not the zero
// Ref.
func (n *Node) startTransfer(now Now, target Ref) {
	n.leaderState.transferTo, n.leaderState.transferAt = target, now.Elapsed
	n.completeTransfer(now)
}

// abandonTransfer ends a transfer that has not completed within an election
// timeout, as when its target is lost. Otherwise this replica would lead for ever
// and accept no proposals.
func (n *Node) abandonTransfer(now Now) {
	if n.leaderState.transferTo == (Ref{}) || now.Elapsed-n.leaderState.transferAt < n.Timing.Election {
		return
	}
	n.leaderState.transferTo, n.leaderState.since = Ref{}, now.Elapsed
}

// transferTarget returns the voter with the longest matching log of those that
// are not leaving the group and have replied within two heartbeat intervals plus
// 100 ms. It returns the zero Ref if there is none.
func (n *Node) transferTarget(now Now) Ref {
	var best Ref
	var match uint64
	for _, r := range n.others() {
		p := n.leaderState.progress[r]
		if n.members.isVoter(r) && !n.leaving(r.ID) && now.Elapsed-p.lastContact < 2*n.Timing.Heartbeat+100*time.Millisecond && p.match >= match {
			best, match = r, p.match
		}
	}
	return best
}

// completeTransfer requests that the transfer target start an election, if the
// target has the complete log and all of it is committed.
func (n *Node) completeTransfer(_ Now) {
	p := n.leaderState.progress[n.leaderState.transferTo]
	if p == nil || p.match < n.log.last() || n.commit < n.log.last() {
		return
	}
	n.sendNow(n.message(timeoutNow, n.leaderState.transferTo))
}
