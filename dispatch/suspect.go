package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/schedule"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// crashReportTimeout bounds a crash report, which delays the retry of the
	// call, and the request that ends a quarantine.
	crashReportTimeout = 2 * time.Second
	// probeTimeout bounds the probe of a server that may have crashed.
	probeTimeout = time.Second
	// quarantineRetryInterval is the wait before a suspect is queued again after the
	// quarantine of its assigned server was not granted.
	quarantineRetryInterval = 100 * time.Millisecond
)

// CrashRegistry records suspects, which are requests that were in flight on a
// server when it crashed, and grants quarantines. A suspect runs only on a
// server under quarantine, which one host at a time can hold. Since two suspects
// never share a server, a second crash identifies the suspect on that server as
// the cause.
type CrashRegistry interface {
	ReportCrash(ctx context.Context, c membership.ReportCrash) error
	Quarantine(ctx context.Context, host, incarnation, server string) (membership.Grant, error)
	EndQuarantine(ctx context.Context, g membership.Grant) error
}

// Prober reports whether a server incarnation is still running.
type Prober interface {
	Alive(ctx context.Context, v membership.Server) bool
}

// classifyFailure classifies a failed send for the scheduler. A server that
// interrupted an answer but is still running has not crashed.
func (x *execution) classifyFailure(callCtx context.Context, server membership.Server, err error) schedule.Outcome {
	v := verdict.From(err)
	switch {
	case v.Reason() != verdict.ServerFailed:
		return schedule.Rejected
	case v.Verdict() == verdict.NotRun:
		return schedule.Unreachable
	}
	ctx, cancel := context.WithTimeout(callCtx, probeTimeout)
	defer cancel()
	if x.d.prober.Alive(ctx, server) {
		return schedule.Rejected
	}
	return schedule.Crashed
}

// reportCrash reports to the other entry hosts that the call was in flight on a
// server that crashed. It must return before the call is retried.
func (x *execution) reportCrash(callCtx context.Context, server membership.Server) {
	ctx, cancel := context.WithTimeout(callCtx, crashReportTimeout)
	defer cancel()
	x.d.metrics.Counter("server-crashes").Inc(1)
	x.logger.Warn("server crashed", zap.String("server", server.Server), zap.Int("call", x.call.state.Call))
	err := x.d.crashes.ReportCrash(ctx, membership.ReportCrash{
		Server:            server.Server,
		ServerIncarnation: server.Incarnation,
		Fingerprints:      []string{fingerprintText(x.request.Fingerprint)},
	})
	if err != nil {
		x.logger.Warn("crash not reported", zap.String("server", server.Server), zap.Error(err))
	}
	x.crashPropagated = time.Now().Add(x.d.leaseTTL)
}

// awaitCrashPropagation delays the error of a request that was in flight during
// a crash until every entry host with a live lease has received the crash
// report. Otherwise, a resend could reach a host that doesn't treat it as a
// suspect.
func (x *execution) awaitCrashPropagation(callerCtx context.Context) {
	if wait := time.Until(x.crashPropagated); wait > 0 {
		pause.For(context.WithoutCancel(callerCtx), wait)
	}
}

// submit queues the request until a server is assigned and, if the request is a
// suspect, until this host holds the quarantine of that server.
func (x *execution) submit(ctx context.Context, r schedule.Request) (schedule.Assignment, error) {
	for {
		a, err := x.d.queue.Submit(ctx, r)
		if err != nil || a.Reason != schedule.ReasonSuspectAlone {
			return a, err
		}
		g, err := x.d.crashes.Quarantine(ctx, x.d.host, x.d.incarnation, a.Server)
		if err == nil && pause.For(ctx, time.Duration(g.Wait)*time.Millisecond) {
			x.quarantine = &g
			return a, nil
		}
		x.d.queue.Finished(a.ID, a.Server, schedule.Usage{}, schedule.CallerCancelled)
		if !pause.For(ctx, quarantineRetryInterval) {
			return schedule.Assignment{}, ctx.Err()
		}
	}
}

// endQuarantine releases the server for other suspects. If that fails, the
// quarantine ends with this host's lease.
func (x *execution) endQuarantine(callCtx context.Context) {
	if x.quarantine == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(callCtx), crashReportTimeout)
	defer cancel()
	if err := x.d.crashes.EndQuarantine(ctx, *x.quarantine); err != nil {
		x.logger.Warn("quarantine not ended", zap.String("server", x.server.Server), zap.Error(err))
	}
	x.quarantine = nil
}
