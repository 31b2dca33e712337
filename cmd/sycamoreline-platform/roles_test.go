package main

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/balancer"
)

// Guards against requests that are accepted long after the stop signal and
// aborted when the process is killed: on a busy host, consecutive streams kept
// the process from stopping until it was killed.
func TestRequestsAreRefusedAfterTheDrainDelay(t *testing.T) {
	var timers []func()
	now := time.Unix(0, 0)
	g := balancer.NewGate(balancer.WithDelay(drainDelay), balancer.WithRetryAfter(drainRetryAfter),
		balancer.WithClock(func() time.Time { return now }, func(_ time.Duration, f func()) { timers = append(timers, f) }))
	h := countRequests(g, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	send := func() int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", "/", nil))
		return w.Code
	}
	assert.NilError(t, g.BeginRequest(true)) // a stream in progress
	g.Signal()
	assert.Equal(t, send(), http.StatusOK)
	now = now.Add(drainDelay)
	for _, f := range timers {
		f()
	}
	assert.Equal(t, send(), http.StatusServiceUnavailable)
	g.EndRequest()
	<-g.Done()
}
