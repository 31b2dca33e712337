package ledger

import (
	"slices"

	"github.com/sycamoreline/sycamoreline/verdict"
)

func (m *StateMachine) settleCall(c *SettleCall) Result {
	p, k, refusal := m.findAttempt(c.Program, c.Call, c.Attempt)
	if p == nil {
		return Result{Refusal: refusal}
	}
	if refusal != nil {
		if k.Attempt == c.Attempt && k.Status == c.Status {
			return Result{Call: p.callState(k)}
		}
		m.settleSuperseded(p, c)
		return Result{Refusal: refusal, Call: p.callState(k)}
	}
	k.Answer, k.Reason, k.Verdict = c.Answer, c.Reason, c.Verdict
	if c.Status == CallOK {
		p.History = append(append(p.History, p.Running.Messages...), c.History...)
	}
	m.finish(p, k, c.Status, c.Tokens)
	return Result{Call: p.callState(k)}
}

// finish records the outcome of the running attempt and charges its cost.
func (m *StateMachine) finish(p *program, k *call, status CallStatus, tokens int64) {
	r := p.Running
	if status == CallNotSent && r.EarlierSent {
		// This attempt was not sent, but an earlier one may have been.
		status = CallUnknown
	}
	k.Status = status
	spent := Budget{Tokens: tokens, Calls: r.ReservedCalls}
	switch status {
	case CallOK:
		k.Verdict = verdict.Ran
	case CallNotSent:
		k.Verdict = verdict.NotRun
		spent = Budget{}
	case CallUnknown:
		k.Verdict = verdict.MayHaveRun
	case CallFailed:
		if r.EarlierSent && k.Verdict == verdict.NotRun {
			k.Verdict = verdict.MayHaveRun
		}
	}
	k.Tokens = p.settle(Budget{Tokens: r.ReservedTokens, Calls: r.ReservedCalls}, spent).Tokens
	p.Running = nil
	m.touch(p)
}

// settleSuperseded releases the reservation of a superseded attempt and charges
// its reported cost.
func (m *StateMachine) settleSuperseded(p *program, c *SettleCall) {
	i := slices.IndexFunc(p.Superseded, func(s supersededAttempt) bool { return s.Call == c.Call && s.Attempt == c.Attempt })
	if i < 0 {
		return
	}
	tokens := c.Tokens
	if c.Status == CallNotSent {
		tokens = 0
	}
	p.settle(Budget{Tokens: p.Superseded[i].ReservedTokens}, Budget{Tokens: tokens})
	p.Superseded = slices.Delete(p.Superseded, i, i+1)
	m.update(p)
}

// takeOver applies a TakeOver. It does not check the lease of the attempt's host:
// the proposer must have checked that it has expired. Of several concurrent
// take-overs, the first to be applied succeeds, since the attempt number of the
// others is then stale.
func (m *StateMachine) takeOver(c *TakeOver) Result {
	p, k, refusal := m.findAttempt(c.Program, c.Call, c.Attempt)
	if p == nil {
		return Result{Refusal: refusal}
	}
	if k.Status != CallRunning {
		return Result{Call: p.callState(k)}
	}
	if refusal != nil {
		if k.Attempt == c.Attempt+1 && p.startedBy(k, c.Host, c.HostIncarnation, c.Request) {
			return grantResult(p, k)
		}
		return Result{Refusal: refusal, Call: p.callState(k)}
	}
	if k.Sent && !k.Idempotent {
		m.abandonCall(p, k, verdict.OutcomeUnknown)
		return Result{Call: p.callState(k)}
	}
	return m.startAttempt(p, k, c)
}

func (m *StateMachine) startAttempt(p *program, k *call, c *TakeOver) Result {
	r := p.Running
	unsent := k.provenUnsent()
	switch {
	case p.Status != ProgramOpen:
		return refuse(k.unsentVerdict(), verdict.ProgramEnded, "program %q is %s", p.ID, p.Status)
	case p.Deadline <= m.clock:
		return refuse(k.unsentVerdict(), verdict.DeadlineExceeded, "deadline of program %q has passed", p.ID)
	case !unsent && !p.canReserve(Budget{Tokens: r.ReservedTokens}):
		return refuse(k.unsentVerdict(), verdict.BudgetExceeded, "program %q has no budget for another attempt of %d tokens", p.ID, r.ReservedTokens)
	}
	if !unsent {
		p.Superseded = append(p.Superseded, supersededAttempt{Call: k.Number, Attempt: k.Attempt, ReservedTokens: r.ReservedTokens, ExpiresAt: r.ExpiresAt})
		p.reserve(Budget{Tokens: r.ReservedTokens})
		r.EarlierSent = true
	}
	k.Attempt++
	k.Host, k.HostIncarnation = c.Host, c.HostIncarnation
	k.Sent, k.Server, k.ServerIncarnation = false, "", ""
	r.Request = c.Request
	r.ExpiresAt = m.attemptExpiry(p, r.Timeout)
	m.touch(p)
	return grantResult(p, k)
}

// abandonCall finishes a call whose outcome will not be reported. Its whole
// reservation is charged, unless it provably was not sent.
func (m *StateMachine) abandonCall(p *program, k *call, reason verdict.Reason) {
	k.Reason = reason
	if k.provenUnsent() {
		m.finish(p, k, CallNotSent, 0)
		return
	}
	m.finish(p, k, CallUnknown, p.Running.ReservedTokens)
}
