package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/schedule"
)

// errSuperseded ends a stream whose call continues on the other stream.
var errSuperseded = errors.New("superseded by another stream of the call")

// reportInterval is the minimum time between two reports of a stream's tokens to
// the scheduler. It is well below the pause after which the scheduler treats a
// server as slow.
const reportInterval = 100 * time.Millisecond

// race streams a model call from one engine and, if the scheduler hedges it,
// from a second one that resumes the answer of the slow first one. Until the
// hedge returns its first token, tokens of the first stream are buffered: two
// engines may continue an answer differently, so the caller must receive the
// rest from only one of them.
type race struct {
	x    *execution
	s    *modelSender
	ends chan streamEnd

	mu      sync.Mutex
	owner   int            // index of the stream that is forwarded to the caller
	holding bool           // tokens of the first stream are buffered
	base    int            // number of tokens forwarded when the hedge started
	held    []engine.Token // tokens of the first stream since then
	streams []*stream      // at most two; the second is the hedge
}

// stream is the stream of one send of the call.
type stream struct {
	attempt    attempt
	cancel     context.CancelFunc
	tokens     int
	unreported int           // tokens since the last report to the scheduler
	reported   time.Duration // time of the last report
}

type streamEnd struct {
	index  int
	finish engine.Finish
	err    error
}

// run returns when the call has an answer or no stream is left. The caller must
// report the end of the returned send; the ends of the others are reported here.
func (r *race) run(ctx context.Context, a attempt) (attempt, engine.Finish, error) {
	hedges := r.x.d.queue.hedgesOf(a.assignment.ID)
	defer r.x.d.queue.forgetHedges(a.assignment.ID)
	r.start(ctx, a)
	for running := 1; ; {
		select {
		case h := <-hedges:
			if r.startSecond(ctx, h) {
				running++
			}
		case e := <-r.ends:
			running--
			if r.isFinal(&e, running) {
				r.cancelOthers(ctx, e.index, running)
				return r.streams[e.index].attempt, e.finish, e.err
			}
			r.reportEnd(ctx, e)
		}
	}
}

func (r *race) start(ctx context.Context, a attempt) {
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	index := len(r.streams)
	r.streams = append(r.streams, &stream{attempt: a, cancel: cancel})
	request := r.s.engineCall(a)
	r.mu.Unlock()
	go func() {
		defer cancel()
		finish, err := r.s.d.engines.Stream(ctx, a.server.Address, request, func(t engine.Token) error {
			return r.token(index, t)
		})
		r.ends <- streamEnd{index: index, finish: finish, err: err}
	}()
}

// startSecond starts the hedge. As for any send, the intent is committed first,
// so that the cache of its engine gets a release record.
func (r *race) startSecond(ctx context.Context, h schedule.Assignment) bool {
	v, ok := r.x.d.board.Server(h.Server)
	if ok {
		_, err := r.x.d.ledger.MarkSent(ctx, r.x.markOf(v))
		ok = err == nil
	}
	if !ok {
		r.x.d.queue.Finished(h.ID, h.Server, schedule.Usage{}, schedule.FailedUnsent)
		return false
	}
	r.x.d.metrics.Counter("hedges").Inc(1)
	r.x.logger.Info("call hedged", zap.Int("call", h.ID.Call), zap.String("server", h.Server),
		zap.String("slow-server", r.streams[0].attempt.server.Server), zap.String("reason", h.Reason),
		zap.Int("alternatives", h.Alternatives))
	r.mu.Lock()
	r.holding = true
	r.base = r.s.call.received
	r.mu.Unlock()
	r.x.c.sends++
	r.start(ctx, attempt{server: v, assignment: h, number: r.x.sendNumber()})
	return true
}

// token handles a token of a stream: it is forwarded, buffered or dropped. An
// error ends the stream.
func (r *race) token(index int, t engine.Token) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.streams[index]
	r.note(s)
	switch {
	case index == r.owner && r.holding:
		r.held = append(r.held, t)
		return nil
	case index == r.owner:
		return r.s.accept(t)
	case r.holding && t.Offset < r.base:
		return nil
	case r.holding:
		r.owner, r.holding, r.held = index, false, nil
		r.streams[0].cancel()
		return r.s.accept(t)
	default:
		return errSuperseded
	}
}

// note counts a token and reports progress to the scheduler. Reports are spaced
// by time, not by a number of tokens, which would make a slow engine look stalled
// between two of them.
func (r *race) note(s *stream) {
	s.tokens++
	id, server, now := s.attempt.assignment.ID, s.attempt.server.Server, r.x.d.clock()
	if s.tokens == 1 {
		s.reported = now
		r.x.d.queue.FirstToken(id, server)
		return
	}
	s.unreported++
	if now-s.reported >= reportInterval {
		r.x.d.queue.Tokens(id, server, s.unreported)
		s.unreported, s.reported = 0, now
	}
}

// isFinal handles the end of a stream. It returns true if it is the end of the
// call, whose error is then that of e.
func (r *race) isFinal(e *streamEnd, running int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isOwner := e.index == r.owner
	switch {
	case e.err == nil && isOwner:
		e.err = r.releaseHeld()
		return true
	case isOwner && r.holding && running > 0:
		// The first stream failed; its buffered tokens are discarded.
		r.owner, r.holding, r.held = 1, false, nil
		return false
	case isOwner:
		return true
	case e.err == nil && r.holding:
		// The hedge ended without a token beyond those already forwarded.
		r.owner, r.holding, r.held = e.index, false, nil
		return true
	case r.holding:
		e.err = errors.Join(e.err, r.releaseHeld())
		return running == 0
	default:
		return running == 0
	}
}

// releaseHeld forwards the buffered tokens of the first stream.
func (r *race) releaseHeld() error {
	held := r.held
	r.holding, r.held = false, nil
	for _, t := range held {
		if err := r.s.accept(t); err != nil {
			return err
		}
	}
	return nil
}

// cancelOthers cancels the other stream, if any, and waits for its end.
func (r *race) cancelOthers(ctx context.Context, index, running int) {
	for i, s := range r.streams {
		if i != index {
			s.cancel()
		}
	}
	for range running {
		r.reportEnd(ctx, <-r.ends)
	}
}

// reportEnd reports the end of a stream that did not return the answer to the
// scheduler.
func (r *race) reportEnd(ctx context.Context, e streamEnd) {
	s := r.streams[e.index]
	end := schedule.Superseded
	if e.err != nil && !errors.Is(e.err, errSuperseded) && !errors.Is(e.err, context.Canceled) {
		end = r.x.endOf(ctx, s.attempt.server, e.err)
		if end == schedule.Crashed {
			r.x.reportCrash(ctx, s.attempt.server)
		}
	}
	r.x.d.queue.Finished(s.attempt.assignment.ID, s.attempt.assignment.Server, schedule.Usage{OutputTokens: s.tokens}, end)
}
