package ledger

import (
	"slices"

	"github.com/tidwall/btree"
)

// place is a server incarnation that holds engine memory.
type place struct {
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
}

// memory keeps the release records of engine memory. A record is held while
// its program can still use the server, and due when it has ended. Due
// records outlive their program.
type memory struct {
	held *btree.BTreeG[Release]
	due  *btree.BTreeG[Release]
	gone map[place]bool
	// goneOrder lists the keys of gone, oldest first.
	goneOrder []place
}

func newMemory() memory {
	return memory{held: newReleases(), due: newReleases(), gone: make(map[place]bool)}
}

func newReleases() *btree.BTreeG[Release] {
	less := func(a, b Release) bool {
		if a.Server != b.Server {
			return a.Server < b.Server
		}
		if a.ServerIncarnation != b.ServerIncarnation {
			return a.ServerIncarnation < b.ServerIncarnation
		}
		return a.Program < b.Program
	}
	return btree.NewBTreeGOptions(less, btree.Options{NoLocks: true})
}

func (y *memory) hold(p *program, at place) {
	if slices.Contains(p.Memory, at) {
		return
	}
	p.Memory = append(p.Memory, at)
	y.held.Set(Release{at.Server, at.Incarnation, p.ID})
}

// release makes the records of an ended program due.
func (y *memory) release(p *program) {
	for _, at := range p.Memory {
		r := Release{at.Server, at.Incarnation, p.ID}
		y.held.Delete(r)
		y.due.Set(r)
	}
	p.Memory = nil
}

// confirm removes a due record. A confirmation for an open program is late
// and says nothing of the memory that its current calls use.
func (y *memory) confirm(c ReleaseConfirmed) { y.due.Delete(Release(c)) }

func (y *memory) isGone(at place) bool { return y.gone[at] }

// serverGone drops all records of the incarnation.
func (m *Machine) serverGone(c ServerGone) {
	at := place{c.Server, c.ServerIncarnation}
	m.memory.noteGone(at, m.options.maxGone)
	for _, r := range recordsOf(m.memory.due, at, 0) {
		m.memory.due.Delete(r)
	}
	for _, r := range recordsOf(m.memory.held, at, 0) {
		m.memory.held.Delete(r)
		p := m.programs[r.Program]
		p.Memory = slices.DeleteFunc(p.Memory, func(x place) bool { return x == at })
	}
}

func (y *memory) noteGone(at place, limit int) {
	if y.gone[at] {
		return
	}
	y.gone[at] = true
	y.goneOrder = append(y.goneOrder, at)
	for len(y.goneOrder) > limit {
		delete(y.gone, y.goneOrder[0])
		y.goneOrder = y.goneOrder[1:]
	}
}

// recordsOf returns up to limit records of a server, or of one incarnation
// when it is set. A limit of 0 means all.
func recordsOf(records *btree.BTreeG[Release], at place, limit int) []Release {
	var found []Release
	from := Release{Server: at.Server, ServerIncarnation: at.Incarnation}
	records.Ascend(from, func(r Release) bool {
		if at.Server != "" && r.Server != at.Server ||
			at.Incarnation != "" && r.ServerIncarnation != at.Incarnation {
			return false
		}
		found = append(found, r)
		return limit == 0 || len(found) < limit
	})
	return found
}
