package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/registry"
	"github.com/sycamoreline/sycamoreline/schedule"
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
		_, version := view.server("a")
		assert.Equal(t, version, tt.version, tt.name)
	}
}
