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

// meteredTransport counts the responses of a run and times their streams.
type meteredTransport struct {
	next     http.RoundTripper
	recorder *recorder
}

// streamTimes holds the token times of one model call over all attempts.
type streamTimes struct {
	kind      Kind
	due       time.Time // scheduled time of the call
	lastToken time.Time // zero before the first token
}

type streamTimesKey struct{}

func withStreamTimes(ctx context.Context, s *streamTimes) context.Context {
	return context.WithValue(ctx, streamTimesKey{}, s)
}

// RoundTrip counts the outcome of a request and times its stream.
func (m *meteredTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := m.next.RoundTrip(r)
	if err != nil {
		m.recorder.countResponse("connection-failed")
		return nil, err
	}
	if outcome := resp.Header.Get(verdict.HeaderVerdict); outcome != "" && resp.StatusCode >= http.StatusBadRequest {
		m.recorder.countResponse(outcome)
		m.recorder.countReason(resp.Header.Get(verdict.HeaderReason))
		return resp, nil
	}
	m.recorder.countResponse("answered")
	times, ok := r.Context().Value(streamTimesKey{}).(*streamTimes)
	if ok && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		resp.Body = &timedBody{ReadCloser: resp.Body, times: times, recorder: m.recorder}
	}
	return resp, nil
}

// timedBody records the times at which tokens of a stream are read.
type timedBody struct {
	io.ReadCloser
	times       *streamTimes
	recorder    *recorder
	partialLine []byte // start of a line whose end has not been read yet
}

func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	now := time.Now()
	b.partialLine = append(b.partialLine, p[:n]...)
	for {
		line, rest, found := bytes.Cut(b.partialLine, []byte("\n"))
		if !found {
			return n, err
		}
		if bytes.HasPrefix(line, []byte("data:")) && bytes.Contains(line, []byte(`"content":`)) {
			b.recorder.recordToken(b.times, now)
		}
		b.partialLine = append(b.partialLine[:0], rest...)
	}
}
