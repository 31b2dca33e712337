package ledger

import (
	"encoding/json"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// call is the record of a call. It is kept until the program is purged, so
// that a resend of the key gets the recorded result.
type call struct {
	Number            int             `json:"number"`
	Attempt           int             `json:"attempt"`
	Key               string          `json:"key"`
	Fingerprint       string          `json:"fingerprint"`
	Kind              CallKind        `json:"kind"`
	Name              string          `json:"name"`
	Idempotent        bool            `json:"idempotent,omitempty"`
	Status            CallStatus      `json:"status"`
	Sent              bool            `json:"sent,omitempty"`
	Host              string          `json:"host"`
	HostIncarnation   string          `json:"host-incarnation"`
	Server            string          `json:"server,omitempty"`
	ServerIncarnation string          `json:"server-incarnation,omitempty"`
	LastServer        string          `json:"last-server,omitempty"`
	LastIncarnation   string          `json:"last-incarnation,omitempty"`
	Tokens            int64           `json:"tokens,omitempty"`
	Answer            json.RawMessage `json:"answer,omitempty"`
	Verdict           verdict.Verdict `json:"verdict"`
	Reason            verdict.Reason  `json:"reason,omitempty"`
	HistoryLength     int             `json:"history-length,omitempty"`
	// OpenRequest and OpenIncarnation identify the proposal that opened the call,
	// by its request id and the incarnation of the proposing host.
	OpenRequest     string `json:"opened-by,omitempty"`
	OpenIncarnation string `json:"opened-on,omitempty"`
}

// runningCall is the state that exists only while a call is running. A program
// has at most one running call.
type runningCall struct {
	Call    int    `json:"call"`
	Request string `json:"request,omitempty"` // id of the proposal that started the attempt
	// SentRequest is the request id of the last mark-sent.
	SentRequest    string    `json:"sent-request,omitempty"`
	ReservedTokens int64     `json:"worst"`           // tokens reserved for the attempt
	ReservedCalls  int64     `json:"calls,omitempty"` // 0 if a call was already charged for the key
	ExpiresAt      int64     `json:"until"`           // when the attempt expires, Unix milliseconds
	Timeout        int64     `json:"timeout"`         // milliseconds
	Messages       []Message `json:"messages,omitempty"`
	// EarlierSent is set if an earlier attempt may have been sent.
	EarlierSent bool `json:"earlier-sent,omitempty"`
}

// supersededAttempt is an attempt that was replaced in a take-over. Its
// reservation is held until its cost is reported, or until the attempt expires
// and is charged in full.
type supersededAttempt struct {
	Call           int   `json:"call"`
	Attempt        int   `json:"attempt"`
	ReservedTokens int64 `json:"worst"`
	ExpiresAt      int64 `json:"until"`
}

func (m *StateMachine) openCall(c *OpenCall) Result {
	p := m.programs[c.Program]
	if p == nil || p.Team != c.Team {
		return Result{Refusal: m.unknownProgram(c.Program)}
	}
	earlierSent := false
	cost := Budget{Tokens: c.WorstCaseTokens, Calls: 1}
	if number, ok := p.keys[c.Key]; ok {
		old := p.Calls[number-1]
		if !p.mayRunAgain(old, c) {
			return p.resendResult(old, c)
		}
		if earlierSent = old.Verdict != verdict.NotRun; earlierSent {
			cost.Calls = 0 // a call was already charged for the key
		}
	}
	if refusal := m.checkOpenCall(p, cost); refusal != nil {
		if earlierSent {
			refusal.Verdict = verdict.MayHaveRun
		}
		return Result{Refusal: refusal, Call: p.runningState()}
	}
	p.reserve(cost)
	k := &call{
		Number: len(p.Calls) + 1, Attempt: 1, Key: c.Key, Fingerprint: c.Fingerprint,
		Kind: c.Kind, Name: c.Name, Idempotent: c.Idempotent, Status: CallRunning,
		Host: c.Host, HostIncarnation: c.HostIncarnation,
		LastServer: p.LastServer, LastIncarnation: p.LastIncarnation, HistoryLength: len(p.History),
		OpenRequest: c.Request, OpenIncarnation: c.HostIncarnation,
	}
	timeout := c.Timeout
	if timeout == 0 {
		timeout = m.options.callTimeout
	}
	p.Running = &runningCall{
		Call: k.Number, Request: c.Request, ReservedTokens: c.WorstCaseTokens, ReservedCalls: cost.Calls, Messages: c.Messages,
		EarlierSent: earlierSent, Timeout: timeout, ExpiresAt: m.attemptExpiry(p, timeout),
	}
	p.addCall(k)
	m.touch(p)
	return grantResult(p, k)
}

// attemptExpiry returns when an attempt that starts now expires. Its entry host
// cancels it at its timeout or at the program's deadline, whichever is first;
// the settle grace is the time left to report the outcome.
func (m *StateMachine) attemptExpiry(p *program, timeout int64) int64 {
	return min(m.clock+timeout, p.Deadline) + m.options.settleGrace
}

func (m *StateMachine) checkOpenCall(p *program, cost Budget) *Refusal {
	switch {
	case p.Purged:
		return p.purgedRefusal()
	case p.Status != ProgramOpen:
		return newRefusal(verdict.NotRun, verdict.ProgramEnded, "program %q is %s", p.ID, p.Status)
	case p.Deadline <= m.clock:
		return newRefusal(verdict.NotRun, verdict.DeadlineExceeded, "deadline of program %q has passed", p.ID)
	case p.Running != nil:
		return newRefusal(verdict.NotRun, verdict.CallInProgress, "call %d of program %q is running", p.Running.Call, p.ID)
	case !p.canReserve(cost):
		remaining := p.remaining()
		return newRefusal(verdict.NotRun, verdict.BudgetExceeded,
			"program %q has %d tokens and %d calls left: the call may need %d tokens",
			p.ID, remaining.Tokens, remaining.Calls, cost.Tokens)
	}
	return nil
}

// mayRunAgain reports whether a resend opens a new call: the record proves that
// the call was not sent, or the call is idempotent and has no answer. A
// delayed duplicate of the proposal that opened the old call must not open a
// new one, since its proposer no longer waits for the grant and would not run
// it.
func (p *program) mayRunAgain(k *call, c *OpenCall) bool {
	repeatable := k.Status == CallNotSent || k.Idempotent && (k.Status == CallFailed || k.Status == CallUnknown)
	return repeatable && k.Fingerprint == c.Fingerprint && !k.openedBy(c)
}

func (k *call) openedBy(c *OpenCall) bool {
	return k.OpenRequest == c.Request && k.OpenIncarnation == c.HostIncarnation
}

// resendResult returns the result for an open-call whose key already has a record.
func (p *program) resendResult(k *call, c *OpenCall) Result {
	if k.Fingerprint != c.Fingerprint {
		return refuse(verdict.NotRun, verdict.KeyReused, "key %q was used with another body", c.Key)
	}
	if p.startedBy(k, c.Host, c.HostIncarnation, c.Request) {
		return grantResult(p, k)
	}
	return Result{Call: p.callState(k)}
}

// startedBy reports whether request started the running attempt of k. Its
// proposer may not have received the first result, so it gets the grant again.
func (p *program) startedBy(k *call, host, incarnation, request string) bool {
	return k.Status == CallRunning && request != "" && p.Running.Request == request &&
		k.Host == host && k.HostIncarnation == incarnation
}

func (m *StateMachine) markSent(c *MarkSent) Result {
	p, k, refusal := m.findAttempt(c.Program, c.Call, c.Attempt)
	if refusal != nil {
		return Result{Refusal: refusal}
	}
	target := serverIncarnation{c.Server, c.ServerIncarnation}
	duplicate := k.Sent && k.Server == c.Server && k.ServerIncarnation == c.ServerIncarnation &&
		p.Running.SentRequest == c.Request
	switch {
	case duplicate:
		return Result{Call: p.callState(k)}
	case k.Sent && !k.Idempotent && !c.PreviousUnsent:
		return refuse(verdict.MayHaveRun, verdict.OutcomeUnknown,
			"call %d of program %q is not idempotent and was sent to server %q", k.Number, p.ID, k.Server)
	case p.Status != ProgramOpen:
		return refuse(k.unsentVerdict(), verdict.ProgramEnded, "program %q is %s", p.ID, p.Status)
	case p.Deadline <= m.clock:
		// After the deadline, a take-over of an unsent call is refused with the
		// verdict not-run, so the call must not be sent from then on.
		return refuse(k.unsentVerdict(), verdict.DeadlineExceeded, "deadline of program %q has passed", p.ID)
	case m.releases.isGone(target):
		return refuse(k.unsentVerdict(), verdict.NoServer, "server %q incarnation %q is gone", c.Server, c.ServerIncarnation)
	}
	k.Sent, k.Server, k.ServerIncarnation = true, c.Server, c.ServerIncarnation
	p.Running.SentRequest = c.Request
	if k.Kind == ModelCall {
		p.LastServer, p.LastIncarnation = c.Server, c.ServerIncarnation
		m.releases.addHeld(p, target)
	}
	m.touch(p)
	return Result{Call: p.callState(k)}
}

// provenUnsent reports whether the running attempt is known not to have been
// sent. Only non-idempotent calls must be marked before they are sent, so only
// for them does a missing mark prove it.
func (k *call) provenUnsent() bool { return !k.Idempotent && !k.Sent }

// unsentVerdict returns the verdict for a refusal to send the running call.
func (k *call) unsentVerdict() verdict.Verdict {
	if k.provenUnsent() {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// findAttempt returns a call and its program, with a refusal unless attempt is
// the call's running attempt. On a refusal the program is nil if the call does
// not exist.
func (m *StateMachine) findAttempt(id string, number, attempt int) (*program, *call, *Refusal) {
	p := m.programs[id]
	if p == nil {
		return nil, nil, m.unknownProgram(id)
	}
	if number > len(p.Calls) {
		return nil, nil, newRefusal(verdict.MayHaveRun, verdict.StaleAttempt, "program %q has no call %d", id, number)
	}
	k := p.Calls[number-1]
	if k.Status != CallRunning || k.Attempt != attempt {
		return p, k, newRefusal(verdict.MayHaveRun, verdict.StaleAttempt,
			"call %d of program %q is %s at attempt %d", number, id, k.Status, k.Attempt)
	}
	return p, k, nil
}

func (p *program) addCall(k *call) {
	p.Calls = append(p.Calls, k)
	p.CallCount = len(p.Calls)
	if p.keys == nil {
		p.keys = make(map[string]int)
	}
	p.keys[k.Key] = k.Number
}

func grantResult(p *program, k *call) Result {
	state := p.callState(k)
	state.Granted = true
	state.EarlierSent = p.Running.EarlierSent
	return Result{Call: state}
}

// runningState returns the state of the running call, or nil. An entry host
// that finds a running call of its own incarnation which it is not working on
// can settle it as not sent: a duplicate of its open-call was granted after it
// had stopped waiting.
func (p *program) runningState() *CallState {
	if p.Running == nil {
		return nil
	}
	return p.callState(p.Calls[p.Running.Call-1])
}

func (p *program) callState(k *call) *CallState {
	return &CallState{
		Program: p.ID, Call: k.Number, Attempt: k.Attempt, Kind: k.Kind, Name: k.Name,
		Idempotent: k.Idempotent, Status: k.Status, Sent: k.Sent, Host: k.Host,
		HostIncarnation: k.HostIncarnation, Server: k.Server, LastServer: k.LastServer, LastIncarnation: k.LastIncarnation,
		Tokens: k.Tokens, Answer: k.Answer, Verdict: k.Verdict, Reason: k.Reason,
		HistoryLength: k.HistoryLength, Class: p.Class, Deadline: p.Deadline,
		AttainedTokens: p.Spent.Tokens,
	}
}
