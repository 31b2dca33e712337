package forward

import (
	"io"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/route"
)

// Guards against a stream that is aborted long before its deadline, because full
// servers have rejected its rest.
func TestStartedStreamOutlastsRejections(t *testing.T) {
	s := startServer(t, func(n int, r *http.Request, w io.Writer) bool {
		if n == 1 {
			streamEvents(w, r.Header.Get("Id"), 1, 1, false)
			return false
		}
		if n <= maxNotRun+3 {
			return rejectRequest(n, r, w)
		}
		last, err := strconv.Atoi(r.Header.Get("Last"))
		if err != nil {
			return false
		}
		streamEvents(w, r.Header.Get("Id"), last+1, 4, true)
		return true
	})
	f := newFixture(t, s)
	rec, aborted, err := f.serve(f.call("s", &route.Route{Name: "s", Kind: route.Stream, MaxAttempts: 2, Resumable: true}))
	assert.NilError(t, err)
	assert.Assert(t, !aborted)
	assert.Equal(t, rec.Body.String(), "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n")
}
