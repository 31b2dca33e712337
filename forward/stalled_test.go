package forward

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/route"
)

// Guards against a call that waits for the body of a rejection until its deadline,
// although another server takes it.
func TestRejectionWithoutItsBodyIsRetried(t *testing.T) {
	var f *fixture
	var first *server
	second := startServer(t, answerWith("yes"))
	first = startServer(t, func(_ int, _ *http.Request, w io.Writer) bool {
		f.setServers(first, second)
		fmt.Fprint(w, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 3\r\n\r\n")
		return true
	})
	f = newFixture(t, first)
	began := time.Now()
	rec, _, err := f.serve(f.call("1", &route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}))
	assert.NilError(t, err)
	assert.Equal(t, rec.Body.String(), "yes")
	assert.Assert(t, time.Since(began) < time.Second)
}
