package replica

import "github.com/sycamoreline/sycamoreline/disk"

func (n *Node) onAppend(m Message) {
	r := n.message(appendReply, m.From)
	r.Round, r.DiskLevel = m.Round, n.diskLevel
	entries, prev, ok := n.matchPrevious(m)
	if !ok {
		r.Reject, r.Index = true, n.log.conflict(m.Index)
		n.reply(r)
		return
	}
	missing := n.missingEntries(entries)
	if len(missing) > 0 {
		if missing[0].Index <= n.commit {
			n.fail("entry %d of term %d conflicts with a committed entry", missing[0].Index, missing[0].Term)
			return
		}
		n.putEntries(missing)
	}
	lastMatch := prev + uint64(len(entries))
	n.commit = max(n.commit, min(m.Commit, lastMatch))
	r.Index = lastMatch
	switch {
	case lastMatch <= n.log.stable:
		n.reply(r)
	case len(m.Entries) > 0:
		n.sendAfterPersist(r)
	default:
		// Reply to a heartbeat without waiting for the disk, but acknowledge only
		// entries that are already on it.
		r.Index = n.log.stable
		n.reply(r)
	}
}

// reply sends a reply at once if the hard state is on disk, and otherwise once
// it is.
func (n *Node) reply(m Message) {
	if n.hardState == n.durableHardState {
		n.sendNow(m)
		return
	}
	n.sendAfterPersist(m)
}

// matchPrevious checks that the log contains the entry before those of the
// message, and returns the entries to append and the index before them. Entries
// at or below base are committed and are skipped.
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

// missingEntries returns the entries from the first one that the log does not
// contain.
func (n *Node) missingEntries(entries []disk.Entry) []disk.Entry {
	for i, e := range entries {
		if t, ok := n.log.term(e.Index); !ok || t != e.Term {
			return entries[i:]
		}
	}
	return nil
}
