package ledger

import (
	"slices"

	"github.com/sycamoreline/sycamoreline/verdict"
)

func (m *Machine) settleCall(c *SettleCall) Result {
	p, k, refusal := m.findAttempt(c.Program, c.Call, c.Attempt)
	if p == nil {
		return Result{Refusal: refusal}
	}
	if refusal != nil {
		if k.Attempt == c.Attempt && k.Status == c.Status {
			return Result{Call: p.callState(k)}
		}
		m.settleLost(p, c)
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
func (m *Machine) finish(p *program, k *call, status CallStatus, tokens int64) {
	r := p.Running
	if status == CallNotSent && r.EarlierSent {
		// This attempt was not sent, but an earlier one may have been.
		status = CallUnknown
	}
	k.Status = status
	spent := Budget{Tokens: tokens, Calls: r.Calls}
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
	k.Tokens = p.settle(Budget{Tokens: r.Worst, Calls: r.Calls}, spent).Tokens
	p.Running = nil
	m.touch(p)
}

// settleLost releases the reservation of an attempt that was taken over and
// charges its reported cost.
func (m *Machine) settleLost(p *program, c *SettleCall) {
	i := slices.IndexFunc(p.Lost, func(l lost) bool { return l.Call == c.Call && l.Attempt == c.Attempt })
	if i < 0 {
		return
	}
	tokens := c.Tokens
	if c.Status == CallNotSent {
		tokens = 0
	}
	p.settle(Budget{Tokens: p.Lost[i].Worst}, Budget{Tokens: tokens})
	p.Lost = slices.Delete(p.Lost, i, i+1)
	m.update(p)
}

// takeOver does not check the lease of the attempt's host: the proposer must
// know that it has expired. Of several concurrent take-overs the first to be
// applied wins, since the attempt number of the others is then stale.
func (m *Machine) takeOver(c *TakeOver) Result {
	p, k, refusal := m.findAttempt(c.Program, c.Call, c.Attempt)
	if p == nil {
		return Result{Refusal: refusal}
	}
	if k.Status != CallRunning {
		return Result{Call: p.callState(k)}
	}
	if refusal != nil {
		if k.Attempt == c.Attempt+1 && p.owns(k, c.Host, c.HostIncarnation, c.Request) {
			return granted(p, k)
		}
		return Result{Refusal: refusal, Call: p.callState(k)}
	}
	if k.Sent && !k.Idempotent {
		m.lose(p, k, verdict.OutcomeUnknown)
		return Result{Call: p.callState(k)}
	}
	return m.startAttempt(p, k, c)
}

func (m *Machine) startAttempt(p *program, k *call, c *TakeOver) Result {
	r := p.Running
	proven := k.provenUnsent()
	switch {
	case p.Status != ProgramOpen:
		return refuse(k.unsentVerdict(), verdict.ProgramEnded, "program %q is %s", p.ID, p.Status)
	case p.Deadline <= m.clock:
		return refuse(k.unsentVerdict(), verdict.DeadlineExceeded, "deadline of program %q has passed", p.ID)
	case !proven && !p.affords(Budget{Tokens: r.Worst}):
		return refuse(k.unsentVerdict(), verdict.BudgetExceeded, "program %q has no budget for another attempt of %d tokens", p.ID, r.Worst)
	}
	if !proven {
		p.Lost = append(p.Lost, lost{Call: k.Number, Attempt: k.Attempt, Worst: r.Worst, Until: r.Until})
		p.reserve(Budget{Tokens: r.Worst})
		r.EarlierSent = true
	}
	k.Attempt++
	k.Host, k.HostIncarnation = c.Host, c.HostIncarnation
	k.Sent, k.Server, k.ServerIncarnation = false, "", ""
	r.Request = c.Request
	r.Until = m.boundOf(p, r.Timeout)
	m.touch(p)
	return granted(p, k)
}

// lose finishes a call whose outcome will not be reported. Unless it provably
// was not sent, its whole reservation is charged.
func (m *Machine) lose(p *program, k *call, reason verdict.Reason) {
	k.Reason = reason
	if k.provenUnsent() {
		m.finish(p, k, CallNotSent, 0)
		return
	}
	m.finish(p, k, CallUnknown, p.Running.Worst)
}
