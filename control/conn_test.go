package control

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/verdict"
)

func testServer(t *testing.T, key string) (*Server, *Peer) {
	t.Helper()
	k, err := NewKey(key)
	assert.NilError(t, err)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(k)
	t.Cleanup(s.Close)
	Handle(s, "echo", func(_ context.Context, _, text string) (string, error) { return text, nil })
	Handle(s, "refuse", func(context.Context, string, struct{}) (any, error) {
		return nil, verdict.New(verdict.Ran, verdict.Conflict, "no", verdict.WithRetryAfter(time.Second))
	})
	Handle(s, "lead", func(context.Context, string, struct{}) (any, error) { return nil, NewNotLeaderError("b") })
	s.Serve(l)
	p := NewPeer("a", l.Addr().String(), "test", k, nil, nil)
	t.Cleanup(p.Close)
	return s, p
}

// Guards against answers that reach another call, against text that changes on
// the way, and against errors that lose their verdict.
func TestCalls(t *testing.T) {
	_, p := testServer(t, "a key for the tests")
	long := strings.Repeat("long", 100_000)
	results := make(chan error)
	texts := []string{"", "short", "not UTF-8: \xff\xfe", long}
	for _, text := range texts {
		go func() {
			var got string
			err := p.Call(t.Context(), "echo", text, &got)
			if err == nil && got != text {
				err = errors.New("another text came back")
			}
			results <- err
		}()
	}
	for range texts {
		assert.NilError(t, <-results)
	}
	v := verdict.From(p.Call(t.Context(), "refuse", struct{}{}, nil))
	assert.Equal(t, v.Verdict(), verdict.Ran)
	assert.Equal(t, v.Reason(), verdict.Conflict)
	assert.Equal(t, v.RetryAfter(), time.Second)
	var notLeader *NotLeaderError
	assert.Assert(t, errors.As(p.Call(t.Context(), "lead", struct{}{}, nil), &notLeader))
	assert.Equal(t, notLeader.Leader(), "b")
	assert.Equal(t, verdict.From(p.Call(t.Context(), "none", struct{}{}, nil)).Reason(), verdict.BadRequest)
}

// Guards against a connection without proof of the key that makes the host hold
// a large frame, and against calls before the proof.
func TestConnectionsWithoutProof(t *testing.T) {
	_, p := testServer(t, "a key for the tests")
	nc, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.address)
	assert.NilError(t, err)
	c := newConn(nc, rejectRequests{})
	defer c.close()
	assert.Equal(t, verdict.From(c.call(t.Context(), "echo", "x", nil)).Reason(), verdict.Unauthorised)
	assert.ErrorIs(t, c.call(t.Context(), "echo", strings.Repeat("x", maxHelloBytes), nil), net.ErrClosed)
}

// Guards against a sender that waits for ever, or holds ever more, for a peer
// that does not read.
func TestPeerThatDoesNotRead(t *testing.T) {
	here, there := net.Pipe()
	defer there.Close()
	c := newConn(here, rejectRequests{})
	defer c.abort()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	text := strings.Repeat("x", 1<<20)
	for ctx.Err() == nil {
		if err := c.notify(ctx, "m", text); err != nil {
			assert.ErrorIs(t, err, context.DeadlineExceeded)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Assert(t, len(c.pending) <= maxPendingBytes+2<<20, "%d bytes wait", len(c.pending))
}

// Guards against messages that are lost when their sender closes the connection
// right after, such as the one that hands leadership over.
func TestCloseWritesWhatIsQueued(t *testing.T) {
	here, there := net.Pipe()
	c := newConn(here, rejectRequests{})
	read := make(chan frame)
	go func() {
		f, err := readFrame(bufio.NewReader(there), func() uint64 { return maxFrameBytes })
		if err != nil {
			f.Method = err.Error()
		}
		read <- f
	}()
	assert.NilError(t, c.notify(t.Context(), "last", "text"))
	c.close()
	assert.Equal(t, (<-read).Method, "last")
	there.Close()
}

// Guards against bytes of another program that make a host panic or hold what
// was never sent.
func FuzzReadFrame(f *testing.F) {
	good, err := appendFrame(nil, frame{ID: 1, Method: "m", Body: nullBody})
	assert.NilError(f, err)
	f.Add(good)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := readFrame(bufio.NewReader(bytes.NewReader(data)), func() uint64 { return maxHelloBytes })
		if err != nil {
			return
		}
		again, err := appendFrame(nil, r)
		assert.NilError(t, err)
		_, err = readFrame(bufio.NewReader(bytes.NewReader(again)), func() uint64 { return 2 * maxHelloBytes })
		assert.NilError(t, err)
	})
}

// Guards against a connection that is closed because its first frame after the
// proof of the key is large: the bound from before the proof was still in force.
func TestFirstFrameAfterTheProofIsLarge(t *testing.T) {
	_, p := testServer(t, "a key for the tests")
	text := strings.Repeat("x", 10*maxHelloBytes)
	for range 50 {
		var got string
		assert.NilError(t, p.Call(t.Context(), "echo", text, &got))
		assert.Equal(t, got, text)
		p.Reset()
	}
}
