package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/schedule"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// target is a server that takes an attempt.
type target struct {
	id      schedule.CallID
	server  string
	address string
}

// place waits for a backend server.
func (r *execution) place(ctx context.Context) (target, schedule.Assignment, error) {
	c := r.call
	service := c.Route.Pick(rand.Float64())
	request := schedule.Request{
		ID:    schedule.CallID{Program: r.program(), Call: int(r.requestSerial.Add(1)), Attempt: r.attempts + 1},
		Class: class(c.Route), Deadline: r.clock() + time.Until(c.Deadline),
		Affinity: c.Affinity, Avoid: r.avoid, LastServer: r.lastServer,
		Session: xxhash.Sum64String(c.Session),
	}
	if x := r.view.service(service); x != nil && x.Engine != nil {
		request.Model, request.PromptTokens = service, c.PromptTokens
		r.tokensPerEvent = x.Engine.TokensPerEvent
		if c.Turn != nil {
			request.MaxTokens = int(c.Turn.MaxTokens)
		}
	} else {
		request.Service = service
	}
	if r.crashes > 0 {
		// Spreads requests that were on a crashed server, so that the one which
		// crashed it does not meet the others again.
		request.Affinity, request.LastServer = 0, ""
	}
	r.attempts++
	a, err := r.queue.Submit(ctx, request)
	if err != nil {
		return target{}, a, verdict.New(verdict.NotRun, placementReason(err), "no backend server of "+service+" was free in time",
			verdict.WithCause(err), verdict.WithRetryAfter(defaultRetryAfter))
	}
	address := r.view.address(a.Server)
	r.timing.placed = time.Since(c.Arrived)
	r.logger.Info("call placed", zap.String("request", c.ID), zap.String("route", c.Route.Name), zap.String("program", c.Program),
		zap.String("session", c.Session), zap.String("server", a.Server), zap.String("reason", a.Reason), zap.Int("alternatives", a.Alternatives),
		zap.Int("attempt", r.attempts), zap.Int64("table", r.view.version()), zap.Duration("waited", time.Since(c.Arrived)))
	return target{id: request.ID, server: a.Server, address: address}, a, nil
}

// program returns the program that the scheduler counts the call for.
func (r *execution) program() string {
	if r.call.Program == "" {
		return r.call.ID
	}
	return r.call.Program
}

func placementReason(err error) verdict.Reason {
	if e := verdict.From(err); e.Reason() != verdict.Internal {
		return e.Reason()
	}
	return verdict.DeadlineExceeded
}

// serverRequest is the request as the server gets it.
func (r *execution) serverRequest(a schedule.Assignment) *backend.Outgoing {
	c := r.call
	o := &backend.Outgoing{
		Method: c.Method, Target: c.Target, Host: c.Host, Body: r.body,
		Header: r.protocol.Header(c, Attempt{
			Server: a.Server, Remaining: time.Until(c.Deadline), Priority: c.Route.Priority, LastEvent: r.lastEvent,
		}),
	}
	if c.Route.Kind != route.Idempotent {
		o.MaxIdle = nonIdempotentMaxIdle
	}
	return o
}

// send makes one attempt and returns the server's response. The error carries
// the verdict on this attempt.
func (r *execution) send(ctx context.Context, t target, a schedule.Assignment) (*http.Response, error) {
	if t.address == "" {
		return nil, verdict.New(verdict.NotRun, verdict.NoServer, "server "+t.server+" has just left")
	}
	resp, err := r.pool.Do(ctx, t.address, r.serverRequest(a), func(h *http.Response) bool { return r.protocol.Reply(r.call, h).Matches })
	if err != nil {
		return nil, err
	}
	reply := r.protocol.Reply(r.call, resp)
	backend.KeepFor(resp, reply.KeepAlive)
	switch {
	case reply.WrongServer:
		discard(resp)
		r.view.exclude(t.server)
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

// attemptFailed reports the end of an attempt to the scheduler, and decides what
// follows. It returns nil if the call is to be sent again.
func (r *execution) attemptFailed(ctx context.Context, t target, err error) error {
	v := verdict.From(err)
	notRun := v.Verdict() == verdict.NotRun
	r.queue.Finished(t.id, t.server, schedule.Usage{}, runOutcome(v))
	r.avoid = append(r.avoid, t.server)
	r.lastErr = err
	r.progress.remaining = time.Until(r.call.Deadline)
	ended := false
	if !notRun && ctx.Err() == nil {
		ended = r.view.recordIfEnded(ctx, r.fingerprint, t)
	}
	step := r.progress.next(r.call.Route, notRun, ended)
	r.metrics.failedAttempt(v)
	r.logger.Warn("attempt failed", zap.String("request", r.call.ID), zap.String("server", t.server), zap.Int("attempt", r.attempts),
		zap.String("verdict", v.Verdict().String()), zap.Bool("server-ended", ended), zap.Bool("retry", step == Retry), zap.Error(err))
	if step == Retry && notRun && v.Reason() == verdict.Overloaded {
		pause.For(ctx, r.progress.backoff(rand.Float64()))
	}
	if step == Retry && ctx.Err() == nil {
		return nil
	}
	if r.progress.mayHaveRun > 0 || !notRun {
		reason := verdict.ServerFailed
		if ctx.Err() != nil {
			reason = verdict.Timeout
		}
		return verdict.New(verdict.MayHaveRun, reason, "the backend server gave no whole answer", verdict.WithCause(err))
	}
	return verdict.New(verdict.NotRun, verdict.Overloaded, "no backend server took the request",
		verdict.WithCause(err), verdict.WithRetryAfter(defaultRetryAfter))
}

func runOutcome(v *verdict.Error) schedule.Outcome {
	switch {
	case v.Reason() == verdict.Cancelled || v.Reason() == verdict.Timeout:
		return schedule.CallerCancelled
	case v.Verdict() == verdict.NotRun && v.Reason() == verdict.ServerFailed:
		return schedule.Unreachable
	default:
		return schedule.Rejected
	}
}
