package tree

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// treeModel simulates operators whose changes may be based on stale reads, and
// two readers that apply differences. It holds the expected values of the tree.
type treeModel struct {
	m, replica *StateMachine
	values     map[string]string // expected, by path
	changes    []Change
	outcomes   map[string]Outcome
	lastRead   map[string]Entry // last entry that an operator read, by path
	// assigned has the value of each path and version that was ever assigned.
	assigned map[string]string
	readers  []*reader
}

// reader keeps a copy of the tree up to date by applying differences, as an entry
// host does.
type reader struct {
	revision int64
	values   map[string]string
}

func (r *reader) update(m *StateMachine) {
	d := m.Difference(r.revision)
	if d.Full {
		r.values = map[string]string{}
	}
	for _, e := range d.Entries {
		if e.Deleted {
			delete(r.values, e.Path)
			continue
		}
		r.values[e.Path] = string(e.Value)
	}
	r.revision = d.Revision
}

func treeOptions() []Option { return []Option{WithMaxTombstones(3), WithMaxOutcomes(1_000)} }

func newTreeModel() *treeModel {
	return &treeModel{
		m: New(treeOptions()...), replica: New(treeOptions()...),
		values: map[string]string{}, outcomes: map[string]Outcome{}, lastRead: map[string]Entry{}, assigned: map[string]string{},
		readers: []*reader{{values: map[string]string{}}, {values: map[string]string{}}},
	}
}

func (tm *treeModel) apply(t *rapid.T, c Change) Outcome {
	got := tm.m.ApplyChange(1, c)
	assert.DeepEqual(t, tm.replica.ApplyChange(1, c), got)
	return got
}

// change writes one to three paths, conditional on the versions that were read
// last, which may be stale.
func (tm *treeModel) change(t *rapid.T) {
	c := Change{ChangeID: fmt.Sprint("c", len(tm.changes))}
	for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 1, 3, rapid.ID[int]).Draw(t, "paths") {
		path := fmt.Sprint("/models/", n)
		write := Write{Path: path, IfVersion: 0, Delete: rapid.IntRange(0, 2).Draw(t, "delete") == 0}
		if e, ok := tm.lastRead[path]; ok && !e.Deleted {
			write.IfVersion = e.Version
		}
		if !write.Delete {
			write.Value = json.RawMessage(fmt.Sprintf("%q", c.ChangeID))
		}
		c.Writes = append(c.Writes, write)
	}
	tm.changes = append(tm.changes, c)
	if rapid.IntRange(0, 4).Draw(t, "delayed") > 0 {
		tm.send(t, c)
	}
}

// resend sends a change again, or a delayed change for the first time.
func (tm *treeModel) resend(t *rapid.T) {
	if len(tm.changes) == 0 {
		t.Skip("no change")
	}
	tm.send(t, rapid.SampledFrom(tm.changes).Draw(t, "change"))
}

func (tm *treeModel) send(t *rapid.T, c Change) {
	got := tm.apply(t, c)
	if first, ok := tm.outcomes[c.ChangeID]; ok {
		assert.DeepEqual(t, got, first)
		return
	}
	tm.outcomes[c.ChangeID] = got
	for _, e := range got.Conflicts {
		tm.lastRead[e.Path] = e
	}
	if !got.Applied {
		assert.Assert(t, len(got.Conflicts) > 0, "refused without a conflict: %s", got.Message)
		return
	}
	for _, wr := range c.Writes {
		tm.write(t, wr)
	}
}

func (tm *treeModel) write(t *rapid.T, wr Write) {
	_, exists := tm.values[wr.Path]
	assert.Equal(t, exists, wr.IfVersion != 0, "%s written by a change conditional on version %d", wr.Path, wr.IfVersion)
	if exists {
		value := tm.assigned[fmt.Sprint(wr.Path, " ", wr.IfVersion)]
		assert.Equal(t, tm.values[wr.Path], value, "change conditional on version %d reverts %s", wr.IfVersion, wr.Path)
	}
	if wr.Delete {
		delete(tm.values, wr.Path)
		return
	}
	tm.values[wr.Path] = string(wr.Value)
	e, ok := tm.m.current(wr.Path)
	assert.Assert(t, ok)
	name := fmt.Sprint(wr.Path, " ", e.Version)
	assert.Equal(t, tm.assigned[name], "", "version assigned twice: %s", name)
	tm.assigned[name] = string(e.Value)
}

func (tm *treeModel) read(t *rapid.T) {
	path := fmt.Sprint("/models/", rapid.IntRange(0, 5).Draw(t, "path"))
	tm.lastRead[path], _ = tm.m.current(path)
}

func (tm *treeModel) updateReader(t *rapid.T) {
	rapid.SampledFrom(tm.readers).Draw(t, "reader").update(tm.m)
}

// restore checks that both replicas give the same snapshot and restores one from
// it.
func (tm *treeModel) restore(t *rapid.T) {
	var a, b bytes.Buffer
	assert.NilError(t, tm.m.Snapshot(&a))
	assert.NilError(t, tm.replica.Snapshot(&b))
	assert.Equal(t, a.String(), b.String())
	tm.replica = New(treeOptions()...)
	assert.NilError(t, tm.replica.Restore(&a))
}

func (tm *treeModel) check(t *rapid.T) {
	fresh := &reader{values: map[string]string{}}
	fresh.update(tm.replica)
	assert.DeepEqual(t, fresh.values, tm.values)
}

// Guards against a change that reverts another one that its author had not read,
// against a version that is assigned twice, and against a reader whose copy of
// the tree is wrong. These can come from concurrent changes that are conditional
// on the same versions, resent and late changes, readers that missed many
// changes, and restores.
func TestConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tm := newTreeModel()
		t.Repeat(map[string]func(*rapid.T){
			"change": tm.change, "change-2": tm.change, "resend": tm.resend, "read": tm.read,
			"read-2": tm.read, "follow": tm.updateReader, "restore": tm.restore, "": tm.check,
		})
		for _, r := range tm.readers {
			r.update(tm.m)
			assert.DeepEqual(t, r.values, tm.values)
		}
		tm.restore(t)
	})
}

// Guards against a reader that gets a wrong copy of the tree, or the whole tree,
// after it has missed 500 changes.
func TestDifferenceAfter500Changes(t *testing.T) {
	m := New()
	r := &reader{values: map[string]string{}}
	for i := range 1_000 {
		m.ApplyChange(1, set(fmt.Sprint("a", i), fmt.Sprint("/models/", i), `1`, 0))
	}
	r.update(m)
	for i := range 500 {
		m.ApplyChange(1, remove(fmt.Sprint("b", i), fmt.Sprint("/models/", i)))
	}
	d := m.Difference(r.revision)
	assert.Assert(t, !d.Full)
	assert.Equal(t, len(d.Entries), 500)
	r.update(m)
	assert.Equal(t, len(r.values), 500)
}

// Guards against input that causes a panic, and against malformed input that
// changes the state.
func FuzzApply(f *testing.F) {
	f.Add(`{"change":{"change-id":"c","writes":[{"path":"/a","value":1,"if-version":0}]}}`)
	f.Add(`{"change":{"change-id":"c","team":"a","writes":[{"path":"/teams/a/b","delete":true,"if-version":-1}]}}`)
	f.Add(`{"change":{"change-id":"","writes":[]}}`)
	f.Add(`{"get":{"path":"/a"},"difference":{"since":-1}}`)
	f.Fuzz(func(t *testing.T, command string) {
		m := New(WithMaxTombstones(1), WithMaxOutcomes(2))
		m.ApplyChange(1, set("first", "/a", `1`, 0))
		var before, after bytes.Buffer
		assert.NilError(t, m.Snapshot(&before))
		var o Outcome
		assert.NilError(t, json.Unmarshal(m.Apply(2, []byte(command)), &o))
		m.Query([]byte(command))
		assert.NilError(t, m.Snapshot(&after))
		if o.Reason == "bad-request" {
			assert.Equal(t, before.String(), after.String())
		}
		n := New(WithMaxTombstones(1), WithMaxOutcomes(2))
		assert.NilError(t, n.Restore(bytes.NewReader(after.Bytes())))
		_ = n.Restore(bytes.NewReader([]byte(command)))
	})
}
