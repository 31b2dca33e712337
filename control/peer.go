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
	// redialDelay keeps a host that is down from being dialled in a busy loop.
	redialDelay = 50 * time.Millisecond
)

// Peer is one control host as a client sees it. It dials on demand and keeps
// one connection.
type Peer struct {
	id      string
	address string
	self    string
	key     Key
	tls     *tls.Config
	dialTCP DialFunc

	mu       sync.Mutex
	conn     *conn
	dialledAt  time.Time
	dialErr  error
	isClosed bool
}

// DialFunc opens a connection to a control host.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewPeer returns the host with an id at an address, as a host that calls
// itself self sees it. config is nil without TLS, and dial nil for TCP.
func NewPeer(id, address, self string, key Key, config *tls.Config, dial DialFunc) *Peer {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Peer{id: id, address: address, self: self, key: key, tls: config, dialTCP: dial}
}

// Call sends a request and waits for its response. Errors of handlers come
// back with their verdict.
func (p *Peer) Call(ctx context.Context, method string, params, result any) error {
	conn, err := p.connect(ctx)
	if err != nil {
		return &unsentError{err}
	}
	return conn.call(ctx, method, params, result)
}

// Notify sends a message without a response.
func (p *Peer) Notify(ctx context.Context, method string, params any) error {
	conn, err := p.connect(ctx)
	if err != nil {
		return err
	}
	return conn.notify(ctx, method, params)
}

// unsentError says that a request did not leave this host.
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
	nc, err := p.dialTCP(ctx, "tcp", p.address)
	if err != nil {
		return nil, fmt.Errorf("control host %s: %w", p.id, err)
	}
	if p.tls != nil {
		nc = tls.Client(nc, p.tls)
	}
	c := newConn(nc, rejectRequests{})
	if err := authenticate(ctx, c, p.key, p.self); err != nil {
		c.close()
		return nil, fmt.Errorf("control host %s: %w", p.id, err)
	}
	return c, nil
}

// Reset drops the connection, so that the next call dials again. It is used
// when a peer that accepts data does not answer.
func (p *Peer) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.abort()
		p.conn = nil
	}
}

// Close drops the connection for good.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	if p.conn != nil {
		p.conn.close()
		p.conn = nil
	}
}

// Unsent returns whether a call failed before the request left this host.
func Unsent(err error) bool {
	var unsent *unsentError
	return errors.As(err, &unsent)
}

// rejectRequests is the handler of a client, which takes no requests.
type rejectRequests struct{}

func (rejectRequests) frameLimit() uint64 { return maxFrameBytes }

func (rejectRequests) handle(c *conn, f frame) {
	if f.ID != 0 {
		c.reply(f.ID, nil, verdict.Newf(verdict.NotRun, verdict.BadRequest, "clients take no requests, such as %q", f.Method))
	}
}
