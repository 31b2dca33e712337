package route

import (
	"fmt"
	"reflect"
)

// Delta is the difference between two tables. With a Base of 0 it contains the
// whole table.
type Delta struct {
	Base     int64      `json:"base,omitempty"` // version of the table that it applies to, or 0
	Version  int64      `json:"version"`
	Routes   []Route    `json:"routes,omitempty"` // added or changed
	Removed  []Location `json:"removed,omitempty"`
	Services []Service  `json:"services,omitempty"` // all of the new table
	Limits   Limits     `json:"limits"`
	// RouteCount is the number of routes of the new table.
	RouteCount int `json:"route-count"`
	// Workspaces are those that were added or changed, RemovedWorkspaces the names of
	// those that were removed, and WorkspaceCount is their number in the new table.
	Workspaces        []Workspace `json:"workspaces,omitempty"`
	RemovedWorkspaces []string    `json:"removed-workspaces,omitempty"`
	WorkspaceCount    int         `json:"workspace-count,omitempty"`
}

// Location is the host and path prefix of a route, which no other route of the
// table has.
type Location struct {
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
}

func (r *Route) location() Location { return Location{r.Host, r.Prefix} }

// Diff returns the difference between a table, which may be nil, and its
// successor. The result shares memory with the tables.
func Diff(base, next *Table) Delta {
	d := Delta{
		Version: next.Version, Services: next.Services, Limits: next.Limits,
		RouteCount: len(next.Routes), WorkspaceCount: len(next.Workspaces),
	}
	if base == nil {
		d.Routes, d.Workspaces = next.Routes, next.Workspaces
		return d
	}
	d.Base = base.Version
	d.Routes, d.Removed = diff(base.Routes, next.Routes, (*Route).location)
	d.Workspaces, d.RemovedWorkspaces = diff(base.Workspaces, next.Workspaces, (*Workspace).name)
	return d
}

func (w *Workspace) name() string { return w.Name }

// diff returns the elements of next that base has not, or has with other content,
// and the keys of those that only base has.
func diff[K comparable, T any](base, next []T, key func(*T) K) (changed []T, removed []K) {
	before := make(map[K]*T, len(base))
	for i := range base {
		before[key(&base[i])] = &base[i]
	}
	for i := range next {
		e := &next[i]
		if old := before[key(e)]; old == nil || !reflect.DeepEqual(old, e) {
			changed = append(changed, *e)
		}
		delete(before, key(e))
	}
	for i := range base {
		if k := key(&base[i]); before[k] != nil {
			removed = append(removed, k)
		}
	}
	return changed, removed
}

// Patch returns the table that results from a delta. base must have the version
// d.Base; it is nil if that is 0. The order of the routes and of the workspaces may
// differ from the table that the delta was made of. It returns an error if the delta
// does not fit the table.
func Patch(base *Table, d Delta) (*Table, error) {
	t := &Table{Version: d.Version, Services: d.Services, Limits: d.Limits}
	if d.Base == 0 {
		t.Routes, t.Workspaces = d.Routes, d.Workspaces
	} else {
		if base == nil || base.Version != d.Base {
			return nil, fmt.Errorf("delta from version %d does not apply to this table", d.Base)
		}
		t.Routes = patch(base.Routes, d.Routes, d.Removed, (*Route).location)
		t.Workspaces = patch(base.Workspaces, d.Workspaces, d.RemovedWorkspaces, (*Workspace).name)
	}
	if len(t.Routes) != d.RouteCount {
		return nil, fmt.Errorf("delta from version %d results in %d routes: want %d", d.Base, len(t.Routes), d.RouteCount)
	}
	if len(t.Workspaces) != d.WorkspaceCount {
		return nil, fmt.Errorf("delta from version %d results in %d workspaces: want %d", d.Base, len(t.Workspaces), d.WorkspaceCount)
	}
	return t, nil
}

// patch returns the elements of base that are neither changed nor removed, followed
// by those that are changed.
func patch[K comparable, T any](base, changed []T, removed []K, key func(*T) K) []T {
	replaced := make(map[K]bool, len(changed)+len(removed))
	for i := range changed {
		replaced[key(&changed[i])] = true
	}
	for _, k := range removed {
		replaced[k] = true
	}
	var out []T
	for i := range base {
		if !replaced[key(&base[i])] {
			out = append(out, base[i])
		}
	}
	return append(out, changed...)
}
