package caller

import (
	"github.com/sycamoreline/sycamoreline/verdict"
)

// beginRequest asks the gate to let a call in.
func (p *api) beginRequest(newProgram, firstSend bool) error {
	return refusalVerdict(p.gate.BeginRequest(newProgram), firstSend)
}

// refusalVerdict corrects the verdict of a refusal that did not consult the ledger.
// It says that this request was not run, but an earlier request under the
// same key may have been, unless this is the first.
func refusalVerdict(err error, firstSend bool) error {
	if err == nil || firstSend {
		return err
	}
	e := verdict.From(err)
	switch e.Reason() {
	case verdict.Draining, verdict.LeaseExpired, verdict.ControlUnavailable:
		return verdict.New(verdict.MayHaveRun, e.Reason(), e.Message(),
			verdict.WithRetryAfter(e.RetryAfter()), verdict.WithCause(e.Unwrap()))
	}
	return err
}
