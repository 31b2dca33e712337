package forward

import (
	"slices"

	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/schedule"
)

// urgencies is the strict order of the calls of a routing table with workspaces: by
// the priority of the workspace, then by that of the route. It is nil for a table
// without workspaces.
type urgencies struct {
	workspaces, routes []int // distinct priorities, the most urgent one first
}

func newUrgencies(x *route.Index) *urgencies {
	if !x.HasWorkspaces() {
		return nil
	}
	u := &urgencies{}
	for _, w := range x.Workspaces() {
		u.workspaces = append(u.workspaces, w.Priority)
	}
	for _, r := range x.Routes() {
		u.routes = append(u.routes, r.Priority)
	}
	slices.Sort(u.workspaces)
	slices.Sort(u.routes)
	u.workspaces, u.routes = slices.Compact(u.workspaces), slices.Compact(u.routes)
	return u
}

// count returns the number of urgencies.
func (u *urgencies) count() int { return len(u.workspaces) * max(1, len(u.routes)) }

// of returns the urgency of a call; 0 is the most urgent one. Calls without a
// workspace have the lowest priority of the workspaces, since anybody can send them.
func (u *urgencies) of(c *Call) int {
	if u == nil {
		return 0
	}
	workspace := len(u.workspaces) - 1
	if c.Workspace != nil {
		workspace = rankOf(u.workspaces, c.Workspace.Priority)
	}
	return workspace*max(1, len(u.routes)) + rankOf(u.routes, c.Route.Priority)
}

// rankOf returns the index of a priority, or of the next lower one for a call of an
// earlier table.
func rankOf(priorities []int, p int) int {
	i, _ := slices.BinarySearch(priorities, p)
	return max(0, min(i, len(priorities)-1))
}

// sharesOf returns how the workspaces of a table share the servers: by their quotas.
// Those without a quota have the mean of the others.
func sharesOf(x *route.Index, u *urgencies) schedule.Shares {
	if u == nil {
		return schedule.Shares{}
	}
	s := schedule.Shares{Weights: map[string]float64{}, Urgencies: u.count()}
	mean, limited := 0.0, 0.0
	for _, w := range x.Workspaces() {
		if w.PerSecond > 0 {
			limited++
			mean += (w.PerSecond - mean) / limited
		}
	}
	if limited == 0 {
		mean = 1
	}
	for _, w := range x.Workspaces() {
		s.Weights[w.Name] = mean
		if w.PerSecond > 0 {
			s.Weights[w.Name] = w.PerSecond
		}
	}
	return s
}

// team returns the name by which the scheduler knows the workspace of a call.
func (c *Call) team() string {
	if c.Workspace == nil {
		return ""
	}
	return c.Workspace.Name
}
