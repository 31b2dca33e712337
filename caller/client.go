package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// Client calls entry hosts as a caller. After a temporary error, it resends a
// request with the same idempotency key to the next entry host, until the
// request is answered or permanently rejected, or the attempts are used up.
type Client struct {
	entries    []string
	credential string
	http       *http.Client
	attempts   int
	wait       func(context.Context, time.Duration) error
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithHTTPClient replaces http.DefaultClient.
func WithHTTPClient(c *http.Client) ClientOption { return func(p *Client) { p.http = c } }

// WithAttempts limits how many times a request is sent.
func WithAttempts(n int) ClientOption { return func(p *Client) { p.attempts = n } }

// WithWait replaces the function that waits between attempts and during the
// pauses of a Runner.
func WithWait(wait func(context.Context, time.Duration) error) ClientOption {
	return func(p *Client) { p.wait = wait }
}

const (
	defaultAttempts = 20
	// defaultResendDelay applies to errors without a Retry-After hint.
	defaultResendDelay = 200 * time.Millisecond
)

// NewClient returns a client of the entry hosts at the given base URLs.
func NewClient(entries []string, credential string, opts ...ClientOption) *Client {
	c := &Client{
		entries:    entries,
		credential: credential,
		http:       http.DefaultClient,
		attempts:   defaultAttempts,
		wait:       sleep,
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Open opens a program, or a sub-program if parent is not empty.
func (c *Client) Open(ctx context.Context, key, parent string, body any) (ledger.ProgramState, error) {
	path := "/v1/programs"
	if parent != "" {
		path += "/" + parent + "/programs"
	}
	return sendJSON[ledger.ProgramState](ctx, c, clientRequest{path: path, key: key, body: body})
}

// End ends a program.
func (c *Client) End(ctx context.Context, program string, status ledger.ProgramStatus) (ledger.ProgramState, error) {
	body := struct {
		Status ledger.ProgramStatus `json:"status"`
	}{status}
	return sendJSON[ledger.ProgramState](ctx, c, clientRequest{path: "/v1/programs/" + program + "/end", body: body})
}

// Model makes a model call of a program and returns the complete answer, even
// if the body requests a stream.
func (c *Client) Model(ctx context.Context, program, key string, body any) (dispatch.ModelAnswer, error) {
	var answer dispatch.ModelAnswer
	err := c.send(ctx, clientRequest{path: "/v1/programs/" + program + "/calls", key: key, body: body},
		func(r *http.Response) error {
			var err error
			answer, err = readAnswer(r)
			return err
		})
	return answer, err
}

// Tool makes a tool call of a program. If idempotent is nil, the value
// announced by the service applies.
func (c *Client) Tool(ctx context.Context, program, key, service, operation string, idempotent *bool, body any) (dispatch.ToolAnswer, error) {
	req := clientRequest{path: "/v1/programs/" + program + "/tools/" + service + "/" + operation, key: key, body: body}
	if idempotent != nil {
		req.header = http.Header{HeaderIdempotent: {strconv.FormatBool(*idempotent)}}
	}
	var answer dispatch.ToolAnswer
	err := c.send(ctx, req, func(r *http.Response) error {
		data, err := io.ReadAll(r.Body)
		answer = dispatch.ToolAnswer{Call: callNumber(r), Status: r.StatusCode, Body: data}
		return err
	})
	return answer, err
}

// clientRequest is a request that may be sent more than once.
type clientRequest struct {
	path   string
	key    string
	header http.Header
	body   any
}

func sendJSON[T any](ctx context.Context, c *Client, req clientRequest) (T, error) {
	var answer T
	err := c.send(ctx, req, func(r *http.Response) error {
		return json.NewDecoder(r.Body).Decode(&answer)
	})
	return answer, err
}

// send sends a request until it is answered or permanently rejected, or the
// attempts are used up.
func (c *Client) send(ctx context.Context, req clientRequest, read func(*http.Response) error) error {
	body, err := json.Marshal(req.body)
	if err != nil {
		return err
	}
	for attempt := range c.attempts {
		err = c.sendOnce(ctx, c.entries[attempt%len(c.entries)], req, body, read)
		wait, resend := resendDelay(err)
		if !resend || attempt == c.attempts-1 {
			break
		}
		if waitErr := c.wait(ctx, wait); waitErr != nil {
			break
		}
	}
	return err
}

func (c *Client) sendOnce(ctx context.Context, entry string, req clientRequest, body []byte, read func(*http.Response) error) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(entry, "/")+req.path, bytes.NewReader(body))
	if err != nil {
		return notRun(verdict.BadRequest, "entry %q: %s", entry, err)
	}
	for name, values := range req.header {
		r.Header[name] = values
	}
	r.Header.Set("Authorization", "Bearer "+c.credential)
	r.Header.Set("Content-Type", "application/json")
	if req.key != "" {
		r.Header.Set(HeaderKey, req.key)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return connectionError(ctx, err)
	}
	defer response.Body.Close()
	if err := backend.CheckStatus(response); err != nil {
		return connectionError(ctx, err)
	}
	if isAPIError(response) {
		return readAPIError(response)
	}
	if err := read(response); err != nil {
		return connectionError(ctx, err)
	}
	return nil
}

// isAPIError reports whether the response is an error of Sycamoreline, rather
// than an error status that a service returned as its answer.
func isAPIError(r *http.Response) bool {
	return r.StatusCode >= http.StatusBadRequest && (r.Header.Get(verdict.HeaderReason) != "" || r.Header.Get(HeaderCall) == "")
}

func readAPIError(r *http.Response) error {
	data, err := io.ReadAll(r.Body)
	var e verdict.Error
	if err == nil && json.Unmarshal(data, &e) == nil {
		return &e
	}
	return verdict.Newf(verdict.MayHaveRun, verdict.Internal, "the entry host answered with status %d and no valid error body", r.StatusCode)
}

// connectionError returns the error for a connection that failed before the
// response was complete. The request may have run. A resend is safe: it has the
// same key, or it ends a program, and ending a program again has no effect.
// A verdict error, such as one sent within a stream, is returned unchanged.
func connectionError(ctx context.Context, err error) error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return err
	}
	reason := verdict.ServerFailed
	if ctx.Err() != nil {
		reason = verdict.Cancelled
	}
	return verdict.New(verdict.MayHaveRun, reason, "the connection to the entry host failed", verdict.WithCause(err))
}

// resendDelay reports whether a failed request should be resent, and after
// what delay.
func resendDelay(err error) (time.Duration, bool) {
	var e *verdict.Error
	if !errors.As(err, &e) {
		return 0, false
	}
	if e.RetryAfter() > 0 {
		return e.RetryAfter(), true
	}
	switch e.Reason() {
	case verdict.ServerFailed, verdict.Overloaded, verdict.NoServer, verdict.LeaseExpired,
		verdict.Draining, verdict.ControlUnavailable, verdict.CallInProgress:
		return defaultResendDelay, true
	}
	return 0, false
}

func callNumber(r *http.Response) int {
	n, _ := strconv.Atoi(r.Header.Get(HeaderCall))
	return n
}
