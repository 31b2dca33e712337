package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// meter measures the responses to the requests of a run.
type meter struct {
	next     http.RoundTripper
	recorder *recorder
}

// streamTimes belongs to one model call, over all attempts.
type streamTimes struct {
	kind Kind
	due  time.Time // when the call was to be made
	last time.Time // of the last token; zero before the first
}

type streamTimesKey struct{}

func withStreamTimes(ctx context.Context, s *streamTimes) context.Context {
	return context.WithValue(ctx, streamTimesKey{}, s)
}

// RoundTrip counts the verdict of a response and times its stream.
func (m *meter) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := m.next.RoundTrip(r)
	if err != nil {
		m.recorder.response("connection-failed")
		return nil, err
	}
	if refusal := resp.Header.Get(verdict.HeaderVerdict); refusal != "" && resp.StatusCode >= http.StatusBadRequest {
		m.recorder.response(refusal)
		return resp, nil
	}
	m.recorder.response("answered")
	times, ok := r.Context().Value(streamTimesKey{}).(*streamTimes)
	if ok && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		resp.Body = &timedBody{ReadCloser: resp.Body, times: times, recorder: m.recorder}
	}
	return resp, nil
}

// timedBody records when the tokens of a stream are read.
type timedBody struct {
	io.ReadCloser
	times    *streamTimes
	recorder *recorder
	rest     []byte // the start of a line whose end has not been read
}

func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	now := time.Now()
	b.rest = append(b.rest, p[:n]...)
	for {
		line, rest, whole := bytes.Cut(b.rest, []byte("\n"))
		if !whole {
			return n, err
		}
		if bytes.HasPrefix(line, []byte("data:")) && bytes.Contains(line, []byte(`"content":`)) {
			b.recorder.token(b.times, now)
		}
		b.rest = append(b.rest[:0], rest...)
	}
}
