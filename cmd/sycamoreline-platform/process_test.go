package main

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/platform"
)

// runMainVariable makes the test binary run main instead of the tests.
const runMainVariable = "SYCAMORELINE_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

const (
	testCallersPort = 17443
	testHealthPort  = 17444
	testMetricsPort = 17445
	testControlPort = 17446
	testPeerPort    = 17440
	testDrain       = 8 * time.Second
	// startTimeout is long since the machine may be busy.
	startTimeout = 15 * time.Second
)

// process is a host that runs in a process of its own.
type process struct {
	*exec.Cmd
	settingsPath string
	ip           string
	messages     chan string // of the log, closed when the process has ended
}

// newProcess prepares a host without peers.
func newProcess(t *testing.T, role, ip string) *process {
	p := &process{settingsPath: filepath.Join(t.TempDir(), "settings.json"), ip: ip, messages: make(chan string, 1000)}
	p.Cmd = exec.CommandContext(context.WithoutCancel(t.Context()), os.Args[0], role)
	// With the race detector, the process would by default sleep for 1 s at its end.
	p.Env = []string{runMainVariable + "=1", platform.SettingsVariable + "=" + p.settingsPath, "GORACE=atexit_sleep_ms=0"}
	p.Stderr = os.Stderr
	return p
}

func (p *process) settings(t *testing.T) []byte {
	data, err := json.Marshal(map[string]any{
		"host": "test", "ip": p.ip, "data-centre": "dc", "peer-port": testPeerPort, "seeds": []string{p.address(testControlPort)},
		"first-start": true, "data-folder": t.TempDir(), "metrics-port": testMetricsPort, "memory-mb": 256,
		"drain-seconds": testDrain.Seconds(), "deployment-key": "a key for the tests of processes", "log-level": "info",
		"listen": map[string]string{
			"callers": p.address(testCallersPort), "health": p.address(testHealthPort), "control": p.address(testControlPort),
		},
	})
	assert.NilError(t, err)
	return data
}

func (p *process) address(port int) string { return net.JoinHostPort(p.ip, strconv.Itoa(port)) }

func (p *process) start(t *testing.T) {
	out, err := p.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, p.Start())
	t.Cleanup(func() {
		_ = p.Process.Kill() // it may have ended
		_ = p.Wait()
	})
	go func() {
		defer close(p.messages)
		for l := bufio.NewScanner(out); l.Scan(); {
			var line struct {
				Message string `json:"msg"`
				Phase   string `json:"phase"`
				Cause   string `json:"cause"`
				Error   string `json:"error"`
			}
			if json.Unmarshal(l.Bytes(), &line) == nil {
				p.messages <- strings.TrimSpace(strings.Join([]string{line.Message, line.Phase, line.Cause, line.Error}, " "))
			}
		}
	}()
}

// awaitMessage waits for a log message, and returns the time until then.
func (p *process) awaitMessage(t *testing.T, want string) time.Duration {
	start := time.Now()
	var seen []string
	for m := range p.messages {
		if m == want {
			return time.Since(start)
		}
		seen = append(seen, m)
	}
	t.Fatalf("the process ended without the message %q: %q", want, seen)
	return 0
}

// receivedMessages returns and removes the log messages that have arrived.
func (p *process) receivedMessages() []string {
	var seen []string
	for {
		select {
		case m, open := <-p.messages:
			if !open {
				return seen
			}
			seen = append(seen, m)
		default:
			return seen
		}
	}
}

// awaitEnd waits until the process has ended with status 0.
func (p *process) awaitEnd(t *testing.T) {
	var seen []string
	for m := range p.messages {
		seen = append(seen, m)
	}
	assert.NilError(t, p.Wait(), "messages: %q", seen)
}

// connect opens a connection without sending anything.
func (p *process) connect(t *testing.T, port int) {
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	var d net.Dialer
	for {
		c, err := d.DialContext(ctx, "tcp", p.address(port))
		if err == nil {
			t.Cleanup(func() { c.Close() })
			return
		}
		if !pause.For(ctx, 20*time.Millisecond) {
			t.Fatalf("%v; messages: %q", err, p.receivedMessages())
		}
	}
}

// awaitStart waits until an entry host has started. The port of the callers is the
// last one that it opens.
func (p *process) awaitStart(t *testing.T) {
	p.connect(t, testCallersPort)
	assert.Assert(t, pause.For(t.Context(), 200*time.Millisecond))
}

func (p *process) status(t *testing.T, port int) int {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+p.address(port)+"/", nil)
	assert.NilError(t, err)
	r.Close = true
	resp, err := http.DefaultTransport.RoundTrip(r)
	assert.NilError(t, err)
	resp.Body.Close()
	return resp.StatusCode
}

// Guards against a drain that begins late, and against a process that stops late
// or is killed, because of connections on which no request has been sent.
func TestUnusedConnectionsDoNotDelayShutdown(t *testing.T) {
	for _, c := range []struct {
		name string
		port int
	}{
		{"metrics", testMetricsPort},
		{"callers", testCallersPort},
		{"health", testHealthPort},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newProcess(t, "entry", "127.48.1.1")
			assert.NilError(t, os.WriteFile(p.settingsPath, p.settings(t), 0o600))
			p.start(t)
			p.awaitStart(t)
			p.connect(t, c.port)
			signalled := time.Now()
			assert.NilError(t, p.Process.Signal(syscall.SIGTERM))
			took := p.awaitMessage(t, "shutdown leaving")
			assert.Check(t, took < time.Second, "the drain began after %v", took)
			p.connect(t, c.port)
			assert.Check(t, p.status(t, testMetricsPort) == http.StatusOK, "metrics are not available during the drain")
			p.awaitMessage(t, "shutdown stopped")
			p.awaitEnd(t)
			took = time.Since(signalled)
			assert.Check(t, took < drainDelay+1500*time.Millisecond, "the process ended after %v", took)
		})
	}
}

// Guards against a SIGHUP that ends the process while it starts.
func TestSIGHUPDuringStart(t *testing.T) {
	p := newProcess(t, "entry", "127.48.1.4")
	assert.NilError(t, syscall.Mkfifo(p.settingsPath, 0o600))
	p.start(t)
	// Opening the pipe blocks until the process reads its settings.
	f, err := os.OpenFile(p.settingsPath, os.O_WRONLY, 0)
	assert.NilError(t, err)
	defer f.Close()
	assert.NilError(t, p.Process.Signal(syscall.SIGHUP))
	assert.NilError(t, os.Remove(p.settingsPath))
	settings := p.settings(t)
	assert.NilError(t, os.WriteFile(p.settingsPath, settings, 0o600))
	_, err = f.Write(settings)
	assert.NilError(t, err)
	f.Close()
	p.awaitMessage(t, "starting")
	p.awaitStart(t)
	assert.NilError(t, p.Process.Signal(syscall.SIGTERM))
	p.awaitEnd(t)
}

// Guards against a SIGHUP that ends the process while it stops.
func TestSIGHUPDuringStop(t *testing.T) {
	p := newProcess(t, "control", "127.48.1.5")
	assert.NilError(t, os.WriteFile(p.settingsPath, p.settings(t), 0o600))
	p.start(t)
	p.connect(t, testControlPort)
	assert.Assert(t, pause.For(t.Context(), 200*time.Millisecond))
	assert.NilError(t, p.Process.Signal(syscall.SIGTERM))
	p.awaitMessage(t, "stopping")
	for running := true; running; {
		assert.NilError(t, p.Process.Signal(syscall.SIGHUP))
		select {
		case _, running = <-p.messages:
		case <-time.After(time.Millisecond):
		}
	}
	p.awaitEnd(t)
}
