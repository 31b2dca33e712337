package replica

import "github.com/sycamoreline/sycamoreline/disk"

func (n *Node) onAppend(m Message) {
	r := n.message(appendReply, m.From)
	r.Round = m.Round
	entries, prev, ok := n.matchPrevious(m)
	if !ok {
		r.Reject, r.Index = true, n.log.conflict(m.Index)
		n.reply(r)
		return
	}
	fresh := n.missingEntries(entries)
	if len(fresh) > 0 {
		if fresh[0].Index <= n.commit {
			n.fail("entry %d of term %d conflicts with a committed one", fresh[0].Index, fresh[0].Term)
			return
		}
		n.putEntries(fresh)
	}
	agreed := prev + uint64(len(entries))
	n.commit = max(n.commit, min(m.Commit, agreed))
	r.Index = agreed
	switch {
	case agreed <= n.log.stable:
		n.reply(r)
	case len(m.Entries) > 0:
		n.sendAfterPersist(r)
	default:
		// A heartbeat is answered while the disk is busy, for what is on it.
		r.Index = n.log.stable
		n.reply(r)
	}
}

// reply answers at once if the answer promises nothing that is not on disk
// yet.
func (n *Node) reply(m Message) {
	if n.hardState == n.durableHardState {
		n.sendNow(m)
		return
	}
	n.sendAfterPersist(m)
}

// matchPrevious finds where the message joins the log. Entries at or below base are
// committed and skipped.
func (n *Node) matchPrevious(m Message) (entries []disk.Entry, prev uint64, ok bool) {
	entries, prev = m.Entries, m.Index
	if base := n.log.base.Index; prev < base {
		skip := min(base-prev, uint64(len(entries)))
		entries = entries[skip:]
		return entries, base, true
	}
	t, ok := n.log.term(prev)
	return entries, prev, ok && t == m.LogTerm
}

// missingEntries returns the entries from the first one that the log does not hold.
func (n *Node) missingEntries(entries []disk.Entry) []disk.Entry {
	for i, e := range entries {
		if t, ok := n.log.term(e.Index); !ok || t != e.Term {
			return entries[i:]
		}
	}
	return nil
}
