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

// stream writes an answer as server-sent events. It implements dispatch.Sink.
type stream struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	now          func() time.Time
	writeTimeout time.Duration

	prefix     chunkPrefix
	started    bool
	textBytes  int           // length of the answer text written so far
	textDigest xxhash.Digest // hash of the answer text written so far
	buf        []byte
	writeErr   error // first write error
}

func (p *api) newStream(w http.ResponseWriter, call dispatch.ModelCall) *stream {
	s := &stream{
		w:            w,
		controller:   http.NewResponseController(w),
		now:          p.now,
		writeTimeout: p.writeTimeout,
		prefix:       newChunkPrefix(answerID(call), call.Model, p.now().Unix()),
	}
	s.textDigest.Reset()
	return s
}

func (p *api) answerStream(w http.ResponseWriter, r *request, b *modelBody, call dispatch.ModelCall) error {
	s := p.newStream(w, call)
	answer, err := p.dispatcher.Model(r.Context(), call, s)
	if err == nil {
		err = s.finish(answer, b.includeUsage)
	}
	if err == nil || !s.started {
		return err
	}
	s.writeError(verdict.From(err).WithRequestID(r.id))
	return writtenError{err}
}

// writtenError is an error that has already been sent to the caller.
type writtenError struct{ error }

func (w writtenError) Unwrap() error { return w.error }

// Token writes the text of one token as an event and flushes it.
func (s *stream) Token(t engine.Token) error {
	if t.Text == "" {
		return s.writeErr
	}
	return s.writeText(t.Text)
}

func (s *stream) writeText(text string) error {
	s.textBytes += len(text)
	_, _ = s.textDigest.WriteString(text)
	s.writeHeader()
	s.buf = s.prefix.appendText(s.buf[:0], text, s.textBytes == len(text))
	return s.flush()
}

// writeHeader sends the headers of the response once.
func (s *stream) writeHeader() {
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

// finish writes the part of the answer that has not been streamed yet, and
// ends the stream. It fails if the answer does not begin with the streamed
// text.
func (s *stream) finish(answer dispatch.ModelAnswer, includeUsage bool) error {
	if !s.wrotePrefixOf(answer.Text) {
		return verdict.Newf(verdict.Ran, verdict.Internal, "the streamed text differs from the recorded answer of call %d", answer.Call)
	}
	if !s.started {
		setCallHeader(s.w, answer.Call)
		s.prefix = newChunkPrefix(s.prefix.id, answer.Model, answer.Created)
	}
	if rest := answer.Text[s.textBytes:]; rest != "" {
		if err := s.writeText(rest); err != nil {
			return err
		}
	}
	s.writeHeader()
	s.buf = s.prefix.appendFinish(s.buf[:0], answer.FinishReason)
	if includeUsage {
		s.buf = s.prefix.appendUsage(s.buf, answer.Usage)
	}
	s.buf = append(s.buf, "data: [DONE]\n\n"...)
	return s.flush()
}

func (s *stream) wrotePrefixOf(text string) bool {
	return s.textBytes <= len(text) && xxhash.Sum64String(text[:s.textBytes]) == s.textDigest.Sum64()
}

// writeError writes an error as the last event. The caller recognises the
// answer as incomplete by the missing [DONE].
func (s *stream) writeError(e *verdict.Error) {
	body, err := json.Marshal(e)
	if err != nil {
		return
	}
	s.buf = append(append(append(s.buf[:0], "data: "...), body...), "\n\n"...)
	_ = s.flush()
}

// flush sends the buffer. A caller that does not accept it within the write
// timeout is treated as disconnected.
func (s *stream) flush() error {
	if s.writeErr != nil {
		return s.writeErr
	}
	// Only the response writers of tests do not support this; they need no deadline.
	_ = s.controller.SetWriteDeadline(s.now().Add(s.writeTimeout))
	if _, err := s.w.Write(s.buf); err != nil {
		s.writeErr = writeFailed(err)
		return s.writeErr
	}
	if err := s.controller.Flush(); err != nil {
		s.writeErr = writeFailed(err)
	}
	return s.writeErr
}

func writeFailed(err error) error {
	return verdict.New(verdict.MayHaveRun, verdict.Cancelled, "writing to the caller failed", verdict.WithCause(err))
}
