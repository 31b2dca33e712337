package engine

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/sycamoreline/sycamoreline/backend"
)

const (
	maxResponseBytes = 1 << 20
	// maxExportBytes bounds the exported memory of one program.
	maxExportBytes = 64 << 20
)

type cancelBody struct {
	Call string `json:"call"`
}

type cancelResult struct {
	Cancelled bool `json:"cancelled"`
}

type programBody struct {
	Program string `json:"program"`
}

type pinResult struct {
	Pinned bool `json:"pinned"`
}

type importResult struct {
	Tokens int64 `json:"tokens"`
}

// ReleaseResult is the confirmation that an engine holds nothing for a program, or
// will not once a call that is being ended has ended.
type ReleaseResult struct {
	Incarnation string `json:"incarnation"`
	Tokens      int64  `json:"tokens"` // that were held
}

// Cancel ends a call on the engine at address. A call that is not running is
// no error.
func (c *Client) Cancel(ctx context.Context, address string, id backend.CallID) error {
	_, err := backend.Post[cancelResult](ctx, c.transport, address, "/v1/cancel", cancelBody{Call: id.String()}, maxResponseBytes)
	return err
}

// Pin keeps the cached prefix of a program until it is released, and says
// whether there was one.
func (c *Client) Pin(ctx context.Context, address, program string) (bool, error) {
	r, err := backend.Post[pinResult](ctx, c.transport, address, "/cache/pin", programBody{program}, maxResponseBytes)
	return r.Pinned, err
}

// Release ends the calls of a program that still run, and drops what the engine
// holds for it.
func (c *Client) Release(ctx context.Context, address, program string) (ReleaseResult, error) {
	return backend.Post[ReleaseResult](ctx, c.transport, address, "/cache/release", programBody{program}, maxResponseBytes)
}

// Export returns the cached prefix of a program, in the engine's own form.
func (c *Client) Export(ctx context.Context, address, program string) (json.RawMessage, error) {
	return backend.Post[json.RawMessage](ctx, c.transport, address, "/cache/export", programBody{program}, maxExportBytes)
}

// Import gives an engine the prefix that another one exported for the same
// program. It returns how many tokens of it the engine took.
func (c *Client) Import(ctx context.Context, address, program string, cache json.RawMessage) (int64, error) {
	body := struct {
		Program string          `json:"program"`
		Cache   json.RawMessage `json:"cache"`
	}{program, cache}
	r, err := backend.Post[importResult](ctx, c.transport, address, "/cache/import", body, maxResponseBytes)
	return r.Tokens, err
}

// Order gives an order. An engine that checks fencing numbers refuses an older
// number than it has seen with not-run and reason version-conflict.
func (c *Client) Order(ctx context.Context, address string, o Order) (Serving, error) {
	return backend.Post[Serving](ctx, c.transport, address, "/orders", o, maxResponseBytes)
}

// Load reads the load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	return backend.Get[Load](ctx, c.transport, address, "/load", maxResponseBytes)
}

// CacheEvents reads cache events from a sequence number on.
func (c *Client) CacheEvents(ctx context.Context, address string, from int64) (CacheEvents, error) {
	return backend.Get[CacheEvents](ctx, c.transport, address, fmt.Sprintf("/cache-events?from=%d", from), maxResponseBytes)
}
