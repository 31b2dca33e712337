package connlimit

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// headMargin is added to the configured limit of a head: a read may contain as
	// much of a body, and as much again is left for proxies that add fields.
	headMargin = 8 << 10
	// timeoutMargin is added to the configured time for a head.
	timeoutMargin = time.Second
	// bodyFactor is the memory of a body that is read into a growing buffer,
	// relative to its length.
	bodyFactor = 2
)

// ErrHeadTooLarge is the cause of a failed read if the head of a request is longer
// than its limit.
var ErrHeadTooLarge = errors.New("the head of the request is too large")

// ErrBodyMemory is the cause of a failed read if a body does not fit into the memory
// of connections. It can be sent again later.
var ErrBodyMemory = errors.New("the memory of connections is used up")

// errClosed is the cause of a failed read if the account has closed the connection.
var errClosed = errors.New("closed: the memory of connections is over the limit")

// Limits are the limits of a configuration. Zero stands for no limit.
type Limits struct {
	HeadBytes   int
	HeadTimeout time.Duration
}

// Head counts the head that is read on one connection. Its methods are safe for
// concurrent use.
type Head struct {
	entry  *Entry
	limits func() Limits

	mu      sync.Mutex
	reading bool // a head is read, or awaited
	bytes   int
	used    bool // a request has been answered
}

// NewHead adds a connection to a port. limits returns those in force; nil means
// that there are none.
func NewHead(p *Port, closeConn func(), limits func() Limits) *Head {
	if limits == nil {
		limits = func() Limits { return Limits{} }
	}
	h := &Head{limits: limits, reading: true}
	h.entry = p.Open(time.Now(), closeConn)
	return h
}

// Read counts what has been read. An error means that the connection must be
// closed. It is a *net.OpError, which http.Server does not answer.
func (h *Head) Read(p []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.reading || len(p) == 0 {
		return nil
	}
	h.bytes += len(p)
	if limit := h.limits().HeadBytes; limit > 0 && h.bytes > limit+headMargin {
		return &net.OpError{Op: "read", Net: "tcp", Err: ErrHeadTooLarge}
	}
	if !h.entry.Grow(time.Now(), len(p), bytes.Count(p, []byte{'\n'})) {
		return &net.OpError{Op: "read", Net: "tcp", Err: errClosed}
	}
	return nil
}

// Deadline returns the deadline of reads if http.Server sets t: that of a head is
// not later than configured. A zero time stays.
func (h *Head) Deadline(t time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	idle := h.used && h.bytes == 0
	timeout := h.limits().HeadTimeout
	if t.IsZero() || !h.reading || idle || timeout <= 0 {
		return t
	}
	if limit := time.Now().Add(timeout + timeoutMargin); limit.Before(t) {
		return limit
	}
	return t
}

// Parsed records that the head has been read.
func (h *Head) Parsed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reading = false
}

// Accept records that a request is handled. It returns false if the connection has
// been closed.
func (h *Head) Accept() bool { return h.entry.Accept() }

// CountBody returns a request whose body counts as long as the request is handled.
// A read of what does not fit fails with ErrBodyMemory.
func (h *Head) CountBody(r *http.Request) *http.Request {
	if r.ContentLength == 0 {
		return r
	}
	r = r.WithContext(r.Context()) // http.Server keeps the original body
	r.Body = &countedBody{r.Body, h}
	return r
}

type countedBody struct {
	io.ReadCloser
	head *Head
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.head.entry.Hold(time.Now(), n*bodyFactor) {
		return 0, ErrBodyMemory
	}
	return n, err
}

// Idle records that the request has been answered.
func (h *Head) Idle() {
	h.mu.Lock()
	h.reading, h.bytes, h.used = true, 0, true
	h.mu.Unlock()
	h.entry.Idle(time.Now())
}

// Close removes the connection from the account.
func (h *Head) Close() { h.entry.Close() }

// IsClosed reports whether the account has closed the connection.
func (h *Head) IsClosed() bool { return h.entry.IsClosed() }

// Listener adds the connections that it accepts to a port.
type Listener struct {
	net.Listener
	port *Port
}

// NewListener returns a Listener. One with TLS belongs below it if heads of HTTP
// requests are read: their lines cannot be counted in what is encrypted.
func NewListener(l net.Listener, p *Port) *Listener { return &Listener{l, p} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc}
	raw := nc
	if t, ok := nc.(*tls.Conn); ok {
		raw = t.NetConn() // closing a tls.Conn may wait for its client
	}
	c.head = NewHead(l.port, func() { raw.Close() }, nil)
	return c, nil
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	head *Head
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if limitErr := c.head.Read(p[:n]); limitErr != nil {
		return 0, limitErr
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.head.Close()
	return c.Conn.Close()
}

// Accepted records that the peer has been authenticated: the connection is not
// closed for its memory any more.
func (c *Conn) Accepted() {
	c.head.Parsed()
	c.head.Accept()
}

// find returns the Conn below a connection, or nil.
func find(nc net.Conn) *Conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*Conn)
	return c
}

// Accepted records on a connection of a Listener, with or without TLS, that its
// peer has been authenticated.
func Accepted(nc net.Conn) {
	if c := find(nc); c != nil {
		c.Accepted()
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Watch makes an HTTP server record the progress of requests on connections of a
// Listener. The server must not have started.
func Watch(s *http.Server) {
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		c := find(nc)
		switch {
		case c == nil:
		case state == http.StateActive:
			c.head.Parsed()
		case state == http.StateIdle:
			c.head.Idle()
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, find(nc))
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok && c != nil && !c.head.Accept() {
			panic(http.ErrAbortHandler) // the connection has been closed
		}
		next.ServeHTTP(w, r)
	})
}
