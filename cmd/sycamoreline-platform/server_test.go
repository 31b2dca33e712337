package main

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// Guards against a shutdown that is delayed by a connection on which no request
// has been sent, such as one of a scraper.
func TestStopIgnoresConnectionWithoutRequest(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	l.Close()
	s, err := serve(address, http.NotFoundHandler(), zap.NewNop())
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
	s, err := serve(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
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
