package forward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// SyscallConn implements syscall.Conn, so that the pool sees the connection's state.
func (c *countingConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// Guards against an answer or a stream without a length that counts as complete
// although its connection was reset while the request was being sent.
func TestServeResetBesideLongUpload(t *testing.T) {
	const readBytes = 100 << 10
	answers := []struct {
		kind route.Kind
		text string
	}{
		{route.NonIdempotent, "part of an answer"},
		{route.Stream, "id: 1\ndata: e1\n\n"},
	}
	for _, a := range answers {
		for _, h := range closeDelimited {
			t.Run(fmt.Sprint(a.kind, " ", h), func(t *testing.T) {
				for range 10 { // the reader and the writer race for the report
					var read atomic.Int64
					l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
					assert.NilError(t, err)
					go func() {
						c, err := l.Accept()
						if !assert.Check(t, err) {
							return
						}
						defer c.Close()
						_, err = io.CopyN(io.Discard, c, readBytes)
						assert.Check(t, err)
						resetAfter(t, c, fmt.Sprintf("%s 200 OK\r\nId: 1\r\nSigned: yes\r\n%s\r\n%s", h.version, h.header, a.text), &read)
					}()
					f := newFixture(t, &server{listener: l})
					f.countReads(&read)
					c := f.call("1", &route.Route{Kind: a.kind, MaxAttempts: 1})
					c.Body = bytes.Repeat([]byte("x"), 16<<20)
					rec, aborted, err := f.serve(c)
					l.Close()
					if a.kind == route.Stream {
						assert.Assert(t, aborted)
						assert.Equal(t, rec.Body.String(), a.text)
						continue
					}
					assert.Equal(t, verdict.Of(err), verdict.MayHaveRun, "%q", rec.Body.String())
					assert.Equal(t, rec.Body.String(), "")
				}
			})
		}
	}
}
