package ledger

import (
	"slices"

	"github.com/tidwall/btree"
)

// serverIncarnation identifies one incarnation of a server. An engine that
// restarts has a new incarnation and no memory of the previous one.
type serverIncarnation struct {
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
}

// releaseRecords holds the release records of engine memory. A record is held
// while its program can still use the server, and due once the program has ended
// and its memory must be released. Due records outlive their program.
type releaseRecords struct {
	held *btree.BTreeG[Release]
	due  *btree.BTreeG[Release]
	gone map[serverIncarnation]bool // the latest server incarnations that no longer exist
	// goneOrder has the keys of gone, oldest first.
	goneOrder []serverIncarnation
}

func newReleaseRecords() releaseRecords {
	return releaseRecords{held: newReleaseIndex(), due: newReleaseIndex(), gone: make(map[serverIncarnation]bool)}
}

func newReleaseIndex() *btree.BTreeG[Release] {
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

func (rr *releaseRecords) addHeld(p *program, at serverIncarnation) {
	if slices.Contains(p.Memory, at) {
		return
	}
	p.Memory = append(p.Memory, at)
	rr.held.Set(Release{at.Server, at.Incarnation, p.ID})
}

// markDue moves the records of an ended program from held to due.
func (rr *releaseRecords) markDue(p *program) {
	for _, at := range p.Memory {
		r := Release{at.Server, at.Incarnation, p.ID}
		rr.held.Delete(r)
		rr.due.Set(r)
	}
	p.Memory = nil
}

// confirm removes a due record. Held records stay: a confirmation for an open
// program is late and does not cover the memory of its current calls.
func (rr *releaseRecords) confirm(c ReleaseConfirmed) { rr.due.Delete(Release(c)) }

func (rr *releaseRecords) isGone(at serverIncarnation) bool { return rr.gone[at] }

// serverGone removes all records of a server incarnation, and refuses further
// calls to it.
func (m *StateMachine) serverGone(c ServerGone) {
	at := serverIncarnation{c.Server, c.ServerIncarnation}
	m.releases.addGone(at, m.options.maxGone)
	for _, r := range releasesOn(m.releases.due, at, 0) {
		m.releases.due.Delete(r)
	}
	for _, r := range releasesOn(m.releases.held, at, 0) {
		m.releases.held.Delete(r)
		p := m.programs[r.Program]
		p.Memory = slices.DeleteFunc(p.Memory, func(x serverIncarnation) bool { return x == at })
	}
}

func (rr *releaseRecords) addGone(at serverIncarnation, limit int) {
	if rr.gone[at] {
		return
	}
	rr.gone[at] = true
	rr.goneOrder = append(rr.goneOrder, at)
	for len(rr.goneOrder) > limit {
		delete(rr.gone, rr.goneOrder[0])
		rr.goneOrder = rr.goneOrder[1:]
	}
}

// releasesOn returns up to limit records of a server incarnation. An empty
// incarnation or server matches all; a limit of 0 means no limit.
func releasesOn(records *btree.BTreeG[Release], at serverIncarnation, limit int) []Release {
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
