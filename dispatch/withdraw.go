package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// withdrawTimeout bounds how long a lost answer is asked for. After it, the
// call blocks its program until its own timeout.
const withdrawTimeout = time.Minute

// withdraw settles a call that the ledger may have granted although the answer
// was lost. Nobody works on it, and it would block its program. It repeats the
// same request, which is answered as the lost one was.
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
		logger.Info("call withdrawn", zap.Int("call", s.Call), zap.Error(err))
	})
}
