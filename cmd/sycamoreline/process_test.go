package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/caller"
	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/service"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// asProcessVariable is the environment variable that makes the test binary run
// as the command.
const asProcessVariable = "SYCAMORELINE_TEST_AS_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(asProcessVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// processes is a deployment of separate processes.
type processes struct {
	t       *testing.T
	local   *localDeployment
	folder  string
	mu      sync.Mutex
	running map[string]*exec.Cmd // by name, such as control-1
	logs    map[string]*os.File
	options []caller.ClientOption // of the clients that run programs
}

// startProcesses writes the settings files and starts every role on the ports
// that a local deployment found free.
func startProcesses(t *testing.T) *processes {
	t.Helper()
	folder := t.TempDir()
	d, err := newLocalDeployment(folder)
	assert.NilError(t, err)
	d.Close()
	p := newProcesses(t, d, folder)
	for _, s := range d.controls {
		p.writeSettings(s.ID, s)
	}
	for _, s := range d.entries {
		p.writeSettings(s.ID, s)
	}
	for _, s := range d.standIns {
		switch s.role {
		case "stand-in-engine":
			p.writeSettings(s.settings.Server, engine.StandInSettings{
				Settings: s.settings, Models: []membership.Model{{Name: "pattern-7b", Version: "v1"}},
				Slots: 8, PrefillMicroseconds: 50, DecodeMicroseconds: 4000, CacheTokens: 1 << 16, Fencing: true,
			})
		case "stand-in-service":
			p.writeSettings(s.settings.Server, service.StandInSettings{
				Settings: s.settings, Service: strings.TrimSuffix(s.settings.Server, "-1"), Slots: 16, OperationMicroseconds: 20_000,
			})
		}
	}
	for _, s := range d.controls {
		p.start("control", s.ID)
	}
	for _, s := range d.entries {
		p.start("entry", s.ID)
	}
	for _, s := range d.standIns {
		p.start(s.role, s.settings.Server)
	}
	assert.NilError(t, d.waitReady(t.Context()))
	return p
}

// newProcesses returns a deployment none of whose processes has been started.
func newProcesses(t *testing.T, d *localDeployment, folder string) *processes {
	p := &processes{t: t, local: d, folder: folder, running: map[string]*exec.Cmd{}, logs: map[string]*os.File{}}
	t.Cleanup(p.stop)
	return p
}

func (p *processes) writeSettings(name string, settings any) {
	data, err := json.Marshal(settings)
	assert.NilError(p.t, err)
	assert.NilError(p.t, os.WriteFile(filepath.Join(p.folder, name+".json"), data, 0o600))
}

func (p *processes) start(role, name string) {
	executable, err := os.Executable()
	assert.NilError(p.t, err)
	log, err := os.OpenFile(filepath.Join(p.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(p.t, err)
	c := exec.Command(executable, role, "-settings", filepath.Join(p.folder, name+".json")) //nolint:noctx // ended by stop
	c.Env = append(os.Environ(), asProcessVariable+"=1")
	c.Stdout, c.Stderr = log, log
	assert.NilError(p.t, c.Start())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[name], p.logs[name] = c, log
}

// signalAndWait sends a signal to a process and waits until it has ended.
func (p *processes) signalAndWait(name string, s os.Signal) {
	p.mu.Lock()
	c, log := p.running[name], p.logs[name]
	delete(p.running, name)
	p.mu.Unlock()
	assert.Check(p.t, c.Process.Signal(s))
	var exit *exec.ExitError
	if err := c.Wait(); err != nil && !errors.As(err, &exit) {
		p.t.Errorf("%s: %v", name, err)
	}
	log.Close()
}

func (p *processes) stop() {
	for name := range p.running {
		p.signalAndWait(name, syscall.SIGKILL)
	}
	if p.t.Failed() {
		p.printLogs()
	}
}

func (p *processes) printLogs() {
	files, _ := filepath.Glob(filepath.Join(p.folder, "*.log"))
	for _, f := range files {
		data, _ := os.ReadFile(f)
		p.t.Logf("%s:\n%s", filepath.Base(f), data[max(0, len(data)-3000):])
	}
}

// outcome is the result of one program.
type outcome struct {
	program string
	turns   int
	err     error
}

// runPrograms runs programs, up to six concurrently. Whenever one ends, it calls
// onEnd with the number of programs that have ended.
func (p *processes) runPrograms(ctx context.Context, count, turns int, onEnd func(done int)) []outcome {
	outcomes := make([]outcome, count)
	slots := make(chan struct{}, 6)
	ended := make(chan struct{}, count)
	go func() {
		for i := range count {
			slots <- struct{}{}
			go func() {
				outcomes[i] = p.runProgram(ctx, i, turns)
				<-slots
				ended <- struct{}{}
			}()
		}
	}()
	for i := range count {
		<-ended
		onEnd(i + 1)
	}
	return outcomes
}

func (p *processes) runProgram(ctx context.Context, i, turns int) outcome {
	urls := p.local.entryURLs()
	if i%2 == 1 {
		urls[0], urls[1] = urls[1], urls[0]
	}
	o := outcome{turns: turns}
	client := caller.NewClient(urls, p.local.credentials["tailor-paws"], append(p.options, caller.WithAttempts(200))...)
	report := func(e caller.Event) {
		if e.Opened != nil {
			o.program = e.Program
		}
	}
	o.err = caller.NewRunner(client, rand.Text(), report).Run(ctx, conversation(fmt.Sprintf("dog %d", i), turns))
	return o
}

// toolRuns returns the number of runs of tool calls by program.
func (p *processes) toolRuns(ctx context.Context) map[string]int {
	var address string
	for _, s := range p.local.standIns {
		if s.settings.Server == "orders-1" {
			address = s.settings.Listen
		}
	}
	var body struct {
		Runs []service.Run `json:"runs"`
	}
	p.getJSON(ctx, "http://"+address+"/stand-in/runs", "", &body)
	counts := make(map[string]int)
	for _, r := range body.Runs {
		counts[r.Program] += r.Runs
	}
	return counts
}

func (p *processes) getJSON(ctx context.Context, url, credential string, v any) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	assert.NilError(p.t, err)
	if credential != "" {
		r.Header.Set("Authorization", "Bearer "+credential)
	}
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(p.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(p.t, err)
	assert.Equal(p.t, resp.StatusCode, http.StatusOK, "%s: %s", url, body)
	assert.NilError(p.t, json.Unmarshal(body, v), "%s: %s", url, body)
}

// checkOutcomes checks the guarantees that hold for every program, whichever
// processes were killed.
func (p *processes) checkOutcomes(ctx context.Context, outcomes []outcome) {
	runCounts := p.toolRuns(ctx)
	for i, o := range outcomes {
		runs := runCounts[o.program]
		if o.err != nil {
			// Only the tool call may end without a known outcome.
			assert.Check(p.t, verdict.Of(o.err) == verdict.MayHaveRun, "program %d: %v", i, o.err)
			assert.Check(p.t, runs <= 1, "program %d: its tool call ran %d times", i, runs)
			continue
		}
		assert.Check(p.t, runs == 1, "program %d: its tool call ran %d times", i, runs)
		p.checkHistory(ctx, i, o)
	}
}

// checkHistory checks that the history has each question once and in order, and
// each is followed by an answer.
func (p *processes) checkHistory(ctx context.Context, i int, o outcome) {
	var page struct {
		Messages []ledger.Message `json:"messages"`
	}
	p.getJSON(ctx, p.local.entryURLs()[0]+"/v1/programs/"+o.program+"/history", p.local.credentials["tailor-paws"], &page)
	assert.Check(p.t, len(page.Messages) == 2*o.turns, "program %d has %d messages", i, len(page.Messages))
	for n := 0; n+1 < len(page.Messages); n += 2 {
		want := fmt.Sprintf("dog %d, turn %d", i, n/2)
		assert.Check(p.t, page.Messages[n].Content == want, "program %d: message %q, want %q", i, page.Messages[n].Content, want)
		assert.Check(p.t, page.Messages[n+1].Role == "assistant")
	}
}

// Guards against programs that fail, run a tool call twice or lose history
// when any process is killed and restarted while they run.
func TestKilledProcesses(t *testing.T) {
	p := startProcesses(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*localTestTimeout)
	defer cancel()
	restarts := []struct{ role, name string }{
		{"control", "control-1"},
		{"entry", "entry-1"},
		{"stand-in-engine", "engine-1"},
		{"control", "control-2"},
		{"entry", "entry-2"},
		{"control", "control-3"},
		{"stand-in-engine", "engine-2"},
		{"control", "control-1"},
	}
	outcomes := p.runPrograms(ctx, 4*len(restarts), 3, func(done int) {
		if done%3 == 0 && len(restarts) > 0 {
			v := restarts[0]
			restarts = restarts[1:]
			p.signalAndWait(v.name, syscall.SIGKILL)
			p.start(v.role, v.name)
		}
	})
	assert.Equal(t, len(restarts), 0)
	p.checkOutcomes(ctx, outcomes)
}

// Guards against a graceful shutdown that interrupts a request: every host is
// restarted once while programs run, and no request may fail, including tool
// calls.
func TestRollingRestart(t *testing.T) {
	p := startProcesses(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*localTestTimeout)
	defer cancel()
	hosts := []struct{ role, name string }{
		{"entry", "entry-1"}, {"control", "control-1"}, {"entry", "entry-2"}, {"control", "control-2"}, {"control", "control-3"},
	}
	outcomes := p.runPrograms(ctx, 24, 3, func(done int) {
		if done%4 == 0 && len(hosts) > 0 {
			h := hosts[0]
			hosts = hosts[1:]
			p.signalAndWait(h.name, syscall.SIGTERM)
			p.start(h.role, h.name)
		}
	})
	assert.Equal(t, len(hosts), 0)
	for i, o := range outcomes {
		assert.Check(t, o.err == nil, "program %d: %v", i, o.err)
	}
	p.checkOutcomes(ctx, outcomes)
}
