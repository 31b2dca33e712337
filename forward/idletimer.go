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
// idle timeout, once a place on another server is held. Without one, the attempt
// waits: a server may be silent for a while and go on.
type idleTimer struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timeout time.Duration
	mover   mover

	mu       sync.Mutex
	activeAt time.Time // when the server last sent something
	timer    *time.Timer
	next     *placement // held for the next attempt
}

// mover finds a place on another server for a stream.
type mover interface {
	// acquire returns a place, or nil if there is none now.
	acquire(ctx context.Context) *placement
	release(p *placement)
}

var errIdle = errors.New("idle timeout")

// newIdleTimer returns a context that is cancelled when the idle timeout has
// expired and the stream has a place on another server. A nil mover stands for a
// stream that no other server may resume.
func newIdleTimer(ctx context.Context, r *route.Route, m mover) (context.Context, *idleTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &idleTimer{
		ctx: ctx, cancel: cancel, timeout: max(minIdleTimeout, idleTimeoutFactor*r.GapObjective), mover: m, activeAt: time.Now(),
	}
	if m != nil {
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

// remaining returns the time until the idle timeout expires.
func (t *idleTimer) remaining() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.timeout - time.Since(t.activeAt)
}

func (t *idleTimer) check() {
	if d := t.remaining(); d > 0 {
		t.schedule(d)
		return
	}
	p := t.mover.acquire(t.ctx)
	if p == nil {
		t.schedule(t.timeout / idleRecheckDivisor)
		return
	}
	if !t.give(p) {
		t.mover.release(p)
		t.schedule(t.timeout)
	}
}

// give ends the attempt in favour of the place. It returns false if the server
// has sent something meanwhile or the attempt has ended.
func (t *idleTimer) give(p *placement) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil || time.Since(t.activeAt) < t.timeout {
		return false
	}
	t.next = p
	t.cancel(errIdle)
	return true
}

// reset restarts the idle timeout.
func (t *idleTimer) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.activeAt = time.Now()
}

// stop ends the attempt and returns the place that is held for the next one, or
// nil.
func (t *idleTimer) stop() *placement {
	t.cancel(nil)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
	return t.next
}

// mapError returns a server-failed error for an attempt that the idle timeout has
// cancelled, whose own error looks like a cancellation by the caller. It returns
// other errors, and nil, unchanged.
func (t *idleTimer) mapError(err error) error {
	if err != nil && errors.Is(context.Cause(t.ctx), errIdle) {
		return verdict.New(verdict.From(err).Verdict(), verdict.ServerFailed, "no data from the server", verdict.WithCause(fmt.Errorf("%w: %w", errIdle, err)))
	}
	return err
}
