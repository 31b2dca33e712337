package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/connlimit"
)

// Guards against a head that exceeds the configuration's limit and is handled, and
// against one within it that is refused, also on a connection that has been used.
func TestConfiguredHeadLimit(t *testing.T) {
	const limit = 16 << 10
	s, err := serve("127.48.1.9:17443", testPort(), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }),
		zap.NewNop(), withLimits(func() connlimit.Limits { return connlimit.Limits{HeadBytes: limit, HeadTimeout: time.Minute} }))
	assert.NilError(t, err)
	defer func() { assert.NilError(t, s.stopNow()) }()
	request := func(bytes int) string {
		return strings.Replace(getRequest, "\r\n\r\n", "\r\nX: "+strings.Repeat("x", bytes-len(getRequest)-5)+"\r\n\r\n", 1)
	}
	for _, tt := range []struct{ bytes, status int }{
		{limit, http.StatusOK}, {limit + 4096, http.StatusOK}, {2 * limit, http.StatusRequestHeaderFieldsTooLarge},
	} {
		c := dialRaw(t, "127.48.1.9:17443")
		c.send(getRequest)
		status, err := c.answer()
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		c.send(request(tt.bytes))
		status, err = c.answer()
		assert.NilError(t, err)
		assert.Equal(t, status, tt.status)
	}
}

// Guards against a configured timeout that does not apply, or that applies to idle
// connections.
func TestHeadDeadline(t *testing.T) {
	far := time.Now().Add(time.Hour)
	h := connlimit.NewHead(testPort(), func() {}, func() connlimit.Limits { return connlimit.Limits{HeadTimeout: time.Second} })
	assert.Assert(t, h.Deadline(far).Before(far), "a new connection")
	assert.Assert(t, h.Deadline(time.Time{}).IsZero())
	past := time.Now().Add(-time.Second)
	assert.Equal(t, h.Deadline(past), past)
	h.Parsed()
	assert.Equal(t, h.Deadline(far), far, "during a request")
	h.Idle()
	assert.Equal(t, h.Deadline(far), far, "an idle connection")
	assert.NilError(t, h.Read([]byte("GET ")))
	assert.Assert(t, h.Deadline(far).Before(far), "a later head")
}
