// Package registry keeps the backend servers that have announced themselves.
// It is deterministic: time is passed in, as the duration since the process
// started.
package registry

import (
	"slices"
	"strings"
	"time"
)

// State is what a backend server says of itself.
type State string

// The states. Gone is final for an incarnation.
const (
	Ready   State = "ready"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// Entry is the newest announcement of a backend server.
type Entry struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"` // IP address and port
	DataCentre string `json:"data-centre"`
	Slots      int    `json:"slots"`
	State      State  `json:"state"`
	// StartedAt is the start of the server in Unix milliseconds; a server that
	// starts again under its id has a later one.
	StartedAt int64 `json:"born"`
	// Sequence counts the announcements of one incarnation.
	Sequence int64 `json:"sequence"`
}

// supersedes returns whether e is newer than o. Gone wins over every
// announcement of the same incarnation, and Leaving over Ready, since servers
// never return from either.
func (e *Entry) supersedes(o *Entry) bool {
	if e.StartedAt != o.StartedAt {
		return e.StartedAt > o.StartedAt
	}
	if e.rank() != o.rank() {
		return e.rank() > o.rank()
	}
	return e.Sequence > o.Sequence
}

func (e *Entry) rank() int {
	switch e.State {
	case Gone:
		return 2
	case Leaving:
		return 1
	default:
		return 0
	}
}

const (
	// AnnouncementTimeout is the time without an announcement after which a server gets
	// no new work. Servers announce themselves about every 1.2 s, and an
	// announcement may be seconds late.
	AnnouncementTimeout = 6 * time.Second
	// entryTTL is the time after which an entry is dropped, late
	// announcements of its incarnation included.
	entryTTL = 2 * time.Minute
)

type record struct {
	entry    Entry
	announced  time.Duration
	revision int64 // of the last change that readers must see
	expired   bool
}

// Table holds the newest entry of each server. It is not safe for concurrent
// use.
type Table struct {
	records  map[string]*record
	revision int64
}

// New returns an empty table.
func New() *Table { return &Table{records: map[string]*record{}} }

// Revision counts the changes that readers must see.
func (t *Table) Revision() int64 { return t.revision }

// Len returns the number of servers that are remembered, gone ones included.
func (t *Table) Len() int { return len(t.records) }

// Announce takes in an announcement. It returns whether the entry is newer
// than what is held, and whether more than its sequence number changed.
func (t *Table) Announce(now time.Duration, e Entry) (newer, changed bool) {
	r := t.records[e.ID]
	if r == nil {
		r = &record{}
		t.records[e.ID] = r
	} else if !e.supersedes(&r.entry) {
		return false, false
	}
	before := r.entry
	before.Sequence = e.Sequence
	changed = before != e || r.expired
	r.entry, r.announced, r.expired = e, now, false
	if changed {
		t.recordChange(r)
	}
	return true, changed
}

// MarkGone marks a server as gone. A born of 0 means the incarnation that is
// known. It returns the entry, and false if the server is unknown or has
// started again since.
func (t *Table) MarkGone(now time.Duration, id string, born int64) (Entry, bool) {
	r := t.records[id]
	if r == nil || born != 0 && born < r.entry.StartedAt {
		return Entry{}, false
	}
	e := r.entry
	e.State = Gone
	if born != 0 {
		e.StartedAt = born
	}
	t.Announce(now, e)
	return e, true
}

func (t *Table) recordChange(r *record) {
	t.revision++
	r.revision = t.revision
}

// Expire marks servers that have been silent for too long.
func (t *Table) Expire(now time.Duration) {
	for id, r := range t.records {
		silence := now - r.announced
		if silence > entryTTL {
			delete(t.records, id)
		} else if silence > AnnouncementTimeout && !r.expired && r.entry.State != Gone {
			r.expired = true
			t.recordChange(r)
		}
	}
}

// Change is an entry as readers see it.
type Change struct {
	Entry
	Expired bool `json:"silent,omitempty"`
}

// Since returns the changes after a revision, by id.
func (t *Table) Since(revision int64) []Change {
	var out []Change
	for _, r := range t.records {
		if r.revision > revision {
			out = append(out, Change{Entry: r.entry, Expired: r.expired})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// View merges what several control hosts say of the servers.
type View struct {
	sources map[string]map[string]Change // by control host and server
}

// NewView returns an empty view.
func NewView() *View { return &View{sources: map[string]map[string]Change{}} }

// Update takes in the changes of one control host; full replaces all that it
// said before.
func (v *View) Update(source string, full bool, changes []Change) {
	m := v.sources[source]
	if m == nil || full {
		m = map[string]Change{}
		v.sources[source] = m
	}
	for _, c := range changes {
		m[c.ID] = c
	}
}

// RemoveSource drops what a control host said that is no longer one.
func (v *View) RemoveSource(source string) { delete(v.sources, source) }

// Servers returns the servers in use: those that some control host holds to be
// alive, with the newest entry of each. Of two at one address, only the later
// born is left: the address has been given to it since.
func (v *View) Servers() map[string]Entry {
	newest := map[string]Entry{}
	alive := map[string]bool{}
	for _, m := range v.sources {
		for id, c := range m {
			held, ok := newest[id]
			if !ok || c.supersedes(&held) {
				newest[id] = c.Entry
			}
		}
	}
	for _, m := range v.sources {
		for id, c := range m {
			if !c.Expired && c.StartedAt == newest[id].StartedAt {
				alive[id] = true
			}
		}
	}
	holder := map[string]string{} // by address
	for id, e := range newest {
		if o, ok := holder[e.Address]; !ok || newest[o].StartedAt < e.StartedAt {
			holder[e.Address] = id
		}
	}
	for id, e := range newest {
		if e.State == Gone || !alive[id] || holder[e.Address] != id {
			delete(newest, id)
		}
	}
	return newest
}
