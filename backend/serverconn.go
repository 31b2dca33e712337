package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
)

// tcpClose is the state TCP_CLOSE of the kernel: that of a connection which has
// been reset, or has timed out. After a FIN of the server only, it is another one.
const tcpClose = 7

// serverConn is a connection to a backend server that tells its end from a reset.
// The kernel reports a reset once, to a read or a write. If that is the write of
// a request, reads return io.EOF, which would complete a response without a
// length.
type serverConn struct {
	net.Conn
	raw syscall.RawConn
}

// checkEnds wraps the connections that dial opens.
func checkEnds(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if s, ok := c.(syscall.Conn); ok {
			if raw, err := s.SyscallConn(); err == nil {
				return &serverConn{c, raw}, nil
			}
		}
		return c, nil
	}
}

func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.isReset() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// isReset reports whether the connection has ended other than by FIN, or may have.
func (c *serverConn) isReset() bool {
	var info int
	var err error
	if c.raw.Control(func(fd uintptr) {
		info, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	}) != nil {
		return true // closed by this process, as after the error of a write
	}
	return err == nil && info&0xff == tcpClose // the first byte is the state
}
