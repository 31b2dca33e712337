package main

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/sycamoreline/sycamoreline/connlimit"
)

// testPort returns a port whose connections are not limited.
func testPort() *connlimit.Port { return connlimit.NewAccount(1<<40).Port("test", 0, false) }

// Guards against a shutdown that is delayed by a connection on which no request
// has been sent, such as one of a scraper.
func TestStopIgnoresConnectionWithoutRequest(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	l.Close()
	s, err := serve(address, testPort(), http.NotFoundHandler(), zap.NewNop())
	assert.NilError(t, err)
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	time.Sleep(100 * time.Millisecond) // until the server has accepted the connection
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	start := time.Now()
	assert.NilError(t, s.stop(ctx))
	assert.Assert(t, time.Since(start) < time.Second, "stopped after %s", time.Since(start))
}

// Guards against a shutdown that closes the connection of a request in progress
// together with unused ones.
func TestStopWaitsForRequestsBesideUnusedConnections(t *testing.T) {
	const address = "127.48.1.3:17443"
	running := make(chan struct{})
	s, err := serve(address, testPort(), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		time.Sleep(3 * unusedTimeout) // the request outlasts the wait for unused connections
		w.WriteHeader(http.StatusOK)
	}), zap.NewNop())
	assert.NilError(t, err)
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	done := make(chan error, 1)
	go func() {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address, nil)
		if err == nil {
			var resp *http.Response
			if resp, err = http.DefaultTransport.RoundTrip(r); err == nil {
				resp.Body.Close()
			}
		}
		done <- err
	}()
	<-running
	assert.NilError(t, s.stop(t.Context()))
	assert.NilError(t, <-done)
}

// Guards against a request that is read while the server stops, and dropped.
func TestStopAnswersRequestsOnTheirWay(t *testing.T) {
	for _, test := range []struct {
		name string
		kept bool
	}{
		{"first request", false},
		{"later request", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := serveWatched(t, "127.48.1.8:17443", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
			c := dialRaw(t, s.address)
			if test.kept {
				c.send(getRequest)
				_, err := c.answer()
				assert.NilError(t, err)
			}
			c.send(getRequest[:20])
			s.awaitReceived(t, 20)
			stopped := make(chan error, 1)
			go func() { stopped <- s.stop(t.Context()) }()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if s.stopping.Load() {
					return poll.Success()
				}
				return poll.Continue("not stopping yet")
			}, poll.WithDelay(time.Millisecond), poll.WithTimeout(answerWait))
			s.done.Wait() // no connection is accepted any more
			c.send(getRequest[20:])
			status, err := c.answer()
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.NilError(t, <-stopped)
		})
	}
}

// Guards against a stop that waits for connections on which nothing arrives, or
// for the rest of a request that does not come.
func TestStopEndsBesideSilentConnections(t *testing.T) {
	for _, test := range []struct {
		name string
		send string
		want time.Duration
	}{
		{"kept", "", unusedTimeout / 2},
		{"part of a request", getRequest[:20], 2 * unusedTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := serveWatched(t, "127.48.1.8:17443", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
			for range 50 {
				c := dialRaw(t, s.address)
				c.send(getRequest)
				_, err := c.answer()
				assert.NilError(t, err)
				c.send(test.send)
			}
			s.awaitReceived(t, len(test.send))
			start := time.Now()
			assert.NilError(t, s.stop(t.Context()))
			assert.Check(t, time.Since(start) < test.want+startTimeout/10, "stopped after %v", time.Since(start))
			t.Logf("stopped after %v", time.Since(start))
		})
	}
}

// Guards against connections that expire with a request in progress, or never.
func TestIsSilent(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name     string
		p        progress
		stopping time.Duration
		want     bool
	}{
		{"new", progress{}, 0, false},
		{"new for long", progress{}, unusedTimeout, true},
		{"kept", progress{used: true}, 0, true},
		{"part of a request", progress{used: true, received: 1, receivedAt: now.Add(-unusedTimeout + 1)}, time.Hour, false},
		{"part of a request for long", progress{received: 1, receivedAt: now.Add(-unusedTimeout)}, 0, true},
		{"header read", progress{stage: parsed, received: 1}, time.Hour, false},
		{"in progress", progress{stage: handled}, time.Hour, false},
		{"answered", progress{stage: answered}, time.Hour, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.p.isSilent(now, test.stopping), test.want)
		})
	}
}
