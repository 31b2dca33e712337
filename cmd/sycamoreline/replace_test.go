package main

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/caller"
	"github.com/sycamoreline/sycamoreline/control"
)

// controlClient returns a client of the control hosts.
func (p *processes) controlClient() *control.Client {
	s := p.local.entries[0]
	key, err := control.ReadKey(s.DeploymentKeyFile)
	assert.NilError(p.t, err)
	return control.NewClient("test", key, controlAddresses(s.ControlHosts), s.GroupCount)
}

// allReplicasAreVoters reports whether the running replicas are the three voters
// of every log group. A replica that has lost its disk runs under a new
// incarnation, while the old one may still be a member.
func allReplicasAreVoters(statuses []control.HostStatus) bool {
	type replicaID struct {
		group       int
		id          string
		incarnation uint64
	}
	replicas := make(map[replicaID]bool)
	for _, h := range statuses {
		for _, g := range h.Groups {
			replicas[replicaID{g.Group, g.ID, g.Incarnation}] = true
		}
	}
	groups := 0
	for _, h := range statuses {
		for _, g := range h.Groups {
			if g.Leader != h.ID {
				continue
			}
			for _, m := range g.Members {
				if m.Learner || !replicas[replicaID{g.Group, m.ID, m.Incarnation}] {
					return false
				}
			}
			if len(g.Members) != localControlHosts || !g.MembersCommitted {
				return false
			}
			groups++
		}
	}
	return groups == localGroups+1
}

// Guards against a control host that counts as a voter before it has caught up
// after the loss of its disk, and against the loss of history when a second
// host fails right after the first is repaired.
func TestSecondHostFailsAfterDiskIsReplaced(t *testing.T) {
	p := startProcesses(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*localTestTimeout)
	defer cancel()
	before := p.runPrograms(ctx, 8, 2, func(int) {})

	p.signalAndWait("control-3", syscall.SIGKILL)
	assert.NilError(t, os.RemoveAll(filepath.Join(p.folder, "control-3")))
	p.start("control", "control-3")
	client := p.controlClient()
	defer client.Close()
	for !allReplicasAreVoters(client.Statuses(ctx)) {
		select {
		case <-ctx.Done():
			t.Fatal("the replacement replica did not become a voter")
		case <-time.After(readyPollInterval):
		}
	}
	p.signalAndWait("control-1", syscall.SIGKILL)

	after := p.runPrograms(ctx, 8, 2, func(int) {})
	for i, o := range append(before, after...) {
		assert.Check(t, o.err == nil, "program %d: %v", i, o.err)
	}
	p.checkOutcomes(ctx, before)
	p.checkOutcomes(ctx, after)
}

// Guards against an entry host that was frozen for longer than its lease and
// then runs a tool call again, or records another outcome than its successor.
func TestFrozenEntryHost(t *testing.T) {
	p := startProcesses(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*localTestTimeout)
	defer cancel()
	frozen := p.running["entry-1"].Process
	// The timeout lets callers abandon the frozen host, which keeps its
	// connections open.
	p.options = []caller.ClientOption{caller.WithHTTPClient(&http.Client{Timeout: 2 * time.Second})}
	outcomes := p.runPrograms(ctx, 16, 3, func(done int) {
		switch done {
		case 3:
			assert.Check(t, frozen.Signal(syscall.SIGSTOP))
		case 12:
			assert.Check(t, frozen.Signal(syscall.SIGCONT))
		}
	})
	// A program on the host checks that it serves requests again.
	assert.NilError(t, p.local.waitReady(ctx))
	outcomes = append(outcomes, p.runProgram(ctx, len(outcomes), 3))
	p.checkOutcomes(ctx, outcomes)
}
