package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/cluster"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// reserve reserves the tokens of a turn, and fetches the conversation before it
// unless it is cached.
func (r *execution) reserve(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	t := r.call.Turn
	if r.call.Route.KeepsHistory && r.call.LastEvent != "" && r.call.takenUpAfter() == "" {
		// The turn would be kept without its beginning, as after a change of the route.
		return verdict.New(verdict.NotRun, UnknownStream, "the output before the event that the turn goes on after is not known")
	}
	expected := r.expectedOrigin()
	cached := false
	if t.Previous != "" {
		r.conversation, cached = r.chains.get(r.call.ledgerID(t.Previous))
	}
	reservation, err := r.turns.Reserve(ctx, cluster.TurnRequest{
		ReserveTurn: ledger.ReserveTurn{
			Program: r.call.ledgerID(r.call.Program), Turn: r.call.ledgerID(r.call.ID), Budget: t.Budget, MaxTokens: t.MaxTokens,
			Previous: r.call.ledgerID(t.Previous), Session: r.call.Session,
			StreamService: expected.service, StreamVersion: expected.version, StreamRetention: r.streamRetention().Milliseconds(), Resumes: r.call.ledgerID(r.call.Resumes),
			Continues: r.call.continues(), TokensPerEvent: r.uniformTokensPerEvent(), Retention: r.call.retention().Milliseconds(),
			LastEvent: r.call.takenUpAfter(),
		},
		WantChain: t.Previous != "" && !cached,
	})
	if err != nil {
		v := verdict.From(err)
		r.reserved = v.Verdict() != verdict.NotRun
		if r.reserved {
			// The call won't be sent: release the tokens that may be reserved.
			r.settle()
		}
		if slices.Contains(refusalsOfTurns, v.Reason()) {
			return r.call.inOwnIDs(v)
		}
		return verdict.New(verdict.NotRun, verdict.ControlUnavailable, "the tokens of the turn could not be reserved",
			verdict.WithCause(err), verdict.WithRetryAfter(recoveryRetryAfter()))
	}
	r.reserved = true
	r.timing.reserved = time.Since(r.call.Arrived)
	r.otherPartition = reservation.OtherPartition
	if t.Previous != "" && !cached {
		r.conversation = r.chains.put(r.call.ledgerID(t.Previous), nil, reservation.Chain)
	}
	r.body = r.conversation.body(r.body)
	if err := r.takeUpOutput(reservation); err != nil {
		r.settle()
		return err
	}
	r.lastServer = reservation.LastServer
	r.stream.recorded = expected
	if r.call.resumes() {
		if err := r.resumeAt(reservation.Resumed); err != nil {
			r.settle()
			return err
		}
	}
	return nil
}

// refusalsOfTurns are the reasons of the ledger for refusing a turn.
var refusalsOfTurns = []verdict.Reason{verdict.BudgetExceeded, verdict.Overloaded, ledger.UnknownTurn, UnknownStream, ledger.StreamTakenUp}

// continues reports whether the call asks for the rest of a stream only, after the
// last event that its caller has received.
func (c *Call) continues() bool {
	return c.Route.Kind == route.Stream && c.Route.Resumable && c.Resumes != "" && c.LastEvent != ""
}

// uniformTokensPerEvent returns the number of tokens in each event of the route's
// services, or 0 if it is not the same for all of them.
func (r *execution) uniformTokensPerEvent() int64 {
	uniform := int64(0)
	for i, t := range r.call.Route.Targets {
		x := r.view.service(t.Service)
		if x == nil || x.Engine == nil || i > 0 && x.Engine.TokensPerEvent != uniform {
			return 0
		}
		uniform = x.Engine.TokensPerEvent
	}
	return uniform
}

// settle settles the tokens of a turn in the background, unless recordTurn has
// already done so. Until it succeeds, the whole reservation counts as used.
func (r *execution) settle() {
	if !r.reserved || r.recorded {
		return
	}
	r.reserved = false
	t := ledger.SettleTurn{
		Program: r.call.ledgerID(r.call.Program), Turn: r.call.ledgerID(r.call.ID), Tokens: r.events * r.tokensPerEvent, Session: r.call.Session, Server: r.completedBy,
	}
	r.background.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, backgroundSettleTimeout)
		defer cancel()
		if err := r.turns.Settle(ctx, t); err != nil {
			r.logger.Warn("turn not settled; reservation remains", zap.String("request", r.call.ID), zap.String("program", r.call.Program), zap.Error(err))
		}
	})
}

// recordTurn settles a completed turn and records it, so that later turns on
// any host can continue it. It must succeed before the caller's response is
// completed.
func (r *execution) recordTurn() error {
	ctx, cancel := context.WithTimeout(r.ctx, settleTimeout)
	defer cancel()
	retention := r.call.retention()
	r.keptUntil = time.Now().Add(retention)
	kept := ledger.KeptTurn{
		Previous: r.call.ledgerID(r.call.Turn.Previous), Input: r.call.Body, Output: r.output, Retention: retention.Milliseconds(),
	}
	if r.otherPartition {
		// The partition of this program doesn't have the previous turns.
		kept.Previous, kept.Input = "", r.body
	}
	err := r.turns.Settle(ctx, ledger.SettleTurn{
		Program: r.call.ledgerID(r.call.Program), Turn: r.call.ledgerID(r.call.ID), Tokens: r.events * r.tokensPerEvent, Session: r.call.Session,
		Server: r.completedBy, Keep: &kept,
	})
	if err == nil {
		r.recorded = true
		r.chains.put(r.call.ledgerID(r.call.ID), r.conversation, slices.Concat(r.call.Body, r.output))
	}
	return err
}

// retention returns how long, from now on, the ledger keeps the turn and its
// conversation. Callers count the retention of the route from the end of the
// response, which a caller receives by its deadline or not at all.
func (c *Call) retention() time.Duration {
	rest := time.Until(c.Arrived.Add(c.callerTime))
	return c.Route.Retention + min(max(0, rest), maxResponseTime)
}

// extendLateTurn extends the retention of a recorded turn whose response has ended
// later than expected, as after a pause of this process. It must be called after
// the end of the response.
func (r *execution) extendLateTurn() {
	retention := r.call.Route.Retention
	late := time.Until(r.keptUntil) < retention
	if !r.recorded || !late {
		return
	}
	r.metrics.turnExtended()
	r.background.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, backgroundSettleTimeout)
		defer cancel()
		err := r.turns.Extend(ctx, r.call.ledgerID(r.call.Program), r.call.ledgerID(r.call.ID), retention)
		r.logger.Info("retention of turn extended", zap.String("request", r.call.ID), zap.String("program", r.call.Program),
			zap.Duration("after", time.Since(r.call.Arrived)), zap.Error(err))
	})
}

// recoveryRetryAfter returns a random retry-after that spreads retries over the
// time that the ledger takes to elect a leader.
func recoveryRetryAfter() time.Duration {
	return minRecoveryRetryAfter + rand.N(recoveryRetryAfterSpread)
}
