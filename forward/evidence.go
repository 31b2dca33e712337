package forward

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/cluster"
	"github.com/sycamoreline/sycamoreline/schedule"
)

// trialDialTimeout bounds the opening of a connection to a server in doubt, which
// may have lost its power, and to one that is to take over a stream.
const trialDialTimeout = 250 * time.Millisecond

// recordFailure records that a server has failed an attempt, or is silent.
func (view *View) recordFailure(t target) {
	view.mu.Lock()
	view.outcomes.Failed(view.forwarder.clock(), t.server, t.startedAt)
	view.mu.Unlock()
	if view.forwarder.reporter != nil {
		view.forwarder.reporter.ReportSoon()
	}
}

// withdrawFailure removes a recorded failure of a server that has only been slow.
func (view *View) withdrawFailure(t target, recordedAt time.Duration) {
	view.mu.Lock()
	defer view.mu.Unlock()
	view.outcomes.Withdraw(view.forwarder.clock(), recordedAt, t.server, t.startedAt)
}

// recordAnswer records the status that a server has answered.
func (view *View) recordAnswer(t target, status int) {
	if status >= http.StatusInternalServerError {
		view.recordFailure(t)
		return
	}
	view.mu.Lock()
	defer view.mu.Unlock()
	view.outcomes.Succeeded(view.forwarder.clock(), t.service, t.server, t.startedAt)
}

// applyEvidence updates the scheduler's doubts about servers.
func (view *View) applyEvidence(list []cluster.ServerEvidence) {
	var changes []schedule.Doubt
	evidence := view.schedulerEvidence(list)
	view.forwarder.queue.Do(func(now time.Duration, s *schedule.Scheduler) { changes = s.SetEvidence(now, evidence) })
	for _, c := range changes {
		view.doubtChanged(c, evidence)
	}
}

// schedulerEvidence adds the outcomes of this host to the evidence of all hosts,
// about the servers that are in use.
func (view *View) schedulerEvidence(list []cluster.ServerEvidence) []schedule.Evidence {
	view.mu.Lock()
	defer view.mu.Unlock()
	sums := cluster.SumEvidence(list, view.forwarder.dataCentre)
	clear(view.accused)
	for k := range sums {
		view.accused[k.Server] = true
	}
	now := view.forwarder.clock()
	own, _ := view.outcomes.Report(now, func(string) bool { return false })
	for _, o := range own {
		k := cluster.ServerIncarnation{Server: o.Server, StartedAt: o.StartedAt}
		if sums[k] == nil {
			sums[k] = &schedule.Evidence{}
		}
	}
	var out []schedule.Evidence
	for k, e := range sums {
		if x, ok := view.servers[k.Server]; !ok || x.StartedAt != k.StartedAt {
			continue
		}
		e.Server, e.Incarnation = k.Server, incarnation(k.StartedAt)
		o := view.outcomes.Get(now, k.Server, k.StartedAt)
		e.Own = schedule.Outcomes{Failed: o.Failed, Succeeded: o.Succeeded, Hosts: 1}
		out = append(out, *e)
	}
	slices.SortFunc(out, func(a, b schedule.Evidence) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// doubtChanged closes the idle connections to a server in doubt, since they may
// lead nowhere, and logs what decided.
func (view *View) doubtChanged(c schedule.Doubt, evidence []schedule.Evidence) {
	fields := []zap.Field{zap.String("server", c.Server)}
	for i := range evidence {
		if e := &evidence[i]; e.Server == c.Server {
			fields = append(fields, zap.Float64("own-failed", e.Own.Failed), zap.Float64("own-succeeded", e.Own.Succeeded),
				zap.Float64("failed", e.All.Failed), zap.Float64("succeeded", e.All.Succeeded), zap.Int("hosts", e.All.Hosts),
				zap.Int("data-centres", e.DataCentres))
		}
	}
	if !c.InDoubt {
		view.forwarder.logger.Info("backend server no longer in doubt", fields...)
		return
	}
	view.forwarder.logger.Warn("backend server in doubt", fields...)
	view.forwarder.metrics.doubted()
	if e, _ := view.entry(c.Server); e.Address != "" {
		view.forwarder.pool.DropAddress(e.Address)
	}
}
