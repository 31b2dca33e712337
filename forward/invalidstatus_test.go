package forward

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// Guards against a response with an invalid status that reaches a caller, is waited
// on until the deadline, or is no evidence against its server.
func TestServeInvalidStatus(t *testing.T) {
	kinds := []struct {
		kind     route.Kind
		requests int
	}{{route.Idempotent, 2}, {route.NonIdempotent, 1}, {route.Stream, 1}}
	for _, status := range []string{"000", "099", "101", "600", "999", "20", "2000", "-20", "abc"} {
		for _, k := range kinds {
			t.Run(status+" "+string(k.kind), func(t *testing.T) {
				s := startServer(t, func(n int, r *http.Request, w io.Writer) bool {
					if n > 1 {
						return answerWith("ok")(n, r, w)
					}
					fmt.Fprintf(w, "HTTP/1.1 %s No\r\nId: %s\r\nSigned: yes\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nbody", status, r.Header.Get("Id"))
					return true
				})
				f := newFixture(t, s)
				rec, aborted, err := f.serve(f.call("1", &route.Route{Kind: k.kind, MaxAttempts: 2}))
				assert.Assert(t, !aborted)
				assert.Equal(t, s.requests(), k.requests)
				outcomes := f.forwarder.View().Report().Outcomes
				assert.Assert(t, len(outcomes) == 1 && outcomes[0].Failed > 0, "%v", outcomes)
				if k.requests > 1 {
					assert.NilError(t, err)
					assert.Equal(t, rec.Body.String(), "ok")
					return
				}
				assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
				assert.Equal(t, rec.Body.String(), "")
			})
		}
	}
}
