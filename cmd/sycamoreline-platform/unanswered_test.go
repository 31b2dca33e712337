package main

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/pause"
)

// Guards against a process that, paused beside the end of its drain, closes
// connections on which whole requests have arrived, without an answer.
func TestRequestsOfPauseBesideStopAreAnswered(t *testing.T) {
	const connections = 60
	p := newProcess(t, "entry", "127.48.1.6")
	p.Env = append(p.Env, "GOMAXPROCS=1") // as on a small machine, work waits for its turn
	assert.NilError(t, os.WriteFile(p.settingsPath, p.settings(t), 0o600))
	p.start(t)
	p.awaitStart(t)
	groups := []struct {
		name   string
		opened []*rawConnection
	}{{name: "kept"}, {name: "new"}, {name: "queued"}}
	for range connections {
		c := dialRaw(t, p.address(testCallersPort))
		c.send(getRequest)
		_, err := c.answer()
		assert.NilError(t, err)
		groups[0].opened = append(groups[0].opened, c)
	}
	assert.NilError(t, p.Process.Signal(syscall.SIGTERM))
	p.awaitMessage(t, "shutdown leaving")
	assert.Assert(t, pause.For(t.Context(), drainDelay-time.Second))
	for range connections {
		groups[1].opened = append(groups[1].opened, dialRaw(t, p.address(testCallersPort)))
	}
	assert.Assert(t, pause.For(t.Context(), 100*time.Millisecond)) // until they are accepted
	assert.NilError(t, p.Process.Signal(syscall.SIGSTOP))
	for range connections {
		groups[2].opened = append(groups[2].opened, dialRaw(t, p.address(testCallersPort)))
	}
	for _, g := range groups {
		for _, c := range g.opened {
			c.send(getRequest)
		}
	}
	assert.Assert(t, pause.For(t.Context(), 1500*time.Millisecond)) // the drain's delay ends during the pause
	assert.NilError(t, p.Process.Signal(syscall.SIGCONT))
	for _, g := range groups {
		t.Run(g.name, func(t *testing.T) {
			causes := map[string]int{}
			for _, c := range g.opened {
				_, err := c.answer()
				switch {
				case errors.Is(err, syscall.ECONNRESET):
					causes["reset"]++
				case err != nil:
					causes[err.Error()]++
				}
			}
			assert.Check(t, len(causes) == 0, "requests without an answer: %v", causes)
		})
	}
	reported := map[string]int{}
	for m := range p.messages {
		reported[m]++
	}
	t.Logf("log of the process: %v", reported)
	assert.NilError(t, p.Wait())
}

// slowDown gives the process a fifth of the processor, in slices of 20 ms, until
// the returned function is called.
func (p *process) slowDown(t *testing.T) (end func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() {
		for ctx.Err() == nil {
			_ = p.Process.Signal(syscall.SIGSTOP) // fails if the process has ended
			pause.For(ctx, 80*time.Millisecond)
			_ = p.Process.Signal(syscall.SIGCONT)
			pause.For(ctx, 20*time.Millisecond)
		}
	})
	return func() {
		cancel()
		done.Wait()
	}
}

// Guards against requests without an answer beside the stop of a process that has
// a fifth of a processor. Requests that cross the close are excused.
func TestRequestsBesideStopOfSlowProcessAreAnswered(t *testing.T) {
	const connections = 200 // half of them kept, half opened for their request
	p := newProcess(t, "entry", "127.48.1.9")
	p.Env = append(p.Env, "GOMAXPROCS=1")
	assert.NilError(t, os.WriteFile(p.settingsPath, p.settings(t), 0o600))
	p.start(t)
	p.awaitStart(t)
	address := p.address(testCallersPort)
	var kept []*rawConnection
	for range connections / 2 {
		c := dialRaw(t, address)
		c.send(getRequest)
		_, err := c.answer()
		assert.NilError(t, err)
		kept = append(kept, c)
	}
	assert.NilError(t, p.Process.Signal(syscall.SIGTERM))
	p.awaitMessage(t, "shutdown leaving")
	end := p.slowDown(t)
	defer end()
	random := rand.New(rand.NewPCG(1, 2))
	var requests sync.WaitGroup
	var mu sync.Mutex
	results := map[string]int{}
	for n := range connections {
		after := drainDelay - 400*time.Millisecond + time.Duration(random.Int64N(int64(800*time.Millisecond)))
		requests.Go(func() {
			pause.For(t.Context(), after)
			var c *rawConnection
			if n < len(kept) {
				c = kept[n]
			} else {
				conn, err := (&net.Dialer{Timeout: answerWait}).DialContext(t.Context(), "tcp", address)
				if err != nil {
					return // the listener is closed
				}
				defer conn.Close()
				c = &rawConnection{conn, bufio.NewReader(conn)}
			}
			_, err := c.Write([]byte(getRequest))
			sent := time.Now()
			if err != nil {
				return // the connection is closed
			}
			_, err = c.answer()
			waited := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				results["answered"]++
			case waited <= 200*time.Millisecond:
				results["crossed the close"]++
			default:
				results["lost"]++
				t.Logf("request %d of %d got no answer: %v after %v", n, connections, err, waited)
			}
		})
	}
	requests.Wait()
	end()
	t.Logf("requests: %v", results)
	assert.Check(t, results["lost"] == 0)
	reported := map[string]int{}
	for m := range p.messages {
		reported[m]++
		assert.Check(t, !strings.HasSuffix(m, string(requestDropped)), "%s", m)
	}
	t.Logf("log of the process: %v", reported)
	assert.NilError(t, p.Wait())
}

// Guards against a reload of the settings that ends connections or requests.
func TestRequestsBesideSIGHUPAreAnswered(t *testing.T) {
	const connections, requestsEach = 20, 100
	p := newProcess(t, "entry", "127.48.1.10")
	settings := p.settings(t)
	assert.NilError(t, os.WriteFile(p.settingsPath, settings, 0o600))
	p.start(t)
	p.awaitStart(t)
	var requests sync.WaitGroup
	for n := range connections {
		c := dialRaw(t, p.address(testCallersPort))
		requests.Go(func() {
			for k := range requestsEach {
				c.send(getRequest[:20])
				pause.For(t.Context(), time.Millisecond) // the signal may come amid a request
				c.send(getRequest[20:])
				if _, err := c.answer(); !assert.Check(t, err, "request %d of connection %d", k, n) {
					return
				}
			}
		})
	}
	done := make(chan struct{})
	go func() {
		requests.Wait()
		close(done)
	}()
	for n, running := 0, true; running; n++ {
		// Every other time, the file is incomplete.
		assert.NilError(t, os.WriteFile(p.settingsPath, settings[:len(settings)/(1+n%2)], 0o600))
		assert.NilError(t, p.Process.Signal(syscall.SIGHUP))
		select {
		case <-done:
			running = false
		case <-time.After(time.Millisecond):
		}
	}
	assert.NilError(t, p.Process.Signal(syscall.SIGTERM))
	for m := range p.messages {
		assert.Check(t, !strings.HasPrefix(m, "connection closed"), "%s", m)
	}
	assert.NilError(t, p.Wait())
}
