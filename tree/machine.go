package tree

import (
	"encoding/json"
	"fmt"

	"github.com/tidwall/btree"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// ChangeIDReused is the reason for refusing a change whose id was used for a
// different change.
const ChangeIDReused verdict.Reason = "change-id-reused"

// StateMachine is the state of the configuration tree. It is not safe for
// concurrent use.
type StateMachine struct {
	options  options
	clock    int64 // greatest time passed with a change, Unix milliseconds
	revision int64
	// compactRevision is the greatest revision of a compacted tombstone. A
	// difference from an earlier revision would miss deletions.
	compactRevision int64
	// versionFloor is the greatest version of a compacted tombstone. A path
	// without a tombstone is created with a greater version, so that a condition
	// on a version read before its deletion cannot hold again.
	versionFloor int64
	entries      *btree.BTreeG[*Entry] // by path, without tombstones
	tombstones   map[string]*Entry     // by path
	byRevision   *btree.BTreeG[*Entry] // by revision and path, with tombstones
	deletions    *btree.BTreeG[*Entry] // tombstones by revision and path
	outcomes     outcomes
}

type options struct {
	maxTombstones int
	maxOutcomes   int
	maxValueBytes int
}

// Option configures a StateMachine. All replicas must use the same options.
type Option func(*options)

// WithMaxTombstones sets how many of the latest tombstones of deleted paths are
// kept. A reader at a revision before that of a compacted tombstone gets the whole
// tree instead of a difference.
func WithMaxTombstones(count int) Option {
	return func(o *options) { o.maxTombstones = count }
}

// WithMaxOutcomes sets for how many of the latest change ids the outcome is kept.
func WithMaxOutcomes(count int) Option {
	return func(o *options) { o.maxOutcomes = count }
}

// WithMaxValueBytes sets the maximum size of a value; the default is 1 MiB.
func WithMaxValueBytes(bytes int) Option {
	return func(o *options) { o.maxValueBytes = bytes }
}

// New returns an empty tree.
func New(opts ...Option) *StateMachine {
	o := options{maxTombstones: 8_192, maxOutcomes: 32_768, maxValueBytes: 1 << 20}
	for _, set := range opts {
		set(&o)
	}
	return newStateMachine(o)
}

func newStateMachine(o options) *StateMachine {
	noLocks := btree.Options{NoLocks: true}
	return &StateMachine{
		options:    o,
		entries:    btree.NewBTreeGOptions(func(a, b *Entry) bool { return a.Path < b.Path }, noLocks),
		tombstones: make(map[string]*Entry),
		byRevision: btree.NewBTreeGOptions(lessByRevision, noLocks),
		deletions:  btree.NewBTreeGOptions(lessByRevision, noLocks),
		outcomes:   newOutcomes(),
	}
}

func lessByRevision(a, b *Entry) bool {
	if a.Revision != b.Revision {
		return a.Revision < b.Revision
	}
	return a.Path < b.Path
}

// Revision returns the tree revision, which counts applied changes.
func (m *StateMachine) Revision() int64 { return m.revision }

// Apply applies a Command in JSON and returns its Outcome in JSON. Malformed
// input is refused and leaves the state unchanged.
func (m *StateMachine) Apply(unixMillis int64, command []byte) []byte {
	var c Command
	if err := json.Unmarshal(command, &c); err != nil {
		return encode(m.refuse(verdict.BadRequest, err.Error()))
	}
	if c.Change == nil {
		return encode(m.refuse(verdict.BadRequest, "command is empty"))
	}
	return encode(m.ApplyChange(unixMillis, *c.Change))
}

// ApplyChange is Apply without the JSON encoding.
func (m *StateMachine) ApplyChange(unixMillis int64, c Change) Outcome {
	if err := c.check(m.options.maxValueBytes); err != nil {
		return m.refuse(verdict.BadRequest, err.Error())
	}
	if path, ok := c.outsideScope(); ok {
		return m.refuse(verdict.Forbidden, fmt.Sprintf("path %q is outside /teams/%s/", path, c.Team))
	}
	m.clock = max(m.clock, unixMillis)
	fingerprint := c.fingerprint()
	if r := m.outcomes.get(c.ChangeID); r != nil {
		if r.Fingerprint != fingerprint {
			return m.refuse(ChangeIDReused, fmt.Sprintf("change-id %q was used for another change", c.ChangeID))
		}
		return r.Outcome
	}
	outcome := m.change(&c)
	m.outcomes.add(changeRecord{c.ChangeID, fingerprint, outcome}, m.options.maxOutcomes)
	return outcome
}

func (m *StateMachine) refuse(reason verdict.Reason, message string) Outcome {
	return Outcome{Revision: m.revision, Reason: reason, Message: message}
}

func (m *StateMachine) change(c *Change) Outcome {
	if conflicts := m.conflicts(c); len(conflicts) > 0 {
		o := m.refuse(verdict.Conflict, fmt.Sprintf("%d of %d conditions failed", len(conflicts), len(c.Writes)))
		o.Conflicts = conflicts
		return o
	}
	m.revision++
	for _, w := range c.Writes {
		m.write(w, c.ChangeID)
	}
	m.compact()
	return Outcome{Applied: true, Revision: m.revision}
}

// conflicts returns the current entries of the paths whose condition failed.
func (m *StateMachine) conflicts(c *Change) []Entry {
	var failed []Entry
	for _, w := range c.Writes {
		current, exists := m.current(w.Path)
		holds := w.IfVersion == AnyVersion || (exists && w.IfVersion == current.Version) || (!exists && w.IfVersion == 0)
		if !holds {
			failed = append(failed, current)
		}
	}
	return failed
}

// current returns the entry of a path, or its tombstone, or an empty entry.
func (m *StateMachine) current(path string) (entry Entry, exists bool) {
	if e, ok := m.entries.Get(&Entry{Path: path}); ok {
		return *e, true
	}
	if e := m.tombstones[path]; e != nil {
		return *e, false
	}
	return Entry{Path: path, Deleted: true}, false
}

// write replaces the entry of a path. Entries are immutable, so that readers may
// keep them.
func (m *StateMachine) write(w Write, changeID string) {
	before, exists := m.current(w.Path)
	if w.Delete && !exists {
		return
	}
	if exists || before.Revision > 0 {
		m.byRevision.Delete(&before)
		m.deletions.Delete(&before)
	}
	after := &Entry{
		Path: w.Path, Value: w.Value, Version: max(before.Version, m.baseVersion(before)) + 1,
		Revision: m.revision, ChangeID: changeID, Deleted: w.Delete,
	}
	m.byRevision.Set(after)
	if w.Delete {
		after.Value = nil
		m.entries.Delete(after)
		m.tombstones[w.Path] = after
		m.deletions.Set(after)
		return
	}
	delete(m.tombstones, w.Path)
	m.entries.Set(after)
}

// baseVersion returns versionFloor for a path that has neither an entry nor a
// tombstone, else 0. The next version of the path must be greater.
func (m *StateMachine) baseVersion(before Entry) int64 {
	if before.Revision > 0 {
		return 0
	}
	return m.versionFloor
}

// compact removes the oldest tombstones, down to the limit.
func (m *StateMachine) compact() {
	for m.deletions.Len() > m.options.maxTombstones {
		e, _ := m.deletions.PopMin()
		m.byRevision.Delete(e)
		delete(m.tombstones, e.Path)
		m.compactRevision = e.Revision
		m.versionFloor = max(m.versionFloor, e.Version)
	}
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// Unreachable: Change.check accepts only values that are valid JSON, and all
		// other fields can be encoded.
		data, _ = json.Marshal(Outcome{Reason: verdict.BadRequest, Message: err.Error()})
	}
	return data
}
