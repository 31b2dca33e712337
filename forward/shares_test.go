package forward

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/schedule"
)

// Guards against an order in which the priority of the route counts before that of the
// workspace, and against calls without a key that go before those of workspaces.
func TestUrgencies(t *testing.T) {
	to := func(service string) []route.Target { return []route.Target{{Service: service, Weight: 1}} }
	index := route.NewIndex(&route.Table{
		Routes: []route.Route{
			{Priority: 3, Targets: to("engine")}, {Priority: 0, Targets: to("engine")}, {Priority: 7, Targets: to("engine")}, {Priority: 4, Targets: to("plain")},
		},
		Services:   []route.Service{{Name: "engine", Engine: &route.Engine{}}, {Name: "plain"}},
		Workspaces: []route.Workspace{{Name: "a", Priority: 5, PerSecond: 10}, {Name: "b", Priority: 1, PerSecond: 2}, {Name: "c", Priority: 5}},
	})
	u := newUrgencies(index)
	tests := []struct {
		name      string
		workspace *route.Workspace
		route     int
		engine    bool
		want      int
	}{
		{"urgent workspace, urgent route", &route.Workspace{Priority: 1}, 0, true, 0},
		{"urgent workspace, other route", &route.Workspace{Priority: 1}, 7, true, 2},
		{"other workspace, urgent route", &route.Workspace{Priority: 5}, 0, true, 3},
		{"priorities of an earlier table", &route.Workspace{Priority: 9}, 9, true, 5},
		{"public route", nil, 0, true, 3},
		{"plain service", &route.Workspace{Priority: 5}, 4, false, 1},
	}
	for _, tt := range tests {
		assert.Equal(t, u.of(&Call{Workspace: tt.workspace, Route: &route.Route{Priority: tt.route}}, tt.engine), tt.want, tt.name)
	}
	assert.DeepEqual(t, sharesOf(index, u), schedule.Shares{Weights: map[string]float64{"a": 10, "b": 2, "c": 6}, Urgencies: 6, ServiceUrgencies: 2})

	none := newUrgencies(route.NewIndex(&route.Table{Routes: []route.Route{{Priority: 3}}}))
	assert.Assert(t, none == nil)
	assert.Equal(t, none.of(&Call{Route: &route.Route{Priority: 3}}, true), 0)
}

// Guards against work that is not counted for its workspace, and against reports that
// have it without workspaces.
func TestReportCountsWorkOfWorkspaces(t *testing.T) {
	f := newFixture(t, startServer(t, answerWith("out")))
	serve := func(id string, w *route.Workspace) {
		c := f.call(id, &route.Route{Name: "p", Kind: route.Idempotent, MaxAttempts: 1})
		c.Workspace = w
		_, _, err := f.serve(c)
		assert.NilError(t, err)
	}
	serve("1", nil)
	r := f.forwarder.View().Report()
	assert.Assert(t, r.Service == nil && r.Levels == nil)
	desk := route.Workspace{Name: "desk", KeyHashes: []string{route.HashKey("k")}}
	f.forwarder.View().Routes(route.NewIndex(&route.Table{Version: 2, Services: []route.Service{{Name: "plain"}}, Workspaces: []route.Workspace{desk}}))
	serve("2", &desk)
	r = f.forwarder.View().Report()
	assert.Assert(t, r.Service.Used[schedule.KeyOf("desk")] > 0)
	assert.Equal(t, r.Service.Teams, 1)
}
