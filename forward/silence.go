package forward

import (
	"context"
	"errors"
	"time"

	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// idleTimeoutFactor is the multiple of a stream's allowed pause after which its
	// server is taken to have hung.
	idleTimeoutFactor = 4
	// minIdleTimeout keeps short pauses of a busy server from ending a stream.
	minIdleTimeout = 1500 * time.Millisecond
)

// idleTimer ends an attempt on a resumable stream whose server says nothing, so
// that another server can go on before the caller gives up.
type idleTimer struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
	limit  time.Duration
	ctx    context.Context
}

var errIdle = errors.New("the server has sent nothing for too long")

// newIdleTimer returns a context that ends with the silence. Streams that cannot
// be resumed wait for as long as their caller does.
func newIdleTimer(ctx context.Context, r *route.Route) (context.Context, *idleTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &idleTimer{cancel: cancel, ctx: ctx}
	if r.Resumable {
		s.limit = max(minIdleTimeout, idleTimeoutFactor*r.GapObjective)
		s.timer = time.AfterFunc(s.limit, func() { cancel(errIdle) })
	}
	return ctx, s
}

func (s *idleTimer) reset() {
	if s.timer != nil {
		s.timer.Reset(s.limit)
	}
}

func (s *idleTimer) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.cancel(nil)
}

// mapError replaces the error of an attempt that was ended for silence, which
// looks like one that the caller cancelled.
func (s *idleTimer) mapError(err error) error {
	if errors.Is(context.Cause(s.ctx), errIdle) {
		return verdict.New(verdict.From(err).Verdict(), verdict.ServerFailed, errIdle.Error(), verdict.WithCause(err))
	}
	return err
}
