package caller

import (
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// latencyBuckets range from 5 ms to 164 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 16)

// endpointMetrics are the metrics of one endpoint. The latency is measured to
// the end of the answer, also for streams.
type endpointMetrics struct {
	scope    tally.Scope
	requests tally.Counter
	running  tally.Gauge
	latency  tally.Histogram
	inFlight atomic.Int64 // value of the gauge running
}

func newEndpointMetrics(scope tally.Scope, endpoint string) *endpointMetrics {
	s := scope.Tagged(map[string]string{"endpoint": endpoint})
	return &endpointMetrics{
		scope:    s,
		requests: s.Counter("caller-requests"),
		running:  s.Gauge("caller-running"),
		latency:  s.Histogram("caller-latency", latencyBuckets),
	}
}

func (m *endpointMetrics) begin() {
	m.requests.Inc(1)
	m.running.Update(float64(m.inFlight.Add(1)))
}

func (m *endpointMetrics) end(duration time.Duration, err error) {
	m.running.Update(float64(m.inFlight.Add(-1)))
	m.latency.RecordDuration(duration)
	if e := verdict.From(err); e != nil {
		tags := map[string]string{"reason": string(e.Reason()), "verdict": e.Verdict().String()}
		m.scope.Tagged(tags).Counter("caller-errors").Inc(1)
	}
}
