package control

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/sycamoreline/sycamoreline/cborwire"
)

const (
	// maxPendingBytes bounds the buffer of unsent bytes. Beyond it, a sender
	// blocks until the peer has read some, or the context of the call ends.
	maxPendingBytes = 4 << 20
	// maxSpareBytes bounds the buffer that is reused for the next write.
	maxSpareBytes = 64 << 10
	// closeTimeout bounds the last write of a closing connection, so that a
	// peer that does not read does not delay the exit of a process.
	closeTimeout = 100 * time.Millisecond
	// replyTimeout bounds how long a response waits for a peer that does not
	// read.
	replyTimeout = 5 * time.Second
	// readBufferSize is enough for a few messages of typical size.
	readBufferSize = 8 << 10
)

// conn is a connection between two hosts. Frames that are sent during a write
// are batched into the next one.
type conn struct {
	netConn    net.Conn
	done       chan struct{} // closed when the connection has ended
	closeOnce  sync.Once
	readerDone chan struct{} // closed when the read loop has ended
	writeMu    sync.Mutex    // serialises writes to the connection

	mu      sync.Mutex
	pending []byte        // encoded frames to write
	spare   []byte        // buffer that is reused for pending
	wake    chan struct{} // signals that pending is not empty
	drained chan struct{} // closed and replaced when pending is emptied
	lastID  uint64
	calls   map[uint64]chan frame // receive the responses, by request ID
}

// handler handles the frames that are not responses, one at a time.
type handler interface {
	handle(c *conn, f frame)
	// frameLimit returns the maximum size of the next frame in bytes.
	frameLimit() uint64
}

// newConn starts the read and write loops of a connection.
func newConn(nc net.Conn, h handler) *conn {
	c := &conn{
		netConn: nc, done: make(chan struct{}), readerDone: make(chan struct{}), wake: make(chan struct{}, 1), drained: make(chan struct{}),
		calls: map[uint64]chan frame{},
	}
	go c.read(h)
	go c.write()
	return c
}

// close flushes the queued frames and closes the connection.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		// If this fails, so does the write.
		_ = c.netConn.SetWriteDeadline(time.Now().Add(closeTimeout))
		_ = c.flush()
		c.netConn.Close()
		close(c.done)
	})
}

// abort closes the connection without flushing.
func (c *conn) abort() {
	c.closeOnce.Do(func() {
		c.netConn.Close()
		close(c.done)
	})
}

func (c *conn) read(h handler) {
	defer close(c.readerDone)
	defer c.abort()
	r := bufio.NewReaderSize(c.netConn, readBufferSize)
	for {
		f, err := readFrame(r, h.frameLimit)
		if err != nil {
			return
		}
		if f.Method != "" {
			h.handle(c, f)
			continue
		}
		c.mu.Lock()
		response := c.calls[f.ID]
		delete(c.calls, f.ID)
		c.mu.Unlock()
		if response != nil {
			response <- f
		}
	}
}

func (c *conn) write() {
	for {
		select {
		case <-c.done:
			return
		case <-c.wake:
		}
		if err := c.flush(); err != nil {
			c.abort()
			return
		}
	}
}

// flush writes the queued frames.
func (c *conn) flush() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.mu.Lock()
	batch := c.pending
	c.pending, c.spare = c.spare[:0], nil
	close(c.drained)
	c.drained = make(chan struct{})
	c.mu.Unlock()
	if len(batch) == 0 {
		return nil
	}
	_, err := c.netConn.Write(batch)
	if cap(batch) <= maxSpareBytes {
		c.mu.Lock()
		c.spare = batch
		c.mu.Unlock()
	}
	return err
}

// send queues a frame. It blocks while the queue is full.
func (c *conn) send(ctx context.Context, f frame) error {
	for {
		c.mu.Lock()
		if len(c.pending) < maxPendingBytes {
			break
		}
		drained := c.drained
		c.mu.Unlock()
		select {
		case <-drained:
		case <-c.done:
			return net.ErrClosed
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	defer c.mu.Unlock()
	b, err := appendFrame(c.pending, f)
	if err != nil {
		return err
	}
	c.pending = b
	select {
	case <-c.done:
		return net.ErrClosed
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// call sends a request and waits for its response.
func (c *conn) call(ctx context.Context, method string, params, result any) error {
	body, err := cborwire.Marshal(params)
	if err != nil {
		return err
	}
	response := make(chan frame, 1)
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.calls[id] = response
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.calls, id)
		c.mu.Unlock()
	}()
	if err := c.send(ctx, frame{ID: id, Method: method, Body: body}); err != nil {
		return err
	}
	select {
	case f := <-response:
		return readResponse(f, result)
	case <-c.done:
		return net.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// notify sends a one-way message.
func (c *conn) notify(ctx context.Context, method string, params any) error {
	body, err := cborwire.Marshal(params)
	if err != nil {
		return err
	}
	return c.send(ctx, frame{Method: method, Body: body})
}

// reply sends the response to a request. If that fails, it closes the
// connection, since the error cannot be reported to the peer.
func (c *conn) reply(id uint64, result any, err error) {
	f := frame{ID: id}
	if err == nil {
		f.Body, err = cborwire.Marshal(result)
	}
	if err != nil {
		f.Body, f.Error = nil, newWireError(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), replyTimeout)
	defer cancel()
	if c.send(ctx, f) != nil {
		c.close()
	}
}

func readResponse(f frame, result any) error {
	if f.Error != nil {
		return f.Error.err()
	}
	if result == nil || len(f.Body) == 0 {
		return nil
	}
	return cborwire.Unmarshal(f.Body, result)
}

// nullBody is the CBOR null.
var nullBody = cborwire.Raw{0xf6}
