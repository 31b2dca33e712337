package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/sycamoreline/sycamoreline/balancer"
	"github.com/sycamoreline/sycamoreline/platform"
)

const (
	// answerWait bounds the wait for an answer that does not come.
	answerWait = 10 * time.Second
	getRequest = "GET / HTTP/1.1\r\nHost: test\r\n" + platform.HeaderRequestID + ": r\r\n\r\n"
)

// rawConnection is a client's connection on which a test writes requests byte by
// byte.
type rawConnection struct {
	net.Conn
	buffered *bufio.Reader
}

func dialRaw(t *testing.T, address string) *rawConnection {
	c, err := (&net.Dialer{Timeout: answerWait}).DialContext(t.Context(), "tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return &rawConnection{c, bufio.NewReader(c)}
}

// send writes bytes of a request. An error shows in answer.
func (c *rawConnection) send(text string) { _, _ = c.Write([]byte(text)) }

// answer reads an answer and returns its status.
func (c *rawConnection) answer() (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(answerWait)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.buffered, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

// aborted reads an answer that has begun, and returns the error that ends it.
func (c *rawConnection) aborted() error {
	if err := c.SetReadDeadline(time.Now().Add(answerWait)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.buffered, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// watchedServer is a server whose log and metrics a test reads.
type watchedServer struct {
	*server
	address string
	logs    *observer.ObservedLogs
	metrics tally.TestScope
}

func serveWatched(t *testing.T, address string, h http.HandlerFunc) *watchedServer {
	core, logs := observer.New(zap.InfoLevel)
	w := &watchedServer{address: address, logs: logs, metrics: tally.NewTestScope("", nil)}
	var err error
	w.server, err = serve(address, testPort(), h, zap.New(core), withMetrics(w.metrics), withPhase(func() balancer.Phase { return balancer.Refusing }))
	assert.NilError(t, err)
	t.Cleanup(func() { w.Close() })
	return w
}

// causes returns the causes of the log lines and of the counters.
func (w *watchedServer) causes() (logged, counted []string) {
	for _, e := range w.logs.FilterMessage("connection closed with an unanswered request").All() {
		logged = append(logged, e.ContextMap()["cause"].(string)+" "+e.ContextMap()["phase"].(string))
	}
	for _, c := range w.metrics.Snapshot().Counters() {
		for range c.Value() {
			counted = append(counted, c.Tags()["cause"]+" "+c.Tags()["phase"])
		}
	}
	slices.Sort(logged)
	slices.Sort(counted)
	return logged, counted
}

// awaitReceived waits until the server has read a number of bytes on its only
// connection since the last answer.
func (w *watchedServer) awaitReceived(t *testing.T, want int) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		w.mu.Lock()
		defer w.mu.Unlock()
		for c := range w.open {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.received >= want {
				return poll.Success()
			}
		}
		return poll.Continue("not read yet")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(answerWait))
}

// Guards against requests that end without an answer, a log line and a count,
// because the process closes their connection.
func TestUnansweredRequestIsReported(t *testing.T) {
	const address = "127.48.1.7:17443"
	for _, test := range []struct {
		name string
		send func(t *testing.T, s *watchedServer)
		want []string
	}{
		{"unused connection", func(t *testing.T, s *watchedServer) { dialRaw(t, s.address) }, nil},
		{"answered, connection kept", func(t *testing.T, s *watchedServer) {
			c := dialRaw(t, s.address)
			c.send(getRequest)
			_, err := c.answer()
			assert.NilError(t, err)
		}, nil},
		{"given up by the client", func(t *testing.T, s *watchedServer) {
			c := dialRaw(t, s.address)
			c.send("GET / HT")
			s.awaitReceived(t, 8)
			c.Close()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				s.mu.Lock()
				defer s.mu.Unlock()
				if len(s.open) == 0 {
					return poll.Success()
				}
				return poll.Continue("connection not closed yet")
			}, poll.WithDelay(time.Millisecond), poll.WithTimeout(answerWait))
		}, nil},
		{"part of a request", func(t *testing.T, s *watchedServer) {
			dialRaw(t, s.address).send("GET / HT")
			s.awaitReceived(t, 8)
		}, []string{"request-dropped refusing"}},
		{"handler runs", func(t *testing.T, s *watchedServer) {
			c := dialRaw(t, s.address)
			c.send("GET /hang HTTP/1.1\r\nHost: test\r\n\r\n")
			_, err := c.buffered.ReadString('\n')
			assert.NilError(t, err)
		}, []string{"request-cut refusing"}},
		{"handler panics", func(t *testing.T, s *watchedServer) {
			c := dialRaw(t, s.address)
			c.send("GET /panic HTTP/1.1\r\nHost: test\r\n\r\n")
			assert.ErrorIs(t, c.aborted(), io.ErrUnexpectedEOF)
		}, []string{"request-aborted refusing"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := serveWatched(t, address, func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/hang":
					w.WriteHeader(http.StatusOK)
					assert.Check(t, http.NewResponseController(w).Flush())
					<-r.Context().Done()
				case "/panic":
					w.WriteHeader(http.StatusOK)
					assert.Check(t, http.NewResponseController(w).Flush())
					panic(http.ErrAbortHandler)
				}
			})
			test.send(t, s)
			assert.NilError(t, s.stopNow())
			logged, counted := s.causes()
			assert.DeepEqual(t, logged, test.want)
			assert.DeepEqual(t, counted, test.want)
		})
	}
}

// Guards against a close with unread bytes that is not seen: it resets the
// connection.
func TestUnreadBytesAreReported(t *testing.T) {
	for _, test := range []struct {
		name  string
		stage stage
		send  string
		want  unansweredCause
	}{
		{"nothing sent", awaited, "", ""},
		{"request", awaited, getRequest, bytesUnread},
		{"body after its answer", answered, "rest", bodyUnread},
		{"answered", answered, "", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			client := dialRaw(t, l.Addr().String())
			accepted, err := (&connectionListener{TCPListener: l.(*net.TCPListener), server: &server{logger: zap.NewNop(), metrics: tally.NoopScope, port: testPort()}}).Accept()
			assert.NilError(t, err)
			defer accepted.Close()
			c := accepted.(*connection)
			c.setStage(test.stage)
			client.send(test.send)
			if test.send != "" {
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if c.hasUnread() {
						return poll.Success()
					}
					return poll.Continue("not arrived yet")
				}, poll.WithDelay(time.Millisecond), poll.WithTimeout(answerWait))
			}
			assert.Equal(t, c.unanswered(), test.want)
		})
	}
}

// Guards against a panic of a handler that the log level hides.
func TestPanicIsLoggedAsError(t *testing.T) {
	s := serveWatched(t, "127.48.1.7:17443", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		assert.Check(t, http.NewResponseController(w).Flush())
		panic("a fault")
	})
	c := dialRaw(t, s.address)
	c.send(getRequest)
	assert.ErrorIs(t, c.aborted(), io.ErrUnexpectedEOF)
	ctx, cancel := context.WithTimeout(t.Context(), answerWait)
	defer cancel()
	assert.NilError(t, s.stop(ctx))
	errs := s.logs.FilterLevelExact(zap.ErrorLevel).All()
	assert.Assert(t, len(errs) == 1 && strings.Contains(errs[0].Message, "a fault"), "%v", errs)
}
