package tree

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

const snapshotVersion = 1

// header is the first record of a snapshot. The entries and tombstones follow,
// sorted by revision and path, then the change records, oldest first.
type header struct {
	Version         int   `json:"version"`
	Clock           int64 `json:"clock"`
	Revision        int64 `json:"revision"`
	CompactRevision int64 `json:"floor"`
	VersionFloor    int64 `json:"version-floor"`
	Entries         int   `json:"entries"`
	Outcomes        int   `json:"outcomes"`
}

// Snapshot writes the whole state as JSON records. The output is
// deterministic.
func (m *StateMachine) Snapshot(w io.Writer) error {
	buffered := bufio.NewWriterSize(w, 64<<10)
	encoder := json.NewEncoder(buffered)
	err := encoder.Encode(header{
		Version: snapshotVersion, Clock: m.clock, Revision: m.revision, CompactRevision: m.compactRevision,
		VersionFloor: m.versionFloor, Entries: m.byRevision.Len(), Outcomes: len(m.outcomes.order),
	})
	m.byRevision.Scan(func(e *Entry) bool {
		if err == nil {
			err = encoder.Encode(e)
		}
		return err == nil
	})
	for _, r := range m.outcomes.order {
		if err == nil {
			err = encoder.Encode(r)
		}
	}
	if err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	return buffered.Flush()
}

// Restore replaces the state with a snapshot. On an error the state is
// unchanged.
func (m *StateMachine) Restore(r io.Reader) error {
	decoder := json.NewDecoder(bufio.NewReaderSize(r, 64<<10))
	var h header
	if err := decoder.Decode(&h); err != nil {
		return fmt.Errorf("read snapshot header: %w", err)
	}
	if h.Version != snapshotVersion {
		return fmt.Errorf("snapshot version %d: want %d", h.Version, snapshotVersion)
	}
	n := newStateMachine(m.options)
	n.clock, n.revision, n.compactRevision, n.versionFloor = h.Clock, h.Revision, h.CompactRevision, h.VersionFloor
	for i := range h.Entries {
		e := new(Entry)
		if err := decoder.Decode(e); err != nil {
			return fmt.Errorf("read entry %d of %d: %w", i+1, h.Entries, err)
		}
		n.add(e)
	}
	for i := range h.Outcomes {
		var record changeRecord
		if err := decoder.Decode(&record); err != nil {
			return fmt.Errorf("read change %d of %d: %w", i+1, h.Outcomes, err)
		}
		n.outcomes.add(record, h.Outcomes)
	}
	*m = *n
	return nil
}

// add adds an entry from a snapshot to the indexes.
func (m *StateMachine) add(e *Entry) {
	m.byRevision.Set(e)
	if e.Deleted {
		m.tombstones[e.Path] = e
		m.deletions.Set(e)
		return
	}
	m.entries.Set(e)
}
