package caller

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// Guards against errors that no metric counts, including those within a
// stream, and against requests that stay counted as running.
func TestMetrics(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	d := &fakeDispatcher{tokens: []string{"size"}, err: verdict.New(verdict.MayHaveRun, verdict.ServerFailed, "engine disconnected")}
	h := newTestAPI(d, WithMetrics(scope))
	serveRequest(h, "POST", "/v1/chat/completions", streamRequest)
	serveRequest(h, "POST", "/v1/chat/completions", "{")
	got := scope.Snapshot()
	count := func(name string) int64 {
		c, ok := got.Counters()[name]
		assert.Assert(t, ok, name)
		return c.Value()
	}
	assert.Equal(t, count("caller-requests+endpoint=chat"), int64(2))
	assert.Equal(t, count("caller-errors+endpoint=chat,reason=server-failed,verdict=may-have-run"), int64(1))
	assert.Equal(t, count("caller-errors+endpoint=chat,reason=bad-request,verdict=not-run"), int64(1))
	assert.Equal(t, got.Gauges()["caller-running+endpoint=chat"].Value(), 0.0)
	assert.Equal(t, got.Histograms()["caller-latency+endpoint=chat"].Durations()[5*time.Millisecond], int64(2))
}
