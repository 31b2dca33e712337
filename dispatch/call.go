package dispatch

import (
	"errors"

	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// maxSends is the number of sends of one attempt, hedges included, after which a
// failed send is not retried.
const maxSends = 4

// action is the step that the driver of a call performs next.
type action uint8

const (
	// actOpen opens the call in the ledger, which may grant an attempt.
	actOpen action = iota
	// actPoll waits for pollInterval and reads the call's record.
	actPoll
	// actTakeOver requests the next attempt of a call whose host may have failed.
	actTakeOver
	// actEnqueue queues the call until the scheduler assigns a backend server.
	actEnqueue
	// actMark commits the intent to send.
	actMark
	// actSend sends the call to the assigned server.
	actSend
	// actSettle commits the outcome.
	actSettle
	// actReply returns the recorded answer to the caller.
	actReply
	// actFail returns an error to the caller.
	actFail
)

var actionNames = []string{"open", "poll", "take-over", "enqueue", "mark", "send", "settle", "reply", "fail"}

func (a action) String() string { return actionNames[a] }

// target is an incarnation of a backend server that a call is assigned to.
type target struct {
	server      string
	incarnation string
}

// call is the deterministic state machine of one call on one entry host. Each
// event method updates the state and returns the driver's next action.
type call struct {
	kind        ledger.CallKind
	idempotent  bool
	host        string
	incarnation string

	sending   bool             // a send is in flight
	state     ledger.CallState // state that the last open, poll, take-over or settlement returned
	target    target
	sends     int
	failed    []string        // servers on which a send of this attempt has failed
	intents   map[target]bool // servers for which an intent to send is committed
	maybeSent bool            // a send may have reached a server

	received int    // number of answer tokens received, without gaps
	text     []byte // text of the received tokens

	outcome ledger.SettleCall
	err     *verdict.Error
}

func newCall(kind ledger.CallKind, idempotent bool, host, incarnation string) *call {
	return &call{
		kind:        kind,
		idempotent:  idempotent,
		host:        host,
		incarnation: incarnation,
		intents:     make(map[target]bool),
	}
}

// opened handles the ledger's response to an open, poll or take-over.
func (c *call) opened(s ledger.CallState) action {
	c.state = s
	switch {
	case s.Status == ledger.CallOK:
		return actReply
	case s.Status != ledger.CallRunning:
		return c.fail(recordedError(s))
	case s.Granted:
		c.maybeSent = s.EarlierSent
		return actEnqueue
	default:
		return actPoll
	}
}

// polled handles the record of a call that another request runs. Unless this
// process handles that request, each poll of a running call leads to a take-over,
// which the control hosts reject while the other host's lease is live.
func (c *call) polled(s ledger.CallState) action {
	if s.Status == ledger.CallRunning && !c.isOwn(s) {
		c.state = s
		return actTakeOver
	}
	s.Granted = false
	return c.opened(s)
}

// isOwn reports whether the running attempt belongs to this process, on behalf
// of another request with the same key.
func (c *call) isOwn(s ledger.CallState) bool {
	return s.Host == c.host && s.HostIncarnation == c.incarnation
}

// openFailed handles an open or poll that was rejected or whose response was
// lost.
func (c *call) openFailed(err error) action { return c.fail(verdict.From(err)) }

// takeOverFailed handles a failed take-over. If it was rejected because the
// other host is alive or another attempt has begun, polling continues.
func (c *call) takeOverFailed(err error) action {
	var v *verdict.Error
	if errors.As(err, &v) && (v.Reason() == verdict.CallInProgress || v.Reason() == verdict.StaleAttempt) {
		return actPoll
	}
	return c.fail(verdict.From(err))
}

// assigned handles the assignment of a server. An intent to send is committed
// first, unless the call is a model call, which may be sent twice, and the
// ledger already has a release record for the program on that server
// incarnation.
func (c *call) assigned(to target) action {
	c.target = to
	recorded := c.intents[to] || to == target{c.state.LastServer, c.state.LastIncarnation}
	if c.kind == ledger.ModelCall && recorded {
		return c.send()
	}
	return actMark
}

// refused handles a call that the scheduler rejects, that is withdrawn from the
// queue, or whose host's lease expires before the call is sent.
func (c *call) refused(reason verdict.Reason, message string, opts ...verdict.Option) action {
	return c.settleAsFailed(reason, message, opts...)
}

// markedSent handles the commit of the intent to send.
func (c *call) markedSent() action {
	c.intents[c.target] = true
	return c.send()
}

// markFailed handles an intent that was rejected or whose commit is uncertain.
// The call has not been sent to the assigned server.
func (c *call) markFailed(err error) action {
	v := verdict.From(err)
	if v.Reason() == verdict.StaleAttempt {
		return c.fail(verdict.New(verdict.MayHaveRun, verdict.StaleAttempt,
			"another host has taken over the call", verdict.WithCause(err)))
	}
	return c.settleAsFailed(v.Reason(), "the intent to send the call could not be recorded", verdict.WithCause(err))
}

func (c *call) send() action {
	c.sending = true
	c.sends++
	return actSend
}

// token adds a token to the answer. It returns false for a duplicate, which is
// ignored, and an error for a gap.
func (c *call) token(t engine.Token) (bool, error) {
	if t.Offset < c.received {
		return false, nil
	}
	if t.Offset > c.received {
		return false, verdict.Newf(verdict.MayHaveRun, verdict.ServerFailed,
			"received token %d, want token %d", t.Offset, c.received)
	}
	c.received++
	c.text = append(c.text, t.Text...)
	return true, nil
}

// succeeded handles a complete answer.
func (c *call) succeeded(tokens int64, history []ledger.Message, answer []byte) action {
	c.outcome = ledger.SettleCall{
		Status:  ledger.CallOK,
		Tokens:  tokens,
		Answer:  answer,
		History: history,
		Verdict: verdict.Ran,
	}
	return actSettle
}

// sendFailed handles a failed send. mayRetry reports whether the retry budgets
// allow another one.
func (c *call) sendFailed(err error, mayRetry bool) action {
	c.sending = false
	v := verdict.From(err)
	c.maybeSent = c.maybeSent || v.Verdict() != verdict.NotRun
	c.failed = append(c.failed, c.target.server)
	repeatable := c.kind == ledger.ModelCall || c.idempotent || !c.maybeSent
	permanent := v.Reason() == verdict.BadRequest || v.Reason() == verdict.UnknownModel
	if repeatable && !permanent && mayRetry && c.sends < maxSends {
		return actEnqueue
	}
	return c.settleAsFailed(v.Reason(), v.Message(), verdict.WithRetryAfter(v.RetryAfter()))
}

// timedOut handles an expired call timeout or program deadline.
func (c *call) timedOut(reason verdict.Reason) action {
	if c.sending {
		c.maybeSent = true
	}
	return c.settleAsFailed(reason, "call did not finish in time")
}

// settleAsFailed settles the call as failed. The verdict is not-run only if no
// send can have reached a server.
func (c *call) settleAsFailed(reason verdict.Reason, message string, opts ...verdict.Option) action {
	status, v := ledger.CallNotSent, verdict.NotRun
	if c.maybeSent {
		status, v = ledger.CallFailed, verdict.MayHaveRun
		if c.kind == ledger.ToolCall && !c.idempotent {
			status = ledger.CallUnknown
		}
	}
	c.err = verdict.New(v, reason, message, opts...)
	c.outcome = ledger.SettleCall{
		Status:  status,
		Tokens:  int64(c.received),
		Verdict: v,
		Reason:  reason,
	}
	return actSettle
}

// settled handles the commit of the outcome.
func (c *call) settled(s ledger.CallState) action {
	c.state = s
	if c.err == nil {
		return actReply
	}
	if c.err.Verdict() == verdict.NotRun && s.Verdict != verdict.NotRun {
		// An earlier attempt on another host may have been sent.
		c.err = verdict.New(s.Verdict, c.err.Reason(), c.err.Message(), verdict.WithRetryAfter(c.err.RetryAfter()))
	}
	return actFail
}

// settleFailed handles an outcome that could not be recorded. The answer is not
// returned, since a resend could receive a different one.
func (c *call) settleFailed(err error) action {
	v := verdict.From(err)
	if c.err != nil && c.err.Verdict() == verdict.NotRun && v.Reason() != verdict.StaleAttempt {
		// No send has reached a server, whether or not this is recorded.
		return actFail
	}
	return c.fail(verdict.New(verdict.MayHaveRun, v.Reason(), "the outcome of the call could not be recorded", verdict.WithCause(err)))
}

func (c *call) fail(err *verdict.Error) action {
	c.err = err
	return actFail
}

// recordedError returns the error for a resend of a call that has failed.
func recordedError(s ledger.CallState) *verdict.Error {
	reason := s.Reason
	switch s.Status {
	case ledger.CallUnknown:
		if reason == "" {
			reason = verdict.OutcomeUnknown
		}
		return verdict.New(verdict.MayHaveRun, reason, "the call was sent and its outcome is unknown")
	case ledger.CallNotSent:
		return verdict.New(verdict.NotRun, reason, "the call was not sent")
	default:
		return verdict.New(s.Verdict, reason, "the call failed")
	}
}
