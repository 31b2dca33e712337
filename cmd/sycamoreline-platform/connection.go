package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// stage is the progress of the latest request on a connection.
type stage int8

const (
	awaited  stage = iota // no request, or one whose header is incomplete
	parsed                // the header has been read
	handled               // the handler runs
	answered              // the handler has returned
	aborted               // the handler has panicked
)

// unansweredCause is why a connection that is closed leaves a request without a
// complete answer.
type unansweredCause string

const (
	// bytesUnread: bytes of a request are in the socket.
	bytesUnread unansweredCause = "bytes-unread"
	// requestDropped: all or part of a request has been read, and no handler has
	// been called.
	requestDropped unansweredCause = "request-dropped"
	// requestCut: the handler still runs.
	requestCut unansweredCause = "request-cut"
	// requestAborted: the handler has panicked, also with http.ErrAbortHandler.
	requestAborted unansweredCause = "request-aborted"
	// bodyUnread: the request has been answered, but bytes after its header are in
	// the socket. The connection is reset, which may destroy the answer on its way.
	bodyUnread unansweredCause = "body-unread"
)

// connection is an accepted connection. It reports to its server when the process
// closes it although a request is unanswered.
type connection struct {
	*net.TCPConn
	server *server

	mu         sync.Mutex
	stage      stage
	received   int       // bytes read since the last answer
	receivedAt time.Time // of the latest bytes
	ended      bool      // the client has closed or reset the connection
	closed     bool
}

func (c *connection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.received += n
		c.receivedAt = time.Now()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended = true
	}
	return n, err
}

func (c *connection) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	cause, received, receivedAt := c.unanswered(), c.received, c.receivedAt
	c.mu.Unlock()
	if first && cause != "" {
		c.server.closedUnanswered(c, cause, received, receivedAt)
	}
	return c.TCPConn.Close()
}

// unanswered returns why closing the connection would leave a request without an
// answer, or "". Requests of clients that have closed the connection don't count.
func (c *connection) unanswered() unansweredCause {
	switch {
	case c.ended:
		return ""
	case c.stage == handled:
		return requestCut
	case c.stage == aborted:
		return requestAborted
	case c.stage == parsed || c.stage == awaited && c.received > 0:
		return requestDropped
	case !c.hasUnread():
		return ""
	case c.stage == answered:
		return bodyUnread
	default:
		return bytesUnread
	}
}

// hasUnread reports whether bytes are in the socket.
func (c *connection) hasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false // the connection is closed
	}
	var n int
	if raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}) != nil {
		return false
	}
	return err == nil && n > 0
}

func (c *connection) setStage(s stage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stage = s
	if s == awaited {
		c.received = 0
	}
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// recordStages records on each request's connection whether its handler has
// returned.
func recordStages(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		result := aborted
		defer func() { c.setStage(result) }()
		c.setStage(handled)
		h.ServeHTTP(w, r)
		result = answered
	})
}

// connectionListener wraps accepted connections.
type connectionListener struct {
	net.Listener
	server *server
}

func (l connectionListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &connection{TCPConn: t, server: l.server}, nil
}
