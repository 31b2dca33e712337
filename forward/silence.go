package forward

import (
	"sync"
	"time"
)

const (
	// silenceFactor is the ratio of the time after which a server counts as silent
	// to the mean time until servers of the service answer.
	silenceFactor = 3
	// minSilence and maxSilence limit that time.
	minSilence = 300 * time.Millisecond
	maxSilence = 1500 * time.Millisecond
	// responseWeight is the weight of one answer in the mean.
	responseWeight = 0.05
)

// responseTimes holds the mean time until servers answer, by service. It is safe
// for concurrent use.
type responseTimes struct {
	mu   sync.Mutex
	mean map[string]time.Duration
}

func newResponseTimes() *responseTimes { return &responseTimes{mean: map[string]time.Duration{}} }

func (r *responseTimes) observe(service string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	mean, ok := r.mean[service]
	if !ok {
		mean = d
	}
	r.mean[service] = mean + time.Duration(responseWeight*float64(d-mean))
}

// silentAfter returns the time without a sign of a server after which it counts
// as silent.
func (r *responseTimes) silentAfter(service string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(maxSilence, max(minSilence, silenceFactor*r.mean[service]))
}

// silenceWatch records a failure of the server of an attempt that is silent for
// long, as evidence for other calls. The attempt itself goes on.
type silenceWatch struct {
	execution *execution
	target    target
	started   time.Time

	mu       sync.Mutex
	timer    *time.Timer
	over     bool // the server has sent something, or the attempt has ended
	recorded bool
	// recordedAt is the time of the recorded failure.
	recordedAt time.Duration
}

func (r *execution) watchSilence(t target) *silenceWatch {
	w := &silenceWatch{execution: r, target: t, started: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(r.responses.silentAfter(t.service), w.expire)
	return w
}

func (w *silenceWatch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.over {
		w.recorded, w.recordedAt = true, w.execution.clock()
		w.execution.view.recordFailure(w.target)
	}
}

// heard ends the watch: the server has begun to answer. A recorded failure is
// withdrawn.
func (w *silenceWatch) heard() {
	if w == nil || !w.end() {
		return
	}
	w.execution.responses.observe(w.target.service, time.Since(w.started))
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.recorded {
		w.recorded = false
		w.execution.view.withdrawFailure(w.target, w.recordedAt)
	}
}

// failed ends the watch of a failed attempt, and records the failure if that has
// not been done. A nil watch is that of an attempt that was not sent.
func (w *silenceWatch) failed(serverFailed bool) {
	if w == nil {
		return
	}
	w.end()
	w.mu.Lock()
	recorded := w.recorded
	w.mu.Unlock()
	if serverFailed && !recorded {
		w.execution.view.recordFailure(w.target)
	}
}

// end reports whether the watch was in progress.
func (w *silenceWatch) end() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over {
		return false
	}
	w.over = true
	w.timer.Stop()
	return true
}
