package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against metrics that are recorded but not exposed.
func TestScopeIsShown(t *testing.T) {
	scope, handler, closer := New(time.Hour)
	scope.Tagged(map[string]string{"route": "r"}).Counter("calls").Inc(2)
	scope.Histogram("call-latency", LatencyBuckets).RecordDuration(3 * time.Millisecond)
	assert.NilError(t, closer.Close()) // collects the values
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", "/metrics", nil))
	assert.Assert(t, strings.Contains(w.Body.String(), `sycamoreline_calls{route="r"} 2`), w.Body.String())
	assert.Assert(t, strings.Contains(w.Body.String(), `sycamoreline_call_latency_bucket{le="0.004"} 1`), w.Body.String())
}
