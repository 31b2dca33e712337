package forward

import (
	"context"
	"errors"
	"time"

	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// silenceFactor is the ratio of the idle timeout to the gap objective of the
	// route.
	silenceFactor = 4
	// minSilence is the minimum idle timeout. It keeps short pauses of a busy
	// server from ending a stream.
	minSilence = 1500 * time.Millisecond
)

// silence cancels an attempt on a resumable stream whose server sends nothing
// for the idle timeout, so that another server can resume it before the caller's
// timeout.
type silence struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
	limit  time.Duration // idle timeout
	ctx    context.Context
}

var errSilent = errors.New("idle timeout: the server sent nothing")

// newSilence returns a context that is cancelled when the idle timeout expires.
// Streams that can't be resumed have none: they wait until the call's deadline.
func newSilence(ctx context.Context, r *route.Route) (context.Context, *silence) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &silence{cancel: cancel, ctx: ctx}
	if r.Resumable {
		s.limit = max(minSilence, silenceFactor*r.GapObjective)
		s.timer = time.AfterFunc(s.limit, func() { cancel(errSilent) })
	}
	return ctx, s
}

// heard restarts the idle timeout.
func (s *silence) heard() {
	if s.timer != nil {
		s.timer.Reset(s.limit)
	}
}

func (s *silence) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.cancel(nil)
}

// explain maps the error of an attempt that the idle timeout has cancelled, which
// otherwise looks like a cancellation by the caller.
func (s *silence) explain(err error) error {
	if errors.Is(context.Cause(s.ctx), errSilent) {
		return verdict.New(verdict.From(err).Verdict(), verdict.ServerFailed, errSilent.Error(), verdict.WithCause(err))
	}
	return err
}
