package membership

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
)

const snapshotVersion = 1

// snapshot is the whole state. Crashes is sorted by time, oldest first, and each
// other list by key.
type snapshot struct {
	Version         int       `json:"version"`
	Clock           int64     `json:"clock"`
	Revision        int64     `json:"revision"`
	CompactRevision int64     `json:"floor"`
	Fencing         int64     `json:"fencing"`
	Servers         []*server `json:"servers"`
	Hosts           []*host   `json:"hosts"`
	Suspects        []Suspect `json:"suspects"`
	Crashes         []*crash  `json:"crashes"`
	Grants          []*grant  `json:"grants"`
}

// Snapshot writes the whole state as JSON. The output is deterministic.
func (m *StateMachine) Snapshot(w io.Writer) error {
	s := snapshot{
		Version: snapshotVersion, Clock: m.clock, Revision: m.revision, CompactRevision: m.compactRevision,
		Fencing: m.fencing, Crashes: m.crashes.order,
	}
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		s.Servers = append(s.Servers, m.servers[id])
	}
	for _, id := range m.sortedHosts() {
		s.Hosts = append(s.Hosts, m.hosts[id])
	}
	for _, f := range slices.Sorted(maps.Keys(m.suspects)) {
		s.Suspects = append(s.Suspects, m.suspects[f].Suspect)
	}
	for _, resource := range slices.Sorted(maps.Keys(m.grants)) {
		s.Grants = append(s.Grants, m.grants[resource])
	}
	if err := json.NewEncoder(w).Encode(s); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	return nil
}

// Restore replaces the state with a snapshot. On an error the state is
// unchanged.
func (m *StateMachine) Restore(r io.Reader) error {
	var s snapshot
	if err := json.NewDecoder(r).Decode(&s); err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	if s.Version != snapshotVersion {
		return fmt.Errorf("snapshot version %d: want %d", s.Version, snapshotVersion)
	}
	if slices.Contains(s.Servers, nil) || slices.Contains(s.Hosts, nil) ||
		slices.Contains(s.Crashes, nil) || slices.Contains(s.Grants, nil) {
		return fmt.Errorf("snapshot has a null record")
	}
	n := newStateMachine(m.options)
	n.clock, n.revision, n.compactRevision, n.fencing = s.Clock, s.Revision, s.CompactRevision, s.Fencing
	for _, v := range s.Servers {
		n.servers[v.Announcement.Server] = v
		n.index(v.Revision, recordKey{server: v.Announcement.Server}, v.Gone)
	}
	for _, h := range s.Hosts {
		n.hosts[h.id()] = h
		n.index(h.Revision, recordKey{host: h.id()}, h.Gone)
		if !h.Gone {
			n.liveHosts++
		}
	}
	for _, v := range s.Suspects {
		n.suspects[v.Fingerprint] = &suspect{Suspect: v}
		n.index(v.Revision, recordKey{suspect: v.Fingerprint}, v.Crashes == 0)
	}
	for _, k := range s.Crashes {
		n.crashes.add(k)
		for _, f := range k.Fingerprints {
			n.ensureSuspect(f).crashes = append(n.ensureSuspect(f).crashes, k)
		}
	}
	for _, g := range s.Grants {
		n.grants[g.Resource] = g
	}
	*m = *n
	return nil
}

// index adds a record from a snapshot to the indexes by revision.
func (m *StateMachine) index(revision int64, key recordKey, removed bool) {
	m.changed.Set(revision, key)
	if removed {
		m.removed.Set(revision, key)
	}
}
