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
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	start := time.Now()
	assert.NilError(t, s.stop(ctx))
	assert.Assert(t, time.Since(start) < time.Second, "stopped after %s", time.Since(start))
}
