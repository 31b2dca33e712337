package forward

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/cluster"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// testQuotas grants a number of permits.
type testQuotas struct {
	mu       sync.Mutex
	left     int
	validity []time.Duration // of the first permits; the others are valid for an hour
	begins   []bool          // of all requests for permits
	refunds  int
}

func (q *testQuotas) WorkspacePermit(_ context.Context, _ *route.Workspace, begins bool) (cluster.WorkspacePermit, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.begins = append(q.begins, begins)
	if q.left == 0 {
		return cluster.WorkspacePermit{}, verdict.New(verdict.NotRun, verdict.QuotaExceeded, "no credit", verdict.WithRetryAfter(time.Hour))
	}
	q.left--
	validity := time.Hour
	if n := len(q.begins) - 1; n < len(q.validity) {
		validity = q.validity[n]
	}
	return cluster.NewWorkspacePermit(validity), nil
}

func (q *testQuotas) RefundPermit(cluster.WorkspacePermit) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refunds++
	q.left++
}

// Guards against requests that servers run without a permit of their own, and
// against permits that are lost although no server has run the request.
func TestServeUsesPermits(t *testing.T) {
	// The servers fail their first request.
	failing := func(fail func(int, *http.Request, io.Writer) bool) func(int, *http.Request, io.Writer) bool {
		return func(n int, r *http.Request, w io.Writer) bool {
			if n == 1 {
				return fail(n, r, w)
			}
			return answerWith("ok")(n, r, w)
		}
	}
	running, full, broken := answerWith("ok"), failing(rejectRequest), failing(closeConnection)
	tests := []struct {
		name          string
		answer        func(int, *http.Request, io.Writer) bool // nil for no server
		permits       int
		validity      []time.Duration
		kind          route.Kind
		asked, refund int
		left          int
		want          verdict.Reason // empty for an answer
	}{
		{"answered", running, 2, nil, route.NonIdempotent, 1, 0, 1, ""},
		{"refused", running, 0, nil, route.NonIdempotent, 1, 0, 0, verdict.QuotaExceeded},
		{"rejected by a server", full, 2, nil, route.NonIdempotent, 1, 0, 1, ""},
		{"may have run", broken, 3, nil, route.Idempotent, 2, 0, 1, ""},
		{"may have run, no second permit", broken, 1, nil, route.Idempotent, 2, 0, 0, verdict.ServerFailed},
		{"no server", nil, 2, nil, route.NonIdempotent, 1, 1, 2, verdict.DeadlineExceeded},
		{"frozen until the permit had expired", running, 2, []time.Duration{0}, route.NonIdempotent, 2, 1, 1, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := &testQuotas{left: tt.permits, validity: tt.validity}
			f := newFixture(t)
			f.forwarder.quotas = q
			if tt.answer != nil {
				f.setServers(startServer(t, tt.answer))
			}
			c := f.call("1", &route.Route{Kind: tt.kind, MaxAttempts: 3})
			c.Workspace = &route.Workspace{Name: "w", PerSecond: 1}
			c.Deadline = time.Now().Add(300 * time.Millisecond)
			if tt.want == "" {
				c.Deadline = time.Now().Add(5 * time.Second)
			}
			_, _, err := f.serve(c)
			if tt.want == "" {
				assert.NilError(t, err)
			} else {
				assert.Equal(t, verdict.From(err).Reason(), tt.want)
				assert.Equal(t, verdict.Of(err) == verdict.NotRun, tt.want != verdict.ServerFailed)
			}
			assert.Equal(t, len(q.begins), tt.asked)
			assert.Equal(t, q.refunds, tt.refund)
			assert.Equal(t, q.left, tt.left)
		})
	}
}

// Guards against continuations of a program that count as its beginning, and against
// requests without a workspace that ask for a permit.
func TestBeginsProgram(t *testing.T) {
	q := &testQuotas{left: 1}
	f := newFixture(t, startServer(t, answerWith("ok")))
	f.forwarder.quotas = q
	serve := func(id, program string, turn *Turn) {
		c := f.call(id, &route.Route{Kind: route.NonIdempotent})
		c.Program, c.Turn = program, turn
		if program != "none" {
			c.Workspace = &route.Workspace{Name: "w", PerSecond: 1}
		}
		_, _, _ = f.serve(c)
	}
	first := &Turn{Budget: 100, MaxTokens: 1}
	serve("0", "none", nil)
	serve("1", "p", first) // granted
	serve("2", "p", first)
	serve("3", "q", first) // refused
	serve("4", "q", first)
	serve("5", "q", &Turn{Budget: 100, MaxTokens: 1, Previous: "1"})
	serve("6", "q", nil)
	assert.DeepEqual(t, q.begins, []bool{true, false, true, true, false, false})

	now := time.Duration(0)
	s := newProgramSet(func() time.Duration { return now })
	s.add("p")
	now += recentProgramAge
	assert.Assert(t, s.has("p"))
	now += 2 * recentProgramAge
	assert.Assert(t, !s.has("p"))
}
