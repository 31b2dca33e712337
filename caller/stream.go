package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// stream writes an answer as server-sent events. It implements
// dispatch.Sink.
type stream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	now     func() time.Time
	timeout time.Duration

	head    chunkHead
	started bool
	bytes   int           // of answer text written
	digest  xxhash.Digest // of answer text written
	buf     []byte
	err     error // of the first failed write
}

func (p *api) newStream(w http.ResponseWriter, call dispatch.ModelCall) *stream {
	s := &stream{
		w:       w,
		control: http.NewResponseController(w),
		now:     p.now,
		timeout: p.writeTimeout,
		head:    newChunkHead(answerID(call), call.Model, p.now().Unix()),
	}
	s.digest.Reset()
	return s
}

func (p *api) answerStream(w http.ResponseWriter, r *request, b *modelBody, call dispatch.ModelCall) error {
	s := p.newStream(w, call)
	answer, err := p.dispatcher.Model(r.Context(), call, s)
	if err == nil {
		err = s.complete(answer, b.includeUsage)
	}
	if err == nil || !s.started {
		return err
	}
	s.fail(verdict.From(err).WithRequestID(r.id))
	return written{err}
}

// written is an error that the caller has already received.
type written struct{ error }

func (w written) Unwrap() error { return w.error }

// Token writes one token and flushes it.
func (s *stream) Token(t engine.Token) error {
	if t.Text == "" {
		return s.err
	}
	return s.text(t.Text)
}

func (s *stream) text(text string) error {
	s.bytes += len(text)
	_, _ = s.digest.WriteString(text)
	s.begin()
	s.buf = s.head.appendText(s.buf[:0], text, s.bytes == len(text))
	return s.flush()
}

// begin sends the headers of a stream.
func (s *stream) begin() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Accel-Buffering", "no")
	s.w.WriteHeader(http.StatusOK)
}

// complete writes what the caller has not received yet of a recorded or
// finished answer, and ends the stream.
func (s *stream) complete(answer dispatch.ModelAnswer, includeUsage bool) error {
	if !s.isPrefixOf(answer.Text) {
		return verdict.Newf(verdict.Ran, verdict.Internal, "the streamed text differs from the recorded answer of call %d", answer.Call)
	}
	if !s.started {
		setCall(s.w, answer.Call)
		s.head = newChunkHead(s.head.id, answer.Model, answer.Created)
	}
	if rest := answer.Text[s.bytes:]; rest != "" {
		if err := s.text(rest); err != nil {
			return err
		}
	}
	s.begin()
	s.buf = s.head.appendFinish(s.buf[:0], answer.FinishReason)
	if includeUsage {
		s.buf = s.head.appendUsage(s.buf, answer.Usage)
	}
	s.buf = append(s.buf, "data: [DONE]\n\n"...)
	return s.flush()
}

func (s *stream) isPrefixOf(text string) bool {
	return s.bytes <= len(text) && xxhash.Sum64String(text[:s.bytes]) == s.digest.Sum64()
}

// fail writes an error as the last event. The missing [DONE] tells the caller
// that the answer is not complete.
func (s *stream) fail(e *verdict.Error) {
	body, err := json.Marshal(e)
	if err != nil {
		return
	}
	s.buf = append(append(append(s.buf[:0], "data: "...), body...), "\n\n"...)
	_ = s.flush()
}

// flush sends the buffer. A caller that does not take it within the timeout
// counts as gone.
func (s *stream) flush() error {
	if s.err != nil {
		return s.err
	}
	// Recorders in tests have no deadlines, which does no harm.
	_ = s.control.SetWriteDeadline(s.now().Add(s.timeout))
	if _, err := s.w.Write(s.buf); err != nil {
		s.err = gone(err)
		return s.err
	}
	if err := s.control.Flush(); err != nil {
		s.err = gone(err)
	}
	return s.err
}

func gone(err error) error {
	return verdict.New(verdict.MayHaveRun, verdict.Cancelled, "the caller does not take the answer", verdict.WithCause(err))
}
