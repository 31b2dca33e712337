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
	// crashReportTimeout bounds how long a crash holds up the retry.
	crashReportTimeout = 2 * time.Second
	// probeTimeout bounds the question whether a server has crashed.
	probeTimeout = time.Second
	// quarantineRetryInterval is the wait for a server that another host uses for a
	// suspect.
	quarantineRetryInterval = 100 * time.Millisecond
)

// Crashes records which requests were in flight on servers that crashed, and
// gives one host at a time the right to run such a request on a server. Two
// suspects never share a server, so a server that crashes under a suspect for
// the second time tells which request is the cause.
type Crashes interface {
	ReportCrash(ctx context.Context, c membership.ReportCrash) error
	Quarantine(ctx context.Context, host, incarnation, server string) (membership.Grant, error)
	EndQuarantine(ctx context.Context, g membership.Grant) error
}

// Prober says whether a server incarnation still runs.
type Prober interface {
	Alive(ctx context.Context, v membership.Server) bool
}

// classifyFailure tells the scheduler what a failed send says of the server. A server
// that still runs after it broke off an answer has not crashed.
func (x *execution) classifyFailure(work context.Context, server membership.Server, err error) schedule.Outcome {
	v := verdict.From(err)
	switch {
	case v.Reason() != verdict.ServerFailed:
		return schedule.Rejected
	case v.Verdict() == verdict.NotRun:
		return schedule.Unreachable
	}
	ctx, cancel := context.WithTimeout(work, probeTimeout)
	defer cancel()
	if x.d.prober.Alive(ctx, server) {
		return schedule.Rejected
	}
	return schedule.Crashed
}

// reportCrash tells the other entry hosts, before the call is tried again,
// that it was in flight on a server that crashed.
func (x *execution) reportCrash(work context.Context, server membership.Server) {
	ctx, cancel := context.WithTimeout(work, crashReportTimeout)
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

// awaitCrashPropagation holds the refusal of a request that crashed a server back
// until every entry host with a live lease knows of the crash. Otherwise its
// caller could send it again to a host that does not.
func (x *execution) awaitCrashPropagation(caller context.Context) {
	if wait := time.Until(x.crashPropagated); wait > 0 {
		pause.For(context.WithoutCancel(caller), wait)
	}
}

// submit waits for a server, and for the sole right to it if the request is a
// suspect.
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

// endQuarantine lets other suspects use the server. If it fails, the right
// ends with this host's lease.
func (x *execution) endQuarantine(work context.Context) {
	if x.quarantine == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(work), crashReportTimeout)
	defer cancel()
	if err := x.d.crashes.EndQuarantine(ctx, *x.quarantine); err != nil {
		x.logger.Warn("quarantine not ended", zap.String("server", x.server.Server), zap.Error(err))
	}
	x.quarantine = nil
}
