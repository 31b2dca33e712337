package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/schedule"
	"github.com/sycamoreline/sycamoreline/sse"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

// discard reads up to maxDiscard bytes of an answer, for up to discardTimeout, so
// that the connection of a short one can be reused. It does not wait for the end
// of an answer whose connection cannot be reused.
func discard(resp *http.Response) {
	if !resp.Close {
		stop := backend.CloseIn(resp, discardTimeout)
		_, _ = io.CopyN(io.Discard, resp.Body, maxDiscard)
		if !stop() {
			backend.CloseAfter(resp)
		}
	}
	resp.Body.Close()
}

// serveBuffered serves a call whose answer is read completely before any of it
// is written to the caller.
func (r *execution) serveBuffered(ctx context.Context, w http.ResponseWriter) error {
	for {
		t, a, err := r.place(ctx)
		if err != nil {
			return r.placementFailed(err)
		}
		answer, err := r.attemptBuffered(ctx, t, a)
		if err != nil {
			if err := r.attemptFailed(ctx, t, err); err != nil {
				return err
			}
			continue
		}
		r.queue.Finished(t.id, t.server, schedule.Usage{}, schedule.Succeeded)
		r.writeAnswer(w, answer)
		r.answered(t, answer.status)
		return nil
	}
}

// bufferedAnswer is a server's complete answer.
type bufferedAnswer struct {
	status int
	header http.Header // header fields to forward
	body   []byte
}

func (r *execution) writeAnswer(w http.ResponseWriter, a bufferedAnswer) {
	maps.Copy(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		r.logger.Info("caller disconnected before its answer was written", zap.String("request", r.call.ID), zap.Error(err))
	}
}

// placementFailed returns the error of a call to which no server was assigned.
// Its verdict also covers the earlier attempts.
func (r *execution) placementFailed(err error) error {
	if !r.mayHaveRun {
		return err
	}
	return verdict.New(verdict.MayHaveRun, verdict.ServerFailed, "an earlier attempt may have run", verdict.WithCause(errors.Join(r.lastErr, err)))
}

// attemptBuffered makes one attempt of serveBuffered.
func (r *execution) attemptBuffered(ctx context.Context, t target, a schedule.Assignment) (bufferedAnswer, error) {
	if err := t.checkPresent(); err != nil {
		return bufferedAnswer{}, err
	}
	resp, err := r.send(ctx, t, a)
	if err != nil {
		return bufferedAnswer{}, err
	}
	defer resp.Body.Close()
	return r.readAnswer(ctx, t, resp)
}

func (r *execution) readAnswer(ctx context.Context, t target, resp *http.Response) (bufferedAnswer, error) {
	r.releaseAnswer()
	body, err := io.ReadAll(&answerReader{r, resp.Body})
	if err != nil {
		return bufferedAnswer{}, verdict.New(verdict.MayHaveRun, interruptionReason(ctx), "answer of server "+t.server+" could not be read completely", verdict.WithCause(err))
	}
	return bufferedAnswer{status: resp.StatusCode, header: r.protocol.ForwardedHeader(resp), body: body}, nil
}

// answerReader reads an answer and accounts for its memory.
type answerReader struct {
	execution *execution
	body      io.Reader
}

func (a *answerReader) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if err := a.execution.holdAnswer(n); err != nil {
		return 0, err
	}
	return n, err
}

// holdAnswer accounts for n more bytes of an answer that are kept in memory. It
// returns an error if they exceed a limit.
func (r *execution) holdAnswer(n int) error {
	if r.answerBytes+int64(n) > r.maxAnswerBytes {
		return fmt.Errorf("answer exceeds %d bytes", r.maxAnswerBytes)
	}
	if !r.answers.TryAcquire(int64(n)) {
		return errors.New("the answers of calls in progress exceed their memory limit")
	}
	r.answerBytes += int64(n)
	return nil
}

// releaseAnswer releases the memory of the last answer.
func (r *execution) releaseAnswer() {
	r.answers.Release(r.answerBytes)
	r.answerBytes = 0
}

// interruptionReason returns the reason for an interrupted answer.
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

// serveStream serves a call whose answer is forwarded event by event. Once the
// response has started, it is either completed or aborted, so that the caller
// can't mistake a partial answer for a complete one.
func (r *execution) serveStream(ctx context.Context, w http.ResponseWriter) error {
	r.lastEvent = r.call.LastEvent
	defer func() { r.release(r.takeNext()) }()
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
			r.aborted(ctx, r.call, r.events, err)
			r.settle()
			panic(http.ErrAbortHandler)
		}
		return err
	}
}

// attemptStream makes one attempt of serveStream.
func (r *execution) attemptStream(ctx context.Context, w http.ResponseWriter, t target, a schedule.Assignment) (err error) {
	// Also keeps the version of a server that is not known from being recorded.
	if err := t.checkPresent(); err != nil {
		return err
	}
	if fixed := r.stream.fixedVersion(); fixed != "" && t.softwareVersion != fixed {
		return verdict.Newf(verdict.NotRun, verdict.NoServer, "server %s now has software version %q: want %q", t.server, t.softwareVersion, fixed)
	}
	if err := r.recordOrigin(ctx, origin{t.service, t.softwareVersion}); err != nil {
		return err
	}
	ctx, idle := newIdleTimer(ctx, r.call.Route, r.mover(t))
	defer func() {
		p := idle.stop()
		if errors.Is(err, errIdle) {
			r.next = p
		} else {
			r.release(p)
		}
	}()
	resp, err := r.send(ctx, t, a)
	if err != nil {
		return idle.mapError(err)
	}
	defer resp.Body.Close()
	idle.reset()
	if resp.StatusCode != http.StatusOK {
		return idle.mapError(r.forwardFailure(ctx, w, t, resp))
	}
	if err := r.forwardEvents(ctx, w, t, resp, idle); err != nil {
		return idle.mapError(err)
	}
	r.queue.Finished(t.id, t.server, schedule.Usage{PromptTokens: r.call.PromptTokens, OutputTokens: int(r.events * r.tokensPerEvent)}, schedule.Succeeded)
	r.completedBy = t.server
	r.answered(t, resp.StatusCode)
	if r.call.Turn != nil && r.call.Route.KeepsHistory {
		if err := r.recordTurn(); err != nil {
			r.logger.Warn("turn not recorded", zap.String("request", r.call.ID), zap.Error(err))
			if !r.progress.started {
				return verdict.New(verdict.MayHaveRun, verdict.From(err).Reason(), "the turn could not be recorded", verdict.WithCause(err))
			}
			r.aborted(ctx, r.call, r.events, err)
			r.settle()
			panic(http.ErrAbortHandler)
		}
	}
	r.beginResponse(w, t, resp) // of a stream without events
	return nil
}

// beginResponse writes the head of the response, unless an earlier attempt has
// done so.
func (r *execution) beginResponse(w http.ResponseWriter, t target, resp *http.Response) {
	if r.progress.started {
		return
	}
	r.progress.started = true
	r.stream.begin(t.service, t.softwareVersion)
	maps.Copy(w.Header(), r.protocol.ForwardedHeader(resp))
	w.WriteHeader(resp.StatusCode)
}

// forwardFailure forwards a server's error response, unless the caller's
// response has already started.
func (r *execution) forwardFailure(ctx context.Context, w http.ResponseWriter, t target, resp *http.Response) error {
	answer, err := r.readAnswer(ctx, t, resp)
	if err != nil {
		return err
	}
	if r.progress.started {
		return verdict.Newf(verdict.MayHaveRun, verdict.ServerFailed, "server %s returned status %d for a resumed stream", t.server, resp.StatusCode)
	}
	r.queue.Finished(t.id, t.server, schedule.Usage{}, schedule.Rejected)
	r.writeAnswer(w, answer)
	r.answered(t, answer.status)
	return nil
}

// forwardEvents forwards the events of a server's response until it is complete.
// The caller's response begins with the first event: until then, a call that
// fails can get an error response.
func (r *execution) forwardEvents(ctx context.Context, w http.ResponseWriter, t target, resp *http.Response, idle *idleTimer) error {
	events := r.newEventSource(resp)
	defer events.close()
	out := streamWriter{
		execution: r, target: t, server: resp, w: w, flusher: http.NewResponseController(w), reporter: tokenReporter{queue: r.queue, clock: r.clock},
	}
	for {
		frames, err := events.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return verdict.New(verdict.MayHaveRun, interruptionReason(ctx), "stream of server "+t.server+" was interrupted", verdict.WithCause(err))
		}
		idle.reset()
		r.silence.heard()
		kept, keepErr := r.keepOutput(t, frames)
		idle.reset()
		for _, f := range frames[:kept] {
			if err := out.write(f); err != nil {
				return err
			}
		}
		if keepErr != nil {
			return keepErr
		}
	}
}

// keepOutput keeps the data of events if the turn is to be recorded, and records
// them first if another host may take up the turn. It returns the number of events
// that may be passed on, and an error if that is not all of them.
func (r *execution) keepOutput(t target, frames []sse.Frame) (int, error) {
	if !r.call.Route.KeepsHistory || r.call.Turn == nil {
		return len(frames), nil
	}
	fit := 0
	var err error
	for fit < len(frames) && err == nil {
		if err = r.holdAnswer(len(frames[fit].Data) + 1); err == nil {
			fit++
		}
	}
	if fit > 0 && r.call.recordsOutput() {
		if err := r.recordOutput(frames[:fit]); err != nil {
			return 0, err
		}
	}
	for _, f := range frames[:fit] {
		r.output = append(append(r.output, f.Data...), '\n')
	}
	if err != nil {
		return fit, verdict.New(verdict.MayHaveRun, verdict.ServerFailed, "stream of server "+t.server+" is too large", verdict.WithCause(err))
	}
	return fit, nil
}

// streamWriter writes the events of one server's response to the caller.
type streamWriter struct {
	*execution
	target   target
	server   *http.Response
	w        http.ResponseWriter
	flusher  *http.ResponseController
	reporter tokenReporter
}

// write passes one event on. Another attempt resumes after it, whether the caller
// receives it or not.
func (o *streamWriter) write(f sse.Frame) error {
	o.events++
	if f.ID != "" {
		o.lastEvent = f.ID
	}
	if o.events == 1 {
		o.timing.firstEvent = time.Since(o.call.Arrived)
	}
	o.reporter.observe(o.target, int(max(1, o.tokensPerEvent)))
	o.beginResponse(o.w, o.target, o.server)
	if _, err := o.w.Write(f.Raw); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.Cancelled, "the caller has disconnected", verdict.WithCause(err))
	}
	if err := o.flusher.Flush(); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.Cancelled, "the caller has disconnected", verdict.WithCause(err))
	}
	return nil
}
