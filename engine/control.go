package engine

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/sycamoreline/sycamoreline/backend"
)

const (
	maxResponseBytes = 1 << 20
	// maxExportBytes bounds the exported prefix of one program.
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

// ReleaseResult confirms that the engine holds no cached prefix for a program,
// or will hold none once the cancelled calls of the program have ended.
type ReleaseResult struct {
	Incarnation string `json:"incarnation"`
	Tokens      int64  `json:"tokens"` // cached tokens before the release
}

// Cancel ends a call on the engine at address. It is not an error if the call
// is not running.
func (c *Client) Cancel(ctx context.Context, address string, id backend.CallID) error {
	_, err := backend.Post[cancelResult](ctx, c.transport, address, "/v1/cancel", cancelBody{Call: id.String()}, maxResponseBytes)
	return err
}

// Pin protects the cached prefix of a program from eviction until it is
// released. It returns false if the engine has no prefix to pin.
func (c *Client) Pin(ctx context.Context, address, program string) (bool, error) {
	r, err := backend.Post[pinResult](ctx, c.transport, address, "/cache/pin", programBody{program}, maxResponseBytes)
	return r.Pinned, err
}

// Release cancels the running and queued calls of a program and frees its
// cached prefix.
func (c *Client) Release(ctx context.Context, address, program string) (ReleaseResult, error) {
	return backend.Post[ReleaseResult](ctx, c.transport, address, "/cache/release", programBody{program}, maxResponseBytes)
}

// Export returns the cached prefix of a program, in the format of the engine.
func (c *Client) Export(ctx context.Context, address, program string) (json.RawMessage, error) {
	return backend.Post[json.RawMessage](ctx, c.transport, address, "/cache/export", programBody{program}, maxExportBytes)
}

// Import stores a prefix that another engine exported for the same program. It
// returns the number of tokens that the engine stored.
func (c *Client) Import(ctx context.Context, address, program string, cache json.RawMessage) (int64, error) {
	body := struct {
		Program string          `json:"program"`
		Cache   json.RawMessage `json:"cache"`
	}{program, cache}
	r, err := backend.Post[importResult](ctx, c.transport, address, "/cache/import", body, maxResponseBytes)
	return r.Tokens, err
}

// Order sends an order. An engine that checks fencing numbers rejects an order
// whose number is below the highest one of the executed orders, with the verdict
// not-run and the reason version-conflict.
func (c *Client) Order(ctx context.Context, address string, o Order) (Serving, error) {
	return backend.Post[Serving](ctx, c.transport, address, "/orders", o, maxResponseBytes)
}

// Load returns the load report of the engine at address.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	return backend.Get[Load](ctx, c.transport, address, "/load", maxResponseBytes)
}

// CacheEvents returns a page of cache events, starting at sequence number from.
func (c *Client) CacheEvents(ctx context.Context, address string, from int64) (CacheEvents, error) {
	return backend.Get[CacheEvents](ctx, c.transport, address, fmt.Sprintf("/cache-events?from=%d", from), maxResponseBytes)
}
