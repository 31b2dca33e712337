package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// blockingDispatcher sends one token and then blocks until release is closed
// or the call is cancelled.
type blockingDispatcher struct {
	fakeDispatcher
	release chan struct{}
	started sync.WaitGroup
	ended   chan error
}

func (d *blockingDispatcher) Model(ctx context.Context, _ dispatch.ModelCall, s dispatch.Sink) (dispatch.ModelAnswer, error) {
	if err := s.Token(engine.Token{Text: "first"}); err != nil {
		return dispatch.ModelAnswer{}, err
	}
	d.started.Done()
	select {
	case <-d.release:
		err := s.Token(engine.Token{Offset: 1, Text: " last"})
		d.ended <- err
		return dispatch.ModelAnswer{Call: 1, Text: "first last", Model: "m", FinishReason: "stop"}, err
	case <-ctx.Done():
		d.ended <- ctx.Err()
		return dispatch.ModelAnswer{}, ctx.Err()
	}
}

func newBlockingDispatcher(streams int) *blockingDispatcher {
	d := &blockingDispatcher{release: make(chan struct{}), ended: make(chan error, streams)}
	d.started.Add(streams)
	return d
}

// dialStream starts a streamed chat completion and returns its connection.
func dialStream(t testing.TB, address string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
	assert.NilError(t, err)
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer paws\r\nContent-Length: %d\r\n\r\n%s",
		len(streamRequest), streamRequest)
	assert.NilError(t, err)
	return c
}

// Guards against a call or goroutine that outlives its caller's connection,
// and against a disconnect that affects another caller's stream.
func TestCallerDisconnects(t *testing.T) {
	d := newBlockingDispatcher(2)
	server := httptest.NewServer(newTestAPI(d, WithClock(time.Now)))
	defer server.Close()
	address := server.Listener.Addr().String()
	leaving, staying := dialStream(t, address), dialStream(t, address)
	defer staying.Close()
	d.started.Wait()
	assert.NilError(t, leaving.Close())
	assert.Assert(t, errors.Is(<-d.ended, context.Canceled))

	close(d.release)
	assert.NilError(t, <-d.ended)
	r, err := http.ReadResponse(bufio.NewReader(staying), nil)
	assert.NilError(t, err)
	defer r.Body.Close()
	answer, err := readAnswer(r)
	assert.NilError(t, err)
	assert.Equal(t, answer.Text, "first last")
}

// Guards against an incomplete body that blocks its request forever, and
// against a not-run verdict for a key that may have been sent before.
func TestBodyThatNeverArrives(t *testing.T) {
	tests := []struct {
		name    string
		close   bool
		timeout time.Duration
		want    verdict.Reason
	}{
		{"slow", false, time.Millisecond, verdict.Timeout},
		{"cut short", true, time.Hour, verdict.BadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &fakeDispatcher{}
			server := httptest.NewServer(newTestAPI(d, WithClock(time.Now), WithBodyTimeout(tt.timeout)))
			defer server.Close()
			c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n"+
				"Authorization: Bearer paws\r\nContent-Length: 999\r\n\r\n{\"model\"")
			assert.NilError(t, err)
			if tt.close {
				assert.NilError(t, c.(*net.TCPConn).CloseWrite())
			}
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			defer r.Body.Close()
			assert.Equal(t, r.Header.Get(verdict.HeaderReason), string(tt.want))
			assert.Equal(t, r.Header.Get(verdict.HeaderVerdict), "may-have-run")
			assert.Equal(t, len(d.models), 0)
		})
	}
}

// Guards against request bodies that use up the host's memory, and against
// memory that stays reserved after the requests end.
func TestBodiesShareAMemoryLimit(t *testing.T) {
	d := newBlockingDispatcher(1)
	limit := int64(len(streamRequest) + 8)
	server := httptest.NewServer(newTestAPI(d, WithClock(time.Now), WithMaxBodyBytes(limit), WithMaxInFlightBytes(limit)))
	defer server.Close()
	first := dialStream(t, server.Listener.Addr().String())
	defer first.Close()
	d.started.Wait()
	w := serveRequest(server.Config.Handler, "POST", "/v1/chat/completions", chatRequest)
	assert.Equal(t, w.Header().Get(verdict.HeaderReason), "overloaded")
	assert.Equal(t, w.Header().Get(verdict.HeaderVerdict), "not-run")
	assert.Equal(t, w.Header().Get("Retry-After"), "1")

	close(d.release)
	r, err := http.ReadResponse(bufio.NewReader(first), nil)
	assert.NilError(t, err)
	defer r.Body.Close()
	_, err = readAnswer(r)
	assert.NilError(t, err)
	server.Close()
	w = serveRequest(server.Config.Handler, "POST", "/v1/programs", openRequest, keyHeader)
	assert.Equal(t, w.Code, 201, w.Body.String())
}

// Guards against a stream that blocks forever when its caller does not read.
func TestCallerThatDoesNotRead(t *testing.T) {
	d := &floodDispatcher{done: make(chan error, 1)}
	server := httptest.NewServer(newTestAPI(d, WithClock(time.Now), WithWriteTimeout(50*time.Millisecond)))
	defer server.Close()
	c := dialStream(t, server.Listener.Addr().String())
	defer c.Close()
	assert.Equal(t, verdict.From(<-d.done).Reason(), verdict.Cancelled)
}

// floodDispatcher sends tokens until the sink fails.
type floodDispatcher struct {
	fakeDispatcher
	done chan error
}

func (d *floodDispatcher) Model(_ context.Context, _ dispatch.ModelCall, s dispatch.Sink) (dispatch.ModelAnswer, error) {
	text := strings.Repeat("x", 64<<10)
	for {
		if err := s.Token(engine.Token{Text: text}); err != nil {
			d.done <- err
			return dispatch.ModelAnswer{}, err
		}
	}
}

// Guards against a client that gives up, or changes its key, when a stream
// breaks or a host temporarily rejects the request.
func TestClientResendsUnderTheSameKey(t *testing.T) {
	var keys []string
	answers := []http.HandlerFunc{
		func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "data: {\"choices\":[{\"delta\":{\"content\":\"size\"}}]}\n\n")
		},
		func(w http.ResponseWriter, _ *http.Request) {
			verdict.New(verdict.NotRun, verdict.Overloaded, "full", verdict.WithRetryAfter(time.Second)).Write(w)
		},
		func(w http.ResponseWriter, r *http.Request) {
			newTestAPI(&fakeDispatcher{answer: wholeAnswer()}).ServeHTTP(w, r)
		},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		keys = append(keys, r.Header.Get(HeaderKey))
		answers[len(keys)-1](w, r)
	}))
	defer server.Close()
	defer http.DefaultClient.CloseIdleConnections()
	var waits []time.Duration
	client := NewClient([]string{server.URL}, "paws", WithWait(func(_ context.Context, d time.Duration) error {
		waits = append(waits, d)
		return nil
	}))
	answer, err := client.Model(context.Background(), "p", "key-7", ModelStep{
		Model: "m", Messages: []ledger.Message{{Role: "user", Content: "hello"}},
	})
	assert.NilError(t, err)
	assert.Equal(t, answer.Text, wholeAnswer().Text)
	assert.DeepEqual(t, keys, []string{"key-7", "key-7", "key-7"})
	assert.DeepEqual(t, waits, []time.Duration{defaultResendDelay, time.Second})
}
