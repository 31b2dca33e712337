package tree

import (
	"bytes"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// Guards against applying two changes that are conditional on the same version,
// and against applying a resent change twice.
func TestConditionalChange(t *testing.T) {
	m := New()
	first := set("c1", "/models/a", `1`, 0)
	assert.Assert(t, m.ApplyChange(1, first).Applied)
	assert.Assert(t, m.ApplyChange(1, set("c2", "/models/a", `2`, 1)).Applied)
	conflict := m.ApplyChange(2, set("c3", "/models/a", `3`, 1))
	assert.Equal(t, conflict.Reason, verdict.Conflict)
	assert.DeepEqual(t, conflict.Conflicts, []Entry{{
		Path: "/models/a", Value: json.RawMessage(`2`), Version: 2, Revision: 2, ChangeID: "c2",
	}})
	assert.DeepEqual(t, m.ApplyChange(3, first), Outcome{Applied: true, Revision: 1})
	assert.DeepEqual(t, m.ApplyChange(3, set("c3", "/models/a", `3`, 1)), conflict)
	assert.Equal(t, m.ApplyChange(3, set("c3", "/models/a", `4`, 2)).Reason, ChangeIDReused)
}

// Guards against applying a change outside the scope of its team's credential.
func TestTeamScope(t *testing.T) {
	m := New()
	c := set("c1", "/teams/ab/weight", `1`, AnyVersion)
	c.Team = "a"
	assert.Equal(t, m.ApplyChange(1, c).Reason, verdict.Forbidden)
	c.Writes[0].Path = "/teams/a/weight"
	assert.Assert(t, m.ApplyChange(1, c).Applied)
}

// Guards against a difference that misses a deletion.
func TestDifference(t *testing.T) {
	m := New(WithMaxTombstones(1))
	for _, p := range []string{"/a", "/b", "/c"} {
		m.ApplyChange(1, set("set"+p, p, `1`, 0))
	}
	m.ApplyChange(1, remove("del/a", "/a"))
	d := m.Difference(3)
	assert.Equal(t, len(d.Entries), 1)
	assert.Assert(t, d.Entries[0].Deleted && !d.Full)
	m.ApplyChange(1, remove("del/b", "/b"))
	assert.Assert(t, m.Difference(3).Full)
	assert.Assert(t, !m.Difference(4).Full)
	assert.Equal(t, len(m.Difference(3).Entries), 1)
	// A version read before the deletion must not match the new path.
	m.ApplyChange(1, set("again", "/a", `2`, 0))
	assert.Assert(t, !m.ApplyChange(1, set("late", "/a", `3`, 1)).Applied)
}

// Guards against change ids that are kept for ever, and against a late conditional
// change that is applied again after its id was removed.
func TestOutcomesAreBounded(t *testing.T) {
	m := New(WithMaxOutcomes(2))
	first := set("c1", "/a", `1`, 0)
	m.ApplyChange(1, first)
	m.ApplyChange(1, set("c2", "/a", `2`, 1))
	assert.Assert(t, m.Answer(Query{Outcome: &OutcomeQuery{"c1"}}).Outcome != nil)
	m.ApplyChange(1, set("c3", "/a", `3`, 2))
	assert.Assert(t, m.Answer(Query{Outcome: &OutcomeQuery{"c1"}}).Outcome == nil)
	assert.Equal(t, m.ApplyChange(1, first).Reason, verdict.Conflict)
}

// Guards against a listing that has paths outside its prefix or repeats entries of
// the previous page.
func TestList(t *testing.T) {
	m := New()
	for _, p := range []string{"/teams/a", "/teams/a/x", "/teams/a/y", "/teams/ab"} {
		m.ApplyChange(1, set("set"+p, p, `1`, 0))
	}
	paths := func(q ListQuery) []string {
		var found []string
		for _, e := range m.Answer(Query{List: &q}).Entries {
			found = append(found, e.Path)
		}
		return found
	}
	assert.DeepEqual(t, paths(ListQuery{Prefix: "/teams/a", Limit: 2}), []string{"/teams/a", "/teams/a/x"})
	assert.DeepEqual(t, paths(ListQuery{Prefix: "/teams/a", Limit: 2, After: "/teams/a/x"}), []string{"/teams/a/y"})
	assert.Equal(t, len(paths(ListQuery{Prefix: "/"})), 4)
}

// Guards against a snapshot that loses state.
func TestSnapshotRestore(t *testing.T) {
	m := New()
	m.ApplyChange(1, set("c1", "/a", `1`, 0))
	m.ApplyChange(1, remove("c2", "/a"))
	var first, second bytes.Buffer
	assert.NilError(t, m.Snapshot(&first))
	n := New()
	assert.NilError(t, n.Restore(bytes.NewReader(first.Bytes())))
	assert.NilError(t, n.Snapshot(&second))
	assert.Equal(t, first.String(), second.String())
}

func set(id, path, value string, ifVersion int64) Change {
	return Change{ChangeID: id, Writes: []Write{{Path: path, Value: json.RawMessage(value), IfVersion: ifVersion}}}
}

func remove(id, path string) Change {
	return Change{ChangeID: id, Writes: []Write{{Path: path, Delete: true, IfVersion: AnyVersion}}}
}
