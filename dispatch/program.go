package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/schedule"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// OpenProgram admits a program and records it in the ledger. If an earlier
// request has opened it, its current state is returned. Errors carry a verdict.
func (d *Dispatcher) OpenProgram(ctx context.Context, c ledger.OpenProgram) (ledger.ProgramState, error) {
	if err := d.begin(true); err != nil {
		return ledger.ProgramState{}, err
	}
	defer d.running.Done()
	if err := d.checkLimits(c); err != nil {
		return ledger.ProgramState{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	// A sub-program is part of a program that is already admitted.
	if c.Parent == "" {
		if err := d.admit(ctx, c); err != nil {
			return ledger.ProgramState{}, err
		}
	}
	s, err := d.ledger.OpenProgram(ctx, c)
	if err != nil {
		d.queue.EndProgram(c.Program)
		return ledger.ProgramState{}, err
	}
	return s, nil
}

func (d *Dispatcher) checkLimits(c ledger.OpenProgram) error {
	limits, _ := d.board.Config().Team(c.Team)
	if limits.MaxTokens > 0 && c.Budget.Tokens > limits.MaxTokens {
		return verdict.Newf(verdict.NotRun, verdict.BadRequest,
			"budget.tokens: %d is more than the %d that team %s allows per program", c.Budget.Tokens, limits.MaxTokens, c.Team)
	}
	if limits.MaxCalls > 0 && c.Budget.Calls > limits.MaxCalls {
		return verdict.Newf(verdict.NotRun, verdict.BadRequest,
			"budget.calls: %d is more than the %d that team %s allows per program", c.Budget.Calls, limits.MaxCalls, c.Team)
	}
	return nil
}

// admit asks the scheduler for admission until it decides. A program
// that an earlier request has opened is accepted whatever the load.
func (d *Dispatcher) admit(ctx context.Context, c ledger.OpenProgram) error {
	p := schedule.Program{
		ID: c.Program, Team: c.Team, Class: schedulerClass(c.Class),
		Deadline: d.clock() + time.Until(time.UnixMilli(c.Deadline)),
	}
	a := d.queue.Admit(p)
	for !a.Admitted && a.Wait > 0 {
		if !pause.For(ctx, a.Wait) {
			d.queue.EndProgram(c.Program)
			return verdict.New(verdict.NotRun, verdict.Cancelled, "the request was cancelled or timed out before the program was admitted")
		}
		a = d.queue.Admit(p)
	}
	d.logger.Info("program admission", zap.String("program", c.Program), zap.String("team", c.Team),
		zap.String("class", string(c.Class)), zap.Bool("admitted", a.Admitted), zap.String("reason", a.Reason))
	if a.Admitted {
		return nil
	}
	v := verdict.NotRun
	_, err := d.ledger.Program(ctx, ledger.ProgramQuery{Program: c.Program, Team: c.Team})
	switch {
	case err == nil:
		return nil
	case verdict.From(err).Reason() != verdict.UnknownProgram:
		// An earlier request may have opened it.
		v = verdict.MayHaveRun
	}
	return verdict.New(v, verdict.Reason(a.Reason), "new programs are not admitted at present",
		verdict.WithRetryAfter(a.RetryAfter))
}

// EndProgram ends a program, even if the caller disconnects meanwhile.
func (d *Dispatcher) EndProgram(ctx context.Context, c ledger.EndProgram) (ledger.ProgramState, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ledgerTimeout)
	defer cancel()
	s, err := d.ledger.EndProgram(ctx, c)
	if err != nil {
		return ledger.ProgramState{}, err
	}
	d.queue.EndProgram(c.Program)
	d.historyCache.remove(c.Program)
	return s, nil
}

// Program returns a program's state from the ledger.
func (d *Dispatcher) Program(ctx context.Context, team, program string) (ledger.ProgramState, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	return d.ledger.Program(ctx, ledger.ProgramQuery{Program: program, Team: team})
}

// History returns up to limit messages of a program's history, starting at the
// index from. A limit of 0 means no limit.
func (d *Dispatcher) History(ctx context.Context, team, program string, from, limit int) ([]ledger.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	return d.ledger.History(ctx, ledger.HistoryQuery{Program: program, Team: team, From: from, Limit: limit})
}

func schedulerClass(c ledger.Class) schedule.Class {
	switch c {
	case ledger.Interactive:
		return schedule.Interactive
	case ledger.Batch:
		return schedule.Batch
	default:
		return schedule.Standard
	}
}

func schedulerServer(v membership.Server) schedule.Server {
	s := schedule.Server{
		ID: v.Server, Incarnation: v.Incarnation, DataCentre: v.DataCentre,
		Service: v.ServiceName, Slots: v.Slots, CacheTokens: v.CacheTokens, Leaving: v.Leaving,
	}
	for _, m := range v.Models {
		s.Models = append(s.Models, schedule.ServerModel{Name: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	return s
}

// schedulerSuspects converts suspects for the scheduler. The crashes of a
// request that was never alone on a crashed server count as one, since any of
// the requests in flight beside it may be the cause.
func schedulerSuspects(all []membership.Suspect) []schedule.Suspect {
	suspects := make([]schedule.Suspect, 0, len(all))
	for _, v := range all {
		f, err := strconv.ParseUint(v.Fingerprint, 16, 64)
		if err != nil {
			continue
		}
		n := v.Crashes
		if v.CrashesAlone == 0 {
			n = min(n, 1)
		}
		suspects = append(suspects, schedule.Suspect{Fingerprint: f, Crashes: n})
	}
	return suspects
}

func fingerprintText(f uint64) string { return strconv.FormatUint(f, 16) }

// promptFingerprint hashes a model and a prompt. It doesn't depend on the
// program or the idempotency key.
func promptFingerprint(model string, prompt []ledger.Message) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(model)
	for _, m := range prompt {
		// The separators keep different prompts from yielding the same bytes.
		_, _ = h.WriteString("\x00" + m.Role + "\x00" + m.Content)
	}
	return h.Sum64()
}

func bodyFingerprint(text string) uint64 { return xxhash.Sum64String(text) }
