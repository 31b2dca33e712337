package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/sycamoreline/sycamoreline/connlimit"
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

// progress is what is known of the latest request on a connection.
type progress struct {
	stage      stage
	received   int       // bytes read since the last answer
	receivedAt time.Time // of the latest bytes
	used       bool      // a request has been answered
}

// isSilent reports whether no request is in progress or on its way, on a server
// that has been stopping for a time. A request on a new connection, and the rest
// of one, get unusedTimeout to arrive.
func (p progress) isSilent(now time.Time, stopping time.Duration) bool {
	switch {
	case p.stage != awaited:
		return false
	case p.received > 0:
		return now.Sub(p.receivedAt) >= unusedTimeout
	default:
		return p.used || stopping >= unusedTimeout
	}
}

// headTooLarge is the answer to a request whose head exceeds the configured limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// connection is an accepted connection. It reports to its server when the process
// closes it although a request is unanswered.
type connection struct {
	*net.TCPConn
	server *server
	head   *connlimit.Head

	mu sync.Mutex
	progress
	expired bool // reads return what has arrived, and don't wait
	ended   bool // the client has closed or reset the connection
	closed  bool
}

func (c *connection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isExpired() {
		n, err = c.readArrived(p)
	}
	if limitErr := c.head.Read(p[:n]); limitErr != nil {
		c.refuse(limitErr)
		return 0, limitErr
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.received += n
		c.receivedAt = time.Now()
		c.renew()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended = true
	}
	return n, err
}

// refuse ends a connection that exceeds a limit.
func (c *connection) refuse(err error) {
	if errors.Is(err, connlimit.ErrHeadTooLarge) {
		c.server.refusedHead(c)
		_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.WriteString(c.TCPConn, headTooLarge) // the client may not read it
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true // no request has arrived whole
}

// closeForMemory closes a connection on which no request has been accepted.
func (c *connection) closeForMemory() {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	c.TCPConn.Close()
}

// SetReadDeadline sets the deadline of reads, unless the connection has expired.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired {
		return nil
	}
	return c.TCPConn.SetReadDeadline(c.head.Deadline(t))
}

// expireIfSilent makes reads of a silent connection return what has arrived instead
// of waiting. The HTTP server then handles the request that has arrived, or closes
// the connection.
func (c *connection) expireIfSilent(now time.Time, stopping time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired || !c.isSilent(now, stopping) {
		return
	}
	c.expired = true
	_ = c.TCPConn.SetReadDeadline(now) // fails if the connection is closed
}

// renew makes reads of an expired connection wait again.
func (c *connection) renew() {
	if c.expired {
		c.expired = false
		_ = c.TCPConn.SetReadDeadline(time.Time{}) // fails if the connection is closed
	}
}

func (c *connection) isExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expired
}

// readArrived reads what has arrived. net.TCPConn reads nothing after a deadline.
func (c *connection) readArrived(p []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	if controlErr := raw.Control(func(fd uintptr) { n, err = syscall.Read(int(fd), p) }); controlErr != nil {
		return 0, controlErr
	}
	switch {
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
		return 0, os.ErrDeadlineExceeded
	case err != nil:
		return 0, os.NewSyscallError("read", err)
	case n == 0:
		return 0, io.EOF
	default:
		return n, nil
	}
}

func (c *connection) Close() error {
	c.head.Close()
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
	switch s {
	case awaited:
		c.received, c.used = 0, true
	case parsed:
		c.renew()
	default:
	}
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// recordStages records on each request's connection whether its handler has
// returned. While the server stops, connections are closed after the answer.
func (s *server) recordStages(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		c, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		if !c.head.Accept() {
			panic(http.ErrAbortHandler) // the connection is being closed; a return would answer 200
		}
		result := aborted
		defer func() { c.setStage(result) }()
		c.setStage(handled)
		if s.countsBodies && r.ContentLength != 0 {
			r = c.head.CountBody(r)
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout)) // fails if the connection is closed
		}
		if mayBeLong(r) {
			s.serveLong(h, w, r)
		} else {
			s.answerPanics(h, w, r)
		}
		result = answered
	})
}

// longBody is a request body of which http.Server may not read the rest.
type longBody struct {
	io.ReadCloser
	ended bool // nothing more can be read
}

func (b *longBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err != nil
	return n, err
}

// mayBeLong reports whether http.Server may close the connection of a request
// without reading the rest of its body.
func mayBeLong(r *http.Request) bool {
	return (r.ContentLength < 0 || r.ContentLength > serverDiscardBytes) && r.Header.Get("Expect") == ""
}

// serveLong calls a handler. If the handler has not read the whole body, as after a
// refusal, serveLong sends the answer and reads the rest. The HTTP server would
// reset the connection while the client sends, and so lose the answer.
func (s *server) serveLong(h http.Handler, w http.ResponseWriter, r *http.Request) {
	b := &longBody{ReadCloser: r.Body}
	r = r.WithContext(r.Context()) // the HTTP server keeps the original body
	r.Body = b
	s.answerPanics(h, w, r)
	if b.ended {
		return
	}
	c := http.NewResponseController(w)
	if errors.Join(c.SetReadDeadline(time.Now().Add(discardTimeout)), c.Flush()) == nil {
		_, _ = io.CopyN(io.Discard, b, maxDiscardBytes) // after an error, the HTTP server closes the connection
	}
}

// connectionListener wraps accepted connections. Once a deadline has ended Accept,
// it accepts the connections that are in the listen queue, which closing the
// listener would reset, and then returns http.ErrServerClosed.
type connectionListener struct {
	*net.TCPListener
	server *server
	limit  time.Time // zero before the deadline
}

// Accept returns a *connection. It is not safe for concurrent use.
func (l *connectionListener) Accept() (net.Conn, error) {
	c, err := l.accept()
	if errors.Is(err, os.ErrDeadlineExceeded) && l.limit.IsZero() {
		l.limit = time.Now().Add(queueLimit)
		c, err = l.accept()
	}
	switch {
	case err == nil:
		conn := &connection{TCPConn: c, server: l.server}
		conn.head = connlimit.NewHead(l.server.port, conn.closeForMemory, l.server.limits)
		return conn, nil
	case l.server.stopping.Load():
		return nil, http.ErrServerClosed
	default:
		return nil, err
	}
}

// accept waits for queueTimeout at most once there is a limit. A wait that took
// longer than that says nothing about the queue: the process was not running.
func (l *connectionListener) accept() (*net.TCPConn, error) {
	if l.limit.IsZero() {
		return l.AcceptTCP()
	}
	for start := time.Now(); start.Before(l.limit); start = time.Now() {
		if err := l.SetDeadline(start.Add(queueTimeout)); err != nil {
			return nil, err
		}
		c, err := l.AcceptTCP()
		if err == nil || time.Since(start) < 2*queueTimeout {
			return c, err
		}
	}
	return nil, os.ErrDeadlineExceeded
}
