package balancer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// defaultRetryAfter is the hint of refusals: by then, the load balancer sends
// the retry to another host.
const defaultRetryAfter = time.Second

// Gate drives a Drain. It lets requests in and out, answers health checks and
// carries out what the drain decides. It is safe for concurrent use.
type Gate struct {
	now      func() time.Time
	afterFunc    func(time.Duration, func())
	ready    func() error
	handOver func(context.Context) error
	logger      *zap.Logger
	delay    time.Duration
	retryAfter    time.Duration

	requests context.Context // of all requests; ended by CancelRequests
	cancel   context.CancelFunc
	done     chan struct{}

	mu    sync.Mutex
	drain *Drain
}

// Option sets an optional part of a Gate.
type Option func(*Gate)

// WithDelay sets how long the load balancer takes to notice an unhealthy host.
func WithDelay(d time.Duration) Option { return func(g *Gate) { g.delay = d } }

// WithRetryAfter sets when callers that are refused may return, where the
// default is too long for them.
func WithRetryAfter(d time.Duration) Option { return func(g *Gate) { g.retryAfter = d } }

// WithReady sets what makes a serving host unhealthy, such as a lost lease.
func WithReady(ready func() error) Option { return func(g *Gate) { g.ready = ready } }

// WithHandOver sets what is done when the last request has ended.
func WithHandOver(f func(context.Context) error) Option { return func(g *Gate) { g.handOver = f } }

// WithLogger sets the log.
func WithLogger(l *zap.Logger) Option { return func(g *Gate) { g.logger = l } }

// WithClock replaces time.Now and time.AfterFunc.
func WithClock(now func() time.Time, after func(time.Duration, func())) Option {
	return func(g *Gate) { g.now, g.afterFunc = now, after }
}

const defaultDelay = 2 * time.Second

// NewGate returns the gate of a serving host.
func NewGate(opts ...Option) *Gate {
	g := &Gate{
		now:      time.Now,
		afterFunc:    func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		ready:    func() error { return nil },
		handOver: func(context.Context) error { return nil },
		logger:      zap.NewNop(),
		delay:    defaultDelay,
		retryAfter:    defaultRetryAfter,
		done:     make(chan struct{}),
	}
	g.requests, g.cancel = context.WithCancel(context.Background())
	for _, o := range opts {
		o(g)
	}
	g.drain = NewDrain(g.delay)
	return g
}

// BeginRequest lets a request in, or refuses it with not-run. Each request that is
// let in must Leave.
func (g *Gate) BeginRequest(newProgram bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.drain.BeginRequest(newProgram) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.Draining, "this entry host is shutting down", verdict.WithRetryAfter(g.retryAfter))
}

// EndRequest ends a request that was let in.
func (g *Gate) EndRequest() {
	g.apply((*Drain).EndRequest)
}

// Signal starts the shutdown. A second call hastens it.
func (g *Gate) Signal() {
	g.apply(func(d *Drain) []Action { return d.Signal(g.now()) })
}

// Done is closed when the host has handed over. The process may end once its
// HTTP server's Shutdown has returned, which waits for the last bytes.
func (g *Gate) Done() <-chan struct{} { return g.done }

// Phase returns the current phase.
func (g *Gate) Phase() Phase {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.drain.Phase()
}

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

// handOverTimeout bounds the hand-over. What is not handed over is recovered
// as after a crash.
const handOverTimeout = 10 * time.Second

func (g *Gate) runHandOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if err := g.handOver(ctx); err != nil {
		g.logger.Warn("hand-over failed", zap.Error(err))
	}
	g.apply((*Drain).HandedOver)
}

// Wrap cancels requests of the handler when the drain asks for it, and closes
// connections after their answer once the host is leaving, so that callers
// open new ones through the load balancer.
func (g *Gate) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.Phase() != Serving {
			w.Header().Set("Connection", "close")
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		stop := context.AfterFunc(g.requests, cancel)
		defer stop()
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}
