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
	// drainTimeout bounds the wait for the end of the response after [DONE].
	// The connection can be reused only once the response has been read to its
	// end.
	drainTimeout  = 100 * time.Millisecond
	cancelTimeout = time.Second
)

// Client sends calls and control requests to model engines. It is safe for
// concurrent use.
type Client struct {
	transport     *http.Transport
	maxEventBytes int
	onDrop        func(Drop)
	cancellations sync.WaitGroup
}

// Option configures a Client.
type Option func(*Client)

// WithDial sets the function that opens connections. The default dials TCP.
func WithDial(d backend.Dial) Option {
	return func(c *Client) { c.transport = backend.NewTransport(d) }
}

// WithMaxEventBytes sets the maximum size of an event in a stream. The default
// is 1 MiB.
func WithMaxEventBytes(n int) Option {
	return func(c *Client) { c.maxEventBytes = n }
}

// WithDrops sets a callback for events that are dropped from a stream. It runs
// on the goroutine that called Stream.
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

// Close waits for pending cancellation requests and closes idle connections.
// All streams must have ended.
func (c *Client) Close() {
	c.cancellations.Wait()
	c.transport.CloseIdleConnections()
}

// Stream sends a call to the engine at address (host:port) and passes each
// token to emit, exactly once and in order, starting at call.ResumeFrom. An
// error returned by emit ends the stream and is the cause of the returned
// error.
//
// If emit fails or the context ends, and the call may have run, Stream also
// cancels the call on the engine, by call id and without waiting for the
// result. To resume the call on the same engine, use the next attempt number.
//
// Errors are *verdict.Error. The verdict is not-run only if no part of the
// request reached the engine or the engine rejected the call. For a truncated
// answer, the verdict is may-have-run and the reason is server-failed.
func (c *Client) Stream(ctx context.Context, address string, call Call, emit func(Token) error) (Finish, error) {
	finish, err := c.stream(ctx, address, call, emit)
	if err == nil {
		return finish, nil
	}
	e := verdict.From(err)
	closedByClient := e.Reason() == verdict.Cancelled || e.Reason() == verdict.Timeout
	if closedByClient && e.Verdict() != verdict.NotRun {
		c.cancelAsync(address, call.ID())
	}
	return Finish{}, e
}

func (c *Client) stream(ctx context.Context, address string, call Call, emit func(Token) error) (Finish, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := streamRequest(ctx, address, call)
	if err != nil {
		return Finish{}, verdict.New(verdict.NotRun, verdict.BadRequest, "cannot create request for model call", verdict.WithCause(err))
	}
	resp, err := backend.Do(c.transport, r)
	if err != nil {
		return Finish{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Finish{}, backend.CallResponseError(resp, call.ID())
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

// cancelAsync cancels a call whose stream the client has closed. Without it, an
// engine may notice the closed connection only at its next write, or never.
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

// drain reads the rest of a response, if it is short, so that the connection
// can be reused.
func drain(body io.Reader, cancel func()) {
	t := time.AfterFunc(drainTimeout, cancel)
	defer t.Stop()
	_, _ = io.CopyN(io.Discard, body, 4096)
}
