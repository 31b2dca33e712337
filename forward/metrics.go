package forward

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/sycamoreline/sycamoreline/metrics"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// callMetrics reports the metrics of calls and of this host's view of the
// deployment. Most metrics of calls are tagged by route; a deployment has about a
// hundred routes.
type callMetrics struct {
	scope  tally.Scope
	labels workspaceLabels
}

func newCallMetrics(s tally.Scope) *callMetrics { return &callMetrics{scope: s} }

func (m *callMetrics) route(c *Call) tally.Scope {
	return m.scope.Tagged(map[string]string{"route": c.Route.Name})
}

// answered counts a call that a server has answered.
func (m *callMetrics) answered(c *Call, status int, t timing) {
	m.workspaceServed(c)
	s := m.route(c)
	s.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("calls").Inc(1)
	s.Histogram("call-latency", metrics.LatencyBuckets).RecordDuration(time.Since(c.Arrived))
	s.Histogram("call-placed", metrics.LatencyBuckets).RecordDuration(t.placed)
	if t.firstEvent > 0 {
		s.Histogram("call-first-event", metrics.LatencyBuckets).RecordDuration(t.firstEvent)
	}
	if c.Turn != nil {
		m.scope.Histogram("turn-reserved", metrics.LatencyBuckets).RecordDuration(t.reserved)
	}
}

// failed counts a call to which no server has returned a complete answer.
func (m *callMetrics) failed(c *Call, e *verdict.Error) {
	m.workspaceEnded(c, e.Verdict(), e.Reason())
	m.route(c).Tagged(map[string]string{"verdict": e.Verdict().String(), "reason": string(e.Reason())}).Counter("calls-refused").Inc(1)
}

// resumed counts a stream that its caller resumes, by what is known of its
// software version.
func (m *callMetrics) resumed(version string) {
	m.scope.Tagged(map[string]string{"version": version}).Counter("streams-resumed").Inc(1)
}

// aborted counts an aborted stream by what ended it.
func (m *callMetrics) aborted(c *Call, cause verdict.Reason) {
	m.workspaceEnded(c, verdict.MayHaveRun, cause)
	m.route(c).Tagged(map[string]string{"cause": string(cause)}).Counter("streams-broken").Inc(1)
}

// failedAttempt counts a failed attempt by verdict and reason.
func (m *callMetrics) failedAttempt(e *verdict.Error) {
	m.scope.Tagged(map[string]string{"verdict": e.Verdict().String(), "reason": string(e.Reason())}).Counter("attempts-failed").Inc(1)
}

// turnExtended counts a recorded turn whose response ended later than expected.
func (m *callMetrics) turnExtended() { m.scope.Counter("turns-extended").Inc(1) }

// outputRecorded records the time for which events waited for the ledger.
func (m *callMetrics) outputRecorded(d time.Duration) {
	m.scope.Histogram("output-recorded", metrics.LatencyBuckets).RecordDuration(d)
}

// permitRefused counts an assignment to a limited server that is not used.
func (m *callMetrics) permitRefused() { m.scope.Counter("permits-refused").Inc(1) }

// quota counts a request of a workspace with a limit by what became of its permit:
// granted, refused or refunded.
func (m *callMetrics) quota(w *route.Workspace, event string) {
	m.workspace(w).Counter("quota-" + event).Inc(1)
}

// doubted counts a server that is not used because of the failures that hosts have
// seen.
func (m *callMetrics) doubted() { m.scope.Counter("servers-doubted").Inc(1) }

// deploymentGauges updates the gauges of this host's view of the deployment.
func (m *callMetrics) deploymentGauges(version int64, servers, hosts int) {
	m.scope.Gauge("table-version").Update(float64(version))
	m.scope.Gauge("servers").Update(float64(servers))
	m.scope.Gauge("entry-hosts").Update(float64(hosts))
}
