// Package registry is the service registry of the backend servers. A Table
// holds the announcements that one control host has received, and a View merges
// the tables of several control hosts, from parts of bounded size. The package
// neither sends nor receives anything itself. It is deterministic: time is
// passed in, as the duration since the process started.
package registry

import (
	"time"

	"github.com/tidwall/btree"
)

// State is the state that a backend server announces.
type State string

// The states of a server. Gone is final for an incarnation.
const (
	Ready   State = "ready"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// Entry is the content of an announcement of a backend server.
type Entry struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"` // IP address and port
	DataCentre string `json:"data-centre"`
	Slots      int    `json:"slots"` // requests that the server runs at the same time
	State      State  `json:"state"`
	// Version is the version of the server's software, or empty if the server
	// announces none.
	Version string `json:"software-version,omitempty"`
	// StartedAt is the start time of the server in Unix milliseconds. It
	// identifies the incarnation: a server that restarts with the same ID has a
	// later one.
	StartedAt int64 `json:"born"`
	// Sequence is the number of the announcement within the incarnation.
	Sequence int64 `json:"sequence"`
}

// supersedes reports whether e is newer than o. Within an incarnation, Gone
// supersedes all other states and Leaving supersedes Ready, regardless of the
// sequence numbers, since servers never return from either state.
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
	// AnnouncementTimeout is the time without an announcement after which a
	// server gets no new work. Servers announce themselves about every 1.2 s,
	// and announcements may be delayed by seconds.
	AnnouncementTimeout = 6 * time.Second
	// entryTTL is the time without an announcement after which an entry is
	// removed.
	entryTTL = 2 * time.Minute
	// DepartureTTL is the same for the entry of a server that has left or is
	// leaving. The entry must outlive delayed announcements of its incarnation, which
	// would otherwise add the server again.
	DepartureTTL = 10 * time.Minute
	// restoredTimeout is the time after which a restored entry expires without an
	// announcement: two of them may be lost.
	restoredTimeout = 3 * time.Second
)

type record struct {
	entry     Entry
	announced time.Duration
	revision  int64 // revision of the last change
	expired   bool  // no announcement within the timeout
}

// Table holds the newest entry of each server, and a revision number that
// identifies changes to be distributed. It is not safe for concurrent use.
type Table struct {
	incarnation uint64
	records     map[string]*record
	byRevision  btree.Map[int64, *record]
	revision    int64
}

// New returns an empty table. The incarnation is not 0 and differs from those of
// all tables that the same readers have read, since revisions start at 1 in each
// table.
func New(incarnation uint64) *Table {
	return &Table{incarnation: incarnation, records: map[string]*record{}}
}

// Len returns the number of entries, including those of servers that are gone.
func (t *Table) Len() int { return len(t.records) }

// Service returns the service of a server, which is empty if it is unknown.
func (t *Table) Service(id string) string {
	if r := t.records[id]; r != nil {
		return r.entry.Service
	}
	return ""
}

// ReadyServers returns the number of ready servers by service.
func (t *Table) ReadyServers() map[string]int {
	out := map[string]int{}
	for _, r := range t.records {
		if r.entry.State == Ready && !r.expired {
			out[r.entry.Service]++
		}
	}
	return out
}

// Announce records an announcement. Newer reports whether the entry is the
// first one of its server or supersedes the recorded one, and changed whether
// it has to be distributed. A renewal, which differs only in the sequence
// number, is distributed only if the entry had expired.
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

// MarkGone marks an incarnation of a server as gone. The start time identifies it;
// 0 stands for the recorded one. It returns the new entry, or false if neither is
// known or the server has restarted since.
func (t *Table) MarkGone(now time.Duration, id string, startedAt int64) (Entry, bool) {
	e := Entry{ID: id, StartedAt: startedAt}
	if r := t.records[id]; r != nil {
		if startedAt != 0 && startedAt < r.entry.StartedAt {
			return Entry{}, false
		}
		e = r.entry
		e.StartedAt = max(startedAt, r.entry.StartedAt)
	} else if startedAt == 0 {
		return Entry{}, false
	}
	e.State = Gone
	t.Announce(now, e)
	return e, true
}

// Usable returns the entries of the servers that are neither gone nor expired.
func (t *Table) Usable() []Entry {
	var out []Entry
	for _, r := range t.records {
		if r.entry.State != Gone && !r.expired {
			out = append(out, r.entry)
		}
	}
	return out
}

// Restore records entries that Usable returned before a restart. They expire
// sooner than announcements.
func (t *Table) Restore(now time.Duration, entries []Entry) {
	for _, e := range entries {
		if t.records[e.ID] == nil {
			t.Announce(now-AnnouncementTimeout+restoredTimeout, e)
		}
	}
}

// RestoreDeparture records the departure of a server from a log, unless a newer
// entry is recorded. It expires sooner than an announcement.
func (t *Table) RestoreDeparture(now time.Duration, e Entry) {
	t.Announce(now-AnnouncementTimeout+restoredTimeout, e)
}

func (t *Table) recordChange(r *record) {
	t.byRevision.Delete(r.revision)
	t.revision++
	r.revision = t.revision
	t.byRevision.Set(r.revision, r)
}

// Expire marks the entries of servers that have not announced themselves within
// the timeout, and removes entries after their TTL.
func (t *Table) Expire(now time.Duration) {
	for id, r := range t.records {
		elapsed := now - r.announced
		ttl := entryTTL
		if r.entry.State != Ready {
			ttl = DepartureTTL
		}
		if elapsed > ttl {
			delete(t.records, id)
			t.byRevision.Delete(r.revision)
		} else if elapsed > AnnouncementTimeout && !r.expired && r.entry.State != Gone {
			r.expired = true
			t.recordChange(r)
		}
	}
}
