package control

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	dialTimeout = time.Second
	// redialDelay prevents a busy loop of dials to a host that is down.
	redialDelay = 50 * time.Millisecond
)

// Peer is a client of one host. It dials on demand and keeps one connection.
type Peer struct {
	id       string
	address  string
	self     string
	key      Key
	tls      *tls.Config
	dialFunc DialFunc

	mu        sync.Mutex
	conn      *conn
	dialledAt time.Time
	dialErr   error
	isClosed  bool
}

// DialFunc opens a connection to a host.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewPeer returns a client of the host with the given id and address. self is
// the id by which the client identifies itself. config is nil for plain TCP,
// and dial nil for the default dialer.
func NewPeer(id, address, self string, key Key, config *tls.Config, dial DialFunc) *Peer {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Peer{id: id, address: address, self: self, key: key, tls: config, dialFunc: dial}
}

// Call sends a request and waits for its response. Errors of handlers are
// returned with their verdict.
func (p *Peer) Call(ctx context.Context, method string, params, result any) error {
	conn, err := p.connect(ctx)
	if err != nil {
		return &unsentError{err}
	}
	return conn.call(ctx, method, params, result)
}

// Notify sends a one-way message.
func (p *Peer) Notify(ctx context.Context, method string, params any) error {
	conn, err := p.connect(ctx)
	if err != nil {
		return err
	}
	return conn.notify(ctx, method, params)
}

// unsentError is the error of a request that was not sent.
type unsentError struct {
	err error
}

func (e *unsentError) Error() string { return e.err.Error() }
func (e *unsentError) Unwrap() error { return e.err }

func (p *Peer) connect(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		return nil, net.ErrClosed
	}
	if p.conn != nil {
		select {
		case <-p.conn.done:
			p.conn = nil
		default:
			return p.conn, nil
		}
	}
	if p.dialErr != nil && time.Since(p.dialledAt) < redialDelay {
		return nil, p.dialErr
	}
	p.conn, p.dialErr = p.dial(ctx)
	p.dialledAt = time.Now()
	return p.conn, p.dialErr
}

func (p *Peer) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := p.dialFunc(ctx, "tcp", p.address)
	if err != nil {
		return nil, fmt.Errorf("host %s: %w", p.id, err)
	}
	if p.tls != nil {
		nc = tls.Client(nc, p.tls)
	}
	c := newConn(nc, rejectRequests{})
	if err := authenticate(ctx, c, p.key, p.self); err != nil {
		c.close()
		return nil, fmt.Errorf("host %s: %w", p.id, err)
	}
	return c, nil
}

// Reset drops the connection, so that the next call dials again. It is used for
// a peer that accepts data but does not answer.
func (p *Peer) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.abort()
		p.conn = nil
	}
}

// Close closes the connection and prevents new ones.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	if p.conn != nil {
		p.conn.close()
		p.conn = nil
	}
}

// Unsent returns whether a call failed before its request was sent.
func Unsent(err error) bool {
	var unsent *unsentError
	return errors.As(err, &unsent)
}

// rejectRequests is the handler of a client connection. It rejects all
// requests.
type rejectRequests struct{}

func (rejectRequests) frameLimit() uint64 { return maxFrameBytes }

func (rejectRequests) handle(c *conn, f frame) {
	if f.ID != 0 {
		c.reply(f.ID, nil, verdict.Newf(verdict.NotRun, verdict.BadRequest, "clients do not handle requests: method %q", f.Method))
	}
}
