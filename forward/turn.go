package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/cluster"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// reserve sets aside the tokens of a turn and fetches the conversation before
// it.
func (r *execution) reserve(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	t := r.call.Turn
	known := false
	if t.Previous != "" {
		r.conversation, known = r.chains.get(t.Previous)
	}
	reservation, err := r.turns.Reserve(ctx, cluster.TurnRequest{
		ReserveTurn: ledger.ReserveTurn{
			Program: r.call.Program, Turn: r.call.ID, Budget: t.Budget, MaxTokens: t.MaxTokens, Previous: t.Previous, Session: r.call.Session,
		},
		WantChain: t.Previous != "" && !known, Retention: r.call.Route.Retention,
	})
	if err != nil {
		v := verdict.From(err)
		r.reserved = v.Verdict() != verdict.NotRun
		if r.reserved {
			// Nothing was sent: what may have been set aside is given back.
			r.settle()
		}
		if v.Reason() == verdict.BudgetExceeded || v.Reason() == ledger.UnknownTurn {
			return v
		}
		return verdict.New(verdict.NotRun, verdict.ControlUnavailable, "the turn could not be recorded",
			verdict.WithCause(err), verdict.WithRetryAfter(recoveryRetryAfter()))
	}
	r.reserved = true
	r.timing.reserved = time.Since(r.call.Arrived)
	r.otherPartition = reservation.OtherPartition
	if t.Previous != "" && !known {
		r.conversation = r.chains.put(t.Previous, nil, reservation.Chain)
	}
	r.body = r.conversation.body(r.body)
	r.lastServer = reservation.LastServer
	return nil
}

// settle records what a turn has used, unless that was done with its end. Nobody
// waits for it: until then, the reservation counts.
func (r *execution) settle() {
	if !r.reserved || r.recorded {
		return
	}
	r.reserved = false
	t := ledger.SettleTurn{
		Program: r.call.Program, Turn: r.call.ID, Tokens: r.events * r.tokensPerEvent, Session: r.call.Session, Server: r.completedBy,
	}
	r.background.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, backgroundSettleTimeout)
		defer cancel()
		if err := r.turns.Settle(ctx, t); err != nil {
			r.logger.Warn("turn not settled; its reservation stays", zap.String("request", t.Turn), zap.String("program", t.Program), zap.Error(err))
		}
	})
}

// recordTurn records a whole turn for others to continue, before its caller learns
// that it is whole.
func (r *execution) recordTurn() error {
	ctx, cancel := context.WithTimeout(r.ctx, settleTimeout)
	defer cancel()
	k := ledger.KeptTurn{
		Previous: r.call.Turn.Previous, Input: r.call.Body, Output: r.output, Retention: r.call.Route.Retention.Milliseconds(),
	}
	if r.otherPartition {
		// The partition of this program has none of the turns before.
		k.Previous, k.Input = "", r.body
	}
	err := r.turns.Settle(ctx, ledger.SettleTurn{
		Program: r.call.Program, Turn: r.call.ID, Tokens: r.events * r.tokensPerEvent, Session: r.call.Session, Server: r.completedBy, Keep: &k,
	})
	if err == nil {
		r.recorded = true
		r.chains.put(r.call.ID, r.conversation, slices.Concat(r.call.Body, r.output))
	}
	return err
}

// recoveryRetryAfter spreads the return of callers over the time that the
// ledger takes to choose another leader.
func recoveryRetryAfter() time.Duration {
	return minRecoveryRetryAfter + rand.N(recoveryRetryAfterSpread)
}
