package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/registry"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/schedule"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// target is the server that is assigned to an attempt.
type target struct {
	id              schedule.CallID
	server          string
	startedAt       int64 // identifies the incarnation of the server
	address         string
	service         string
	softwareVersion string
	level           int // see schedule.Assignment
}

// checkPresent returns an error if the server has left since it was assigned.
func (t target) checkPresent() error {
	if t.address == "" {
		return verdict.New(verdict.NotRun, verdict.NoServer, "server "+t.server+" has left")
	}
	return nil
}

// placement is the assignment of a server to an attempt that has not been sent.
type placement struct {
	assignment schedule.Assignment
	entry      registry.Entry
	service    string
}

// place returns the server for the next attempt: the one that is held for it, or
// else the one that is assigned to the call after queueing.
func (r *execution) place(ctx context.Context) (target, schedule.Assignment, error) {
	if err := r.renewPermit(ctx); err != nil {
		return target{}, schedule.Assignment{}, err
	}
	p, err := r.nextPlacement(ctx)
	if err != nil {
		return target{}, schedule.Assignment{}, err
	}
	for r.permit.Limited() && !r.permit.Valid() {
		// The permit has expired while the call was queued.
		r.release(p)
		if err := r.renewPermit(ctx); err != nil {
			return target{}, schedule.Assignment{}, err
		}
		if p, err = r.nextPlacement(ctx); err != nil {
			return target{}, schedule.Assignment{}, err
		}
	}
	c, a, e := r.call, p.assignment, p.entry
	if x := r.view.service(p.service); x != nil && x.Engine != nil {
		r.tokensPerEvent = x.Engine.TokensPerEvent
	}
	r.timing.placed = time.Since(c.Arrived)
	r.logger.Info("call placed", zap.String("request", c.ID), zap.String("route", c.Route.Name), workspaceField(c), zap.String("program", c.Program),
		zap.String("session", c.Session), zap.String("server", a.Server), zap.String("software-version", e.Version),
		zap.String("reason", a.Reason), zap.Int("alternatives", a.Alternatives),
		zap.Int("attempt", r.attempts), zap.Int64("table", r.view.version()), zap.Duration("waited", time.Since(c.Arrived)))
	return target{id: a.ID, server: a.Server, startedAt: e.StartedAt, address: e.Address, service: p.service, softwareVersion: e.Version, level: a.Level}, a, nil
}

func (r *execution) nextPlacement(ctx context.Context) (*placement, error) {
	r.attempts++
	r.silence = nil
	if p := r.takeNext(); p != nil {
		if e, leaving := r.view.entry(p.assignment.Server); !leaving {
			p.entry = e
			return p, nil
		}
		r.release(p)
	}
	service := r.stream.service
	if service == "" {
		service = r.call.Route.Pick(rand.Float64())
	}
	request := r.scheduleRequest(service, r.avoid, r.stream.fixedVersion())
	if err := r.awaitVersion(ctx, &request); err != nil {
		return nil, err
	}
	a, e, err := r.submit(ctx, &request)
	for err != nil && verdict.From(err).Reason() == schedule.ServiceChanged {
		again := r.scheduleRequest(service, r.avoid, r.stream.fixedVersion())
		if again.Model == request.Model {
			break
		}
		request = again
		a, e, err = r.submit(ctx, &request)
	}
	if err != nil {
		return nil, verdict.New(verdict.NotRun, placementReason(err), "no backend server of service "+service+" was available in time",
			verdict.WithCause(err), verdict.WithRetryAfter(max(defaultRetryAfter, verdict.From(err).RetryAfter())))
	}
	return &placement{a, e, service}, nil
}

// scheduleRequest returns the request to the scheduler for the current attempt,
// at any software version if that is empty.
func (r *execution) scheduleRequest(service string, avoid []string, softwareVersion string) schedule.Request {
	c := r.call
	request := schedule.Request{
		ID:    schedule.CallID{Program: r.program(), Call: int(r.requestSerial.Add(1)), Attempt: r.attempts},
		Class: class(c.Route), Deadline: r.clock() + time.Until(c.Deadline),
		Affinity: c.Affinity, Avoid: avoid, LastServer: r.lastServer,
		Session: xxhash.Sum64String(c.ledgerID(c.Session)), SoftwareVersion: softwareVersion,
		Team: c.team(), Objective: c.Route.Objective,
	}
	if x := r.view.service(service); x != nil && x.Engine != nil {
		request.Model, request.PromptTokens = service, c.PromptTokens
		if c.Turn != nil {
			request.MaxTokens = int(c.Turn.MaxTokens)
			request.First = r.lastServer == "" && c.Turn.Previous == ""
		}
	} else {
		request.Service, request.Idempotent = service, c.Route.Kind == route.Idempotent
	}
	request.Urgency = r.view.urgency(c, request.Model != "")
	if r.progress.started {
		// The scheduler refuses calls that it expects to miss their deadlines. The
		// caller of a stream that has begun would get a broken response.
		request.Deadline = 0
	}
	if r.crashes > 0 {
		// Without affinity, the suspects of a crash are spread over servers, so that
		// the request that caused it is separated from the others.
		request.Affinity, request.LastServer = 0, ""
	}
	return request
}

// takeNext returns the place that is held for the next attempt, or nil.
func (r *execution) takeNext() *placement {
	p := r.next
	r.next = nil
	return p
}

// release gives up a place that is not used.
func (r *execution) release(p *placement) {
	if p != nil {
		r.queue.Finished(p.assignment.ID, p.assignment.Server, schedule.Usage{}, schedule.FailedUnsent)
	}
}

// submit waits for the assignment of a server, and for a permit if the server is
// limited. The call is queued again if there is no permit or if the server has
// begun to leave since the assignment. The entry is empty if the server has left.
func (r *execution) submit(ctx context.Context, request *schedule.Request) (schedule.Assignment, registry.Entry, error) {
	for {
		a, err := r.queue.Submit(ctx, *request)
		if err != nil {
			return a, registry.Entry{}, err
		}
		permitted, err := r.awaitPermit(ctx, a)
		if err != nil {
			return a, registry.Entry{}, err
		}
		if permitted {
			e, leaving := r.view.entry(a.Server)
			if !leaving {
				return a, e, nil
			}
			r.queue.Finished(a.ID, a.Server, schedule.Usage{}, schedule.FailedUnsent)
		}
		request.ID.Call = int(r.requestSerial.Add(1))
	}
}

// awaitPermit asks for a permit if the assigned server is limited. Without a
// permit, it ends the assignment and pauses the server.
func (r *execution) awaitPermit(ctx context.Context, a schedule.Assignment) (bool, error) {
	if r.permits == nil {
		return true, nil
	}
	limit := r.view.limit(a.Server)
	if limit.PerSecond == 0 {
		return true, nil
	}
	wait := r.permits.Permit(ctx, limit)
	if ctx.Err() != nil {
		r.queue.Finished(a.ID, a.Server, schedule.Usage{}, schedule.FailedUnsent)
		return false, ctx.Err()
	}
	if wait == 0 {
		return true, nil
	}
	r.metrics.permitRefused()
	r.logger.Info("server limited", zap.String("request", r.call.ID), zap.String("server", a.Server),
		zap.Float64("per-second", limit.PerSecond), zap.Duration("limit-age", limit.Age), zap.Duration("wait", wait))
	r.queue.Do(func(now time.Duration, s *schedule.Scheduler) {
		s.PauseServer(now, a.Server, now+wait)
		s.Finished(now, a.ID, a.Server, schedule.Usage{}, schedule.FailedUnsent)
	})
	return false, nil
}

// program returns the id of the program to which the scheduler attributes the
// call: that of the call itself if it belongs to no program.
func (r *execution) program() string {
	if r.call.Program == "" {
		return r.call.ledgerID(r.call.ID)
	}
	return r.call.ledgerID(r.call.Program)
}

func placementReason(err error) verdict.Reason {
	if e := verdict.From(err); e.Reason() != verdict.Internal {
		return e.Reason()
	}
	return verdict.DeadlineExceeded
}

// serverRequest returns the request to send to the assigned server.
func (r *execution) serverRequest(a schedule.Assignment) *backend.Request {
	c := r.call
	priority := c.Route.Priority
	if c.Workspace != nil || r.view.hasWorkspaces() {
		priority = a.Level
	}
	o := &backend.Request{
		Method: c.Method, Target: c.Target, Host: c.Host, Body: r.body, Connections: &r.connections,
		Header: r.protocol.Header(c, Attempt{
			Server: a.Server, Remaining: time.Until(c.Deadline), Priority: priority, LastEvent: r.lastEvent,
		}),
	}
	if c.Route.Kind != route.Idempotent {
		o.MaxIdle = nonIdempotentMaxIdle
	}
	if a.Trial {
		o.DialTimeout = trialDialTimeout
	}
	return o
}

// send sends the request of one attempt and returns the server's response. The
// error carries the verdict on this attempt.
func (r *execution) send(ctx context.Context, t target, a schedule.Assignment) (*http.Response, error) {
	r.silence = r.watchSilence(t)
	r.permitUsed = true
	resp, err := r.pool.Do(ctx, t.address, r.serverRequest(a), func(h *http.Response, alone bool) bool {
		reply := r.protocol.Reply(r.call, h)
		return reply.Matches && (alone || !reply.Unnamed)
	})
	if err != nil {
		return nil, err
	}
	if r.call.Route.Kind != route.Stream {
		r.silence.heard()
	}
	reply := r.protocol.Reply(r.call, resp)
	backend.SetKeepAlive(resp, reply.KeepAlive)
	if reply.Leaving && !reply.WrongServer {
		backend.CloseAfter(resp)
		r.view.markLeaving(t, r.call.ID)
	}
	if reply.Limit > 0 || reply.Signed {
		r.view.observeLimit(t.server, reply.Limit)
	}
	switch {
	case reply.WrongServer:
		discard(resp)
		r.view.exclude(t.server)
		return nil, verdict.New(verdict.NotRun, verdict.NoServer, "another server now has the address of "+t.server)
	case reply.NotRun:
		discard(resp)
		return nil, verdict.New(verdict.NotRun, verdict.Overloaded, "server "+t.server+" rejected the request with status "+strconv.Itoa(resp.StatusCode))
	case !reply.Signed:
		resp.Body.Close()
		return nil, verdict.New(verdict.MayHaveRun, verdict.ServerFailed, "response of server "+t.server+" has no signature")
	}
	return resp, nil
}

// attemptFailed handles a failed attempt. It returns nil if the call is to be
// retried, after waiting for the backoff if there is one, or else the error of
// the call.
func (r *execution) attemptFailed(ctx context.Context, t target, err error) error {
	v := verdict.From(err)
	notRun := v.Verdict() == verdict.NotRun
	if notRun {
		r.permitUsed = false
	} else {
		r.mayHaveRun = true
	}
	r.silence.failed(ctx.Err() == nil && v.Reason() == verdict.ServerFailed)
	r.queue.Finished(t.id, t.server, schedule.Usage{}, classifyFailure(v))
	r.avoid = append(r.avoid, t.server)
	r.lastErr = err
	r.progress.remaining = time.Until(r.call.Deadline)
	serverDown := false
	if !notRun && ctx.Err() == nil {
		if errors.Is(err, errIdle) {
			// A server that was only silent may still run the request. The check must
			// not delay the next attempt, for which a place is held.
			r.background.Go(func() { r.view.excludeIfDown(r.ctx, r.fingerprint, t) })
		} else {
			serverDown = r.view.excludeIfDown(ctx, r.fingerprint, t)
		}
	}
	step := r.progress.next(r.call.Route, notRun, serverDown)
	if errors.Is(err, errOutputNotRecorded) {
		step = Fail
	}
	r.metrics.failedAttempt(v)
	r.logger.Warn("attempt failed", zap.String("request", r.call.ID), zap.String("server", t.server), zap.Int("attempt", r.attempts),
		zap.Uint64("connection", r.connections.Last()),
		zap.String("verdict", v.Verdict().String()), zap.Bool("server-ended", serverDown), zap.Bool("retry", step == Retry), zap.Error(err))
	if step == Retry && notRun && (v.Reason() == verdict.Overloaded || r.progress.notRun >= maxNotRun) {
		r.backOff(ctx, t)
	}
	if step == Retry && ctx.Err() == nil {
		return nil
	}
	if r.mayHaveRun {
		reason := verdict.ServerFailed
		if ctx.Err() != nil {
			reason = verdict.Timeout
		}
		return verdict.New(verdict.MayHaveRun, reason, "the backend server returned no complete answer", verdict.WithCause(err))
	}
	return verdict.New(verdict.NotRun, verdict.Overloaded, "no backend server accepted the request",
		verdict.WithCause(err), verdict.WithRetryAfter(defaultRetryAfter))
}

// backOff waits before a call that was rejected is sent again. It counts as
// waiting meanwhile.
func (r *execution) backOff(ctx context.Context, t target) {
	k := backingOff{t.service, t.level}
	r.view.addBackingOff(k, 1)
	defer r.view.addBackingOff(k, -1)
	pause.For(ctx, r.progress.backoff(rand.Float64()))
}

// classifyFailure returns the outcome of a failed attempt for the scheduler.
func classifyFailure(v *verdict.Error) schedule.Outcome {
	switch {
	case v.Reason() == verdict.Cancelled || v.Reason() == verdict.Timeout:
		return schedule.CallerCancelled
	case v.Verdict() == verdict.NotRun && v.Reason() == verdict.ServerFailed:
		return schedule.Unreachable
	default:
		return schedule.Rejected
	}
}
