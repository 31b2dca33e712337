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

// errSuperseded ends a stream whose call goes on with another one.
var errSuperseded = errors.New("another stream of the call has taken over")

// reportInterval is the time between two reports of a stream's tokens to the
// scheduler. It is well below the silence that counts as slow.
const reportInterval = 100 * time.Millisecond

// hedgedStream streams a model call from one engine and, when the scheduler asks for
// it, from a second one that resumes where the first is slow. While the second
// is awaited, the tokens of the first are held back: two engines may word the
// rest of an answer differently, so the caller gets it from one of them.
type hedgedStream struct {
	execution    *execution
	sender    *modelSender
	ends chan streamEnd

	mu      sync.Mutex
	active   int // stream that the caller gets
	buffering bool
	resumeOffset    int // tokens that the caller had when the second stream began
	buffered    []engine.Token
	streams []*stream
}

// stream is one run of the call on an engine.
type stream struct {
	send    send
	cancel     context.CancelFunc
	tokens     int
	unreported int           // tokens since the last report to the scheduler
	reported   time.Duration // time of that report
}

type streamEnd struct {
	index  int
	finish engine.Finish
	err    error
}

// run returns when the call has an answer or no stream is left. The returned
// send is the one whose end the caller of run reports.
func (r *hedgedStream) run(ctx context.Context, a send) (send, engine.Finish, error) {
	hedges := r.execution.d.queue.hedgeAssignments(a.assignment.ID)
	defer r.execution.d.queue.closeHedges(a.assignment.ID)
	r.start(ctx, a)
	for running := 1; ; {
		select {
		case h := <-hedges:
			if r.startHedge(ctx, h) {
				running++
			}
		case e := <-r.ends:
			running--
			if r.isFinal(&e, running) {
				r.cancelOthers(ctx, e.index, running)
				return r.streams[e.index].send, e.finish, e.err
			}
			r.reportEnd(ctx, e)
		}
	}
}

func (r *hedgedStream) start(ctx context.Context, a send) {
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	index := len(r.streams)
	r.streams = append(r.streams, &stream{send: a, cancel: cancel})
	request := r.sender.engineCall(a)
	r.mu.Unlock()
	go func() {
		defer cancel()
		finish, err := r.sender.d.engines.Stream(ctx, a.server.Address, request, func(t engine.Token) error {
			return r.token(index, t)
		})
		r.ends <- streamEnd{index: index, finish: finish, err: err}
	}()
}

// startHedge begins the second stream. Its engine's memory is recorded first,
// as for any send.
func (r *hedgedStream) startHedge(ctx context.Context, h schedule.Assignment) bool {
	v, ok := r.execution.d.board.Server(h.Server)
	if ok {
		_, err := r.execution.d.ledger.MarkSent(ctx, r.execution.sendIntent(v))
		ok = err == nil
	}
	if !ok {
		r.execution.d.queue.Finished(h.ID, h.Server, schedule.Usage{}, schedule.FailedUnsent)
		return false
	}
	r.execution.d.metrics.Counter("hedges").Inc(1)
	r.execution.logger.Info("call hedged", zap.Int("call", h.ID.Call), zap.String("server", h.Server),
		zap.String("slow-server", r.streams[0].send.server.Server), zap.String("reason", h.Reason),
		zap.Int("alternatives", h.Alternatives))
	r.mu.Lock()
	r.buffering = true
	r.resumeOffset = r.sender.call.received
	r.mu.Unlock()
	r.execution.call.sends++
	r.start(ctx, send{server: v, assignment: h, number: r.execution.sendNumber()})
	return true
}

// token accepts, holds or refuses a token of a stream.
func (r *hedgedStream) token(index int, t engine.Token) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.streams[index]
	r.recordToken(s)
	switch {
	case index == r.active && r.buffering:
		r.buffered = append(r.buffered, t)
		return nil
	case index == r.active:
		return r.sender.accept(t)
	case r.buffering && t.Offset < r.resumeOffset:
		return nil
	case r.buffering:
		r.active, r.buffering, r.buffered = index, false, nil
		r.streams[0].cancel()
		return r.sender.accept(t)
	default:
		return errSuperseded
	}
}

// recordToken counts a token of a stream for the scheduler. Reports are apart by time
// and not by tokens, or a slow engine would look silent between two of them.
func (r *hedgedStream) recordToken(s *stream) {
	s.tokens++
	id, server, now := s.send.assignment.ID, s.send.server.Server, r.execution.d.clock()
	if s.tokens == 1 {
		s.reported = now
		r.execution.d.queue.FirstToken(id, server)
		return
	}
	s.unreported++
	if now-s.reported >= reportInterval {
		r.execution.d.queue.Tokens(id, server, s.unreported)
		s.unreported, s.reported = 0, now
	}
}

// isFinal decides what the end of a stream means for the call.
func (r *hedgedStream) isFinal(e *streamEnd, running int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isOwner := e.index == r.active
	switch {
	case e.err == nil && isOwner:
		e.err = r.flushBuffered()
		return true
	case isOwner && r.buffering && running > 0:
		// The first stream broke; what it had beyond the base is given up.
		r.active, r.buffering, r.buffered = 1, false, nil
		return false
	case isOwner:
		return true
	case e.err == nil && r.buffering:
		// The second stream had nothing to add to what the caller has.
		r.active, r.buffering, r.buffered = e.index, false, nil
		return true
	case r.buffering:
		e.err = errors.Join(e.err, r.flushBuffered())
		return running == 0
	default:
		return running == 0
	}
}

// flushBuffered passes on the tokens of the first stream, which has won.
func (r *hedgedStream) flushBuffered() error {
	held := r.buffered
	r.buffering, r.buffered = false, nil
	for _, t := range held {
		if err := r.sender.accept(t); err != nil {
			return err
		}
	}
	return nil
}

// cancelOthers ends the other stream and waits for it.
func (r *hedgedStream) cancelOthers(ctx context.Context, index, running int) {
	for i, s := range r.streams {
		if i != index {
			s.cancel()
		}
	}
	for range running {
		r.reportEnd(ctx, <-r.ends)
	}
}

// reportEnd tells the scheduler of a stream that did not give the answer.
func (r *hedgedStream) reportEnd(ctx context.Context, e streamEnd) {
	s := r.streams[e.index]
	end := schedule.Superseded
	if e.err != nil && !errors.Is(e.err, errSuperseded) && !errors.Is(e.err, context.Canceled) {
		end = r.execution.classifyFailure(ctx, s.send.server, e.err)
		if end == schedule.Crashed {
			r.execution.reportCrash(ctx, s.send.server)
		}
	}
	r.execution.d.queue.Finished(s.send.assignment.ID, s.send.assignment.Server, schedule.Usage{OutputTokens: s.tokens}, end)
}
