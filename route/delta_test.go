package route

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawTable(rt *rapid.T, version int64) *Table {
	t := &Table{Version: version, Services: []Service{{Name: "s"}, {Name: "t"}}, Limits: Limits{MaxHeaderBytes: rapid.IntRange(1, 2).Draw(rt, "limit")}}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 10, rapid.ID[int]).Draw(rt, "routes") {
		t.Routes = append(t.Routes, Route{
			Host: fmt.Sprint("h", i%2), Prefix: fmt.Sprint("/", i, "/"), Kind: Idempotent,
			Timeout: time.Duration(rapid.IntRange(1, 2).Draw(rt, "timeout")) * time.Second,
			Targets: []Target{{rapid.SampledFrom([]string{"s", "t"}).Draw(rt, "service"), 1}},
		})
	}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 6, rapid.ID[int]).Draw(rt, "workspaces") {
		t.Workspaces = append(t.Workspaces, Workspace{
			Name: fmt.Sprint("w", i), KeyHashes: []string{HashKey(fmt.Sprint(i, rapid.IntRange(1, 2).Draw(rt, "key")))},
		})
	}
	return t
}

// Guards against an entry host whose table differs from that of the control
// hosts after an update, and against updates that contain unchanged routes.
func TestPatchOfDiff(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		base, next := drawTable(rt, 3), drawTable(rt, 5)
		d := Diff(base, next)
		got, err := Patch(base, d)
		assert.NilError(rt, err)
		byLocation := func(a, b Route) int { return strings.Compare(a.Host+a.Prefix, b.Host+b.Prefix) }
		want := *next
		want.Routes = slices.SortedFunc(slices.Values(next.Routes), byLocation)
		got.Routes = slices.SortedFunc(slices.Values(got.Routes), byLocation)
		byName := func(a, b Workspace) int { return strings.Compare(a.Name, b.Name) }
		want.Workspaces = slices.SortedFunc(slices.Values(next.Workspaces), byName)
		got.Workspaces = slices.SortedFunc(slices.Values(got.Workspaces), byName)
		assert.DeepEqual(rt, got, &want)
		for _, r := range d.Routes {
			assert.Assert(rt, !slices.ContainsFunc(base.Routes, func(o Route) bool { return reflect.DeepEqual(r, o) }))
		}
		whole, err := Patch(nil, Diff(nil, next))
		assert.NilError(rt, err)
		assert.DeepEqual(rt, whole, next)
	})
}

// Guards against a delta that is applied to another table than the one it was
// made of.
func TestPatchRejects(t *testing.T) {
	base, next := testTable(), testTable()
	next.Version = 2
	next.Routes = next.Routes[:2]
	other := testTable()
	other.Version = 7
	fewer := testTable()
	fewer.Routes = fewer.Routes[1:]
	more := testTable()
	more.Workspaces = append(more.Workspaces, Workspace{Name: "w"})
	d := Diff(base, next)
	tests := []struct {
		name string
		base *Table
		want string
	}{
		{"no table", nil, "delta from version 1 does not apply"},
		{"another version", other, "delta from version 1 does not apply"},
		{"another table of the version", fewer, "results in 1 routes: want 2"},
		{"other workspaces in the version", more, "results in 3 workspaces: want 2"},
	}
	for _, tt := range tests {
		_, err := Patch(tt.base, d)
		assert.ErrorContains(t, err, tt.want, tt.name)
	}
}
