package dispatch

import (
	"errors"

	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// maxSends bounds how often one attempt of a call is sent to backend servers.
const maxSends = 4

// action tells the driver what to do next.
type action uint8

const (
	// actOpen asks the ledger to grant the call.
	actOpen action = iota
	// actPoll waits a moment and asks the ledger for the call's record.
	actPoll
	// actTakeOver asks the ledger for the next attempt of a call whose host may
	// be gone.
	actTakeOver
	// actEnqueue waits in the scheduler's queue for a backend server.
	actEnqueue
	// actMark commits the intent to send.
	actMark
	// actSend sends the call to the assigned server.
	actSend
	// actSettle commits the outcome.
	actSettle
	// actReply answers the caller with the recorded answer.
	actReply
	// actFail answers the caller with an error.
	actFail
)

var actionNames = []string{"open", "poll", "take-over", "enqueue", "mark", "send", "settle", "reply", "fail"}

func (a action) String() string { return actionNames[a] }

// target is the backend server that a call is assigned to.
type target struct {
	server      string
	incarnation string
}

// call is the deterministic state machine of one call on one entry host. Each
// method takes an event and returns the driver's next action.
type call struct {
	kind        ledger.CallKind
	idempotent  bool
	host        string
	incarnation string

	sending   bool             // a send is under way
	state     ledger.CallState // as the ledger granted it
	target        target
	sends     int
	failed    []string // servers that failed a send of this attempt
	intents    map[target]bool
	maybeSent bool // a send may have reached a server

	received int    // tokens of the answer, without gaps
	text     []byte // their text

	outcome ledger.SettleCall
	err     *verdict.Error
}

func newCall(kind ledger.CallKind, idempotent bool, host, incarnation string) *call {
	return &call{
		kind:        kind,
		idempotent:  idempotent,
		host:        host,
		incarnation: incarnation,
		intents:      make(map[target]bool),
	}
}

// opened handles the ledger's answer to an open, poll or take-over.
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

// polled handles the record of a call that runs elsewhere. Its host may be
// gone, which the control hosts know and check.
func (c *call) polled(s ledger.CallState) action {
	if s.Status == ledger.CallRunning && !c.isOwn(s) {
		c.state = s
		return actTakeOver
	}
	s.Granted = false
	return c.opened(s)
}

// isOwn says whether this process runs the attempt, for another request with
// the same key.
func (c *call) isOwn(s ledger.CallState) bool {
	return s.Host == c.host && s.HostIncarnation == c.incarnation
}

// openFailed handles a refusal of the ledger or the loss of its answer.
func (c *call) openFailed(err error) action { return c.fail(verdict.From(err)) }

// takeOverFailed handles a refused take-over: the other host is alive.
func (c *call) takeOverFailed(err error) action {
	var v *verdict.Error
	if errors.As(err, &v) && (v.Reason() == verdict.CallInProgress || v.Reason() == verdict.StaleAttempt) {
		return actPoll
	}
	return c.fail(verdict.From(err))
}

// assigned handles the scheduler's choice. A send is preceded by a mark, unless
// the ledger has a release record of the program on the same incarnation and
// the call may be sent twice.
func (c *call) assigned(to target) action {
	c.target = to
	recorded := c.intents[to] || to == target{c.state.LastServer, c.state.LastIncarnation}
	if c.kind == ledger.ModelCall && recorded {
		return c.send()
	}
	return actMark
}

// refused handles a scheduler that gives up on the call.
func (c *call) refused(reason verdict.Reason, message string, opts ...verdict.Option) action {
	return c.giveUp(reason, message, opts...)
}

// markedSent handles the commit of the intent.
func (c *call) markedSent() action {
	c.intents[c.target] = true
	return c.send()
}

// markFailed handles a refused or unknown commit of the intent. Nothing has
// been sent in this send.
func (c *call) markFailed(err error) action {
	v := verdict.From(err)
	if v.Reason() == verdict.StaleAttempt {
		return c.fail(verdict.New(verdict.MayHaveRun, verdict.StaleAttempt,
			"another host has taken this call over", verdict.WithCause(err)))
	}
	return c.giveUp(v.Reason(), "intent could not be recorded", verdict.WithCause(err))
}

func (c *call) send() action {
	c.sending = true
	c.sends++
	return actSend
}

// token accepts the next token of the answer. It returns false for a token
// that the caller already has, and an error for a gap.
func (c *call) token(t engine.Token) (bool, error) {
	if t.Offset < c.received {
		return false, nil
	}
	if t.Offset > c.received {
		return false, verdict.Newf(verdict.MayHaveRun, verdict.ServerFailed,
			"token %d arrived where token %d was due", t.Offset, c.received)
	}
	c.received++
	c.text = append(c.text, t.Text...)
	return true, nil
}

// succeeded handles a whole answer.
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

// sendFailed handles a send that failed. mayRetry is the scheduler's word on the
// retry budgets.
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
	return c.giveUp(v.Reason(), v.Message(), verdict.WithRetryAfter(v.RetryAfter()))
}

// timedOut handles the call's timeout or deadline.
func (c *call) timedOut(reason verdict.Reason) action {
	if c.sending {
		c.maybeSent = true
	}
	return c.giveUp(reason, "call did not finish in time")
}

// giveUp settles the call with the verdict that the sends so far allow.
func (c *call) giveUp(reason verdict.Reason, message string, opts ...verdict.Option) action {
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
		// An attempt on another host, before this one, may have been sent.
		c.err = verdict.New(s.Verdict, c.err.Reason(), c.err.Message(), verdict.WithRetryAfter(c.err.RetryAfter()))
	}
	return actFail
}

// settleFailed handles an outcome that could not be recorded. The answer is
// withheld, since a resend might be given another one.
func (c *call) settleFailed(err error) action {
	v := verdict.From(err)
	if c.err != nil && c.err.Verdict() == verdict.NotRun && v.Reason() != verdict.StaleAttempt {
		// Nothing was sent, whether or not the record says so.
		return actFail
	}
	return c.fail(verdict.New(verdict.MayHaveRun, v.Reason(), "outcome could not be recorded", verdict.WithCause(err)))
}

func (c *call) fail(err *verdict.Error) action {
	c.err = err
	return actFail
}

// recordedError is the error that a resend of a failed call receives.
func recordedError(s ledger.CallState) *verdict.Error {
	reason := s.Reason
	switch s.Status {
	case ledger.CallUnknown:
		if reason == "" {
			reason = verdict.OutcomeUnknown
		}
		return verdict.New(verdict.MayHaveRun, reason, "the call was sent and its outcome is not known")
	case ledger.CallNotSent:
		return verdict.New(verdict.NotRun, reason, "the call was not sent")
	default:
		return verdict.New(s.Verdict, reason, "the call failed")
	}
}
