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

// pollInterval is the wait between two looks at a call that runs elsewhere.
const pollInterval = 100 * time.Millisecond

// queueWaitBuckets are the bounds of the histogram of waits for a server.
var queueWaitBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// sendsPerAttempt is more than an attempt ever has, hedges included.
const sendsPerAttempt = 100

// send is one send of a call to a backend server.
type send struct {
	server     membership.Server
	assignment schedule.Assignment
	number     int // differs for each send of the call, on any host
}

// sendResult is a whole answer of a backend server.
type sendResult struct {
	tokens  int64
	usage   schedule.Usage
	history []ledger.Message
	answer  []byte
	send      send // the run that gave the answer or the error
}

// sender sends one kind of call.
type sender interface {
	send(ctx context.Context, x *execution, a send) (sendResult, error)
}

// execution drives the state machine of one call.
type execution struct {
	d       *Dispatcher
	call       *call
	open    ledger.OpenCall
	request schedule.Request
	sender  sender
	deadline   time.Time // the call's timeout or the program's deadline
	logger  *zap.Logger

	assignment schedule.Assignment
	server     membership.Server
	result     sendResult
	quarantine *membership.Grant // held while a suspect is sent
	crashPropagated time.Time         // when every host knows of a crash under this call
}

// run carries the call to its end. When the caller goes away, a call that is
// still queued is withdrawn and a call that was sent is finished, so that a
// resend finds its answer.
func (x *execution) run(caller context.Context) (ledger.CallState, error) {
	work, cancel := context.WithDeadline(context.WithoutCancel(caller), x.deadline)
	defer cancel()
	next := actOpen
	for {
		switch next {
		case actOpen:
			next = x.doOpen(work)
		case actPoll:
			next = x.doPoll(caller, work)
		case actTakeOver:
			next = x.doTakeOver(work)
		case actEnqueue:
			next = x.doEnqueue(caller)
		case actMark:
			next = x.doMark(work)
		case actSend:
			next = x.doSend(work)
		case actSettle:
			next = x.doSettle(caller)
		case actReply:
			x.countOutcome("ok")
			return x.call.state, nil
		case actFail:
			x.logFailure()
			x.countOutcome(string(x.call.err.Reason()))
			x.awaitCrashPropagation(caller)
			return x.call.state, x.call.err
		}
	}
}

func (x *execution) doOpen(work context.Context) action {
	ctx, cancel := context.WithTimeout(work, ledgerTimeout)
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

// opened brings the call under the program's deadline, which the ledger knows.
func (x *execution) opened(s ledger.CallState) action {
	if deadline := time.UnixMilli(s.Deadline); s.Deadline > 0 && deadline.Before(x.deadline) {
		x.deadline = deadline
	}
	return x.call.opened(s)
}

func (x *execution) doPoll(caller, work context.Context) action {
	if !pause.For(caller, pollInterval) || work.Err() != nil {
		return x.call.openFailed(verdict.New(verdict.MayHaveRun, verdict.CallInProgress,
			"another attempt of this call is running", verdict.WithRetryAfter(time.Second)))
	}
	ctx, cancel := context.WithTimeout(work, ledgerTimeout)
	defer cancel()
	s, err := x.d.ledger.Call(ctx, ledger.CallQuery{Program: x.open.Program, Team: x.open.Team, Key: x.open.Key})
	if err != nil {
		return x.call.openFailed(err)
	}
	return x.call.polled(s)
}

func (x *execution) doTakeOver(work context.Context) action {
	ctx, cancel := context.WithTimeout(work, ledgerTimeout)
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

func (x *execution) doEnqueue(caller context.Context) action {
	ctx, cancel := context.WithDeadline(caller, x.deadline)
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
		return x.refused(caller, err)
	}
	x.assignment = a
	if !x.d.board.LeaseLive(x.d.clock()) {
		// What this host knows of the server may be out of date: it may be leaving.
		x.finished(schedule.Usage{}, schedule.FailedUnsent)
		return x.call.refused(verdict.LeaseExpired, "this entry host has lost the control hosts", verdict.WithRetryAfter(time.Second))
	}
	v, ok := x.d.board.Server(a.Server)
	if !ok {
		x.finished(schedule.Usage{}, schedule.FailedUnsent)
		x.call.target = target{server: a.Server}
		return x.call.sendFailed(verdict.New(verdict.NotRun, verdict.NoServer, "the chosen server has left"), true)
	}
	x.server = v
	x.d.metrics.Histogram("queue-wait", queueWaitBuckets).RecordDuration(x.d.clock() - queuedAt)
	x.logger.Info("call routed",
		zap.Int("call", s.Call), zap.Int("attempt", s.Attempt), zap.String("server", a.Server),
		zap.String("reason", a.Reason), zap.Int("alternatives", a.Alternatives),
		zap.Duration("queued", x.d.clock()-queuedAt))
	return x.call.assigned(target{server: v.Server, incarnation: v.Incarnation})
}

func (x *execution) refused(caller context.Context, err error) action {
	if caller.Err() != nil {
		return x.call.refused(verdict.Cancelled, "the caller went away before the call was sent")
	}
	var v *verdict.Error
	if errors.As(err, &v) {
		return x.call.refused(v.Reason(), v.Message(), verdict.WithRetryAfter(v.RetryAfter()))
	}
	return x.call.timedOut(verdict.DeadlineExceeded)
}

func (x *execution) doMark(work context.Context) action {
	ctx, cancel := context.WithTimeout(work, ledgerTimeout)
	defer cancel()
	_, err := x.d.ledger.MarkSent(ctx, x.sendIntent(x.server))
	if err != nil {
		x.finished(schedule.Usage{}, schedule.FailedUnsent)
		return x.call.markFailed(err)
	}
	return x.call.markedSent()
}

// sendIntent is the intent to send the call to a server.
func (x *execution) sendIntent(v membership.Server) ledger.MarkSent {
	s := x.call.state
	return ledger.MarkSent{
		Program:           s.Program,
		Call:              s.Call,
		Attempt:           s.Attempt,
		Server:            v.Server,
		ServerIncarnation: v.Incarnation,
		PreviousUnsent:    x.call.sends > 0 && !x.call.maybeSent,
		Request:           x.d.newRequest(),
	}
}

// sendNumber differs for each send of a call on any host, because the ledger's
// send number does.
func (x *execution) sendNumber() int { return x.call.state.Attempt*sendsPerAttempt + x.call.sends }

func (x *execution) doSend(work context.Context) action {
	ctx, cancel := context.WithDeadline(work, x.deadline)
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
	end := x.classifyFailure(work, x.server, err)
	if end == schedule.Crashed {
		x.reportCrash(work, x.server)
	}
	x.finished(r.usage, end)
	return x.call.sendFailed(err, x.d.queue.MayRetry(x.open.Team))
}

// finished reports the end of a run to the scheduler.
func (x *execution) finished(u schedule.Usage, e schedule.Outcome) {
	x.d.queue.Finished(x.assignment.ID, x.assignment.Server, u, e)
	x.endQuarantine(context.Background())
}

func (x *execution) doSettle(caller context.Context) action {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(caller), settleTimeout)
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

// countOutcome counts an answered request by kind and outcome.
func (x *execution) countOutcome(outcome string) {
	x.d.metrics.Tagged(map[string]string{"kind": string(x.open.Kind), "outcome": outcome}).Counter("calls").Inc(1)
}

func (x *execution) logFailure() {
	x.logger.Info("call failed",
		zap.Int("call", x.call.state.Call), zap.Int("sends", x.call.sends),
		zap.Stringer("verdict", x.call.err.Verdict()), zap.String("reason", string(x.call.err.Reason())),
		zap.Error(x.call.err))
}
