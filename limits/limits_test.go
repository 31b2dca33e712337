package limits

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/metrics"
)

// page returns the metrics page of a host.
func page(t *testing.T, record func(s tally.Scope)) string {
	scope, handler, closer := metrics.New(time.Hour)
	record(scope)
	assert.NilError(t, closer.Close()) // collects the values
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", "/metrics", nil))
	return w.Body.String()
}

// Guards against values that are attributed to another workspace or reason, that are
// not added up over the hosts, and against hosts with an earlier table that do not
// show.
func TestSummary(t *testing.T) {
	entry := func(table, perSecond float64) string {
		return page(t, func(s tally.Scope) {
			s.Gauge("table-version").Update(table)
			desk := s.Tagged(map[string]string{"workspace": "desk"})
			desk.Gauge("workspace-limit-per-second").Update(perSecond)
			desk.Gauge("workspace-limit-burst").Update(3)
			desk.Counter("workspace-requested").Inc(10)
			desk.Counter("workspace-served").Inc(6)
			desk.Tagged(map[string]string{"reason": "quota-exceeded"}).Counter("workspace-refused").Inc(3)
			desk.Tagged(map[string]string{"reason": "overloaded"}).Counter("workspace-refused").Inc(1)
			s.Tagged(map[string]string{"workspace": "co-op"}).Gauge("workspace-limit-per-second").Update(0)
			s.Tagged(map[string]string{"reason": "timeout", "workspace": "co-op"}).Counter("workspace-failed").Inc(2)
			s.Counter("calls").Inc(5)
		})
	}
	pages := []struct{ host, page string }{
		{"a", entry(12, 2)},
		{"b", entry(11, 2.5)},
		{"c1", page(t, func(s tally.Scope) { s.Gauge("log-leads").Update(0); s.Gauge("table-version").Update(12) })},
		{"c2", page(t, func(s tally.Scope) { s.Gauge("log-leads").Update(1); s.Gauge("table-version").Update(12) })},
	}
	s := New()
	for _, p := range pages {
		assert.NilError(t, s.Read(p.host, strings.NewReader(p.page)))
	}
	var out strings.Builder
	assert.NilError(t, s.Write(&out))
	assert.Equal(t, out.String(), `table 11 in force on 1 of 4 hosts: b
table 12 in force on 3 of 4 hosts: a, c1, c2
requests are counted by c2
workspace  per second  burst  requested  served  refused                         failed
co_op      none        -      0          0       0                               4 timeout
desk       2/2.5       3      20         12      6 quota_exceeded, 2 overloaded  0
`)
	assert.ErrorContains(t, s.Read("d", strings.NewReader("not metrics {")), "metrics of d")
}
