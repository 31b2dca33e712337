package balancer

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoreline/sycamoreline/verdict"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	goleak.VerifyTestMain(m)
}

// Guards, for any order of events, against a host that exits while a request is
// running, rejects requests before it has been unhealthy for the whole delay,
// cancels requests on the first signal, or never exits.
func TestDrainProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const delay = 2 * time.Second
		d := NewDrain(delay)
		now := time.Unix(0, 0)
		var signalled time.Time
		signals, handOvers, exits := 0, 0, 0
		perform := func(actions []Action) {
			for _, a := range actions {
				switch a {
				case CancelRequests:
					assert.Assert(t, signals >= 2)
				case HandOver:
					handOvers++
					assert.Equal(t, d.Running(), 0)
				case Exit:
					exits++
					assert.Equal(t, d.Running(), 0)
				}
			}
		}
		signal := func() {
			if signals++; signals == 1 {
				signalled = now
			}
			perform(d.Signal(now))
		}
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				early := signals == 0 || signals == 1 && now.Before(signalled.Add(delay))
				newProgram := rapid.Bool().Draw(t, "new")
				admitted := d.BeginRequest(newProgram)
				assert.Assert(t, admitted || !early)
				assert.Assert(t, !admitted || signals < 2)
				assert.Assert(t, !admitted || !newProgram || d.Phase() < Refusing)
			},
			"leave": func(*rapid.T) {
				if d.Running() > 0 {
					perform(d.EndRequest())
				}
			},
			"signal": func(*rapid.T) { signal() },
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
				perform(d.Tick(now))
			},
			"handed-over": func(*rapid.T) { perform(d.HandedOver()) },
			"":            func(t *rapid.T) { assert.Assert(t, handOvers <= 1 && exits <= handOvers) },
		})
		signal()
		now = now.Add(delay)
		perform(d.Tick(now))
		for d.Running() > 0 {
			perform(d.EndRequest())
		}
		perform(d.HandedOver())
		assert.Equal(t, d.Phase(), Stopped)
		assert.Equal(t, exits, 1)
	})
}

// manualClock is a clock for tests. advance runs all pending functions.
type manualClock struct {
	now     time.Time
	pending []func()
}

func (c *manualClock) after(_ time.Duration, f func()) { c.pending = append(c.pending, f) }

func (c *manualClock) advance(d time.Duration) {
	c.now = c.now.Add(d)
	pending := c.pending
	c.pending = nil
	for _, f := range pending {
		f()
	}
}

func newTestGate(c *manualClock, opts ...Option) *Gate {
	return NewGate(append([]Option{WithClock(func() time.Time { return c.now }, c.after), WithDelay(time.Second)}, opts...)...)
}

func status(h http.Handler) int {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/healthz", nil))
	return w.Code
}

// Guards against a host that rejects requests before it is unhealthy, and
// against one that exits before its last stream and the hand-over are complete.
func TestShutdownSequence(t *testing.T) {
	c := &manualClock{}
	handedOver := make(chan struct{})
	g := newTestGate(c, WithHandOver(func(context.Context) error { close(handedOver); return errors.New("no host to take over") }))
	assert.Equal(t, status(g.Health()), 200)
	assert.NilError(t, g.BeginRequest(true))

	g.Signal()
	assert.Equal(t, status(g.Health()), 503)
	assert.NilError(t, g.BeginRequest(true))
	g.EndRequest()

	c.advance(time.Second)
	err := g.BeginRequest(true)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	assert.Equal(t, verdict.From(err).Reason(), verdict.Draining)
	assert.NilError(t, g.BeginRequest(false))
	g.EndRequest()
	assert.Equal(t, g.Phase(), Refusing)

	g.EndRequest()
	<-handedOver
	<-g.Done()
	assert.Equal(t, g.Phase(), Stopped)
}

// Guards against a host that, after a second signal, waits for an endless stream
// or exits before the stream's response is written.
func TestSecondSignalCancelsRequests(t *testing.T) {
	g := newTestGate(&manualClock{})
	running := make(chan struct{})
	answered := make(chan struct{})
	h := g.Wrap(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		assert.NilError(t, g.BeginRequest(true))
		defer g.EndRequest()
		close(running)
		<-r.Context().Done()
		close(answered)
	}))
	go h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/", nil))
	<-running
	g.Signal()
	g.Signal()
	g.Signal()
	<-g.Done()
	select {
	case <-answered:
	default:
		t.Fatal("exited before the response was written")
	}
	assert.Assert(t, g.BeginRequest(false) != nil)
}

// Guards against a host that passes health checks without a live lease, and
// therefore receives requests.
func TestHealthFollowsReadiness(t *testing.T) {
	var notReady error
	g := newTestGate(&manualClock{}, WithReady(func() error { return notReady }))
	assert.Equal(t, status(g.Health()), 200)
	notReady = errors.New("lease-expired")
	assert.Equal(t, status(g.Health()), 503)
}

// Guards against callers that keep a connection to a host that is shutting down.
func TestWrapClosesConnectionsWhileLeaving(t *testing.T) {
	g := newTestGate(&manualClock{})
	h := g.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for _, want := range []string{"", "close"} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/", nil))
		assert.Equal(t, w.Header().Get("Connection"), want)
		g.Signal()
	}
	c := g.Done()
	g.Signal()
	<-c
}
