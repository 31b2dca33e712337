package forward

import (
	"context"
	"hash"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/cluster"
	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/pause"
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
	// lateSettleTimeout bounds records that nobody waits for.
	lateSettleTimeout = 15 * time.Second
	// nonIdempotentIdle is the idle time up to which a connection may carry a
	// request that must not run twice.
	nonIdempotentIdle = 2 * time.Second
	// maxAnswerBytes bounds answers that are passed on as a whole.
	maxAnswerBytes = 16 << 20
	// defaultChainBytes bounds the conversations that a host remembers.
	defaultChainBytes = 16 << 20
	// maxDiscard bounds what is read of an answer that nobody wants.
	maxDiscard = 64 << 10
	// minRecovery and recoverySpread are when callers may return that were
	// refused because the ledger has no leader.
	minRecovery    = 300 * time.Millisecond
	recoverySpread = 500 * time.Millisecond
	// defaultRetryAfter is told callers when nothing better is known.
	defaultRetryAfter = 200 * time.Millisecond
)

// Turns records the turns of programs.
type Turns interface {
	// Reserve sets aside the tokens of a turn. With wantChain it returns the
	// conversation up to the previous turn.
	Reserve(ctx context.Context, t ledger.ReserveTurn, wantChain bool) (cluster.Reservation, error)
	Settle(ctx context.Context, t ledger.SettleTurn) error
}

// Forwarder passes calls on to backend servers.
type Forwarder struct {
	wire   Wire
	turns  Turns
	logger *zap.Logger
	clock  dispatch.Clock
	queue  *dispatch.Queue
	pool   *backend.Pool
	board  *Board
	chains *chains
	counts *counts
	serial atomic.Int64 // numbers the sendings

	wait   sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// Option sets an optional part of a Forwarder.
type Option func(*options)

type options struct {
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

// New returns a Forwarder without servers.
func New(w Wire, t Turns, opts ...Option) *Forwarder {
	o := options{logger: zap.NewNop(), chainBytes: defaultChainBytes, metrics: tally.NoopScope}
	for _, set := range opts {
		set(&o)
	}
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) }
	scheduler := schedule.New(rand.NewPCG(rand.Uint64(), rand.Uint64()), o.scheduler...)
	ctx, cancel := context.WithCancel(context.Background())
	f := &Forwarder{
		wire: w, turns: t, logger: o.logger, clock: clock, ctx: ctx, cancel: cancel,
		queue: dispatch.NewQueue(scheduler, clock), pool: backend.NewPool(o.dial),
		chains: newChains(o.chainBytes), counts: newCounts(o.metrics),
	}
	f.board = newBoard(f)
	return f
}

// Close waits until all turns are recorded, for a time, and stops.
func (f *Forwarder) Close() {
	done := make(chan struct{})
	go func() {
		f.wait.Wait()
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

// Board returns what the forwarder knows of servers and load. It is a
// cluster.Observer.
func (f *Forwarder) Board() *Board { return f.board }

// Serve passes a call on and writes its answer. An error is a *verdict.Error
// and means that nothing was written. A stream that cannot be ended whole
// panics with http.ErrAbortHandler, so that the caller sees that it is broken.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, c *Call) error {
	limit := c.Arrived.Add(c.Route.Timeout)
	if c.Deadline.IsZero() || limit.Before(c.Deadline) {
		c.Deadline = limit
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	r := &run{Forwarder: f, call: c, body: c.Body, fingerprint: fingerprint(c)}
	r.crashes = f.board.crashes(r.fingerprint)
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
		err = r.stream(ctx, w)
	} else {
		err = r.whole(ctx, w)
	}
	if err != nil {
		return f.refused(c, err)
	}
	return nil
}

// refused logs the outcome of a call that got no answer of a server.
func (f *Forwarder) refused(c *Call, err error) error {
	e := verdict.From(err)
	f.counts.refused(c, e)
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

// run is one call on its way.
type run struct {
	*Forwarder
	call        *Call
	body        []byte // with the conversation before it
	before      *link  // the conversation
	lastServer  string // of the line of turns
	ranOn       string // the server that ended the turn whole
	fingerprint uint64
	crashes     int // servers that the request was on when they ended
	progress    progress
	sent        int      // sendings so far
	avoid       []string // servers that failed
	lastErr     error

	events    int64 // that the caller was handed
	perEvent  int64 // tokens
	output    []byte
	lastEvent string
	timing    timing
	reserved  bool
	kept      bool // the turn was recorded for others to continue
}

// timing says where the time of a call went, since its arrival.
type timing struct {
	reserved   time.Duration // the turn was recorded
	placed     time.Duration // a server was chosen, last time
	firstEvent time.Duration
}

// answered logs the end of a call that a server has answered.
func (r *run) answered(t target, status int) {
	c := r.call
	r.counts.answered(c, status, r.timing)
	r.logger.Info("call answered", zap.String("request", c.ID), zap.String("route", c.Route.Name), zap.String("program", c.Program),
		zap.String("server", t.server), zap.Int("status", status), zap.Int("attempts", r.sent), zap.Int64("events", r.events),
		zap.Duration("reserved", r.timing.reserved), zap.Duration("placed", r.timing.placed),
		zap.Duration("first-event", r.timing.firstEvent), zap.Duration("total", time.Since(c.Arrived)))
}

// reserve sets aside the tokens of a turn and fetches the conversation before
// it.
func (r *run) reserve(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	t := r.call.Turn
	known := false
	if t.Previous != "" {
		r.before, known = r.chains.get(t.Previous)
	}
	reservation, err := r.turns.Reserve(ctx, ledger.ReserveTurn{
		Program: r.call.Program, Turn: r.call.ID, Budget: t.Budget, Most: t.Most, Previous: t.Previous,
		Line: r.call.Session,
	}, t.Previous != "" && !known)
	if err != nil {
		v := verdict.From(err)
		r.reserved = v.Verdict() != verdict.NotRun
		if r.reserved {
			// Nothing was sent: what may have been set aside is given back.
			r.settle()
		}
		if v.Reason() == verdict.BudgetExceeded || v.Reason() == ledger.UnknownTurn {
			return v
		}
		return verdict.New(verdict.NotRun, verdict.ControlUnavailable, "the turn could not be recorded",
			verdict.WithCause(err), verdict.WithRetryAfter(recoveryRetryAfter()))
	}
	r.reserved = true
	r.timing.reserved = time.Since(r.call.Arrived)
	if t.Previous != "" && !known {
		r.before = r.chains.put(t.Previous, nil, reservation.Chain)
	}
	r.body = r.before.body(r.body)
	r.lastServer = reservation.LastServer
	return nil
}

// settle records what a turn has used, unless that was done with its end. Nobody
// waits for it: until then, the reservation counts.
func (r *run) settle() {
	if !r.reserved || r.kept {
		return
	}
	r.reserved = false
	t := ledger.SettleTurn{
		Program: r.call.Program, Turn: r.call.ID, Tokens: r.events * r.perEvent, Line: r.call.Session, Server: r.ranOn,
	}
	r.wait.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, lateSettleTimeout)
		defer cancel()
		if err := r.turns.Settle(ctx, t); err != nil {
			r.logger.Warn("turn not settled; its reservation stays", zap.String("request", t.Turn), zap.String("program", t.Program), zap.Error(err))
		}
	})
}

// keep records a whole turn for others to continue, before its caller learns
// that it is whole.
func (r *run) keep() error {
	ctx, cancel := context.WithTimeout(r.ctx, settleTimeout)
	defer cancel()
	err := r.turns.Settle(ctx, ledger.SettleTurn{
		Program: r.call.Program, Turn: r.call.ID, Tokens: r.events * r.perEvent, Line: r.call.Session, Server: r.ranOn,
		Keep: &ledger.KeptTurn{
			Previous: r.call.Turn.Previous, Input: r.call.Body, Output: r.output,
			Retention: r.call.Route.Retention.Milliseconds(),
		},
	})
	if err == nil {
		r.kept = true
		r.chains.put(r.call.ID, r.before, slices.Concat(r.call.Body, r.output))
	}
	return err
}

// recoveryRetryAfter spreads the return of callers over the time that the
// ledger takes to choose another leader.
func recoveryRetryAfter() time.Duration {
	return minRecovery + rand.N(recoverySpread)
}

// target is a server that takes an attempt.
type target struct {
	id      schedule.CallID
	server  string
	address string
}

// place waits for a backend server.
func (r *run) place(ctx context.Context) (target, schedule.Assignment, error) {
	c := r.call
	service := c.Route.Pick(rand.Float64())
	request := schedule.Request{
		ID:    schedule.CallID{Program: r.program(), Call: int(r.serial.Add(1)), Attempt: r.sent + 1},
		Class: class(c.Route), Deadline: r.clock() + time.Until(c.Deadline),
		Affinity: c.Affinity, Avoid: r.avoid, LastServer: r.lastServer,
		Line: xxhash.Sum64String(c.Session),
	}
	if x := r.board.service(service); x != nil && x.Engine != nil {
		request.Model, request.PromptTokens = service, c.PromptTokens
		r.perEvent = x.Engine.TokensPerEvent
		if c.Turn != nil {
			request.MaxTokens = int(c.Turn.Most)
		}
	} else {
		request.Service = service
	}
	if r.crashes > 0 {
		// Spreads requests that were on a crashed server, so that the one which
		// crashed it does not meet the others again.
		request.Affinity, request.LastServer = 0, ""
	}
	r.sent++
	a, err := r.queue.Submit(ctx, request)
	if err != nil {
		return target{}, a, verdict.New(verdict.NotRun, reasonOf(err), "no backend server of "+service+" was free in time",
			verdict.WithCause(err), verdict.WithRetryAfter(defaultRetryAfter))
	}
	address := r.board.address(a.Server)
	r.timing.placed = time.Since(c.Arrived)
	r.logger.Info("call placed", zap.String("request", c.ID), zap.String("route", c.Route.Name), zap.String("program", c.Program),
		zap.String("session", c.Session), zap.String("server", a.Server), zap.String("reason", a.Reason), zap.Int("alternatives", a.Alternatives),
		zap.Int("attempt", r.sent), zap.Int64("table", r.board.version()), zap.Duration("waited", time.Since(c.Arrived)))
	return target{id: request.ID, server: a.Server, address: address}, a, nil
}

// program returns the program that the scheduler counts the call for.
func (r *run) program() string {
	if r.call.Program == "" {
		return r.call.ID
	}
	return r.call.Program
}

func reasonOf(err error) verdict.Reason {
	if e := verdict.From(err); e.Reason() != verdict.Internal {
		return e.Reason()
	}
	return verdict.DeadlineExceeded
}

// outgoing is the request as the server gets it.
func (r *run) outgoing(a schedule.Assignment) *backend.Outgoing {
	c := r.call
	o := &backend.Outgoing{
		Method: c.Method, Target: c.Target, Host: c.Host, Body: r.body,
		Header: r.wire.Header(c, Attempt{
			Server: a.Server, Remaining: time.Until(c.Deadline), Priority: c.Route.Priority, LastEvent: r.lastEvent,
		}),
	}
	if c.Route.Kind != route.Idempotent {
		o.MaxIdle = nonIdempotentIdle
	}
	return o
}

// send makes one attempt and returns the server's response. The error carries
// the verdict on this attempt.
func (r *run) send(ctx context.Context, t target, a schedule.Assignment) (*http.Response, error) {
	if t.address == "" {
		return nil, verdict.New(verdict.NotRun, verdict.NoServer, "server "+t.server+" has just left")
	}
	resp, err := r.pool.Do(ctx, t.address, r.outgoing(a), func(h *http.Response) bool { return r.wire.Reply(r.call, h).Mine })
	if err != nil {
		return nil, err
	}
	reply := r.wire.Reply(r.call, resp)
	backend.KeepFor(resp, reply.KeepFor)
	switch {
	case reply.WrongServer:
		discard(resp)
		r.board.exclude(t.server)
		return nil, verdict.New(verdict.NotRun, verdict.NoServer, "another server has the address of "+t.server)
	case reply.NotRun:
		discard(resp)
		return nil, verdict.New(verdict.NotRun, verdict.Overloaded, "server "+t.server+" answered "+strconv.Itoa(resp.StatusCode))
	case !reply.Signed:
		resp.Body.Close()
		return nil, verdict.New(verdict.MayHaveRun, verdict.ServerFailed, "response of "+t.server+" bears no signature")
	}
	return resp, nil
}

// after reports the end of an attempt to the scheduler, and decides what
// follows. It returns nil if the call is to be sent again.
func (r *run) after(ctx context.Context, t target, err error) error {
	v := verdict.From(err)
	notRun := v.Verdict() == verdict.NotRun
	r.queue.Finished(t.id, t.server, schedule.Usage{}, endOf(v))
	r.avoid = append(r.avoid, t.server)
	r.lastErr = err
	r.progress.left = time.Until(r.call.Deadline)
	ended := false
	if !notRun && ctx.Err() == nil {
		ended = r.board.noteBroken(ctx, r.fingerprint, t)
	}
	step := r.progress.next(r.call.Route, notRun, ended)
	r.counts.failedAttempt(v)
	r.logger.Warn("attempt failed", zap.String("request", r.call.ID), zap.String("server", t.server), zap.Int("attempt", r.sent),
		zap.String("verdict", v.Verdict().String()), zap.Bool("server-ended", ended), zap.Bool("retry", step == Retry), zap.Error(err))
	if step == Retry && notRun && v.Reason() == verdict.Overloaded {
		pause.For(ctx, r.progress.backoff(rand.Float64()))
	}
	if step == Retry && ctx.Err() == nil {
		return nil
	}
	if r.progress.ran > 0 || !notRun {
		reason := verdict.ServerFailed
		if ctx.Err() != nil {
			reason = verdict.Timeout
		}
		return verdict.New(verdict.MayHaveRun, reason, "the backend server gave no whole answer", verdict.WithCause(err))
	}
	return verdict.New(verdict.NotRun, verdict.Overloaded, "no backend server took the request",
		verdict.WithCause(err), verdict.WithRetryAfter(defaultRetryAfter))
}

func endOf(v *verdict.Error) schedule.End {
	switch {
	case v.Reason() == verdict.Cancelled || v.Reason() == verdict.Timeout:
		return schedule.CallerCancelled
	case v.Verdict() == verdict.NotRun && v.Reason() == verdict.ServerFailed:
		return schedule.Unreachable
	default:
		return schedule.Rejected
	}
}
