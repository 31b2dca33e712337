package forward

import (
	"context"
	"errors"
	"time"

	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// silenceFactor is the multiple of a stream's allowed pause after which its
	// server is taken to have hung.
	silenceFactor = 4
	// minSilence keeps short pauses of a busy server from ending a stream.
	minSilence = 1500 * time.Millisecond
)

// silence ends an attempt on a resumable stream whose server says nothing, so
// that another server can go on before the caller gives up.
type silence struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
	limit  time.Duration
	ctx    context.Context
}

var errSilent = errors.New("the server has sent nothing for too long")

// newSilence returns a context that ends with the silence. Streams that cannot
// be resumed wait for as long as their caller does.
func newSilence(ctx context.Context, r *route.Route) (context.Context, *silence) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &silence{cancel: cancel, ctx: ctx}
	if r.Resumable {
		s.limit = max(minSilence, silenceFactor*r.GapObjective)
		s.timer = time.AfterFunc(s.limit, func() { cancel(errSilent) })
	}
	return ctx, s
}

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

// explain replaces the error of an attempt that was ended for silence, which
// looks like one that the caller cancelled.
func (s *silence) explain(err error) error {
	if errors.Is(context.Cause(s.ctx), errSilent) {
		return verdict.New(verdict.From(err).Verdict(), verdict.ServerFailed, errSilent.Error(), verdict.WithCause(err))
	}
	return err
}
