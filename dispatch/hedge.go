package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/schedule"
)

// errSuperseded ends a stream whose call continues on the other stream.
var errSuperseded = errors.New("superseded by another stream of the call")

// reportInterval is the minimum time between two reports of a stream's tokens to
// the scheduler. It is well below the time without a token after which the
// scheduler counts a server as stalled.
const reportInterval = 100 * time.Millisecond

// hedgedStream streams a model call from one engine and, if the scheduler
// hedges it, from a second one that resumes the answer of the slow first one.
// Until the hedge returns its first new token, tokens of the first stream are
// buffered: two engines may continue an answer differently, so the caller must
// receive the rest from only one of them.
type hedgedStream struct {
	execution *execution
	sender    *modelSender
	ends      chan streamEnd

	mu           sync.Mutex
	active       int            // index of the stream that is forwarded to the caller
	buffering    bool           // whether the tokens of the first stream are buffered
	resumeOffset int            // number of tokens forwarded when the hedge started
	buffered     []engine.Token // tokens of the first stream since then
	streams      []*stream      // at most two; the second is the hedge
}

// stream is the state of one send and of its token stream.
type stream struct {
	send       send
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
func (h *hedgedStream) run(ctx context.Context, first send) (send, engine.Finish, error) {
	hedges := h.execution.d.queue.hedgeAssignments(first.assignment.ID)
	defer h.execution.d.queue.closeHedges(first.assignment.ID)
	if h.sender.call.received == 0 {
		h.sender.weights = h.sender.weightsOn(first.server)
	}
	h.start(ctx, first)
	for running := 1; ; {
		select {
		case hedge := <-hedges:
			if h.startHedge(ctx, hedge) {
				running++
			}
		case e := <-h.ends:
			running--
			if h.handleEnd(&e, running) {
				h.cancelOthers(ctx, e.index, running)
				return h.streams[e.index].send, e.finish, e.err
			}
			h.reportEnd(ctx, e)
		}
	}
}

func (h *hedgedStream) start(ctx context.Context, a send) {
	ctx, cancel := context.WithCancel(ctx)
	h.mu.Lock()
	index := len(h.streams)
	h.streams = append(h.streams, &stream{send: a, cancel: cancel})
	request := h.sender.engineCall(a)
	h.mu.Unlock()
	go func() {
		defer cancel()
		finish, err := h.sender.d.engines.Stream(ctx, a.server.Address, request, func(t engine.Token) error {
			return h.token(index, t)
		})
		h.ends <- streamEnd{index: index, finish: finish, err: err}
	}()
}

// startHedge starts the hedge and returns true, or returns false if that fails.
// The intent to send is committed first, so that the ledger has a release record
// for the cache of the hedge's engine.
func (h *hedgedStream) startHedge(ctx context.Context, hedge schedule.Assignment) bool {
	v, ok := h.execution.d.board.Server(hedge.Server)
	if ok = ok && h.mayHedgeOn(v); ok {
		_, err := h.execution.d.ledger.MarkSent(ctx, h.execution.sendIntent(v))
		ok = err == nil && h.startBuffering(v)
	}
	if !ok {
		h.execution.d.queue.Finished(hedge.ID, hedge.Server, schedule.Usage{}, schedule.FailedUnsent)
		return false
	}
	h.execution.d.metrics.Counter("hedges").Inc(1)
	h.execution.logger.Info("call hedged", zap.Int("call", hedge.ID.Call), zap.String("server", hedge.Server),
		zap.String("slow-server", h.streams[0].send.server.Server), zap.String("reason", hedge.Reason),
		zap.Int("alternatives", hedge.Alternatives))
	h.execution.call.sends++
	h.start(ctx, send{server: v, assignment: hedge, number: h.execution.sendNumber()})
	return true
}

func (h *hedgedStream) mayHedgeOn(v membership.Server) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sender.mayContinueOn(v)
}

// startBuffering starts to buffer the tokens of the first stream. It returns
// false if the hedge may not start, since the first stream has begun the answer
// with other weights in the meantime.
func (h *hedgedStream) startBuffering(v membership.Server) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.sender.mayContinueOn(v) {
		return false
	}
	h.buffering = true
	h.resumeOffset = h.sender.call.received
	return true
}

// switchToHedge makes the hedge the stream that is forwarded. The buffered tokens
// of the first stream are discarded.
func (h *hedgedStream) switchToHedge() {
	h.active, h.buffering, h.buffered = 1, false, nil
	if h.sender.call.received == 0 {
		h.sender.weights = h.sender.weightsOn(h.streams[h.active].send.server)
	}
}

// token handles a token of a stream: it is forwarded, buffered or dropped. An
// error ends the stream.
func (h *hedgedStream) token(index int, t engine.Token) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.streams[index]
	h.recordToken(s)
	switch {
	case index == h.active && h.buffering:
		h.buffered = append(h.buffered, t)
		return nil
	case index == h.active:
		return h.sender.accept(t)
	case h.buffering && t.Offset < h.resumeOffset:
		return nil
	case h.buffering:
		h.switchToHedge()
		h.streams[0].cancel()
		return h.sender.accept(t)
	default:
		return errSuperseded
	}
}

// recordToken counts a token and reports progress to the scheduler. Reports are
// spaced by time: if they were spaced by a number of tokens, a slow engine would
// look stalled between two reports.
func (h *hedgedStream) recordToken(s *stream) {
	s.tokens++
	id, server, now := s.send.assignment.ID, s.send.server.Server, h.execution.d.clock()
	if s.tokens == 1 {
		s.reported = now
		h.execution.d.queue.FirstToken(id, server)
		return
	}
	s.unreported++
	if now-s.reported >= reportInterval {
		h.execution.d.queue.Tokens(id, server, s.unreported)
		s.unreported, s.reported = 0, now
	}
}

// handleEnd handles the end of a stream. It returns true if the call ends with
// it; e.err is then the error of the call, or nil.
func (h *hedgedStream) handleEnd(e *streamEnd, running int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	isActive := e.index == h.active
	switch {
	case e.err == nil && isActive:
		e.err = h.flushBuffered()
		return true
	case isActive && h.buffering && running > 0:
		// The first stream failed.
		h.switchToHedge()
		return false
	case isActive:
		return true
	case e.err == nil && h.buffering:
		// The hedge ended without a token beyond those already forwarded.
		h.switchToHedge()
		return true
	case h.buffering:
		e.err = errors.Join(e.err, h.flushBuffered())
		return running == 0
	default:
		return running == 0
	}
}

// flushBuffered forwards the buffered tokens of the first stream.
func (h *hedgedStream) flushBuffered() error {
	buffered := h.buffered
	h.buffering, h.buffered = false, nil
	for _, t := range buffered {
		if err := h.sender.accept(t); err != nil {
			return err
		}
	}
	return nil
}

// cancelOthers cancels the other stream, if any, and waits until it has ended.
func (h *hedgedStream) cancelOthers(ctx context.Context, index, running int) {
	for i, s := range h.streams {
		if i != index {
			s.cancel()
		}
	}
	for range running {
		h.reportEnd(ctx, <-h.ends)
	}
}

// reportEnd reports to the scheduler the end of a stream that did not return the
// answer.
func (h *hedgedStream) reportEnd(ctx context.Context, e streamEnd) {
	s := h.streams[e.index]
	outcome := schedule.Superseded
	if e.err != nil && !errors.Is(e.err, errSuperseded) && !errors.Is(e.err, context.Canceled) {
		outcome = h.execution.classifyFailure(ctx, s.send.server, e.err)
		if outcome == schedule.Crashed {
			h.execution.reportCrash(ctx, s.send.server)
		}
	}
	h.execution.d.queue.Finished(s.send.assignment.ID, s.send.assignment.Server, schedule.Usage{OutputTokens: s.tokens}, outcome)
}
