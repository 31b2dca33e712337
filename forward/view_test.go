package forward

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/registry"
	"github.com/sycamoreline/sycamoreline/schedule"
)

// Guards against an update of the servers that was begun before a server was
// excluded, and puts it back into use when it is completed.
func TestExclusionDuringUpdates(t *testing.T) {
	f := newFixture(t)
	view := f.forwarder.View()
	view.Servers(map[string]registry.Entry{"i": {ID: "i", Service: "plain", Address: "127.0.0.1:1", Slots: 4, State: registry.Ready}})
	for i := range 100 {
		view.syncServers()
		var wg sync.WaitGroup
		f.forwarder.queue.Do(func(time.Duration, *schedule.Scheduler) {
			wg.Go(view.syncServers)
			time.Sleep(100 * time.Microsecond) // the update has begun, and waits for the scheduler
		})
		view.exclude("i")
		wg.Wait()
		assert.Equal(t, len(f.forwarder.queue.Snapshot().Servers), 0, "round %d", i)
		view.mu.Lock()
		clear(view.excluded)
		view.mu.Unlock()
	}
}
