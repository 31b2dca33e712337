package ledger

import (
	"slices"

	"github.com/tidwall/btree"
)

// serverIncarnation identifies one incarnation of a server. An engine that
// restarts has a new incarnation, and its engine memory is lost.
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

func (rr *releaseRecords) addHeld(p *program, server serverIncarnation) {
	if slices.Contains(p.Memory, server) {
		return
	}
	p.Memory = append(p.Memory, server)
	rr.held.Set(Release{server.Server, server.Incarnation, p.ID})
}

// markDue moves the records of an ended program from held to due.
func (rr *releaseRecords) markDue(p *program) {
	for _, server := range p.Memory {
		r := Release{server.Server, server.Incarnation, p.ID}
		rr.held.Delete(r)
		rr.due.Set(r)
	}
	p.Memory = nil
}

// confirm removes a due record. Held records stay: a confirmation for an open
// program is late and does not cover the memory of its current calls.
func (rr *releaseRecords) confirm(c ReleaseConfirmed) { rr.due.Delete(Release(c)) }

func (rr *releaseRecords) isGone(server serverIncarnation) bool { return rr.gone[server] }

// serverGone removes all release records of a server incarnation, and records
// that it is gone, so that no call can be marked as sent to it.
func (m *StateMachine) serverGone(c ServerGone) {
	server := serverIncarnation{c.Server, c.ServerIncarnation}
	m.releases.addGone(server, m.options.maxGone)
	for _, r := range releasesOn(m.releases.due, server, 0) {
		m.releases.due.Delete(r)
	}
	for _, r := range releasesOn(m.releases.held, server, 0) {
		m.releases.held.Delete(r)
		p := m.programs[r.Program]
		p.Memory = slices.DeleteFunc(p.Memory, func(x serverIncarnation) bool { return x == server })
	}
}

func (rr *releaseRecords) addGone(server serverIncarnation, limit int) {
	if rr.gone[server] {
		return
	}
	rr.gone[server] = true
	rr.goneOrder = append(rr.goneOrder, server)
	for len(rr.goneOrder) > limit {
		delete(rr.gone, rr.goneOrder[0])
		rr.goneOrder = rr.goneOrder[1:]
	}
}

// releasesOn returns up to limit records of a server incarnation. An empty
// incarnation or server matches all; a limit of 0 means no limit.
func releasesOn(records *btree.BTreeG[Release], server serverIncarnation, limit int) []Release {
	var found []Release
	from := Release{Server: server.Server, ServerIncarnation: server.Incarnation}
	records.Ascend(from, func(r Release) bool {
		if server.Server != "" && r.Server != server.Server ||
			server.Incarnation != "" && r.ServerIncarnation != server.Incarnation {
			return false
		}
		found = append(found, r)
		return limit == 0 || len(found) < limit
	})
	return found
}
