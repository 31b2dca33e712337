package forward

import (
	"context"
	"hash"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/cluster"
	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/schedule"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// reserveTimeout bounds the wait for the reservation of a turn, over a
	// change of the leader.
	reserveTimeout = 2500 * time.Millisecond
	// settleTimeout bounds the record of a turn that others may continue, whose
	// caller waits for it.
	settleTimeout = 3 * time.Second
	// backgroundSettleTimeout bounds records that nobody waits for.
	backgroundSettleTimeout = 15 * time.Second
	// nonIdempotentMaxIdle is the idle time up to which a connection may carry a
	// request that must not run twice.
	nonIdempotentMaxIdle = 2 * time.Second
	// maxAnswerBytes bounds answers that are passed on as a whole.
	maxAnswerBytes = 16 << 20
	// defaultChainBytes bounds the conversations that a host remembers.
	defaultChainBytes = 16 << 20
	// defaultBodyBytes bounds the bodies of all calls in progress.
	defaultBodyBytes = 64 << 20
	// maxDiscard bounds what is read of an answer that nobody wants.
	maxDiscard = 64 << 10
	// minRecoveryRetryAfter and recoverySpread are when callers may return that were
	// refused because the ledger has no leader.
	minRecoveryRetryAfter    = 300 * time.Millisecond
	recoveryRetryAfterSpread = 500 * time.Millisecond
	// defaultRetryAfter is told callers when nothing better is known.
	defaultRetryAfter = 200 * time.Millisecond
)

// Turns records the turns of programs.
type Turns interface {
	// Reserve sets aside the tokens of a turn. With wantChain it returns the
	// conversation up to the previous turn.
	Reserve(ctx context.Context, t cluster.TurnRequest) (cluster.Reservation, error)
	Settle(ctx context.Context, t ledger.SettleTurn) error
}

// Forwarder passes calls on to backend servers.
type Forwarder struct {
	protocol   Protocol
	turns  Turns
	logger *zap.Logger
	clock  dispatch.Clock
	queue  *dispatch.Queue
	pool   *backend.Pool
	view  *View
	chains *chainCache
	metrics *callMetrics
	bodies *semaphore.Weighted // bytes of calls in progress
	requestSerial atomic.Int64        // numbers the sendings

	background   sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// Option sets an optional part of a Forwarder.
type Option func(*options)

type options struct {
	bodyBytes  int64
	chainBytes int
	dial       backend.Dial
	metrics    tally.Scope
	logger     *zap.Logger
	scheduler  []schedule.Option
}

// WithDial replaces TCP.
func WithDial(d backend.Dial) Option { return func(o *options) { o.dial = d } }

// WithLogger sets the log of decisions.
func WithLogger(l *zap.Logger) Option { return func(o *options) { o.logger = l } }

// WithMetrics sets where calls are counted.
func WithMetrics(s tally.Scope) Option { return func(o *options) { o.metrics = s } }

// WithScheduler adds options of the scheduler.
func WithScheduler(opts ...schedule.Option) Option {
	return func(o *options) { o.scheduler = append(o.scheduler, opts...) }
}

// WithChainBytes bounds the conversations that are remembered, in bytes.
func WithChainBytes(n int) Option { return func(o *options) { o.chainBytes = n } }

// WithBodyBytes bounds the bodies of all calls in progress together, in bytes.
// More are refused: they would end the process for want of memory.
func WithBodyBytes(n int64) Option { return func(o *options) { o.bodyBytes = n } }

// New returns a Forwarder without servers.
func New(w Protocol, t Turns, opts ...Option) *Forwarder {
	o := options{logger: zap.NewNop(), chainBytes: defaultChainBytes, bodyBytes: defaultBodyBytes, metrics: tally.NoopScope}
	for _, set := range opts {
		set(&o)
	}
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) }
	scheduler := schedule.New(rand.NewPCG(rand.Uint64(), rand.Uint64()), o.scheduler...)
	ctx, cancel := context.WithCancel(context.Background())
	f := &Forwarder{
		protocol: w, turns: t, logger: o.logger, clock: clock, ctx: ctx, cancel: cancel,
		queue: dispatch.NewQueue(scheduler, clock), pool: backend.NewPool(o.dial),
		chains: newChainCache(o.chainBytes), metrics: newCallMetrics(o.metrics), bodies: semaphore.NewWeighted(o.bodyBytes),
	}
	f.view = newView(f)
	return f
}

// Close waits until all turns are recorded, for a time, and stops.
func (f *Forwarder) Close() {
	done := make(chan struct{})
	go func() {
		f.background.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(settleTimeout):
	}
	f.cancel()
	<-done
	f.queue.Close()
	f.pool.Close()
}

// View returns what the forwarder knows of servers and load. It is a
// cluster.Observer.
func (f *Forwarder) View() *View { return f.view }

// Serve passes a call on and writes its answer. An error is a *verdict.Error
// and means that nothing was written. A stream that cannot be ended whole
// panics with http.ErrAbortHandler, so that the caller sees that it is broken.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, c *Call) error {
	size := int64(len(c.Body))
	if !f.bodies.TryAcquire(size) {
		return f.refused(c, verdict.New(verdict.NotRun, verdict.Overloaded, "the bodies of calls in progress fill the memory for them",
			verdict.WithRetryAfter(recoveryRetryAfter())))
	}
	defer f.bodies.Release(size)
	limit := c.Arrived.Add(c.Route.Timeout)
	if c.Deadline.IsZero() || limit.Before(c.Deadline) {
		c.Deadline = limit
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	r := &execution{Forwarder: f, call: c, body: c.Body, fingerprint: fingerprint(c)}
	r.crashes = f.view.crashes(r.fingerprint)
	if r.crashes >= maxCrashes {
		return f.refused(c, verdict.New(verdict.NotRun, verdict.Suspect, "the request has crashed servers", verdict.WithRetryAfter(suspectRetryAfter)))
	}
	if c.Turn != nil {
		if err := r.reserve(ctx); err != nil {
			return f.refused(c, err)
		}
		defer r.settle()
	}
	var err error
	if c.Route.Kind == route.Stream {
		err = r.serveStream(ctx, w)
	} else {
		err = r.serveWhole(ctx, w)
	}
	if err != nil {
		return f.refused(c, err)
	}
	return nil
}

// refused logs the outcome of a call that got no answer of a server.
func (f *Forwarder) refused(c *Call, err error) error {
	e := verdict.From(err)
	f.metrics.refused(c, e)
	f.logger.Warn("call refused", zap.String("request", c.ID), zap.String("route", c.Route.Name), zap.String("program", c.Program),
		zap.String("verdict", e.Verdict().String()), zap.String("reason", string(e.Reason())),
		zap.Duration("after", time.Since(c.Arrived)), zap.Duration("retry-after", e.RetryAfter()), zap.Error(err))
	return e
}

// fingerprint names a request by what a caller repeats when it sends it again.
func fingerprint(c *Call) uint64 {
	d := xxhash.New()
	writeField(d, c.Method)
	writeField(d, c.Host)
	writeField(d, c.Target)
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

func writeField(h hash.Hash, s string) {
	_, _ = h.Write([]byte(s))
	_, _ = h.Write([]byte{0})
}

// execution is one call on its way.
type execution struct {
	*Forwarder
	call        *Call
	body        []byte // with the conversation before it
	conversation      *link  // the conversation
	lastServer  string // of the line of turns
	completedBy       string // the server that ended the turn whole
	fingerprint uint64
	crashes     int // servers that the request was on when they ended
	progress    progress
	attempts        int      // sendings so far
	avoid       []string // servers that failed
	lastErr     error

	events    int64 // that the caller was handed
	tokensPerEvent  int64 // tokens
	output    []byte
	lastEvent string
	timing    timing
	reserved  bool
	otherPartition bool // the conversation is in another partition of the ledger
	recorded      bool // the turn was recorded for others to continue
}

// timing says where the time of a call went, since its arrival.
type timing struct {
	reserved   time.Duration // the turn was recorded
	placed     time.Duration // a server was chosen, last time
	firstEvent time.Duration
}

// answered logs the end of a call that a server has answered.
func (r *execution) answered(t target, status int) {
	c := r.call
	r.metrics.answered(c, status, r.timing)
	r.logger.Info("call answered", zap.String("request", c.ID), zap.String("route", c.Route.Name), zap.String("program", c.Program),
		zap.String("server", t.server), zap.Int("status", status), zap.Int("attempts", r.attempts), zap.Int64("events", r.events),
		zap.Duration("reserved", r.timing.reserved), zap.Duration("placed", r.timing.placed),
		zap.Duration("first-event", r.timing.firstEvent), zap.Duration("total", time.Since(c.Arrived)))
}
