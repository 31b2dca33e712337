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
	d := Delta{Version: next.Version, Services: next.Services, Limits: next.Limits, RouteCount: len(next.Routes)}
	if base == nil {
		d.Routes = next.Routes
		return d
	}
	d.Base = base.Version
	before := make(map[Location]*Route, len(base.Routes))
	for i := range base.Routes {
		before[base.Routes[i].location()] = &base.Routes[i]
	}
	for i := range next.Routes {
		r := &next.Routes[i]
		if old := before[r.location()]; old == nil || !reflect.DeepEqual(old, r) {
			d.Routes = append(d.Routes, *r)
		}
		delete(before, r.location())
	}
	for i := range base.Routes {
		if l := base.Routes[i].location(); before[l] != nil {
			d.Removed = append(d.Removed, l)
		}
	}
	return d
}

// Patch returns the table that results from a delta. base must have the version
// d.Base; it is nil if that is 0. The order of the routes may differ from the
// table that the delta was made of. It returns an error if the delta does not
// fit the table.
func Patch(base *Table, d Delta) (*Table, error) {
	t := &Table{Version: d.Version, Services: d.Services, Limits: d.Limits}
	if d.Base == 0 {
		t.Routes = d.Routes
	} else {
		if base == nil || base.Version != d.Base {
			return nil, fmt.Errorf("delta from version %d does not apply to this table", d.Base)
		}
		replaced := make(map[Location]bool, len(d.Routes)+len(d.Removed))
		for i := range d.Routes {
			replaced[d.Routes[i].location()] = true
		}
		for _, l := range d.Removed {
			replaced[l] = true
		}
		t.Routes = make([]Route, 0, d.RouteCount)
		for _, r := range base.Routes {
			if !replaced[r.location()] {
				t.Routes = append(t.Routes, r)
			}
		}
		t.Routes = append(t.Routes, d.Routes...)
	}
	if len(t.Routes) != d.RouteCount {
		return nil, fmt.Errorf("delta from version %d results in %d routes: want %d", d.Base, len(t.Routes), d.RouteCount)
	}
	return t, nil
}
