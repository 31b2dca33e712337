// Package service is a client of the protocol of plain tool services: each
// operation is an HTTP POST with a JSON body. It sends each call once, to a
// given service; choosing servers and retrying are up to its callers. Start
// reading at Client.Call; StandIn simulates a service.
package service

import (
	"bytes"
	"context"
	"net/http"
	"net/url"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const defaultMaxBodyBytes = 4 << 20

// Client sends calls to plain services. It is safe for concurrent use.
type Client struct {
	transport    *http.Transport
	maxBodyBytes int64
}

// Option configures a Client.
type Option func(*Client)

// WithDial sets the function that opens connections. The default dials TCP.
func WithDial(d backend.Dial) Option {
	return func(c *Client) { c.transport = backend.NewTransport(d) }
}

// WithMaxBodyBytes sets the maximum size of a response body. The default is 4
// MiB.
func WithMaxBodyBytes(n int64) Option {
	return func(c *Client) { c.maxBodyBytes = n }
}

// NewClient returns a client.
func NewClient(opts ...Option) *Client {
	c := &Client{transport: backend.NewTransport(nil), maxBodyBytes: defaultMaxBodyBytes}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Close closes idle connections. It does not affect calls in progress.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Call calls an operation of the service at address (host:port) with a JSON
// body. It sends the call at most once and returns the status and the JSON body
// of the response. A complete JSON response to the call is not an error,
// whatever its status, unless it has a verdict header.
//
// Errors are *verdict.Error. The verdict is not-run only if no part of the
// request reached the service or the service rejected the call.
func (c *Client) Call(ctx context.Context, address, operation string, id backend.CallID, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+url.PathEscape(operation), bytes.NewReader(body))
	if err != nil {
		return 0, nil, verdict.New(verdict.NotRun, verdict.BadRequest, "cannot create request for tool call", verdict.WithCause(err))
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(backend.HeaderCall, id.String())
	resp, err := backend.Do(c.transport, r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	if resp.Header.Get(verdict.HeaderVerdict) != "" {
		return 0, nil, backend.CallResponseError(resp, id)
	}
	responseBody, err := c.read(resp, id)
	if err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, responseBody, nil
}

// read returns the body of a response, after checking that the response belongs
// to the call and that the body is complete and valid JSON.
func (c *Client) read(resp *http.Response, id backend.CallID) ([]byte, error) {
	if got := resp.Header.Get(backend.HeaderCall); got != id.String() {
		return nil, verdict.Newf(verdict.MayHaveRun, verdict.ServerFailed, "server %s: response is for call %q: want %q",
			resp.Request.URL.Host, got, id.String())
	}
	if err := backend.CheckMediaType(resp, "application/json"); err != nil {
		return nil, err
	}
	return backend.ReadJSON(resp, c.maxBodyBytes)
}
