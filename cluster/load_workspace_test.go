package cluster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/cborwire"
	"github.com/sycamoreline/sycamoreline/registry"
	"github.com/sycamoreline/sycamoreline/schedule"
)

// workReport returns the service and the levels that a host reports which has sent n
// calls of random workspaces.
func workReport(random *rand.Rand, workspaces, n int) (*schedule.Service, map[string][]int) {
	s := schedule.New(random)
	shares := schedule.Shares{Weights: map[string]float64{}, Urgencies: 2}
	for i := range workspaces {
		shares.Weights[fmt.Sprint("workspace-", i)] = 1
	}
	s.SetShares(0, shares)
	s.SetServer(0, schedule.Server{ID: "s", Slots: n, Models: []schedule.ServerModel{{Name: "m"}}})
	for i := range n {
		s.Enqueue(0, schedule.Request{ID: schedule.CallID{Program: fmt.Sprint(i)}, Model: "m", Team: fmt.Sprint("workspace-", random.IntN(workspaces))})
		s.Next(0)
	}
	return s.Service(0), s.Levels()
}

// Guards against work of workspaces that is not added up over the hosts, that stays
// after its host is lost, against reports that would spoil the sum, against reports
// and responses that grow with the number of workspaces, and against any additional
// byte without workspaces.
func TestWorkOfWorkspacesIsShared(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	l := newLoads()
	var total uint64
	largest := 0
	for i := range 330 {
		work, levels := workReport(random, 600, 100) // the calls of 5 s at 20/s
		total += work.Total
		r := syncRequest{Host: fmt.Sprint("e", i), Service: work, Levels: levels}
		assert.NilError(t, r.check())
		without := r
		without.Service, without.Levels = nil, nil
		largest = max(largest, len(cborwire.MustMarshal(r))-len(cborwire.MustMarshal(without)))
		l.report(0, &r)
	}
	table := registry.New(1)
	a := l.aggregated(0, table)
	out, err := (&syncResponse{Service: a.work}).service()
	assert.NilError(t, err)
	assert.Equal(t, out.Total, total)
	assert.Assert(t, out.Teams > 400, "%d of 600 workspaces known", out.Teams)
	assert.Equal(t, a.queues["m"].Levels[0], 330*100)
	t.Logf("330 hosts, 600 workspaces: at most %d bytes for a report, %d for a response", largest, len(a.work))
	assert.Assert(t, largest < 400 && len(a.work) < 600)

	none := loadMaxAge + time.Hour
	l.report(none, &syncRequest{Host: "e1"})
	a = l.aggregated(none, table)
	assert.Assert(t, a.work == nil && a.queues == nil)
	withoutWorkspaces := cborwire.MustMarshal(syncResponse{Service: a.work, Queues: a.queues})
	assert.Equal(t, len(withoutWorkspaces), len(cborwire.MustMarshal(syncResponse{})))

	for _, r := range []syncRequest{
		{Levels: map[string][]int{"m": {-1}}},
		{Service: &schedule.Service{Teams: -1}},
		{Service: &schedule.Service{Total: 1 << 40}},
	} {
		assert.Assert(t, r.check() != nil, "%+v", r)
	}
}
