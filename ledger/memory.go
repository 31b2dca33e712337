package ledger

import (
	"slices"

	"github.com/tidwall/btree"
)

// place is one incarnation of a server. An engine that restarts loses its
// memory and gets a new incarnation.
type place struct {
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
}

// memory is the set of release records of engine memory. A record is held while
// its program can still use the server, and due once the program has ended and
// its memory must be released. Due records outlive their program.
type memory struct {
	held *btree.BTreeG[Release]
	due  *btree.BTreeG[Release]
	gone map[place]bool // the latest server incarnations that no longer exist
	// goneOrder has the keys of gone, oldest first.
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

// release moves the records of an ended program from held to due.
func (y *memory) release(p *program) {
	for _, at := range p.Memory {
		r := Release{at.Server, at.Incarnation, p.ID}
		y.held.Delete(r)
		y.due.Set(r)
	}
	p.Memory = nil
}

// confirm removes a due record. Held records stay: a confirmation for an open
// program is late and does not cover the memory of its current calls.
func (y *memory) confirm(c ReleaseConfirmed) { y.due.Delete(Release(c)) }

func (y *memory) isGone(at place) bool { return y.gone[at] }

// serverGone removes all records of a server incarnation, and refuses further
// calls to it.
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

// recordsOf returns up to limit records of a server incarnation. An empty
// incarnation or server matches all; a limit of 0 means no limit.
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
