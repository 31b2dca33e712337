package forward

import (
	"slices"

	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/schedule"
)

// urgencies is the strict order of the calls of a routing table with workspaces: by
// the priority of the workspace, then by that of the route. It is nil for a table
// without workspaces.
//
// Routes to engines and others are ordered apart, since they lead to other servers:
// the fewer urgencies there are, the more priorities of a server's queue are left for
// the order among equals.
type urgencies struct {
	// Distinct priorities, the most urgent one first: of workspaces, and of the routes
	// to engines and the others.
	workspaces, engines, plain []int
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
		for _, t := range r.Targets {
			if s := x.Service(t.Service); s != nil && s.Engine != nil {
				u.engines = append(u.engines, r.Priority)
			} else {
				u.plain = append(u.plain, r.Priority)
			}
		}
	}
	for _, list := range []*[]int{&u.workspaces, &u.engines, &u.plain} {
		slices.Sort(*list)
		*list = slices.Compact(*list)
	}
	return u
}

// of returns the urgency of a call to an engine or to another server; 0 is the most
// urgent one. Calls without a workspace have the lowest priority of the workspaces,
// since anybody can send them.
func (u *urgencies) of(c *Call, engine bool) int {
	if u == nil {
		return 0
	}
	routes := u.plain
	if engine {
		routes = u.engines
	}
	workspace := len(u.workspaces) - 1
	if c.Workspace != nil {
		workspace = rankOf(u.workspaces, c.Workspace.Priority)
	}
	return workspace*max(1, len(routes)) + rankOf(routes, c.Route.Priority)
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
	s := schedule.Shares{
		Weights:   map[string]float64{},
		Urgencies: len(u.workspaces) * len(u.engines), ServiceUrgencies: len(u.workspaces) * len(u.plain),
	}
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
