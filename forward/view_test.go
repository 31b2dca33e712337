package forward

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/sycamoreline/sycamoreline/registry"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/schedule"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// Guards against calls that are not restricted to the software version of a
// server because the scheduler does not know it, or knows an earlier one.
func TestSchedulerKnowsSoftwareVersions(t *testing.T) {
	f := newFixture(t)
	view := f.forwarder.View()
	for _, version := range []string{"v1", "v1.1"} {
		entries := map[string]registry.Entry{}
		for _, service := range []string{"engine", "plain"} {
			entries[service] = registry.Entry{ID: service, Service: service, Address: "127.0.0.1:1", Slots: 1, State: registry.Ready, Version: version}
		}
		view.Servers(entries)
		f.forwarder.queue.Do(func(_ time.Duration, s *schedule.Scheduler) {
			for _, v := range []string{"v1", "v1.1"} {
				assert.Equal(t, s.HasVersion("engine", "", v), v == version, v)
				assert.Equal(t, s.HasVersion("", "plain", v), v == version, v)
			}
		})
	}
}

// Guards against streams that continue at the version of another server or of
// an earlier incarnation, and against versions that no server will run on.
func TestSoftwareVersions(t *testing.T) {
	f := newFixture(t)
	view := f.forwarder.View()
	entry := func(id, service, version string, state registry.State) registry.Entry {
		return registry.Entry{ID: id, Service: service, Address: "127.0.0.1:1", Slots: 1, State: state, Version: version}
	}
	tests := []struct {
		name     string
		entries  []registry.Entry
		versions []string // of the service engine
		version  string   // of the server a
	}{
		{"none", nil, nil, ""},
		{"one", []registry.Entry{entry("a", "engine", "v1", registry.Ready)}, []string{"v1"}, "v1"},
		{"restarted", []registry.Entry{entry("a", "engine", "v2", registry.Ready)}, []string{"v2"}, "v2"},
		{"leaving", []registry.Entry{entry("a", "engine", "v1", registry.Leaving), entry("b", "engine", "v2", registry.Ready)}, []string{"v2"}, "v1"},
		{"several", []registry.Entry{
			entry("a", "engine", "v2", registry.Ready), entry("b", "engine", "v1", registry.Ready), entry("c", "engine", "v2", registry.Ready),
			entry("d", "plain", "v3", registry.Ready),
		}, []string{"v1", "v2"}, "v2"},
		{"unknown", []registry.Entry{entry("b", "engine", "", registry.Ready), entry("c", "engine", "v1", registry.Ready)}, []string{"", "v1"}, ""},
	}
	for _, tt := range tests {
		servers := map[string]registry.Entry{}
		for _, e := range tt.entries {
			servers[e.ID] = e
		}
		view.Servers(servers)
		assert.DeepEqual(t, view.softwareVersions("engine"), tt.versions)
		e, _ := view.entry("a")
		assert.Equal(t, e.Version, tt.version, tt.name)
	}
}

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

// Guards against calls that wait to be sent again after a rejection and are not
// reported, so that no host knows that the servers are full.
func TestReportCountsCallsThatBackOff(t *testing.T) {
	f := newFixture(t, startServer(t, rejectRequest))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, err := f.serve(f.call("1", &route.Route{Kind: route.NonIdempotent}))
		assert.Check(t, verdict.Of(err) == verdict.NotRun)
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.forwarder.View().Report().Waiting["plain"] == 1 {
			return poll.Success()
		}
		return poll.Continue("no call waits")
	}, poll.WithDelay(time.Millisecond))
	<-done
	assert.Equal(t, f.forwarder.View().Report().Waiting["plain"], 0)
}
