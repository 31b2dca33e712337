package forward

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// Guards against turns, budgets and conversations that workspaces with equal ids
// share, in the ledger and in the cache of conversations, and against ids of the
// ledger in the errors that callers get.
func TestTurnsOfWorkspacesStayApart(t *testing.T) {
	s := startServer(t, func(_ int, r *http.Request, w io.Writer) bool {
		streamEvents(w, r.Header.Get("Id"), 1, 2, true)
		return true
	})
	f := newFixture(t, s)
	workspaces := []*route.Workspace{{Name: "desk"}, {Name: `co "op"`}, nil}
	turn := func(w *route.Workspace, id, previous string) verdict.Reason {
		c := f.call(id, turnRoute())
		c.Workspace, c.Program, c.Session = w, "p", "s"
		c.Turn = &Turn{Budget: 40, MaxTokens: 20, Previous: previous}
		_, aborted, err := f.serve(c)
		assert.Assert(t, !aborted)
		if err == nil {
			return ""
		}
		if verdict.From(err).Reason() == ledger.UnknownTurn {
			assert.Equal(t, verdict.From(err).Message(), fmt.Sprintf("turn %q does not exist or has expired", previous))
		}
		return verdict.From(err).Reason()
	}
	assert.Equal(t, turn(workspaces[0], "only-desk", ""), verdict.Reason(""))
	for _, w := range workspaces[1:] {
		assert.Equal(t, turn(w, "b", "only-desk"), ledger.UnknownTurn)
		f.forwarder.chains = newChainCache(1000) // as on a host that has not served the turn
		assert.Equal(t, turn(w, "b", "only-desk"), ledger.UnknownTurn)
		// The same id of a turn and of a program, with a budget of its own.
		assert.Equal(t, turn(w, "only-desk", ""), verdict.Reason(""))
		assert.Equal(t, turn(w, "b", "only-desk"), verdict.Reason(""))
		assert.Equal(t, s.bodies[len(s.bodies)-1], "in-only-desk;e1\ne2\nin-b;")
		assert.Equal(t, turn(w, "c", "b"), verdict.BudgetExceeded)
	}
}

// Guards against a stream that a caller of another workspace takes up.
func TestStreamsOfWorkspacesStayApart(t *testing.T) {
	s := startServer(t, func(_ int, r *http.Request, w io.Writer) bool {
		streamEvents(w, r.Header.Get("Id"), 1, 2, true)
		return true
	})
	f := newFixture(t, s)
	f.setVersions([]string{"v1"}, s)
	stream := func(w *route.Workspace, id, resumes string) error {
		c := f.call(id, &route.Route{Name: "s", Kind: route.Stream, MaxAttempts: 1, Resumable: true})
		c.Workspace, c.Resumes = w, resumes
		_, _, err := f.serve(c)
		f.waitForSettlements()
		return err
	}
	desk := &route.Workspace{Name: "desk"}
	assert.NilError(t, stream(desk, "first", ""))
	for _, other := range []*route.Workspace{{Name: "co-op"}, nil} {
		assert.Equal(t, verdict.From(stream(other, "second", "first")).Reason(), UnknownStream)
	}
	assert.NilError(t, stream(desk, "third", "first"))
}

// Guards against requests that are counted for another workspace or not at all, and
// against a limit that stays in the metrics after its removal.
func TestWorkspaceMetrics(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newCallMetrics(scope)
	desk := &route.Workspace{Name: "desk", PerSecond: 2, Burst: 3}
	call := &Call{Workspace: desk, Route: &route.Route{Name: "r"}}
	m.limits(route.NewIndex(&route.Table{Workspaces: []route.Workspace{*desk}}))
	for range 3 {
		m.requested(call)
	}
	m.answered(call, http.StatusOK, timing{})
	m.failed(call, verdict.New(verdict.NotRun, verdict.QuotaExceeded, ""))
	m.aborted(call, verdict.Timeout)
	m.answered(&Call{Route: call.Route}, http.StatusOK, timing{})
	counter := func(name string) int64 { return scope.Snapshot().Counters()[name].Value() }
	gauge := func(name string) float64 { return scope.Snapshot().Gauges()[name].Value() }
	assert.Equal(t, counter("workspace-requested+workspace=desk"), int64(3))
	assert.Equal(t, counter("workspace-served+workspace=desk"), int64(1))
	assert.Equal(t, counter("workspace-refused+reason=quota-exceeded,workspace=desk"), int64(1))
	assert.Equal(t, counter("workspace-failed+reason=timeout,workspace=desk"), int64(1))
	assert.Equal(t, gauge("workspace-limit-per-second+workspace=desk"), 2.0)
	m.limits(route.NewIndex(&route.Table{}))
	assert.Equal(t, gauge("workspace-limit-per-second+workspace=desk"), 0.0)
}

// Guards against metrics whose number grows with that of the workspaces.
func TestWorkspaceLabelsAreBounded(t *testing.T) {
	var l workspaceLabels
	for i := range 3 * maxWorkspaceLabels {
		assert.Equal(t, l.label(fmt.Sprint(i)) == otherWorkspaces, i >= maxWorkspaceLabels)
	}
	assert.Equal(t, l.label("0"), "0")
	assert.Equal(t, len(l.names()), maxWorkspaceLabels)
}
