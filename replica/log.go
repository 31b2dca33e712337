package replica

import "github.com/sycamoreline/sycamoreline/disk"

// entryLog holds the log entries after base. Those up to index stable are on
// disk.
type entryLog struct {
	base    disk.Base
	entries []disk.Entry
	stable  uint64
	// The data of commands up to the index evicted is only on disk. The entries
	// after it up to the index counted have resident bytes of data.
	evicted, counted uint64
	resident         int
}

func (l *entryLog) last() uint64 { return l.base.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, and false if the log does not
// hold that entry.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base.Index:
		return l.base.Term, true
	case index < l.base.Index || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

// from returns the entries from index on, limited to maxBytes of data, but at
// least one if there is any.
func (l *entryLog) from(index uint64, maxBytes int) []disk.Entry {
	rest := l.entries[index-l.base.Index-1:]
	size := 0
	for i, e := range rest {
		size += e.Bytes()
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// countBefore returns the number of entries up to an index, counted backwards,
// that have at most maxBytes of data together.
func (l *entryLog) countBefore(index uint64, maxBytes int) uint64 {
	count := uint64(0)
	for index > l.base.Index && index <= l.last() {
		maxBytes -= l.entries[index-l.base.Index-1].Bytes()
		if maxBytes < 0 {
			break
		}
		count++
		index--
	}
	return count
}

// between returns the entries with low < index <= high.
func (l *entryLog) between(low, high uint64) []disk.Entry {
	a, b := low-l.base.Index, high-l.base.Index
	return l.entries[a:b:b]
}

// put appends entries, after removing all entries from the index of the first
// one on.
func (l *entryLog) put(entries []disk.Entry) {
	keep := entries[0].Index - l.base.Index - 1
	l.stable = min(l.stable, entries[0].Index-1)
	if keep < uint64(len(l.entries)) {
		// Copy, because slices returned by from and between must not change.
		l.entries = append([]disk.Entry(nil), l.entries[:keep]...)
	}
	l.entries = append(l.entries, entries...)
}

// conflict returns the index from which a leader should retry after the entry
// at index did not match: the index after the last entry if the log is shorter,
// or else that of the first entry of the term found at index, so that one round
// trip skips the whole term.
func (l *entryLog) conflict(index uint64) uint64 {
	if index > l.last() {
		return l.last() + 1
	}
	term, _ := l.term(index)
	for index > l.base.Index+1 {
		t, _ := l.term(index - 1)
		if t != term {
			break
		}
		index--
	}
	return index
}

// reset discards the entries up to base, and the remaining ones too if the log
// does not contain base.
func (l *entryLog) reset(base disk.Base) {
	if t, ok := l.term(base.Index); ok && t == base.Term {
		l.entries = append([]disk.Entry(nil), l.entries[base.Index-l.base.Index:]...)
	} else {
		l.entries = nil
		l.stable = base.Index
	}
	l.base = base
	l.stable = max(l.stable, base.Index)
	l.counted, l.resident = base.Index, 0
}

// evict drops the data of commands up to index from memory, all but the newest ones
// that have together at most limit bytes. It acts only once there are twice as
// many, since it copies the list: slices returned by from and between must not
// change.
func (l *entryLog) evict(index uint64, limit int) {
	index = min(index, l.stable)
	l.counted = max(l.counted, l.base.Index)
	for ; l.counted < index; l.counted++ {
		l.resident += len(l.entries[l.counted-l.base.Index].Data)
	}
	if l.resident < 2*limit {
		return
	}
	l.entries = append([]disk.Entry(nil), l.entries...)
	for l.evicted = max(l.evicted, l.base.Index); l.resident > limit && l.evicted < l.counted; l.evicted++ {
		e := &l.entries[l.evicted-l.base.Index]
		l.resident -= len(e.Data)
		if e.Kind == disk.Command && len(e.Data) > 0 {
			e.Data, e.Size = nil, len(e.Data)
		}
	}
}
