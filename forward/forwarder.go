package forward

import (
	"context"
	"errors"
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
	// reserveTimeout bounds the reservation of a turn. It is long enough for a
	// leader election.
	reserveTimeout = 2500 * time.Millisecond
	// settleTimeout bounds the recording of a turn that can be continued. The
	// caller waits for it.
	settleTimeout = 3 * time.Second
	// maxResponseTime is the maximum time, from the record of a turn to the end of
	// its response, that the retention of the turn covers. A caller may name any
	// deadline.
	maxResponseTime = 30 * time.Second
	// backgroundSettleTimeout bounds a settlement in the background.
	backgroundSettleTimeout = 15 * time.Second
	// nonIdempotentMaxIdle is the maximum idle time of a connection that is reused
	// for a non-idempotent request or a stream.
	nonIdempotentMaxIdle = 2 * time.Second
	// maxAnswerBytes is the maximum size of an answer that is not streamed.
	// maxAnswerShare limits it further, to a part of the memory for bodies.
	maxAnswerBytes = 16 << 20
	maxAnswerShare = 4
	// defaultChainBytes is the default size of the conversation cache.
	defaultChainBytes = 16 << 20
	// defaultBodyBytes is the default limit of the bodies of all calls in
	// progress.
	defaultBodyBytes = 64 << 20
	// maxDiscard is the maximum number of bytes read of a discarded answer.
	maxDiscard = 64 << 10
	// discardTimeout bounds the wait for a discarded answer, which delays the next
	// attempt. Servers send the head and the body of a rejection together.
	discardTimeout = 50 * time.Millisecond
	// minRecoveryRetryAfter is the minimum retry-after of calls that are rejected
	// because the ledger is unavailable, as during a leader election, or because
	// the bodies of calls exceed their memory limit. recoveryRetryAfterSpread is
	// the range of its jitter.
	minRecoveryRetryAfter    = 300 * time.Millisecond
	recoveryRetryAfterSpread = 500 * time.Millisecond
	// defaultRetryAfter is the retry-after of calls that no server has accepted.
	defaultRetryAfter = 200 * time.Millisecond
)

// Turns is a client of the ledger for the turns of programs.
type Turns interface {
	// Reserve reserves the tokens of a turn. If t.WantChain is set, it also
	// returns the conversation up to and including the previous turn.
	Reserve(ctx context.Context, t cluster.TurnRequest) (cluster.Reservation, error)
	// Settle replaces the reservation with the tokens used, and records the turn if
	// t.Keep is set.
	Settle(ctx context.Context, t ledger.SettleTurn) error
	// Extend keeps a recorded turn, and the conversation before it, for at least the
	// retention from now on.
	Extend(ctx context.Context, program, turn string, retention time.Duration) error
	// RecordOutput records events of a turn before they are passed on.
	RecordOutput(ctx context.Context, program string, c ledger.RecordOutput) error
	// RecordStream records the service and the software version of the backend
	// server that begins a stream. A record of a lower attempt than the current one does not replace
	// the version.
	RecordStream(ctx context.Context, k cluster.StreamKey, service, version string, attempt int, retention time.Duration) error
	// LookupStream returns the record of a stream.
	LookupStream(ctx context.Context, k cluster.StreamKey) (cluster.StreamVersion, error)
}

// Permits hands out permits to send requests to backend servers that take a
// limited number of requests per second.
type Permits interface {
	// Permit returns 0 if one request may be sent to the server now, or else the
	// time after which to ask again.
	Permit(ctx context.Context, limit cluster.ServerLimit) time.Duration
}

// Quotas hands out permits for requests of workspaces that have a limit.
type Quotas interface {
	// WorkspacePermit returns a permit for one request, which begins a program or
	// not. The error is a *verdict.Error.
	WorkspacePermit(ctx context.Context, w *route.Workspace, begins bool) (cluster.WorkspacePermit, error)
	// RefundPermit returns a permit for a request that no server has run.
	RefundPermit(p cluster.WorkspacePermit)
}

// Reporter sends the report of this host.
type Reporter interface {
	// ReportSoon sends the next report earlier than usual.
	ReportSoon()
}

// Forwarder forwards calls to backend servers. It is safe for concurrent use.
type Forwarder struct {
	protocol   Protocol
	turns      Turns
	permits    Permits  // nil to ignore limits
	quotas     Quotas   // nil to ignore the limits of workspaces
	reporter   Reporter // nil without one
	programs   *programSet
	logger     *zap.Logger
	clock      dispatch.Clock
	queue      *dispatch.Queue
	pool       *backend.Pool
	view       *View
	chains     *chainCache
	metrics    *callMetrics
	responses  *responseTimes
	dataCentre string
	bodies     *semaphore.Weighted // bytes of the bodies of calls in progress
	answers    *semaphore.Weighted // bytes of their answers that are kept in memory
	// maxAnswerBytes is the maximum size of an answer that is not streamed.
	maxAnswerBytes int64
	requestSerial  atomic.Int64 // serial number of the last scheduler request

	background sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
}

// Option configures a Forwarder.
type Option func(*options)

type options struct {
	bodyBytes  int64
	chainBytes int
	dial       backend.Dial
	metrics    tally.Scope
	logger     *zap.Logger
	permits    Permits
	quotas     Quotas
	reporter   Reporter
	scheduler  []schedule.Option
	dataCentre string
}

// WithDataCentre sets the data centre of the host. Evidence about servers from
// hosts of the same data centre counts by itself.
func WithDataCentre(name string) Option { return func(o *options) { o.dataCentre = name } }

// WithDial sets the function that connects to backend servers. The default uses
// TCP.
func WithDial(d backend.Dial) Option { return func(o *options) { o.dial = d } }

// WithLogger sets the logger. By default, nothing is logged.
func WithLogger(l *zap.Logger) Option { return func(o *options) { o.logger = l } }

// WithPermits sets the source of permits for limited servers. By default, limits
// are ignored.
func WithPermits(p Permits) Option { return func(o *options) { o.permits = p } }

// WithQuotas sets the source of permits for requests of workspaces. By default,
// their limits are ignored.
func WithQuotas(q Quotas) Option { return func(o *options) { o.quotas = q } }

// WithReporter sets what sends the report of this host. Without one, failures of
// servers are reported with the regular reports.
func WithReporter(r Reporter) Option { return func(o *options) { o.reporter = r } }

// WithMetrics sets the metrics scope. By default, no metrics are reported.
func WithMetrics(s tally.Scope) Option { return func(o *options) { o.metrics = s } }

// WithScheduler adds options for the scheduler.
func WithScheduler(opts ...schedule.Option) Option {
	return func(o *options) { o.scheduler = append(o.scheduler, opts...) }
}

// WithChainBytes sets the size of the conversation cache in bytes.
func WithChainBytes(n int) Option { return func(o *options) { o.chainBytes = n } }

// WithBodyBytes limits the total size of the bodies of calls in progress, and that
// of their answers, in bytes. Calls whose bodies exceed it are rejected, and those
// whose answers do fail, so that the process doesn't run out of memory.
func WithBodyBytes(n int64) Option { return func(o *options) { o.bodyBytes = n } }

// New returns a Forwarder without servers.
func New(p Protocol, t Turns, opts ...Option) *Forwarder {
	o := options{logger: zap.NewNop(), chainBytes: defaultChainBytes, bodyBytes: defaultBodyBytes, metrics: tally.NoopScope}
	for _, set := range opts {
		set(&o)
	}
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) }
	scheduler := schedule.New(rand.NewPCG(rand.Uint64(), rand.Uint64()), o.scheduler...)
	ctx, cancel := context.WithCancel(context.Background())
	f := &Forwarder{
		protocol: p, turns: t, permits: o.permits, quotas: o.quotas, reporter: o.reporter, programs: newProgramSet(clock), logger: o.logger, clock: clock, ctx: ctx, cancel: cancel,
		queue: dispatch.NewQueue(scheduler, clock), pool: backend.NewPool(o.dial),
		chains: newChainCache(o.chainBytes), metrics: newCallMetrics(o.metrics), bodies: semaphore.NewWeighted(o.bodyBytes), answers: semaphore.NewWeighted(o.bodyBytes),
		responses: newResponseTimes(), dataCentre: o.dataCentre,
		maxAnswerBytes: min(maxAnswerBytes, o.bodyBytes/maxAnswerShare),
	}
	f.view = newView(f)
	return f
}

// Close waits up to settleTimeout for settlements in the background, cancels the
// remaining ones and stops the forwarder.
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

// View returns the forwarder's view of the deployment, which must be registered
// as a cluster.Observer.
func (f *Forwarder) View() *View { return f.view }

// HoldBody accounts for n bytes of a body before they are read. It returns a
// *verdict.Error if the bodies of all calls exceed their memory limit.
func (f *Forwarder) HoldBody(n int64) error {
	if !f.bodies.TryAcquire(n) {
		return verdict.New(verdict.NotRun, verdict.Overloaded, "the bodies of calls in progress exceed their memory limit", verdict.WithRetryAfter(recoveryRetryAfter()))
	}
	return nil
}

// ReleaseBody ends the accounting for n bytes of HoldBody.
func (f *Forwarder) ReleaseBody(n int64) { f.bodies.Release(n) }

// Serve forwards a call and writes its answer. An error is a *verdict.Error; if
// one is returned, nothing has been written. If a stream that has started can't
// be completed, Serve panics with http.ErrAbortHandler, so that the caller
// receives an aborted response.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, c *Call) error {
	c.limitDeadline()
	f.metrics.requested(c)
	size := max(0, int64(len(c.Body))-c.HeldBody)
	if err := f.HoldBody(size); err != nil {
		return f.failed(c, err)
	}
	defer f.ReleaseBody(size)
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	r := &execution{Forwarder: f, call: c, body: c.Body, fingerprint: fingerprint(c)}
	defer r.releaseAnswer()
	r.crashes = f.view.crashes(r.fingerprint)
	if r.crashes >= maxCrashes {
		return f.failed(c, verdict.New(verdict.NotRun, verdict.CrashedServers, "the request was in flight on several servers when they crashed", verdict.WithRetryAfter(suspectRetryAfter)))
	}
	if err := r.acquirePermit(ctx); err != nil {
		return f.failed(c, err)
	}
	defer r.refundPermit()
	if c.Turn != nil {
		if err := r.reserve(ctx); err != nil {
			return f.failed(c, err)
		}
		defer r.settle()
	} else if c.Route.Kind == route.Stream && c.resumes() {
		if err := r.findVersion(ctx); err != nil {
			return f.failed(c, err)
		}
	}
	var err error
	if c.Route.Kind == route.Stream {
		err = r.serveStream(ctx, w)
	} else {
		err = r.serveBuffered(ctx, w)
	}
	if err != nil {
		return f.failed(c, err)
	}
	r.extendLateTurn()
	return nil
}

// failed logs and counts a call to which no server has returned a complete
// answer. It returns the error as a *verdict.Error.
func (f *Forwarder) failed(c *Call, err error) error {
	e := verdict.From(err)
	f.metrics.failed(c, e)
	f.logger.Warn("call failed", append(f.endFields(c, err), zap.String("program", c.Program), zap.String("resumes", c.Resumes),
		zap.String("verdict", e.Verdict().String()), zap.String("reason", string(e.Reason())), zap.Duration("retry-after", e.RetryAfter()))...)
	return e
}

// aborted logs and counts a call whose response has begun and cannot be completed.
func (f *Forwarder) aborted(ctx context.Context, c *Call, events int64, err error) {
	cause := endCause(ctx, err)
	f.metrics.aborted(c, cause)
	f.logger.Warn("stream aborted", append(f.endFields(c, err), zap.String("cause", string(cause)), zap.Int64("events", events))...)
}

// endFields returns the log fields of a call that ends without a complete answer:
// how much of its time it has used, and what it knew of its route.
func (f *Forwarder) endFields(c *Call, err error) []zap.Field {
	after := time.Since(c.Arrived)
	version, age := f.view.table()
	return []zap.Field{
		zap.String("request", c.ID), zap.String("route", c.Route.Name), workspaceField(c), zap.Duration("after", after),
		zap.Duration("route-timeout", c.Route.Timeout), zap.Float64("time-used", after.Seconds()/max(time.Millisecond, c.callerTime).Seconds()),
		zap.Int64("table", version), zap.Duration("table-age", age), zap.Error(err),
	}
}

// endCause returns what has ended a call: cancelled if its caller has gone,
// draining if this host stops, timeout at the deadline, or else the reason of the
// error.
func endCause(ctx context.Context, err error) verdict.Reason {
	if ctx.Err() == nil {
		return verdict.From(err).Reason()
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return verdict.Timeout
	case errors.Is(cause, context.Canceled):
		return verdict.Cancelled
	default:
		return verdict.From(cause).Reason()
	}
}

// fingerprint hashes the parts of a request that are the same in a resend.
func fingerprint(c *Call) uint64 {
	d := xxhash.New()
	if c.Workspace != nil {
		writeField(d, c.Workspace.Name)
	}
	writeField(d, c.Method)
	writeField(d, c.Host)
	writeField(d, c.Target)
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

// writeField adds a string and a separator to the hash.
func writeField(h hash.Hash, s string) {
	_, _ = h.Write([]byte(s))
	_, _ = h.Write([]byte{0})
}

// execution is the state of one call while it is served.
type execution struct {
	*Forwarder
	call         *Call
	body         []byte // request body, preceded by the conversation
	conversation *link  // conversation up to and including the previous turn
	lastServer   string // server of the last turn of the session, or else of the program
	completedBy  string // server that completed the turn
	fingerprint  uint64
	crashes      int // number of servers that have crashed while the request was in flight on them
	progress     progress
	permit       cluster.WorkspacePermit // of the last or the next attempt
	permitUsed   bool                    // the attempt has been sent and may have run
	mayHaveRun   bool                    // an attempt may have run
	stream       streamVersion
	silence      *silenceWatch // of the current attempt, or nil if it has not been sent
	next         *placement    // held for the next attempt, or nil
	attempts     int           // number of attempts so far
	avoid        []string      // servers on which an attempt has failed
	lastErr      error         // error of the last attempt
	connections  backend.Connections

	events         int64 // number of events received from servers
	tokensPerEvent int64
	output         []byte // data of the events, if the turn is to be recorded
	outputEvents   int    // number of events whose output is recorded
	lastEvent      string // id of the last event received
	answerBytes    int64  // memory that the answer holds
	timing         timing
	reserved       bool      // the tokens of the turn are reserved, or may be
	otherPartition bool      // the conversation is in another partition of the ledger
	recorded       bool      // the turn is recorded and can be continued
	keptUntil      time.Time // until which a recorded turn is kept at least
}

// timing holds durations since the arrival of a call.
type timing struct {
	reserved   time.Duration // until the turn was reserved
	placed     time.Duration // until a server was assigned to the last attempt
	firstEvent time.Duration // until the first event of the answer
}

// answered logs and counts a call that a server has answered.
func (r *execution) answered(t target, status int) {
	c := r.call
	r.silence.heard()
	r.view.recordAnswer(t, status)
	r.metrics.answered(c, status, r.timing)
	r.logger.Info("call answered", zap.String("request", c.ID), zap.String("route", c.Route.Name), workspaceField(c), zap.String("program", c.Program),
		zap.String("server", t.server), zap.Int("status", status), zap.Int("attempts", r.attempts), zap.Int64("events", r.events),
		zap.Duration("reserved", r.timing.reserved), zap.Duration("placed", r.timing.placed),
		zap.Duration("first-event", r.timing.firstEvent), zap.Duration("total", time.Since(c.Arrived)))
}
