package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/sycamoreline/sycamoreline/route"
)

// Guards against a queued call that waits until its deadline, if a new table
// makes its service plain or one with engines.
func TestQueuedCallFollowsKindOfService(t *testing.T) {
	table := func(version int64, e *route.Engine) *route.Index {
		return route.NewIndex(&route.Table{Version: version, Services: []route.Service{{Name: "plain", Engine: e}}})
	}
	engine := &route.Engine{Slots: 4, CacheTokens: 1000, TokensPerEvent: 10}
	tests := []struct {
		name          string
		before, after *route.Engine
	}{
		{"engine becomes plain", engine, nil},
		{"plain becomes engine", nil, engine},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := startServer(t, answerWith("yes"))
			f := newFixture(t)
			f.forwarder.View().Routes(table(2, tt.before))
			done := make(chan error, 1)
			go func() {
				_, _, err := f.serve(f.call("1", &route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}))
				done <- err
			}()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if len(f.forwarder.View().Report().Waiting) == 1 {
					return poll.Success()
				}
				return poll.Continue("the call is not queued")
			}, poll.WithDelay(time.Millisecond))
			f.forwarder.View().Routes(table(3, tt.after))
			f.setServers(s)
			assert.NilError(t, <-done)
		})
	}
}
