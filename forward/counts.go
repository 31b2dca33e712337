package forward

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/sycamoreline/sycamoreline/metrics"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// callMetrics are the metrics of calls. Routes are tagged by name, of which a
// deployment has some hundred.
type callMetrics struct {
	scope tally.Scope
}

func newCallMetrics(s tally.Scope) *callMetrics { return &callMetrics{scope: s} }

func (k *callMetrics) route(c *Call) tally.Scope {
	return k.scope.Tagged(map[string]string{"route": c.Route.Name})
}

func (k *callMetrics) answered(c *Call, status int, t timing) {
	s := k.route(c)
	s.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("calls").Inc(1)
	s.Histogram("call-latency", metrics.LatencyBuckets).RecordDuration(time.Since(c.Arrived))
	s.Histogram("call-placed", metrics.LatencyBuckets).RecordDuration(t.placed)
	if t.firstEvent > 0 {
		s.Histogram("call-first-event", metrics.LatencyBuckets).RecordDuration(t.firstEvent)
	}
	if c.Turn != nil {
		k.scope.Histogram("turn-reserved", metrics.LatencyBuckets).RecordDuration(t.reserved)
	}
}

func (k *callMetrics) refused(c *Call, e *verdict.Error) {
	k.route(c).Tagged(map[string]string{"verdict": e.Verdict().String(), "reason": string(e.Reason())}).Counter("calls-refused").Inc(1)
}

func (k *callMetrics) broken(c *Call) { k.route(c).Counter("streams-broken").Inc(1) }

func (k *callMetrics) failedAttempt(e *verdict.Error) {
	k.scope.Tagged(map[string]string{"verdict": e.Verdict().String(), "reason": string(e.Reason())}).Counter("attempts-failed").Inc(1)
}

// deploymentGauges shows what the host knows.
func (k *callMetrics) deploymentGauges(version int64, servers, hosts int) {
	k.scope.Gauge("table-version").Update(float64(version))
	k.scope.Gauge("servers").Update(float64(servers))
	k.scope.Gauge("entry-hosts").Update(float64(hosts))
}
