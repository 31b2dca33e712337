package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func testTable() *Table {
	return &Table{
		Version: 1,
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Kind: Idempotent, Timeout: time.Second, Targets: []Target{{"s", 1}}},
			{Name: "cut", Host: "a.example", Prefix: "/cut/", Kind: NonIdempotent, Timeout: time.Second, Targets: []Target{{"s", 90}, {"t", 10}}},
			{Name: "deep", Host: "a.example", Prefix: "/cut/deep/", Kind: Stream, Timeout: time.Second, Targets: []Target{{"t", 1}}},
		},
		Services:   []Service{{Name: "s"}, {Name: "t"}},
		Workspaces: []Workspace{{Name: "co-op", KeyHashes: []string{HashKey("k1"), HashKey("k2")}}, {Name: "desk", KeyHashes: []string{HashKey("k3")}}},
	}
}

// Guards against matching a shorter prefix than possible, and against matching
// a prefix that is longer than the path.
func TestMatch(t *testing.T) {
	x := NewIndex(testTable())
	tests := []struct{ host, path, want string }{
		{"a.example", "/", "all"},
		{"a.example", "/cut", "all"},
		{"a.example", "/cut/", "cut"},
		{"a.example", "/cut/deep", "cut"},
		{"a.example", "/cut/deep/1", "deep"},
		{"b.example", "/cut/", ""},
	}
	for _, tt := range tests {
		got := ""
		if r := x.Match(tt.host, tt.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, tt.want, "%s%s", tt.host, tt.path)
	}
}

// Guards against a traffic split that differs from the weights.
func TestPickFollowsWeights(t *testing.T) {
	r := &Route{Targets: []Target{{"none", 0}, {"s", 90}, {"t", 10}}}
	count := map[string]int{}
	for i := range 1000 {
		count[r.Pick(float64(i)/1000)]++
	}
	assert.DeepEqual(t, count, map[string]int{"s": 900, "t": 100})
}

// Guards against accepting an invalid table.
func TestCheckRejects(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Table)
		want   string
	}{
		{"no version", func(t *Table) { t.Version = 0 }, "version 0: want 1 or more"},
		{"service twice", func(t *Table) { t.Services[1].Name = "s" }, `service "s": want a unique, non-empty name`},
		{"unknown service", func(t *Table) { t.Routes[0].Targets[0].Service = "x" }, `route "all": service "x" is not in the table`},
		{"duplicate prefix", func(t *Table) { t.Routes[1].Prefix = "/" }, `route "cut": another route has the same host and prefix`},
		{"no weight", func(t *Table) { t.Routes[2].Targets[0].Weight = 0 }, `route "deep": the weights of its services add up to 0`},
		{"negative weight", func(t *Table) { t.Routes[2].Targets[0].Weight = -1 }, `route "deep": weight -1 of service "t": want 0 or more`},
		{"no timeout", func(t *Table) { t.Routes[0].Timeout = 0 }, `route "all": timeout 0s: want more than 0`},
		{"prefix without final slash", func(t *Table) { t.Routes[1].Prefix = "/cut" }, `route "cut": host "a.example" and prefix "/cut": want a host, and a prefix that begins and ends with a slash`},
		{"nameless workspace", func(t *Table) { t.Workspaces[1].Name = "" }, `workspace "": name of 0 bytes: want 1 to 128 bytes of UTF-8 without control characters and spaces around it`},
		{"workspace name with a line feed", func(t *Table) { t.Workspaces[1].Name = "a\nb" }, `workspace "a\nb": name of 3 bytes: want 1 to 128 bytes of UTF-8 without control characters and spaces around it`},
		{"workspace name with a space after it", func(t *Table) { t.Workspaces[1].Name = "a " }, `workspace "a ": name of 2 bytes: want 1 to 128 bytes of UTF-8 without control characters and spaces around it`},
		{"workspace twice", func(t *Table) { t.Workspaces[1].Name = "co-op" }, `workspace "co-op": want a unique name`},
		{"shared key", func(t *Table) { t.Workspaces[1].KeyHashes = []string{HashKey("k1")} }, `workspaces "co-op" and "desk" have the same key`},
		{"empty key", func(t *Table) { t.Workspaces[1].KeyHashes = []string{HashKey("")} }, `workspace "desk": key 1 is empty`},
		{"negative quota", func(t *Table) { t.Workspaces[1].PerSecond = -1 }, `workspace "desk": quota of -1 requests/s and a burst of 0: want 0 or more`},
		{"unknown kind", func(t *Table) { t.Routes[1].Kind = "often" }, `route "cut": kind "often": want idempotent, non-idempotent or stream`},
	}
	for _, tt := range tests {
		table := testTable()
		tt.change(table)
		assert.Error(t, table.Check(), tt.want, tt.name)
	}
	assert.NilError(t, testTable().Check())
}

func ExampleIndex_Match() {
	x := NewIndex(testTable())
	fmt.Println(x.Match("a.example", "/cut/7").Name)
	// Output: cut
}
