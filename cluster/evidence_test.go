package cluster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/registry"
)

// Guards against entry hosts that use a bad server longer the more of them there
// are, because the aggregated load is computed rarely, and against a control host
// that computes it again for failures that put no server in doubt.
func TestNewFailuresReachHostsEarly(t *testing.T) {
	const hosts = 300
	const step = hosts * snapshotAgePerHost / evidencePerAggregate
	tests := []struct {
		name    string
		servers []string // that fail a request of one host each, one every step
		early   bool
	}{
		{"one server", []string{"s", "s"}, true},
		{"many servers", []string{"s1", "s2", "s3", "s4"}, false},
		{"reported before", []string{"s"}, false},
	}
	for _, tt := range tests {
		l, directory := newLoads(), registry.New(1)
		for i := range hosts {
			l.report(0, &syncRequest{Host: fmt.Sprint(i)})
		}
		first := l.aggregated(0, directory).evidence
		now := time.Duration(0)
		for i, id := range tt.servers {
			now += step
			r := &syncRequest{Host: fmt.Sprint(i), Outcomes: []ServerOutcomes{{Server: id, Failed: 1}}}
			for range 3 { // polls with the same failure
				l.report(now, r)
			}
		}
		assert.Equal(t, len(l.aggregated(now, directory).evidence) > len(first), tt.early, tt.name)
	}
}
