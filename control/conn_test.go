package control

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/verdict"
)

func testServer(t *testing.T, key string) (*Server, *Peer) {
	t.Helper()
	return startServer(t, key, func(s *Server) {
		Handle(s, "echo", func(_ context.Context, _, text string) (string, error) { return text, nil })
		Handle(s, "refuse", func(context.Context, string, struct{}) (any, error) {
			return nil, verdict.New(verdict.Ran, verdict.Conflict, "no", verdict.WithRetryAfter(time.Second))
		})
		Handle(s, "lead", func(context.Context, string, struct{}) (any, error) { return nil, NewNotLeaderError("b") })
	})
}

func startServer(t *testing.T, key string, register func(*Server)) (*Server, *Peer) {
	t.Helper()
	k, err := NewKey(key)
	assert.NilError(t, err)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(k)
	t.Cleanup(s.Close)
	register(s)
	s.Serve(l)
	p := NewPeer("a", l.Addr().String(), "test", k, nil, nil)
	t.Cleanup(p.Close)
	return s, p
}

// Guards against responses that reach another call, text that is altered in
// transit, and errors that lose their verdict.
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
				err = errors.New("response differs from the request")
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

// Guards against a proposal that is reported with an unknown outcome instead of
// being repeated, and against one that is reported as not run when the time for
// repetitions ends.
func TestProposalWithUnknownOutcomeIsRepeated(t *testing.T) {
	tests := []struct {
		name     string
		unknown  int // answers with an unknown outcome; -1 for all
		want     verdict.Verdict
		proposed int // at least
	}{
		{"once", 1, verdict.Ran, 2},
		{"three times", 3, verdict.Ran, 4},
		{"always", -1, verdict.MayHaveRun, 2},
	}
	for _, tt := range tests {
		var bodies []string
		var mu sync.Mutex
		s, p := startServer(t, "a key for the tests", func(s *Server) {
			Handle(s, methodPropose, func(_ context.Context, _ string, r groupRequest) (json.RawMessage, error) {
				mu.Lock()
				defer mu.Unlock()
				bodies = append(bodies, string(r.Body))
				if tt.unknown < 0 || len(bodies) <= tt.unknown {
					return nil, verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, "leadership was lost")
				}
				return json.RawMessage(`"done"`), nil
			})
		})
		c := NewClient("e", s.key, []HostAddress{{ID: "a", Address: p.address}}, 1)
		defer c.Close()
		timeout := testTimeout
		if tt.unknown < 0 {
			timeout = 300 * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		result, err := Propose[string](ctx, c, ConfigGroup, "command")
		mu.Lock()
		assert.Assert(t, len(bodies) >= tt.proposed, "%s: %d proposals, %v", tt.name, len(bodies), err)
		for _, b := range bodies {
			assert.Equal(t, b, `"command"`, tt.name)
		}
		mu.Unlock()
		if tt.want == verdict.Ran {
			assert.NilError(t, err, tt.name)
			assert.Equal(t, result, "done", tt.name)
		} else {
			assert.Equal(t, verdict.Of(err), tt.want, tt.name)
			assert.Equal(t, verdict.From(err).Reason(), verdict.ControlUnavailable, tt.name)
		}
	}
}

// Guards against an unauthenticated connection that makes the host allocate a
// large frame, and against calls before authentication.
func TestConnectionsWithoutProof(t *testing.T) {
	_, p := testServer(t, "a key for the tests")
	nc, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.address)
	assert.NilError(t, err)
	c := newConn(nc, rejectRequests{})
	defer c.close()
	assert.Equal(t, verdict.From(c.call(t.Context(), "echo", "x", nil)).Reason(), verdict.Unauthorised)
	assert.ErrorIs(t, c.call(t.Context(), "echo", strings.Repeat("x", maxHelloBytes), nil), net.ErrClosed)
}

// Guards against a sender that blocks for ever, or buffers without bound,
// because its peer does not read.
func TestPeerThatDoesNotRead(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	c := newConn(local, rejectRequests{})
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
	assert.Assert(t, len(c.pending) <= maxPendingBytes+2<<20, "%d bytes are pending", len(c.pending))
}

// Guards against the loss of a message whose sender closes the connection
// immediately afterwards, such as the message that transfers leadership.
func TestCloseWritesWhatIsQueued(t *testing.T) {
	local, remote := net.Pipe()
	c := newConn(local, rejectRequests{})
	read := make(chan frame)
	go func() {
		f, err := readFrame(bufio.NewReader(remote), func() uint64 { return maxFrameBytes })
		if err != nil {
			f.Method = err.Error()
		}
		read <- f
	}()
	assert.NilError(t, c.notify(t.Context(), "last", "text"))
	c.close()
	assert.Equal(t, (<-read).Method, "last")
	remote.Close()
}

// Guards against malformed input that makes a host panic or allocate more than
// was sent.
func FuzzReadFrame(f *testing.F) {
	valid, err := appendFrame(nil, frame{ID: 1, Method: "m", Body: nullBody})
	assert.NilError(f, err)
	f.Add(valid)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := readFrame(bufio.NewReader(bytes.NewReader(data)), func() uint64 { return maxHelloBytes })
		if err != nil {
			return
		}
		encoded, err := appendFrame(nil, r)
		assert.NilError(t, err)
		_, err = readFrame(bufio.NewReader(bytes.NewReader(encoded)), func() uint64 { return 2 * maxHelloBytes })
		assert.NilError(t, err)
	})
}

// Guards against a connection that is closed because its first frame after
// authentication is large: the size limit was read before the frame began, when
// the limit for unauthenticated connections still applied.
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
