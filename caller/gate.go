package caller

import (
	"github.com/sycamoreline/sycamoreline/verdict"
)

// beginRequest calls the gate and adjusts the verdict of its error.
func (p *api) beginRequest(newProgram, firstSend bool) error {
	return adjustVerdict(p.gate.BeginRequest(newProgram), firstSend)
}

// adjustVerdict changes the verdict of a request to MayHaveRun if it was
// rejected before the ledger was consulted and is not the first send: an earlier
// request with the same key may have run.
func adjustVerdict(err error, firstSend bool) error {
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
