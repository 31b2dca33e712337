package forward

import (
	"context"
	"errors"
	"fmt"
	"sync"
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
	// idleRecheckDivisor is the ratio of the idle timeout to the interval at which
	// an expired one is checked again.
	idleRecheckDivisor = 8
)

// idleTimer cancels an attempt on a stream whose server sends nothing within the
// idle timeout, if another server can resume the stream. Otherwise the attempt
// waits: a server may be silent for a while and go on.
type idleTimer struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timeout time.Duration
	mayMove func() bool

	mu       sync.Mutex
	activeAt time.Time // when the server last sent something
	timer    *time.Timer
}

var errIdle = errors.New("idle timeout")

// newIdleTimer returns a context that is cancelled when the idle timeout has
// expired and mayMove returns true. A nil mayMove stands for a stream that no
// other server may resume.
func newIdleTimer(ctx context.Context, r *route.Route, mayMove func() bool) (context.Context, *idleTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &idleTimer{
		ctx: ctx, cancel: cancel, timeout: max(minIdleTimeout, idleTimeoutFactor*r.GapObjective), mayMove: mayMove, activeAt: time.Now(),
	}
	if mayMove != nil {
		t.schedule(t.timeout)
	}
	return ctx, t
}

// schedule calls check after d, unless the attempt has ended.
func (t *idleTimer) schedule(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() == nil {
		t.timer = time.AfterFunc(d, t.check)
	}
}

func (t *idleTimer) check() {
	t.mu.Lock()
	idle := time.Since(t.activeAt)
	t.mu.Unlock()
	switch {
	case idle < t.timeout:
		t.schedule(t.timeout - idle)
	case t.mayMove():
		t.cancel(errIdle)
	default:
		t.schedule(t.timeout / idleRecheckDivisor)
	}
}

// reset restarts the idle timeout.
func (t *idleTimer) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.activeAt = time.Now()
}

func (t *idleTimer) stop() {
	t.cancel(nil)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
}

// mapError returns a server-failed error for an attempt that the idle timeout has
// cancelled, whose own error looks like a cancellation by the caller. It returns
// other errors unchanged.
func (t *idleTimer) mapError(err error) error {
	if errors.Is(context.Cause(t.ctx), errIdle) {
		return verdict.New(verdict.From(err).Verdict(), verdict.ServerFailed, "no data from the server", verdict.WithCause(fmt.Errorf("%w: %w", errIdle, err)))
	}
	return err
}
