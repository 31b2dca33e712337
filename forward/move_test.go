package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/registry"
	"github.com/sycamoreline/sycamoreline/route"
)

func (s *server) entry(id, service, version string, slots int) registry.Entry {
	return registry.Entry{ID: id, Service: service, Address: s.listener.Addr().String(), Slots: slots, State: registry.Ready, Version: version}
}

func (f *fixture) setEntries(list ...registry.Entry) {
	m := map[string]registry.Entry{}
	for _, e := range list {
		m[e.ID] = e
	}
	f.forwarder.View().Servers(m)
}

// serveMany serves n calls at a time and returns those that fail.
func serveMany(f *fixture, n int, newCall func(i int) *Call) (failed int, messages []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			c := newCall(i)
			rec, aborted, err := f.serve(c)
			if aborted || err != nil || strings.Count(rec.Body.String(), "data:") != 4 {
				mu.Lock()
				defer mu.Unlock()
				failed++
				messages = append(messages, fmt.Sprint(c.ID, " aborted=", aborted, " err=", err, " after ", time.Since(c.Arrived)))
			}
		})
	}
	wg.Wait()
	return failed, messages
}

// Guards against a stream that leaves a silent server, since its service has
// another one, and is then placed on another service of its route, which has none.
func TestServeStreamStaysWithServiceWhenItMoves(t *testing.T) {
	t.Parallel()
	silent := startServer(t, silentStream(3))
	sound := startServer(t, silentStream(-1))
	other := startServer(t, silentStream(-1))
	f := newFixture(t, silent)
	f.forwarder.View().Routes(route.NewIndex(&route.Table{Version: 2, Services: []route.Service{
		{Name: "engine", Engine: &route.Engine{Slots: 32, CacheTokens: 1000, TokensPerEvent: 10}}, {Name: "plain"},
	}}))
	f.setEntries(silent.entry("a", "engine", "", 32), other.entry("c", "plain", "", 32))
	time.AfterFunc(minIdleTimeout/2, func() {
		f.setEntries(silent.entry("a", "engine", "", 32), sound.entry("b", "engine", "", 32))
	})
	failed, messages := serveMany(f, 24, func(i int) *Call {
		c := f.call(fmt.Sprint("s", i), &route.Route{Name: "s", Kind: route.Stream, MaxAttempts: 2, Resumable: true, Targets: []route.Target{{Service: "engine", Weight: 1}, {Service: "plain", Weight: 1}}})
		c.Route.Timeout = 2*silence + time.Second
		return c
	})
	assert.Equal(t, failed, 0, "%s", strings.Join(messages, "\n"))
}

// Guards against a stream that leaves a silent server of one software version for
// one of another, waits there for the record of the first, and fails.
func TestServeStreamStaysWhileItsVersionIsRecorded(t *testing.T) {
	t.Parallel()
	silent := startServer(t, silentStream(0))
	sound := startServer(t, silentStream(-1))
	f := newFixture(t)
	f.setEntries(silent.entry("a", "engine", "v1", 4))
	time.AfterFunc(minIdleTimeout/2, func() {
		f.setEntries(silent.entry("a", "engine", "v1", 4), sound.entry("b", "engine", "v2", 4))
	})
	f.turns.mu.Lock() // the ledger does not answer
	failed, messages := serveMany(f, 1, func(i int) *Call {
		c := f.call(fmt.Sprint("s", i), &route.Route{Name: "s", Kind: route.Stream, MaxAttempts: 2, Resumable: true})
		c.Route.Timeout = 2*silence + time.Second
		return c
	})
	f.turns.mu.Unlock()
	assert.Equal(t, failed, 0, "%s", strings.Join(messages, "\n"))
}

// Guards against a stream that leaves a silent server too late to be completed
// elsewhere.
func TestServeStreamStaysShortlyBeforeItsDeadline(t *testing.T) {
	t.Parallel()
	silent := startServer(t, silentStream(3)) // goes on after 1.8 s
	slow := startServer(t, func(_ int, r *http.Request, w io.Writer) bool {
		time.Sleep(500 * time.Millisecond) // a server that needs longer than the time left
		streamEvents(w, r.Header.Get("Id"), 3, 4, true)
		return true
	})
	f := newFixture(t)
	f.setEntries(silent.entry("a", "engine", "", 4))
	time.AfterFunc(minIdleTimeout/2, func() {
		f.setEntries(silent.entry("a", "engine", "", 4), slow.entry("b", "engine", "", 4))
	})
	failed, messages := serveMany(f, 1, func(i int) *Call {
		c := f.call(fmt.Sprint("s", i), &route.Route{Name: "s", Kind: route.Stream, MaxAttempts: 2, Resumable: true})
		c.Route.Timeout = silence + 150*time.Millisecond
		return c
	})
	assert.Equal(t, failed, 0, "%s", strings.Join(messages, "\n"))
}

// stopAccepting makes a server accept no more connections: its accept queue is
// full, so the kernel drops attempts to connect.
func stopAccepting(t *testing.T, s *server, stopped *atomic.Bool) {
	t.Helper()
	stopped.Store(true)
	raw, err := s.listener.(*net.TCPListener).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) { assert.NilError(t, syscall.Listen(int(fd), 0)) }))
	for range 4 {
		d := net.Dialer{Timeout: 50 * time.Millisecond}
		if c, err := d.DialContext(t.Context(), "tcp", s.listener.Addr().String()); err == nil {
			t.Cleanup(func() { c.Close() })
		}
	}
}

// Guards against streams that all leave a silent server, which accepts no
// connections meanwhile, because another server has a single free slot.
func TestServeStreamsOutlastServerThatAcceptsNothing(t *testing.T) {
	t.Parallel()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	silent := &server{listener: l}
	var stopped atomic.Bool
	end := make(chan struct{})
	t.Cleanup(func() { close(end) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go silent.serve(c, silentStream(3))
			if stopped.Load() {
				<-end
				return
			}
		}
	}()
	sound := startServer(t, func(_ int, r *http.Request, w io.Writer) bool {
		time.Sleep(time.Second) // the place stays occupied while the others ask for one
		streamEvents(w, r.Header.Get("Id"), 3, 4, true)
		return true
	})
	f := newFixture(t)
	f.setEntries(silent.entry("a", "plain", "", 8))
	time.AfterFunc(minIdleTimeout/2, func() {
		stopAccepting(t, silent, &stopped)
		f.setEntries(silent.entry("a", "plain", "", 8), sound.entry("b", "plain", "", 1))
	})
	failed, messages := serveMany(f, 8, func(i int) *Call {
		c := f.call(fmt.Sprint("s", i), &route.Route{Name: "s", Kind: route.Stream, MaxAttempts: 2, Resumable: true, Targets: []route.Target{{Service: "plain", Weight: 1}}})
		c.Route.Timeout = silence + 2*time.Second
		return c
	})
	assert.Equal(t, failed, 0, "%s", strings.Join(messages, "\n"))
}

// Guards against a stream that leaves its server although it has just sent the
// head of its response.
func TestServeStreamCountsHeadAsActivity(t *testing.T) {
	t.Parallel()
	first := startServer(t, func(_ int, r *http.Request, w io.Writer) bool {
		time.Sleep(minIdleTimeout - 300*time.Millisecond) // a silence before the head
		streamEvents(w, r.Header.Get("Id"), 1, 0, false)
		time.Sleep(600 * time.Millisecond) // and one after it
		for i := 1; i <= 4; i++ {
			e := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
		}
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err == nil
	})
	second := startServer(t, silentStream(-1))
	f := newFixture(t, first)
	c := f.call("s", &route.Route{Name: "s", Kind: route.Stream, MaxAttempts: 2, Resumable: true})
	time.AfterFunc(minIdleTimeout/2, func() { f.setServers(first, second) })
	_, aborted, err := f.serve(c)
	assert.NilError(t, err)
	assert.Assert(t, !aborted)
	assert.Equal(t, second.requests(), 0)
}

// Guards against a stream that leaves a silent server, which goes on, for one that
// accepts no connections.
func TestServeStreamMovesOnlyToServerThatAccepts(t *testing.T) {
	t.Parallel()
	silent := startServer(t, silentStream(3))
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	other := &server{listener: l} // accepts nothing
	f := newFixture(t)
	f.setEntries(silent.entry("a", "engine", "", 4))
	var stopped atomic.Bool
	time.AfterFunc(minIdleTimeout/2, func() {
		stopAccepting(t, other, &stopped)
		f.setEntries(silent.entry("a", "engine", "", 4), other.entry("b", "engine", "", 4))
	})
	failed, messages := serveMany(f, 3, func(i int) *Call {
		c := f.call(fmt.Sprint("s", i), &route.Route{Name: "s", Kind: route.Stream, MaxAttempts: 2, Resumable: true})
		c.Route.Timeout = silence + 2*time.Second
		return c
	})
	assert.Equal(t, failed, 0, "%s", strings.Join(messages, "\n"))
}
