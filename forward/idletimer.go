package forward

import (
	"context"
	"errors"
	"time"

	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// idleTimeoutFactor is the ratio of the idle timeout to the gap objective of
	// the route.
	idleTimeoutFactor = 4
	// minIdleTimeout is the minimum idle timeout. It keeps short pauses of a busy
	// server from ending a stream.
	minIdleTimeout = 1500 * time.Millisecond
)

// idleTimer cancels an attempt on a resumable stream whose server sends nothing
// within the idle timeout, so that another server can resume it before the
// caller's timeout.
type idleTimer struct {
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	timeout time.Duration
	ctx     context.Context
}

var errIdle = errors.New("idle timeout: the server sent nothing")

// newIdleTimer returns a context that is cancelled when the idle timeout
// expires. Streams that can't be resumed have none: they wait until the call's
// deadline.
func newIdleTimer(ctx context.Context, r *route.Route) (context.Context, *idleTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &idleTimer{cancel: cancel, ctx: ctx}
	if r.Resumable {
		t.timeout = max(minIdleTimeout, idleTimeoutFactor*r.GapObjective)
		t.timer = time.AfterFunc(t.timeout, func() { cancel(errIdle) })
	}
	return ctx, t
}

// reset restarts the idle timeout.
func (t *idleTimer) reset() {
	if t.timer != nil {
		t.timer.Reset(t.timeout)
	}
}

func (t *idleTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.cancel(nil)
}

// mapError returns a server-failed error for an attempt that the idle timeout has
// cancelled, whose own error looks like a cancellation by the caller. It returns
// other errors unchanged.
func (t *idleTimer) mapError(err error) error {
	if errors.Is(context.Cause(t.ctx), errIdle) {
		return verdict.New(verdict.From(err).Verdict(), verdict.ServerFailed, errIdle.Error(), verdict.WithCause(err))
	}
	return err
}
