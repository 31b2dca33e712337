package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// withdrawTimeout bounds the withdrawal of a call. If it expires, the call
// blocks its program until the call's own timeout.
const withdrawTimeout = time.Minute

// withdraw settles, in the background, a call whose grant may have been lost
// with the ledger's response: no host runs it, but it would block its program.
// It repeats the open request, to which the ledger returns the same response.
func (d *Dispatcher) withdraw(open ledger.OpenCall, logger *zap.Logger) {
	d.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
		defer cancel()
		stop := context.AfterFunc(d.stopping, cancel)
		defer stop()
		s, err := d.ledger.OpenCall(ctx, open)
		if err != nil || !s.Granted {
			return
		}
		_, err = d.ledger.SettleCall(ctx, ledger.SettleCall{
			Program: s.Program, Call: s.Call, Attempt: s.Attempt,
			Status: ledger.CallNotSent, Verdict: verdict.NotRun, Reason: verdict.ControlUnavailable,
		})
		logger.Info("call withdrawal finished", zap.Int("call", s.Call), zap.Error(err))
	})
}
