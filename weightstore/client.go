package weightstore

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	defaultMaxFailures = 5
	initialBackoff     = 100 * time.Millisecond
	maxBackoff         = 5 * time.Second
	chunkBytes         = 64 << 10
)

// Weights identifies the weights of a model or of one of its adapters.
type Weights struct {
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
}

func (w Weights) path() string {
	q := url.Values{"model": {w.Model}, "version": {w.Version}, "adapter": {w.Adapter}}
	return "/weights?" + q.Encode()
}

// Client fetches weights. The rate limit applies to all its fetches together.
// It is safe for concurrent use.
type Client struct {
	address     string
	transport   *http.Transport
	maxFailures int
	start       time.Time // time 0 of bucket

	mu     sync.Mutex
	bucket *Bucket
	random *rand.Rand
}

// Option configures a Client.
type Option func(*Client)

// WithMaxFailures sets the number of failed transfers in a row after which a
// fetch returns an error. A failed transfer that received bytes restarts the
// count at 1. The default is 5.
func WithMaxFailures(n int) Option { return func(c *Client) { c.maxFailures = n } }

// WithRandom sets the random source for backoff.
func WithRandom(r *rand.Rand) Option { return func(c *Client) { c.random = r } }

// NewClient returns a client of the weight store at address (host:port) that
// reads at most perSecond bytes per second.
func NewClient(address string, perSecond int64, opts ...Option) *Client {
	c := &Client{
		address:     address,
		transport:   backend.NewTransport(nil),
		maxFailures: defaultMaxFailures,
		start:       time.Now(),
		bucket:      NewBucket(perSecond, min(perSecond, chunkBytes)),
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Close closes idle connections. It does not affect fetches in progress.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Fetch writes weights to out and returns the number of bytes written. It
// resumes an interrupted transfer at the first missing byte. Errors are
// *verdict.Error; after an error, out may contain a part of the weights.
func (c *Client) Fetch(ctx context.Context, w Weights, out io.Writer) (int64, error) {
	f := &fetch{client: c, weights: w, out: out, digest: xxhash.New()}
	for failures := 0; ; {
		before := f.size
		err := f.transfer(ctx)
		if err == nil {
			return f.size, nil
		}
		if f.size > before {
			failures = 0
		}
		failures++
		var permanent *permanentError
		if errors.As(err, &permanent) || failures >= c.maxFailures || ctx.Err() != nil {
			return f.size, verdict.From(err)
		}
		if !pause.For(ctx, c.backoff(failures, verdict.From(err).RetryAfter())) {
			return f.size, verdict.From(err)
		}
	}
}

// backoff returns a random delay below a limit that doubles with every failure,
// up to maxBackoff, but at least hint, the Retry-After of the response.
func (c *Client) backoff(failures int, hint time.Duration) time.Duration {
	limit := min(maxBackoff, initialBackoff<<min(failures-1, 10))
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(hint, time.Duration(c.random.Int64N(int64(limit))))
}

// waitRate waits until the rate limit allows n more bytes.
func (c *Client) waitRate(ctx context.Context, n int) error {
	c.mu.Lock()
	d := c.bucket.Take(time.Since(c.start), int64(n))
	c.mu.Unlock()
	if !pause.For(ctx, d) {
		return ctx.Err()
	}
	return nil
}

// permanentError is an error that is not retried.
type permanentError struct{ cause *verdict.Error }

func (e *permanentError) Error() string { return e.cause.Error() }
func (e *permanentError) Unwrap() error { return e.cause }

// fetch is the state of a call of Fetch across its transfers.
type fetch struct {
	client  *Client
	weights Weights
	out     io.Writer
	digest  *xxhash.Digest
	size    int64
	etag    string // ETag of the response with the first byte
}

func (f *fetch) transfer(ctx context.Context) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.client.address+f.weights.path(), nil)
	if err != nil {
		return f.permanent(verdict.BadRequest, "cannot create request", err)
	}
	if f.size > 0 {
		r.Header.Set("Range", fmt.Sprintf("bytes=%d-", f.size))
	}
	resp, err := backend.Do(f.client.transport, r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := f.check(resp); err != nil {
		return err
	}
	if err := f.copy(ctx, resp.Body); err != nil {
		return err
	}
	if got := formatETag(f.digest.Sum64()); got != f.etag {
		return f.permanent(verdict.ServerFailed, fmt.Sprintf("checksum is %s: want %s", got, f.etag), nil)
	}
	return nil
}

// check returns an error unless the response continues the fetch at the next
// byte, with the same ETag.
func (f *fetch) check(resp *http.Response) error {
	want := http.StatusOK
	if f.size > 0 {
		want = http.StatusPartialContent
	}
	switch resp.StatusCode {
	case want:
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return backend.ResponseError(resp)
	default:
		return &permanentError{backend.ResponseError(resp)}
	}
	if f.size == 0 {
		f.etag = resp.Header.Get("ETag")
	}
	if resp.Header.Get("ETag") != f.etag {
		return f.permanent(verdict.Conflict, "weights have changed during the fetch", nil)
	}
	var from int64
	if f.size > 0 {
		if _, err := fmt.Sscanf(resp.Header.Get("Content-Range"), "bytes %d-", &from); err != nil || from != f.size {
			return f.permanent(verdict.ServerFailed, fmt.Sprintf("content range %q: want bytes from %d", resp.Header.Get("Content-Range"), f.size), nil)
		}
	}
	return nil
}

func (f *fetch) copy(ctx context.Context, body io.Reader) error {
	buf := make([]byte, chunkBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, writeErr := f.out.Write(buf[:n]); writeErr != nil {
				return f.permanent(verdict.Internal, "cannot write weights", writeErr)
			}
			_, _ = f.digest.Write(buf[:n])
			f.size += int64(n)
			if waitErr := f.client.waitRate(ctx, n); waitErr != nil {
				return backend.Failure(ctx, verdict.MayHaveRun, f.client.address, "fetch interrupted", waitErr)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return backend.Failure(ctx, verdict.MayHaveRun, f.client.address, "transfer interrupted", err)
		}
	}
}

func (f *fetch) permanent(reason verdict.Reason, message string, cause error) error {
	return &permanentError{verdict.New(verdict.MayHaveRun, reason, "weight store "+f.client.address+": "+message, verdict.WithCause(cause))}
}

// formatETag returns the ETag header for an xxhash64 checksum.
func formatETag(sum uint64) string { return fmt.Sprintf("%q", fmt.Sprintf("%016x", sum)) }
