package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/cluster"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// limitedAnswer answers requests and names a limit up to the last-th one.
func limitedAnswer(last int) func(int, *http.Request, io.Writer) bool {
	return func(n int, r *http.Request, w io.Writer) bool {
		limit := ""
		if n <= last {
			limit = "Limit: 1\r\n"
		}
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\n%sContent-Length: 2\r\n\r\nok", r.Header.Get("Id"), limit)
		return true
	}
}

// Guards against requests that are sent to a limited server without a permit,
// against calls that fail although another server takes them, and against a
// limit that outlasts the responses that name it.
func TestServeKeepsToServerLimit(t *testing.T) {
	const calls = 30
	tests := []struct {
		name    string
		last    int // last request to which the first server names a limit
		permits int
		limited int // requests that the first server gets; -1 for more than permits allow
	}{
		{"no permits", calls, 0, 1},
		{"some permits", calls, 3, 4},
		{"limit ended", 2, 2, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := startServer(t, limitedAnswer(tt.last)), startServer(t, answerWith("ok"))
			f := newFixture(t, first)
			f.permits.left = tt.permits
			_, _, err := f.serve(f.call("0", &route.Route{Kind: route.NonIdempotent}))
			assert.NilError(t, err)
			f.setServers(first, second)
			for i := range calls {
				_, _, err := f.serve(f.call(fmt.Sprint(i+1), &route.Route{Kind: route.NonIdempotent}))
				assert.NilError(t, err)
			}
			assert.Equal(t, first.requests()+second.requests(), calls+1)
			if tt.limited < 0 {
				assert.Assert(t, first.requests() > tt.permits+1)
			} else {
				assert.Equal(t, first.requests(), tt.limited)
			}
		})
	}
}

// Guards against a call that waits for a permit and then gets a wrong verdict.
func TestServeWithoutPermit(t *testing.T) {
	s := startServer(t, limitedAnswer(10))
	f := newFixture(t, s)
	_, _, err := f.serve(f.call("1", &route.Route{Kind: route.NonIdempotent}))
	assert.NilError(t, err)
	c := f.call("2", &route.Route{Kind: route.NonIdempotent})
	c.Deadline = time.Now().Add(100 * time.Millisecond)
	_, _, err = f.serve(c)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	assert.Equal(t, s.requests(), 1)
}

// cancellingPermits ends the context of the call that asks for a permit.
type cancellingPermits struct{ cancel context.CancelFunc }

func (p *cancellingPermits) Permit(context.Context, cluster.ServerLimit) time.Duration {
	p.cancel()
	return time.Hour
}

// Guards against a caller that leaves while its call waits for a permit, and
// thereby keeps the server from the other calls.
func TestCallerLeavesBeforePermit(t *testing.T) {
	s := startServer(t, limitedAnswer(10))
	f := newFixture(t, s)
	_, _, err := f.serve(f.call("1", &route.Route{Kind: route.NonIdempotent}))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	f.forwarder.permits = &cancellingPermits{cancel}
	err = f.forwarder.Serve(ctx, httptest.NewRecorder(), f.call("2", &route.Route{Kind: route.NonIdempotent}))
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	f.forwarder.permits = &f.permits
	f.permits.left = 1
	_, _, err = f.serve(f.call("3", &route.Route{Kind: route.NonIdempotent}))
	assert.NilError(t, err)
	assert.Equal(t, s.requests(), 2)
}
