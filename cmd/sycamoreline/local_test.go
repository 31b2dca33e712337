package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/fx"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/caller"
	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/standin"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const localTestTimeout = 60 * time.Second

// Guards against a demo that fails, or whose last line does not report success.
func TestDemo(t *testing.T) {
	var out, errs bytes.Buffer
	c := &demoCommand{output: output{out: &out, errs: &errs}}
	assert.NilError(t, c.run(t.Context()), "%s", errs.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Assert(t, strings.HasPrefix(lines[len(lines)-1], "demo: ok"), lines[len(lines)-1])
}

// startLocal starts a local deployment and waits until it is ready.
func startLocal(t *testing.T) (*localDeployment, *fx.App) {
	t.Helper()
	d, err := newLocalDeployment(t.TempDir())
	assert.NilError(t, err)
	o := output{out: io.Discard, errs: io.Discard}
	app := fx.New(d.modules(o.logger("error")), withoutFxLog(), fx.StartTimeout(startTimeout), fx.StopTimeout(startTimeout))
	assert.NilError(t, app.Start(t.Context()))
	t.Cleanup(func() {
		for _, e := range d.engines {
			e.Faults().Set(standin.Faults{})
		}
		ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
		defer cancel()
		assert.Check(t, app.Stop(ctx))
		d.Close()
	})
	assert.NilError(t, d.waitReady(t.Context()))
	return d, app
}

// conversation returns a program with several turns and one tool call that is
// not idempotent.
func conversation(name string, turns int) caller.ProgramFile {
	f := caller.ProgramFile{Class: ledger.Standard, Budget: ledger.Budget{Tokens: 50_000, Calls: int64(turns + 1)}}
	for i := range turns {
		f.Steps = append(f.Steps, caller.Step{Model: &caller.ModelStep{
			Model: "pattern-7b", Messages: []ledger.Message{{Role: "user", Content: fmt.Sprintf("%s, turn %d", name, i)}},
		}})
	}
	f.Steps = append(f.Steps, caller.Step{Tool: &caller.ToolStep{
		Service: "orders", Operation: "cut-order", Body: json.RawMessage(`{"dog":"` + name + `"}`),
	}})
	return f
}

// runAll runs programs concurrently and returns their errors. The programs
// alternate between the two entry hosts that they try first.
func runAll(ctx context.Context, d *localDeployment, programs []caller.ProgramFile) []error {
	errs := make([]error, len(programs))
	var wait sync.WaitGroup
	for i, p := range programs {
		wait.Add(1)
		go func() {
			defer wait.Done()
			urls := d.entryURLs()
			if i%2 == 1 {
				urls[0], urls[1] = urls[1], urls[0]
			}
			client := caller.NewClient(urls, d.credentials["tailor-paws"], caller.WithAttempts(30))
			errs[i] = caller.NewRunner(client, rand.Text(), func(caller.Event) {}).Run(ctx, p)
		}()
	}
	wait.Wait()
	return errs
}

// Guards against programs that fail or run a tool call twice while one of three
// engines is faulty.
func TestProgramsWithOneBadEngine(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.Faults
	}{
		{name: "half answers", faults: standin.Faults{HalfAnswer: true}},
		{name: "crossed answers", faults: standin.Faults{CrossedAnswers: true}},
		{name: "slow", faults: standin.Faults{Slow: 20}},
	}
	d, _ := startLocal(t)
	ctx, cancel := context.WithTimeout(t.Context(), localTestTimeout)
	defer cancel()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d.engines[0].Faults().Set(tt.faults)
			defer d.engines[0].Faults().Set(standin.Faults{})
			var programs []caller.ProgramFile
			for i := range 6 {
				programs = append(programs, conversation(fmt.Sprintf("%s %d", tt.name, i), 4))
			}
			for i, err := range runAll(ctx, d, programs) {
				assert.NilError(t, err, "program %d", i)
			}
			assertRunOnce(t, d)
		})
	}
}

// assertRunOnce checks that the single tool call of each conversation has run
// once over all attempts.
func assertRunOnce(t *testing.T, d *localDeployment) {
	t.Helper()
	runs := make(map[string]int)
	for _, r := range d.services["orders"].Runs() {
		runs[r.Program] += r.Runs
	}
	for program, n := range runs {
		assert.Equal(t, n, 1, "runs of the tool call of program %s", program)
	}
}

// Guards against a request that crashes one server after another, and against
// rejections of the requests that ran on the same servers.
func TestRequestThatCrashesServers(t *testing.T) {
	d, _ := startLocal(t)
	ctx, cancel := context.WithTimeout(t.Context(), localTestTimeout)
	defer cancel()
	var crashes atomic.Int32
	for _, e := range d.engines {
		e.Faults().OnCrash(func() { crashes.Add(1) })
		e.Faults().Set(standin.Faults{CrashText: "poisoned", Slow: 3})
	}
	programs := []caller.ProgramFile{conversation("poisoned", 1)}
	for i := range 6 {
		programs = append(programs, conversation(fmt.Sprintf("harmless %d", i), 3))
	}
	errs := runAll(ctx, d, programs)
	assert.ErrorContains(t, errs[0], string(verdict.CrashedServers))
	for i, err := range errs[1:] {
		assert.NilError(t, err, "harmless %d", i)
	}
	assert.Assert(t, crashes.Load() <= 2, "one request crashed %d servers", crashes.Load())
	assertRunOnce(t, d)
}

// Guards against engine memory that stays held for programs that have ended.
func TestEngineMemoryIsReleased(t *testing.T) {
	d, _ := startLocal(t)
	ctx, cancel := context.WithTimeout(t.Context(), localTestTimeout)
	defer cancel()
	for i, err := range runAll(ctx, d, []caller.ProgramFile{conversation("a", 3), conversation("b", 3)}) {
		assert.NilError(t, err, "program %d", i)
	}
	for heldPrograms(d.engines) > 0 {
		select {
		case <-ctx.Done():
			t.Fatalf("%d programs still hold engine memory", heldPrograms(d.engines))
		case <-time.After(readyPollInterval):
		}
	}
}

func heldPrograms(engines []*engine.StandIn) int {
	n := 0
	for _, e := range engines {
		n += len(e.Programs())
	}
	return n
}

// Guards against an apply that returns before the change is in force, and against
// an entry host that does not enforce a new limit by then.
func TestApplyWaitsUntilInForce(t *testing.T) {
	d, _ := startLocal(t)
	folder := t.TempDir()
	token := filepath.Join(folder, "operator.credential")
	assert.NilError(t, os.WriteFile(token, []byte(d.credentials[""]), 0o600))
	root := filepath.Join(folder, "settings")
	limits := filepath.Join(root, "teams", "tailor-paws", "limits.json")
	assert.NilError(t, os.MkdirAll(filepath.Dir(limits), 0o700))
	assert.NilError(t, os.WriteFile(limits, []byte(`{"weight": 1, "max-tokens": 100}`), 0o600))

	status, out, errs := execute("apply", "-entry", "http://"+d.entries[0].OperatorListen, "-credential", token, root)
	assert.Equal(t, int(status), 0, errs)
	assert.Assert(t, strings.Contains(out, "in force on every entry host"), out+errs)
	for _, err := range runAll(t.Context(), d, []caller.ProgramFile{conversation("a", 1), conversation("b", 1)}) {
		assert.ErrorContains(t, err, "budget.tokens: 50000 is more than the 100")
	}
}
