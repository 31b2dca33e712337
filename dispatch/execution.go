package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/schedule"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// pollInterval is the interval at which a request reads the record of a call
// while another request runs it.
const pollInterval = 100 * time.Millisecond

// queueWaitBuckets are the histogram buckets of queue-wait.
var queueWaitBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// sendsPerAttempt is the number of send numbers that are reserved for each
// attempt of a call. It exceeds the number of sends of any attempt, hedges
// included.
const sendsPerAttempt = 100

// send is a single send of a call to its assigned backend server. One attempt
// that the ledger has granted may take several sends.
type send struct {
	server     membership.Server
	assignment schedule.Assignment
	number     int // unique among all sends of the call, on any host; passed to the server as the attempt number
}

// sendResult is the result of a send. A failed send has no answer.
type sendResult struct {
	tokens  int64
	usage   schedule.Usage
	history []ledger.Message
	answer  []byte
	send    send // send that returned the answer or the error
}

// sender sends the calls of one kind to their backend servers: model calls to
// engines, tool calls to plain services.
type sender interface {
	send(ctx context.Context, x *execution, a send) (sendResult, error)
}

// execution drives the state machine of one call.
type execution struct {
	d        *Dispatcher
	call     *call
	open     ledger.OpenCall
	request  schedule.Request
	sender   sender
	deadline time.Time // end of the call's timeout or the program's deadline, whichever is earlier
	logger   *zap.Logger

	assignment      schedule.Assignment
	server          membership.Server
	result          sendResult
	quarantine      *membership.Grant // exclusive right to run a suspect on the server, while one runs there
	crashPropagated time.Time         // time by which all entry hosts have received this call's crash report
}

// run performs the actions of the call until it has an answer or an error. If
// the caller disconnects, which cancels callerCtx, a call that is still queued is
// withdrawn. A call that was sent is completed under callCtx, which ends only at
// the call's deadline, so that a resend receives its answer.
func (x *execution) run(callerCtx context.Context) (ledger.CallState, error) {
	callCtx, cancel := context.WithDeadline(context.WithoutCancel(callerCtx), x.deadline)
	defer cancel()
	next := actOpen
	for {
		switch next {
		case actOpen:
			next = x.doOpen(callCtx)
		case actPoll:
			next = x.doPoll(callerCtx, callCtx)
		case actTakeOver:
			next = x.doTakeOver(callCtx)
		case actEnqueue:
			next = x.doEnqueue(callerCtx)
		case actMark:
			next = x.doMark(callCtx)
		case actSend:
			next = x.doSend(callCtx)
		case actSettle:
			next = x.doSettle(callerCtx)
		case actReply:
			x.countOutcome("ok")
			return x.call.state, nil
		case actFail:
			x.logFailure()
			x.countOutcome(string(x.call.err.Reason()))
			x.awaitCrashPropagation(callerCtx)
			return x.call.state, x.call.err
		}
	}
}

func (x *execution) doOpen(callCtx context.Context) action {
	ctx, cancel := context.WithTimeout(callCtx, ledgerTimeout)
	defer cancel()
	s, err := x.d.ledger.OpenCall(ctx, x.open)
	if err != nil {
		if verdict.From(err).Reason() == verdict.ControlUnavailable {
			x.d.withdraw(x.open, x.logger)
		}
		return x.call.openFailed(err)
	}
	return x.opened(s)
}

// opened limits the call to the program's deadline, which the ledger returns
// with the call's state.
func (x *execution) opened(s ledger.CallState) action {
	if deadline := time.UnixMilli(s.Deadline); s.Deadline > 0 && deadline.Before(x.deadline) {
		x.deadline = deadline
	}
	return x.call.opened(s)
}

func (x *execution) doPoll(callerCtx, callCtx context.Context) action {
	if !pause.For(callerCtx, pollInterval) || callCtx.Err() != nil {
		return x.call.openFailed(verdict.New(verdict.MayHaveRun, verdict.CallInProgress,
			"another attempt of this call is running", verdict.WithRetryAfter(time.Second)))
	}
	ctx, cancel := context.WithTimeout(callCtx, ledgerTimeout)
	defer cancel()
	s, err := x.d.ledger.Call(ctx, ledger.CallQuery{Program: x.open.Program, Team: x.open.Team, Key: x.open.Key})
	if err != nil {
		return x.call.openFailed(err)
	}
	return x.call.polled(s)
}

func (x *execution) doTakeOver(callCtx context.Context) action {
	ctx, cancel := context.WithTimeout(callCtx, ledgerTimeout)
	defer cancel()
	s, err := x.d.ledger.TakeOver(ctx, x.call.state, ledger.TakeOver{
		Request:         x.open.Request,
		Program:         x.open.Program,
		Call:            x.call.state.Call,
		Attempt:         x.call.state.Attempt,
		Host:            x.d.host,
		HostIncarnation: x.d.incarnation,
	})
	if err != nil {
		return x.call.takeOverFailed(err)
	}
	x.d.metrics.Counter("take-overs").Inc(1)
	x.logger.Info("call taken over", zap.Int("call", s.Call), zap.Int("attempt", s.Attempt))
	return x.opened(s)
}

func (x *execution) doEnqueue(callerCtx context.Context) action {
	ctx, cancel := context.WithDeadline(callerCtx, x.deadline)
	defer cancel()
	r := x.request
	s := x.call.state
	r.ID = schedule.CallID{Program: s.Program, Call: s.Call, Attempt: s.Attempt}
	r.Class = schedulerClass(s.Class)
	r.LastServer = s.LastServer
	r.AttainedTokens = s.AttainedTokens
	r.Avoid = x.call.failed
	r.Deadline = x.d.clock() + time.Until(x.deadline)
	queuedAt := x.d.clock()
	a, err := x.submit(ctx, r)
	if err != nil {
		return x.submitFailed(callerCtx, err)
	}
	x.assignment = a
	if !x.d.board.LeaseLive(x.d.clock()) {
		// The member list may be stale: the server may be leaving.
		x.finished(schedule.Usage{}, schedule.FailedUnsent)
		return x.call.refused(verdict.LeaseExpired, "the lease of this entry host has expired", verdict.WithRetryAfter(time.Second))
	}
	v, ok := x.d.board.Server(a.Server)
	if !ok {
		x.finished(schedule.Usage{}, schedule.FailedUnsent)
		x.call.target = target{server: a.Server}
		return x.call.sendFailed(verdict.New(verdict.NotRun, verdict.NoServer, "the assigned server has left"), true)
	}
	x.server = v
	x.d.metrics.Histogram("queue-wait", queueWaitBuckets).RecordDuration(x.d.clock() - queuedAt)
	x.logger.Info("call routed",
		zap.Int("call", s.Call), zap.Int("attempt", s.Attempt), zap.String("server", a.Server),
		zap.String("reason", a.Reason), zap.Int("alternatives", a.Alternatives),
		zap.Duration("queued", x.d.clock()-queuedAt))
	return x.call.assigned(target{server: v.Server, incarnation: v.Incarnation})
}

func (x *execution) submitFailed(callerCtx context.Context, err error) action {
	if callerCtx.Err() != nil {
		return x.call.refused(verdict.Cancelled, "the caller disconnected before the call was sent")
	}
	var v *verdict.Error
	if errors.As(err, &v) {
		return x.call.refused(v.Reason(), v.Message(), verdict.WithRetryAfter(v.RetryAfter()))
	}
	return x.call.timedOut(verdict.DeadlineExceeded)
}

func (x *execution) doMark(callCtx context.Context) action {
	ctx, cancel := context.WithTimeout(callCtx, ledgerTimeout)
	defer cancel()
	_, err := x.d.ledger.MarkSent(ctx, x.sendIntent(x.server))
	if err != nil {
		x.finished(schedule.Usage{}, schedule.FailedUnsent)
		return x.call.markFailed(err)
	}
	return x.call.markedSent()
}

// sendIntent returns the ledger command that commits the intent to send the
// call to a server.
func (x *execution) sendIntent(v membership.Server) ledger.MarkSent {
	s := x.call.state
	return ledger.MarkSent{
		Program:           s.Program,
		Call:              s.Call,
		Attempt:           s.Attempt,
		Server:            v.Server,
		ServerIncarnation: v.Incarnation,
		PreviousUnsent:    x.call.sends > 0 && !x.call.maybeSent,
		Request:           x.d.newRequestID(),
	}
}

// sendNumber returns the number of the current send. It is unique among the
// sends of the call on all hosts, since the ledger's attempt numbers are.
func (x *execution) sendNumber() int { return x.call.state.Attempt*sendsPerAttempt + x.call.sends }

func (x *execution) doSend(callCtx context.Context) action {
	ctx, cancel := context.WithDeadline(callCtx, x.deadline)
	defer cancel()
	x.d.metrics.Counter("sends").Inc(1)
	r, err := x.sender.send(ctx, x, send{server: x.server, assignment: x.assignment, number: x.sendNumber()})
	x.server, x.assignment = r.send.server, r.send.assignment
	if err == nil {
		x.finished(r.usage, schedule.Succeeded)
		x.result = r
		return x.call.succeeded(r.tokens, r.history, r.answer)
	}
	if ctx.Err() != nil {
		x.finished(r.usage, schedule.TimedOut)
		return x.call.timedOut(verdict.Timeout)
	}
	x.logger.Warn("send failed", zap.Int("call", x.call.state.Call), zap.String("server", x.server.Server),
		zap.Stringer("verdict", verdict.Of(err)), zap.Error(err))
	outcome := x.classifyFailure(callCtx, x.server, err)
	if outcome == schedule.Crashed {
		x.reportCrash(callCtx, x.server)
	}
	x.finished(r.usage, outcome)
	return x.call.sendFailed(err, x.d.queue.MayRetry(x.open.Team))
}

// finished reports the end of a send to the scheduler and ends the quarantine
// that the call holds on the server, if any.
func (x *execution) finished(u schedule.Usage, o schedule.Outcome) {
	x.d.queue.Finished(x.assignment.ID, x.assignment.Server, u, o)
	x.endQuarantine(context.Background())
}

func (x *execution) doSettle(callerCtx context.Context) action {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(callerCtx), settleTimeout)
	defer cancel()
	o := x.call.outcome
	o.Program = x.call.state.Program
	o.Call = x.call.state.Call
	o.Attempt = x.call.state.Attempt
	s, err := x.d.ledger.SettleCall(ctx, o)
	if err != nil {
		return x.call.settleFailed(err)
	}
	return x.call.settled(s)
}

// countOutcome counts a completed request by kind of call and outcome.
func (x *execution) countOutcome(outcome string) {
	x.d.metrics.Tagged(map[string]string{"kind": string(x.open.Kind), "outcome": outcome}).Counter("calls").Inc(1)
}

func (x *execution) logFailure() {
	x.logger.Info("call failed",
		zap.Int("call", x.call.state.Call), zap.Int("sends", x.call.sends),
		zap.Stringer("verdict", x.call.err.Verdict()), zap.String("reason", string(x.call.err.Reason())),
		zap.Error(x.call.err))
}
