package balancer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// defaultRetryAfter is the retry-after of rejected requests. After that time,
// the load balancer sends the retry to another host.
const defaultRetryAfter = time.Second

// Gate runs the shutdown of a host: it admits requests, handles health checks
// and performs the actions of a Drain. It is safe for concurrent use.
type Gate struct {
	now        func() time.Time
	afterFunc  func(time.Duration, func())
	ready      func() error
	handOver   func(context.Context) error
	logger     *zap.Logger
	delay      time.Duration
	retryAfter time.Duration

	requests context.Context // its end cancels all requests; cancelled by CancelRequests and Exit
	cancel   context.CancelFunc
	done     chan struct{}

	mu    sync.Mutex
	drain *Drain
}

// Option configures a Gate.
type Option func(*Gate)

// WithDelay sets the time until the load balancer no longer sends requests to an
// unhealthy host. The default is 2 s.
func WithDelay(d time.Duration) Option { return func(g *Gate) { g.delay = d } }

// WithRetryAfter sets the retry-after of rejected requests. The default is 1 s,
// which is too long for some callers.
func WithRetryAfter(d time.Duration) Option { return func(g *Gate) { g.retryAfter = d } }

// WithReady sets a check that makes a serving host unhealthy if it returns an
// error, for example without a live lease.
func WithReady(ready func() error) Option { return func(g *Gate) { g.ready = ready } }

// WithHandOver sets the function that hands over the host's state after the last
// request has ended.
func WithHandOver(f func(context.Context) error) Option { return func(g *Gate) { g.handOver = f } }

// WithLogger sets the logger. By default, nothing is logged.
func WithLogger(l *zap.Logger) Option { return func(g *Gate) { g.logger = l } }

// WithClock replaces time.Now and time.AfterFunc, for tests.
func WithClock(now func() time.Time, after func(time.Duration, func())) Option {
	return func(g *Gate) { g.now, g.afterFunc = now, after }
}

const defaultDelay = 2 * time.Second

// NewGate returns a gate in the phase Serving.
func NewGate(opts ...Option) *Gate {
	g := &Gate{
		now:        time.Now,
		afterFunc:  func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		ready:      func() error { return nil },
		handOver:   func(context.Context) error { return nil },
		logger:     zap.NewNop(),
		delay:      defaultDelay,
		retryAfter: defaultRetryAfter,
		done:       make(chan struct{}),
	}
	g.requests, g.cancel = context.WithCancel(context.Background())
	for _, o := range opts {
		o(g)
	}
	g.drain = NewDrain(g.delay)
	return g
}

// BeginRequest admits a request, or returns an error with the verdict not-run.
// The caller must call EndRequest for each admitted request.
func (g *Gate) BeginRequest(newProgram bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.drain.BeginRequest(newProgram) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.Draining, "this entry host is shutting down", verdict.WithRetryAfter(g.retryAfter))
}

// EndRequest ends an admitted request.
func (g *Gate) EndRequest() {
	g.apply((*Drain).EndRequest)
}

// Signal starts the shutdown. A second call cancels the running requests.
func (g *Gate) Signal() {
	g.apply(func(d *Drain) []Action { return d.Signal(g.now()) })
}

// Done returns a channel that is closed after the hand-over. The process must
// also wait for its HTTP server's Shutdown before it exits: all responses are
// written only when Shutdown has returned.
func (g *Gate) Done() <-chan struct{} { return g.done }

// Phase returns the current phase.
func (g *Gate) Phase() Phase {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.drain.Phase()
}

// apply applies an event to the drain and performs the returned actions.
func (g *Gate) apply(event func(*Drain) []Action) {
	g.mu.Lock()
	before := g.drain.Phase()
	actions := event(g.drain)
	after, running := g.drain.Phase(), g.drain.Running()
	g.mu.Unlock()
	if before != after {
		g.logger.Info("shutdown", zap.Stringer("phase", after), zap.Int("running-requests", running))
	}
	for _, a := range actions {
		g.perform(a)
	}
}

func (g *Gate) perform(a Action) {
	switch a {
	case StartTimer:
		g.afterFunc(g.delay, func() {
			g.apply(func(d *Drain) []Action { return d.Tick(g.now()) })
		})
	case CancelRequests:
		g.cancel()
	case HandOver:
		go g.runHandOver()
	case Exit:
		g.cancel()
		close(g.done)
	}
}

// handOverTimeout bounds the hand-over. State that isn't handed over in time is
// recovered as after a crash.
const handOverTimeout = 10 * time.Second

func (g *Gate) runHandOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if err := g.handOver(ctx); err != nil {
		g.logger.Warn("hand-over failed", zap.Error(err))
	}
	g.apply((*Drain).HandedOver)
}

// errStopping is the cause of the cancellation of a request by CancelRequests.
var errStopping = verdict.New(verdict.MayHaveRun, verdict.Draining, "this entry host is shutting down")

// Wrap returns a handler whose requests are cancelled by CancelRequests. From
// the phase Leaving on, it closes connections after the response, so that
// callers connect again through the load balancer.
func (g *Gate) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.Phase() != Serving {
			w.Header().Set("Connection", "close")
		}
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		stop := context.AfterFunc(g.requests, func() { cancel(errStopping) })
		defer stop()
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}
