package main

import (
	"context"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// processName identifies a process of the deployment.
type processName struct{ role, name string }

// Guards against programs that are lost with a data centre, tool calls that run
// twice after its failure, and history that is lost when a second control host
// fails right after the first has restarted.
func TestDataCentreLost(t *testing.T) {
	p := startProcesses(t)
	ctx, cancel := context.WithTimeout(t.Context(), localTestTimeout)
	defer cancel()
	lost := []processName{{"control", "control-1"}, {"entry", "entry-1"}, {"stand-in-engine", "engine-1"}}
	outcomes := p.runPrograms(ctx, 24, 3, func(done int) {
		switch done {
		case 4:
			for _, m := range lost {
				assert.NilError(t, p.running[m.name].Process.Signal(syscall.SIGKILL))
			}
			for _, m := range lost {
				p.signalAndWait(m.name, syscall.SIGKILL)
			}
		case 12:
			for _, m := range lost {
				p.start(m.role, m.name)
			}
			assert.NilError(t, p.local.waitReady(ctx))
			p.signalAndWait("control-2", syscall.SIGKILL)
		}
	})
	p.checkOutcomes(ctx, outcomes)
}
