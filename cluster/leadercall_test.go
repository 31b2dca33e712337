package cluster

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/ledger"
)

// Guards against calls that wait for a leader that does not answer, as one that is
// cut off, until their request times out, although another replica leads by then.
func TestCallsLeaveSilentLeader(t *testing.T) {
	d := newDeployment(t, "old", "new")
	var elected atomic.Bool
	stopped := make(chan struct{})
	for id, handle := range map[string]func(context.Context) error{
		"old": func(context.Context) error { <-stopped; return context.Canceled },
		"new": func(context.Context) error {
			if elected.Swap(true) {
				return nil
			}
			return control.NewNotLeaderError("old")
		},
	} {
		s := control.NewServer(d.key)
		control.Handle(s, methodLookup, func(ctx context.Context, _ string, _ lookupStreamRequest) (streamResponse, error) {
			return streamResponse{Result: ledger.Result{Stream: &ledger.StreamState{Known: true}}}, handle(ctx)
		})
		s.Serve(d.listeners[id])
		d.onCleanup(s.Close)
	}
	d.onCleanup(func() { close(stopped) })
	l := NewLink(LinkConfig{ID: "e", Key: d.key, Address: d.address}, zap.NewNop())
	defer l.Close()
	l.mu.Lock()
	l.applyLedgerView(LedgerView{
		Plan:    &Plan{Version: 1, Partitions: []PartitionPlan{{Members: []string{"old", "new"}}}},
		Leaders: []PartitionReport{{Partition: 1, Leader: "old", Term: 1}},
	})
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), attemptTimeout-100*time.Millisecond)
	defer cancel()
	v, err := l.LookupStream(ctx, StreamKey{Stream: "1"})
	assert.NilError(t, err)
	assert.Assert(t, v.Known)
	assert.Equal(t, l.leader(1), "new")
}

// Guards against a replica that is asked again while its answer is awaited, and
// against replicas that are not asked.
func TestLeaderSearch(t *testing.T) {
	members := []string{"a", "b", "c"}
	s := newLeaderSearch("b")
	assert.Equal(t, s.next("", members), "b")
	assert.Equal(t, s.delay("b"), silentLeaderDelay)
	assert.Equal(t, s.next("", members), "a")
	assert.Equal(t, s.delay("a"), silentLeaderInterval)
	assert.Assert(t, !s.redirected("a", "b"), "b has not answered yet")
	assert.Equal(t, s.next("", members), "c")
	assert.Assert(t, s.redirected("c", "d"), "d has not been asked")
	assert.Equal(t, s.next("", members), "d")
	s.failed("d")
	assert.Equal(t, s.next("", members), "", "all have been asked")
	assert.Equal(t, s.next("c", members), "c", "known as the leader since")
	s.failed("b")
	s.failed("c")
	assert.Equal(t, s.delay("c"), leaderRetryDelay)
}
