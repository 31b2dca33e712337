package main

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/connlimit/crowd"
)

// crowdBound is the memory in the test's settings, and more descriptors than
// connections fit into the account of those settings.
var crowdBound = crowd.Bound{MemoryMB: 48, Descriptors: 500}

// Guards against callers that fill the memory of a process, or use up its
// descriptors, without a request that is accepted.
func TestCrowdsAreBounded(t *testing.T) {
	roles := []struct {
		role      string
		ports     []int // all, of which the first ones answer requests
		answering int
	}{
		{"entry", []int{testCallersPort, testHealthPort, testMetricsPort}, 3},
		{"control", []int{testControlPort, testMetricsPort, testPeerPort}, 2},
		{"ledger", []int{testMetricsPort, testPeerPort}, 1},
	}
	for i, r := range roles {
		for j, c := range crowd.All() {
			t.Run(r.role+" "+c.Name, func(t *testing.T) {
				p := newProcess(t, r.role, fmt.Sprintf("127.48.%d.%d", 2+i, 1+j))
				var settings map[string]any
				assert.NilError(t, json.Unmarshal(p.settings(t), &settings))
				settings["memory-mb"], settings["connection-memory-mb"] = crowdBound.MemoryMB, 4
				data, err := json.Marshal(settings)
				assert.NilError(t, err)
				assert.NilError(t, os.WriteFile(p.settingsPath, data, 0o600))
				p.start(t)
				var addresses []string
				for _, port := range r.ports {
					p.connect(t, port)
					addresses = append(addresses, p.address(port))
				}
				crowd.Process{PID: p.Process.Pid}.Meet(t, c, addresses, addresses[:r.answering], crowdBound)
			})
		}
	}
}
