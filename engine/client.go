package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/sse"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	defaultMaxEventBytes = 1 << 20
	// drainTimeout bounds the wait for the end of the response after [DONE],
	// which allows the connection to be reused.
	drainTimeout  = 100 * time.Millisecond
	cancelTimeout = time.Second
)

// Client makes calls to model engines. It is safe for concurrent use.
type Client struct {
	transport     *http.Transport
	maxEventBytes int
	onDrop        func(Drop)
	cancellations sync.WaitGroup
}

// Option configures a Client.
type Option func(*Client)

// WithDial replaces TCP.
func WithDial(d backend.Dial) Option {
	return func(c *Client) { c.transport = backend.NewTransport(d) }
}

// WithMaxEventBytes bounds one event of a stream. The default is 1 MiB.
func WithMaxEventBytes(n int) Option {
	return func(c *Client) { c.maxEventBytes = n }
}

// WithDrops reports every event that was dropped from an answer. The function
// runs on the goroutine of the stream.
func WithDrops(report func(Drop)) Option {
	return func(c *Client) { c.onDrop = report }
}

// NewClient returns a client.
func NewClient(opts ...Option) *Client {
	c := &Client{
		transport:     backend.NewTransport(nil),
		maxEventBytes: defaultMaxEventBytes,
		onDrop:        func(Drop) {},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Close waits for cancellations in progress and closes idle connections. The
// streams must have ended.
func (c *Client) Close() {
	c.cancellations.Wait()
	c.transport.CloseIdleConnections()
}

// Stream makes a call on the engine at address (host:port) and passes every
// token to emit, in order and each once, starting at call.ResumeFrom. An error
// of emit ends the stream and is the cause of the returned error.
//
// When emit fails or the context ends, the call is also cancelled on the
// engine, by its id and without waiting: to resume it on the same engine, use
// the next attempt number.
//
// Errors are *verdict.Error. The verdict is not-run only when nothing reached
// the engine or the engine refused the call; an answer without its end is
// may-have-run with reason server-failed.
func (c *Client) Stream(ctx context.Context, address string, call Call, emit func(Token) error) (Finish, error) {
	finish, err := c.stream(ctx, address, call, emit)
	if err == nil {
		return finish, nil
	}
	e := verdict.From(err)
	closedHere := e.Reason() == verdict.Cancelled || e.Reason() == verdict.Timeout
	if closedHere && e.Verdict() != verdict.NotRun {
		c.cancelAsync(address, call.ID())
	}
	return Finish{}, e
}

func (c *Client) stream(ctx context.Context, address string, call Call, emit func(Token) error) (Finish, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := streamRequest(ctx, address, call)
	if err != nil {
		return Finish{}, verdict.New(verdict.NotRun, verdict.BadRequest, "model call cannot be written", verdict.WithCause(err))
	}
	resp, err := backend.Do(c.transport, r)
	if err != nil {
		return Finish{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Finish{}, backend.CallRefusal(resp, call.ID())
	}
	if err := backend.CheckMediaType(resp, "text/event-stream"); err != nil {
		return Finish{}, err
	}
	a := newAnswer(address, call, emit, c.onDrop)
	if err := a.read(ctx, sse.NewReader(resp.Body, c.maxEventBytes)); err != nil {
		return Finish{}, err
	}
	drain(resp.Body, cancel)
	return a.finish, nil
}

// cancelAsync cancels a call whose stream was closed by this side. An engine
// may not notice a closed connection before it writes again, or at all.
func (c *Client) cancelAsync(address string, id backend.CallID) {
	c.cancellations.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = c.Cancel(ctx, address, id)
	})
}

func streamRequest(ctx context.Context, address string, call Call) (*http.Request, error) {
	body, err := call.body()
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept", "text/event-stream")
	r.Header.Set(backend.HeaderCall, call.ID().String())
	r.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	if call.ResumeFrom > 0 {
		r.Header.Set(HeaderResumeFrom, strconv.Itoa(call.ResumeFrom))
	}
	return r, nil
}

// drain reads to the end of a response, so that its connection can be reused.
func drain(body io.Reader, cancel func()) {
	t := time.AfterFunc(drainTimeout, cancel)
	defer t.Stop()
	_, _ = io.CopyN(io.Discard, body, 4096)
}
