package forward

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/schedule"
	"github.com/sycamoreline/sycamoreline/sse"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// discard reads a short answer to its end, so that its connection can be used
// again.
func discard(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscard)
	resp.Body.Close()
}

// serveWhole sends a call whose answer is passed on as one piece.
func (r *execution) serveWhole(ctx context.Context, w http.ResponseWriter) error {
	for {
		t, a, err := r.place(ctx)
		if err != nil {
			return r.placementFailed(err)
		}
		answer, err := r.attemptWhole(ctx, t, a)
		if err != nil {
			if err := r.attemptFailed(ctx, t, err); err != nil {
				return err
			}
			continue
		}
		r.queue.Finished(t.id, t.server, schedule.Usage{}, schedule.Succeeded)
		r.writeWhole(w, answer)
		r.answered(t, answer.status)
		return nil
	}
}

// wholeAnswer is a server's answer that has been read to its end.
type wholeAnswer struct {
	status int
	header http.Header // that the caller gets
	body   []byte
}

func (r *execution) writeWhole(w http.ResponseWriter, a wholeAnswer) {
	maps.Copy(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		r.logger.Info("caller left before its answer", zap.String("request", r.call.ID), zap.Error(err))
	}
}

// placementFailed turns the failure to find a server into the verdict on the call.
func (r *execution) placementFailed(err error) error {
	if r.progress.mayHaveRun == 0 {
		return err
	}
	return verdict.New(verdict.MayHaveRun, verdict.ServerFailed, "an earlier attempt may have run", verdict.WithCause(errors.Join(r.lastErr, err)))
}

// attemptWhole makes one attempt of a call that is answered as a whole.
func (r *execution) attemptWhole(ctx context.Context, t target, a schedule.Assignment) (wholeAnswer, error) {
	resp, err := r.send(ctx, t, a)
	if err != nil {
		return wholeAnswer{}, err
	}
	defer resp.Body.Close()
	return r.readWhole(ctx, t, resp)
}

func (r *execution) readWhole(ctx context.Context, t target, resp *http.Response) (wholeAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errors.New("answer of over " + strconv.Itoa(maxAnswerBytes) + " bytes")
	}
	if err != nil {
		return wholeAnswer{}, verdict.New(verdict.MayHaveRun, interruptionReason(ctx), "answer of "+t.server+" broke off", verdict.WithCause(err))
	}
	return wholeAnswer{status: resp.StatusCode, header: r.protocol.ForwardedHeader(resp), body: body}, nil
}

func interruptionReason(ctx context.Context) verdict.Reason {
	switch {
	case ctx.Err() == nil:
		return verdict.ServerFailed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.Timeout
	default:
		return verdict.Cancelled
	}
}

// serveStream sends a call whose answer is passed on event by event. Once it has
// begun, it either ends whole or is broken visibly.
func (r *execution) serveStream(ctx context.Context, w http.ResponseWriter) error {
	r.lastEvent = r.call.LastEvent
	for {
		t, a, err := r.place(ctx)
		if err == nil {
			err = r.attemptStream(ctx, w, t, a)
			if err == nil {
				return nil
			}
			err = r.attemptFailed(ctx, t, err)
			if err == nil {
				continue
			}
		} else {
			err = r.placementFailed(err)
		}
		if r.progress.started {
			r.metrics.broken(r.call)
			r.logger.Warn("stream broken off", zap.String("request", r.call.ID), zap.Int64("events", r.events), zap.Error(err))
			r.settle()
			panic(http.ErrAbortHandler)
		}
		return err
	}
}

// attemptStream makes one attempt of a stream.
func (r *execution) attemptStream(ctx context.Context, w http.ResponseWriter, t target, a schedule.Assignment) error {
	ctx, silence := newIdleTimer(ctx, r.call.Route)
	defer silence.stop()
	resp, err := r.send(ctx, t, a)
	if err != nil {
		return silence.mapError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r.forwardFailure(ctx, w, t, resp)
	}
	if !r.progress.started {
		r.progress.started = true
		maps.Copy(w.Header(), r.protocol.ForwardedHeader(resp))
		w.WriteHeader(resp.StatusCode)
	}
	if err := r.forwardEvents(ctx, w, t, resp, silence); err != nil {
		return silence.mapError(err)
	}
	r.queue.Finished(t.id, t.server, schedule.Usage{PromptTokens: r.call.PromptTokens, OutputTokens: int(r.events * r.tokensPerEvent)}, schedule.Succeeded)
	r.completedBy = t.server
	r.answered(t, resp.StatusCode)
	if r.call.Turn != nil && r.call.Route.KeepsHistory {
		if err := r.recordTurn(); err != nil {
			r.logger.Warn("turn not recorded; its stream is broken off", zap.String("request", r.call.ID), zap.Error(err))
			r.settle()
			panic(http.ErrAbortHandler)
		}
	}
	return nil
}

// forwardFailure passes a server's own failure on, unless the stream has begun.
func (r *execution) forwardFailure(ctx context.Context, w http.ResponseWriter, t target, resp *http.Response) error {
	answer, err := r.readWhole(ctx, t, resp)
	if err != nil {
		return err
	}
	if r.progress.started {
		return verdict.Newf(verdict.MayHaveRun, verdict.ServerFailed, "server %s answered %d to a resumed stream", t.server, resp.StatusCode)
	}
	r.queue.Finished(t.id, t.server, schedule.Usage{}, schedule.Rejected)
	r.writeWhole(w, answer)
	r.answered(t, answer.status)
	return nil
}

func (r *execution) forwardEvents(ctx context.Context, w http.ResponseWriter, t target, resp *http.Response, s *idleTimer) error {
	frames := sse.NewFrameReader(resp.Body, maxEventBytes)
	flusher := http.NewResponseController(w)
	pace := tokenReporter{queue: r.queue, clock: r.clock}
	for {
		f, err := frames.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return verdict.New(verdict.MayHaveRun, interruptionReason(ctx), "stream of "+t.server+" broke off", verdict.WithCause(err))
		}
		s.reset()
		r.events++
		if f.ID != "" {
			r.lastEvent = f.ID
		}
		if r.call.Route.KeepsHistory && r.call.Turn != nil {
			r.output = append(append(r.output, f.Data...), '\n')
		}
		if r.events == 1 {
			r.timing.firstEvent = time.Since(r.call.Arrived)
		}
		pace.observe(t, int(max(1, r.tokensPerEvent)))
		if _, err := w.Write(f.Raw); err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.Cancelled, "the caller has left", verdict.WithCause(err))
		}
		if err := flusher.Flush(); err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.Cancelled, "the caller has left", verdict.WithCause(err))
		}
	}
}
