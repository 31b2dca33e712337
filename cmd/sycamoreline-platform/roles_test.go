package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/balancer"
	"github.com/sycamoreline/sycamoreline/platform"
	"github.com/sycamoreline/sycamoreline/verdict"
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

// Guards against requests in progress at the end of the drain whose connections
// are closed without an answer, so that their callers can't tell whether they may
// have run, and against streams that then look complete.
func TestRunningRequestsAreAnsweredAtTheEndOfTheDrain(t *testing.T) {
	const address = "127.48.1.2:17443"
	g := balancer.NewGate()
	running := make(chan struct{}, 2)
	mux := http.NewServeMux()
	mux.HandleFunc("/call", func(w http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		<-r.Context().Done()
		platform.Reject(w, r, verdict.New(verdict.MayHaveRun, verdict.Cancelled, "cancelled"))
	})
	mux.HandleFunc("/stream", func(w http.ResponseWriter, r *http.Request) {
		_, err := io.WriteString(w, "data: 1\n\n")
		assert.Check(t, err)
		assert.Check(t, http.NewResponseController(w).Flush())
		running <- struct{}{}
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	})
	s, err := serve(address, testPort(), g.Wrap(countRequests(g, mux)), zap.NewNop())
	assert.NilError(t, err)
	type answer struct {
		status  int
		body    string
		err     error
		bodyErr error
	}
	send := func(path string) <-chan answer {
		out := make(chan answer, 1)
		go func() {
			var a answer
			defer func() { out <- a }()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+path, nil)
			if err != nil {
				a.err = err
				return
			}
			resp, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				a.err = err
				return
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			a = answer{status: resp.StatusCode, body: string(body), bodyErr: err}
		}()
		return out
	}
	call, stream := send("/call"), send("/stream")
	<-running
	<-running
	const remaining = 100 * time.Millisecond
	start := time.Now()
	assert.Check(t, drain(t.Context(), g, s, answerTimeout+remaining))
	took := time.Since(start)
	assert.Check(t, took >= remaining && took < answerTimeout+remaining, "the drain took %v", took)
	a := <-call
	assert.Check(t, a.err)
	assert.Check(t, a.bodyErr)
	assert.Equal(t, a.status, http.StatusBadGateway)
	a = <-stream
	assert.Check(t, a.err)
	assert.Equal(t, a.body, "data: 1\n\n")
	assert.ErrorIs(t, a.bodyErr, io.ErrUnexpectedEOF)
}
