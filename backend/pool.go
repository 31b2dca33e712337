package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// poolDialTimeout bounds the opening of a connection. Opening takes
	// milliseconds, unless the accept queue of the server is full: then the
	// server drops the SYN packet.
	poolDialTimeout = 700 * time.Millisecond
	// maxIdleTimeout is how long an idle connection is kept open. Servers may
	// announce a shorter time.
	maxIdleTimeout = 8 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that a server
	// announces, so that no request is sent while the server closes the
	// connection.
	idleTimeoutMargin = 500 * time.Millisecond
	// maxUnmatchedResponses is the number of responses to other requests, or
	// with a 1xx status, after which an exchange fails.
	maxUnmatchedResponses = 4
	// maxUnmatchedBytes bounds the body of a response to another request.
	maxUnmatchedBytes = 1 << 20
	// maxHeadBytes bounds the bytes read for the head of a response.
	maxHeadBytes = 256 << 10
	// maxInlineBody is the largest body that Do writes before it waits for the
	// response. Such a body fits into the buffers of the connection; a larger
	// one is written by another goroutine, since the server may respond first.
	maxInlineBody = 32 << 10
	// writeFinishTimeout bounds the wait for the end of writing a larger body
	// when the response body is closed.
	writeFinishTimeout = 10 * time.Millisecond
)

// ErrUnmatchedResponses is the cause of an error if too many responses on a
// connection belong to other requests, or if such a response is too large,
// truncated or the last one on the connection.
var ErrUnmatchedResponses = errors.New("responses belong to other requests")

// Request is a request to a backend server, as it is written to the
// connection.
type Request struct {
	Method string
	Target string // path and query, as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is the longest time that a reused connection may have been idle;
	// 0 means unlimited. A server may close an idle connection just when a
	// request is sent on it.
	MaxIdle time.Duration
	// DialTimeout bounds the opening of a new connection; 0 stands for the pool's
	// own bound.
	DialTimeout time.Duration
	// Connections has the connections of earlier attempts of the same call, which
	// are not used again; nil for a request that is sent once.
	Connections *Connections
}

// Connections has the connections on which attempts of one call have been sent.
// All attempts have the id of their caller's request, so on one connection a
// second copy of the response to an attempt could not be told from the response to
// the next one. The zero value is empty. It is not safe for concurrent use.
type Connections struct {
	ids []uint64
}

// Last returns the id of the connection of the last attempt, for logs, or 0.
func (s *Connections) Last() uint64 {
	if len(s.ids) == 0 {
		return 0
	}
	return s.ids[len(s.ids)-1]
}

func (s *Connections) add(c *conn) {
	if s != nil {
		s.ids = append(s.ids, c.id)
	}
}

func (s *Connections) has(c *conn) bool { return s != nil && slices.Contains(s.ids, c.id) }

// ResponseMatcher reports whether a response belongs to the request. alone is true
// if no other request has been sent on its connection.
type ResponseMatcher func(r *http.Response, alone bool) bool

// Pool is a pool of connections to backend servers, each for one request at a
// time. Unlike net/http, it never sends a request twice, reports whether a
// request may have reached the server, and skips responses that belong to other
// requests.
type Pool struct {
	dial Dial

	mu     sync.Mutex
	idle   map[string][]*conn // by address
	opened uint64             // number of connections so far
	closed bool
	wg     sync.WaitGroup
}

// NewPool returns an empty pool. A nil dial means TCP, without a bound on the time
// for which sent data is not acknowledged: with TCP_USER_TIMEOUT, the kernel also
// closes connections to a server that only reads nothing for a while.
func NewPool(dial Dial) *Pool {
	if dial == nil {
		d := &net.Dialer{
			Timeout:         poolDialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2},
		}
		dial = d.DialContext
	}
	return &Pool{dial: checkEnds(dial), idle: map[string][]*conn{}}
}

// Close closes all idle connections and waits until those in use are closed.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for _, cs := range p.idle {
		for _, c := range cs {
			c.nc.Close()
		}
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// DropAddress closes the idle connections to the address of a server that has
// ended.
func (p *Pool) DropAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.nc.Close()
	}
	delete(p.idle, address)
}

// errHeadTooLarge is the cause of an error if the head of a response exceeds
// maxHeadBytes.
var errHeadTooLarge = fmt.Errorf("response head exceeds %d bytes", maxHeadBytes)

// headLimiter limits the bytes read from a connection, since http.ReadResponse
// does not limit the size of a head.
type headLimiter struct {
	reader io.Reader
	left   int // negative for no limit
}

func (l *headLimiter) Read(b []byte) (int, error) {
	if l.left < 0 {
		return l.reader.Read(b)
	}
	if l.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.reader.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

// conn is one connection. Its reader goroutine runs as long as it is open, so
// that a close by the server and unrequested data are detected at once.
type conn struct {
	id          uint64
	pool        *Pool
	address     string
	nc          net.Conn
	limiter     *headLimiter
	br          *bufio.Reader
	idleTimeout time.Duration
	timer       *time.Timer
	idleAt      time.Time

	mu      sync.Mutex
	current *pooledExchange
	// exchanges is the number of requests so far, the current one included.
	exchanges int
	broken    bool
}

// pooledExchange is a request in progress on a connection.
type pooledExchange struct {
	request  *http.Request
	matches  ResponseMatcher
	alone    bool              // no other request has been sent on the connection
	response chan pooledResult // buffered for its only value
	bodyDone chan bool         // true if the connection can be reused
	written  chan error        // buffered for its only value
	// writeErr is the result of writing the request, once writeEnded is set.
	writeErr   error
	writeEnded bool
}

// awaitWrite waits for the end of writing the request, for up to
// writeFinishTimeout. It is not safe for concurrent use.
func (x *pooledExchange) awaitWrite() (ended bool, err error) {
	if !x.writeEnded {
		select {
		case x.writeErr = <-x.written:
			x.writeEnded = true
		case <-time.After(writeFinishTimeout):
		}
	}
	return x.writeEnded, x.writeErr
}

type pooledResult struct {
	response *http.Response
	err      error
}

// Do sends a request and returns the response, whatever its status. The body
// must be closed; closing it before it has been read to the end, or ending the
// context, closes the connection. Errors are *verdict.Error; the verdict is
// not-run only if no byte of the request was written.
func (p *Pool) Do(ctx context.Context, address string, req *Request, matches ResponseMatcher) (*http.Response, error) {
	x := &pooledExchange{
		request: &http.Request{Method: req.Method}, matches: matches,
		response: make(chan pooledResult, 1), bodyDone: make(chan bool, 1), written: make(chan error, 1),
	}
	c, err := p.begin(ctx, address, req, x)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ServerFailed, "cannot connect to "+address, verdict.WithCause(err))
	}
	stop := context.AfterFunc(ctx, func() { c.nc.Close() })
	if len(req.Body) <= maxInlineBody {
		x.written <- req.write(c.nc)
	} else {
		go func() { x.written <- req.write(c.nc) }()
	}
	r := <-x.response
	if r.err != nil {
		stop()
		c.nc.Close()
		return nil, exchangeError(ctx, address, r.err)
	}
	r.response.Body = &pooledBody{
		ReadCloser: r.response.Body, conn: c, exchange: x, stopCancel: stop, closeAfter: r.response.Close,
		closeDelimited: r.response.ContentLength < 0 && len(r.response.TransferEncoding) == 0,
	}
	return r.response, nil
}

func exchangeError(ctx context.Context, address string, err error) error {
	reason := verdict.ServerFailed
	if ctx.Err() != nil {
		reason = verdict.Cancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			reason = verdict.Timeout
		}
	}
	return verdict.New(verdict.MayHaveRun, reason, "no response from "+address, verdict.WithCause(err))
}

// write sends a small request in a single write, so that it fits into one packet. A
// larger body is not copied.
func (req *Request) write(w io.Writer) error {
	inline, rest := req.Body, []byte(nil)
	if len(inline) > maxInlineBody {
		inline, rest = nil, inline
	}
	data := make([]byte, 0, 1024+len(inline))
	data = fmt.Appendf(data, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, req.Host)
	for name, values := range req.Header {
		for _, v := range values {
			data = fmt.Appendf(data, "%s: %s\r\n", name, v)
		}
	}
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		data = fmt.Appendf(data, "Content-Length: %d\r\n", len(req.Body))
	}
	data = append(data, "\r\n"...)
	data = append(data, inline...)
	if _, err := w.Write(data); err != nil || len(rest) == 0 {
		// An empty write could take the error of a reset from the socket. The reader
		// would then see the end of the connection, and take a stream for complete.
		return err
	}
	_, err := w.Write(rest)
	return err
}

// begin starts an exchange on an idle connection, or on a new one if there is
// none.
func (p *Pool) begin(ctx context.Context, address string, req *Request, x *pooledExchange) (*conn, error) {
	for {
		c := p.takeIdle(address, req)
		fresh := c == nil
		if fresh {
			var err error
			if c, err = p.connect(ctx, address, req.DialTimeout); err != nil {
				return nil, err
			}
		}
		if c.begin(x) {
			req.Connections.add(c)
			return c, nil
		}
		c.nc.Close()
		if fresh {
			return nil, errors.New("new connection was closed, or received unrequested data, before the request")
		}
	}
}

// takeIdle returns the most recently used idle connection that no earlier attempt
// has used, or nil if there is none or it was idle for too long.
func (p *Pool) takeIdle(address string, req *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle[address]) - 1; i >= 0; i-- {
		c := p.idle[address][i]
		if req.MaxIdle > 0 && time.Since(c.idleAt) > req.MaxIdle {
			return nil
		}
		if req.Connections.has(c) {
			continue
		}
		p.idle[address] = slices.Delete(p.idle[address], i, i+1)
		if c.timer.Stop() {
			return c
		}
	}
	return nil
}

func (p *Pool) connect(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	nc, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	limiter := &headLimiter{reader: nc, left: maxHeadBytes}
	c := &conn{pool: p, address: address, nc: nc, limiter: limiter, br: bufio.NewReader(limiter), idleTimeout: maxIdleTimeout}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		nc.Close()
		return nil, net.ErrClosed
	}
	p.opened++
	c.id = p.opened
	p.wg.Add(1)
	go c.readLoop()
	return c, nil
}

// Open opens a connection to a server for a later request. The timeout bounds it.
func (p *Pool) Open(ctx context.Context, address string, timeout time.Duration) error {
	c, err := p.connect(ctx, address, timeout)
	if err != nil {
		return err
	}
	p.putIdle(c)
	if c.isBroken() { // its reader may have ended before it was added
		p.removeIdle(c)
	}
	return nil
}

// putIdle adds a connection to the idle ones, for the next request.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.nc.Close()
		return
	}
	c.idleAt = time.Now()
	c.timer = time.AfterFunc(c.idleTimeout, func() { c.nc.Close() })
	p.idle[c.address] = append(p.idle[c.address], c)
}

// removeIdle removes a closed connection from the idle ones.
func (p *Pool) removeIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[c.address]
	for i, o := range cs {
		if o == c {
			c.timer.Stop()
			cs[i] = cs[len(cs)-1]
			p.idle[c.address] = cs[:len(cs)-1]
			break
		}
	}
	if len(p.idle[c.address]) == 0 {
		delete(p.idle, c.address)
	}
}

// begin makes an exchange the current one, or returns false if the connection
// cannot be used.
func (c *conn) begin(x *pooledExchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return false
	}
	c.current = x
	c.exchanges++
	x.alone = c.exchanges == 1
	return true
}

func (c *conn) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// release ends the current exchange and returns the connection to the pool.
func (c *conn) release() {
	c.mu.Lock()
	c.current = nil
	c.mu.Unlock()
	c.pool.putIdle(c)
}

// currentExchange returns the current exchange. If there is none, it marks the
// connection as broken and returns nil.
func (c *conn) currentExchange() *pooledExchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		c.broken = true // the server closed it or sent unrequested data
	}
	return c.current
}

func (c *conn) readLoop() {
	defer c.pool.wg.Done()
	defer c.pool.removeIdle(c)
	defer c.nc.Close()
	for {
		_, err := c.br.Peek(1)
		x := c.currentExchange()
		if x == nil {
			return
		}
		if err != nil {
			x.response <- pooledResult{err: err}
			return
		}
		response, err := c.readResponse(x) //nolint:bodyclose // closed by the caller of Do
		x.response <- pooledResult{response, err}
		if err != nil || !<-x.bodyDone {
			return
		}
	}
}

// readResponse returns the response of an exchange. It skips responses to other
// requests and 1xx responses.
func (c *conn) readResponse(x *pooledExchange) (*http.Response, error) {
	for range maxUnmatchedResponses {
		c.limiter.left = maxHeadBytes
		r, err := http.ReadResponse(c.br, x.request)
		if err != nil {
			return nil, err
		}
		c.limiter.left = -1
		if isInformational(r.StatusCode) {
			continue
		}
		if err := CheckStatus(r); err != nil {
			return nil, err
		}
		if x.matches(r, x.alone) {
			return r, nil
		}
		if r.Close {
			return nil, ErrUnmatchedResponses
		}
		if n, err := io.CopyN(io.Discard, r.Body, maxUnmatchedBytes); n == maxUnmatchedBytes || err != nil && !errors.Is(err, io.EOF) {
			return nil, ErrUnmatchedResponses
		}
	}
	return nil, ErrUnmatchedResponses
}

// pooledBody is a response body. Closing it returns the connection to the pool
// if the body was read to the end, and closes the connection otherwise.
type pooledBody struct {
	io.ReadCloser
	conn       *conn
	exchange   *pooledExchange
	stopCancel func() bool
	closeAfter bool
	// closeDelimited is set if the end of the connection is the end of the body.
	closeDelimited bool
	atEOF          bool
	once           sync.Once
}

func (b *pooledBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.closeDelimited {
		// A reset is reported once: to the writer, if the request is still being
		// written. The reader then sees the end of the connection.
		if _, writeErr := b.exchange.awaitWrite(); writeErr != nil {
			return n, fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, writeErr)
		}
	}
	if errors.Is(err, io.EOF) {
		b.atEOF = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *pooledBody) Close() error {
	b.once.Do(func() {
		reusable := b.stopCancel() && b.atEOF && !b.closeAfter && b.conn.br.Buffered() == 0
		// The server may have responded before it had received the whole body.
		ended, err := b.exchange.awaitWrite()
		reusable = reusable && ended && err == nil
		if reusable {
			b.conn.release()
		} else {
			b.conn.nc.Close()
		}
		b.exchange.bodyDone <- reusable
	})
	return nil
}

// SetKeepAlive sets the idle timeout of the connection of a response. The
// server announced d; the timeout is shorter by idleTimeoutMargin, and at most
// maxIdleTimeout.
func SetKeepAlive(r *http.Response, d time.Duration) {
	if b, ok := r.Body.(*pooledBody); ok && d > 0 {
		b.conn.idleTimeout = min(maxIdleTimeout, max(0, d-idleTimeoutMargin))
	}
}

// CloseAfter closes the connection of a response when its body is closed, so
// that it is not reused.
func CloseAfter(r *http.Response) {
	if b, ok := r.Body.(*pooledBody); ok {
		b.closeAfter = true
	}
}

// CloseIn closes the connection of a response after d, which ends a read of its
// body. The returned function stops that, and returns false if it is too late.
func CloseIn(r *http.Response, d time.Duration) (stop func() bool) {
	b, ok := r.Body.(*pooledBody)
	if !ok {
		return func() bool { return true }
	}
	return time.AfterFunc(d, func() { b.conn.nc.Close() }).Stop
}
