package registry

import "iter"

// Change is a changed entry, for distribution to the readers of a Table.
type Change struct {
	Entry
	// Expired is true if the server has not announced itself within the
	// timeout.
	Expired bool `json:"silent,omitempty"`
}

// changeOverhead is the size of an encoded change without its strings, in
// bytes: field names, numbers and lengths.
const changeOverhead = 96

// size returns the approximate size of the encoded change in bytes.
func (c *Change) size() int {
	return changeOverhead + len(c.ID) + len(c.Service) + len(c.Address) + len(c.DataCentre) + len(c.State) + len(c.Version)
}

// Position states which changes of a Table a reader has received: those up to
// Revision, except the ones after GapStart and up to GapEnd. New changes are
// sent before the gap is filled, so that a long transfer does not delay them.
type Position struct {
	// Incarnation identifies the Table. It is 0 before the first part.
	Incarnation uint64 `json:"life,omitempty"`
	Revision    int64  `json:"revision,omitempty"`
	GapStart    int64  `json:"gap-start,omitempty"`
	GapEnd      int64  `json:"gap-end,omitempty"` // 0 without a gap
}

// HasGap returns whether changes up to Revision are missing.
func (p Position) HasGap() bool { return p.GapEnd > 0 }

// Part is a part of the changes of a Table, and the position after it.
type Part struct {
	Position
	// Full is true for the first part of a whole table, which is sent to readers
	// of another incarnation.
	Full    bool     `json:"full,omitempty"`
	Changes []Change `json:"changes,omitempty"`
}

// Next returns the next part for a reader at a position. Its changes have about
// maxBytes encoded, but it contains at least one change if any is missing. If
// the new changes do not fit, the gap is extended to include them.
func (t *Table) Next(p Position, maxBytes int) Part {
	part := Part{Position: p}
	if p.Incarnation != t.incarnation {
		part.Full, part.Position = true, Position{Incarnation: t.incarnation}
	}
	used := 0
	limit := maxBytes
	if part.HasGap() {
		limit /= 2 // leaves room to fill the gap
	}
	for r := range t.between(part.Revision, t.revision) {
		c := r.change()
		used += c.size()
		if used > limit {
			if !part.HasGap() {
				part.GapStart = part.Revision
			}
			part.GapEnd = t.revision
			part.Changes, used = nil, 0
			break
		}
		part.Changes = append(part.Changes, c)
	}
	part.Revision = t.revision
	if !part.HasGap() {
		return part
	}
	first := true
	for r := range t.between(part.GapStart, part.GapEnd) {
		c := r.change()
		used += c.size()
		if !first && used > maxBytes {
			return part
		}
		first = false
		part.Changes = append(part.Changes, c)
		part.GapStart = r.revision
	}
	part.GapStart, part.GapEnd = 0, 0
	return part
}

// between returns the records changed after one revision and up to another, in
// the order of their changes.
func (t *Table) between(after, upTo int64) iter.Seq[*record] {
	return func(yield func(*record) bool) {
		t.byRevision.Ascend(after+1, func(revision int64, r *record) bool { return revision <= upTo && yield(r) })
	}
}

func (r *record) change() Change { return Change{Entry: r.entry, Expired: r.expired} }
