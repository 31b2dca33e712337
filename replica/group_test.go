package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/faults"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// commandRecorder is a state machine that records all commands.
type commandRecorder struct {
	mu       sync.Mutex
	commands []string
}

func (c *commandRecorder) Apply(_ uint64, _ int64, command []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands = append(c.commands, string(command))
	return []byte(fmt.Sprint(len(c.commands)))
}

func (c *commandRecorder) Snapshot(w io.Writer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return json.NewEncoder(w).Encode(c.commands)
}

func (c *commandRecorder) Restore(r io.Reader) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return json.NewDecoder(r).Decode(&c.commands)
}

func (c *commandRecorder) all() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.commands...)
}

// memoryTransport is a transport between groups in one process. It encodes
// messages as JSON, so that fields lost in encoding are noticed.
type memoryTransport struct {
	mu     sync.Mutex
	groups map[string]*Group
	cut    map[string]bool
}

func (t *memoryTransport) Send(m Message) {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	var copied Message
	if err := json.Unmarshal(data, &copied); err != nil {
		panic(err)
	}
	t.mu.Lock()
	g := t.groups[m.To.ID]
	if t.cut[m.From.ID] || t.cut[m.To.ID] {
		g = nil
	}
	t.mu.Unlock()
	if g != nil {
		g.Deliver(copied)
	}
}

func (t *memoryTransport) setCut(id string, cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cut[id] = cut
}

func (t *memoryTransport) setGroup(id string, g *Group) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g == nil {
		delete(t.groups, id)
		return
	}
	t.groups[id] = g
}

var testIDs = []string{"control-1", "control-2", "control-3"}

var testTiming = Timing{Heartbeat: 20 * time.Millisecond, Election: 100 * time.Millisecond}

// testGroup is a group of three replicas.
type testGroup struct {
	t             testing.TB
	transport     *memoryTransport
	disks         map[string]*faults.Disk
	stateMachines map[string]*commandRecorder
	groups        map[string]*Group
	options       []Option
}

func newTestGroup(t testing.TB, opts ...Option) *testGroup {
	c := &testGroup{
		t: t, transport: &memoryTransport{groups: map[string]*Group{}, cut: map[string]bool{}},
		disks: map[string]*faults.Disk{}, stateMachines: map[string]*commandRecorder{}, groups: map[string]*Group{}, options: opts,
	}
	for _, id := range testIDs {
		c.disks[id] = faults.NewDisk()
		c.start(id)
	}
	return c
}

func (c *testGroup) start(id string) {
	c.t.Helper()
	m := &commandRecorder{}
	opts := append([]Option{WithFS(c.disks[id]), WithTiming(testTiming)}, c.options...)
	g, err := Open(Config{ID: id, Peers: testIDs, Dir: "data"}, m, c.transport, opts...)
	assert.NilError(c.t, err)
	c.stateMachines[id], c.groups[id] = m, g
	c.transport.setGroup(id, g)
}

func (c *testGroup) stop(id string) {
	c.t.Helper()
	assert.NilError(c.t, c.groups[id].Close())
	c.transport.setGroup(id, nil)
	delete(c.groups, id)
}

func (c *testGroup) close() {
	for _, id := range testIDs {
		if c.groups[id] != nil {
			c.stop(id)
		}
	}
}

// propose retries until a leader commits the command, and returns its result.
func (c *testGroup) propose(ctx context.Context, command string) []byte {
	c.t.Helper()
	for ctx.Err() == nil {
		for _, id := range testIDs {
			g := c.groups[id]
			if g == nil {
				continue
			}
			result, err := g.Propose(ctx, []byte(command))
			if err == nil {
				return result
			}
		}
		pause(ctx)
	}
	c.logStatus()
	c.t.Fatalf("no leader committed command %q before the deadline", command)
	return nil
}

func (c *testGroup) leader(ctx context.Context) *Group {
	c.t.Helper()
	for ctx.Err() == nil {
		for _, g := range c.groups {
			if id, ok := g.Leader(); ok && id == g.config.ID {
				return g
			}
		}
		pause(ctx)
	}
	c.t.Fatal("no leader before the deadline")
	return nil
}

// pause waits between retries.
func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(5 * time.Millisecond):
	}
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against commands lost or reordered between proposal, log and state
// machine, and against a read that misses a completed proposal.
func TestGroupAppliesProposals(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := newTestGroup(t)
	defer c.close()
	ctx := testContext(t)
	for i := range 50 {
		assert.Equal(t, string(c.propose(ctx, fmt.Sprint(i))), fmt.Sprint(i+1))
	}
	g := c.leader(ctx)
	assert.NilError(t, g.Read(ctx))
	assert.Equal(t, len(c.stateMachines[g.config.ID].all()), 50)
}

// Guards against committed commands lost when the whole group restarts.
func TestGroupRestarts(t *testing.T) {
	c := newTestGroup(t)
	ctx := testContext(t)
	for i := range 20 {
		c.propose(ctx, fmt.Sprint(i))
	}
	c.close()
	for _, id := range testIDs {
		c.start(id)
	}
	defer c.close()
	assert.Equal(t, string(c.propose(ctx, "last")), "21")
}

// Guards against wrong verdicts of failed proposals. A follower or a closed
// replica never appends the command (not-run); an isolated leader does, so that
// it may still be committed (may-have-run).
func TestProposalVerdicts(t *testing.T) {
	c := newTestGroup(t)
	defer c.close()
	ctx := testContext(t)
	c.propose(ctx, "first")
	g := c.leader(ctx)
	for id, f := range c.groups {
		if id != g.config.ID {
			_, err := f.Propose(ctx, []byte("x"))
			assert.Equal(t, verdict.Of(err), verdict.NotRun)
			assert.Equal(t, verdict.Of(f.Read(ctx)), verdict.NotRun)
		}
	}
	c.transport.setCut(g.config.ID, true)
	_, err := g.Propose(ctx, []byte("y"))
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	var e *verdict.Error
	assert.Assert(t, errors.As(err, &e))
	c.transport.setCut(g.config.ID, false)
	c.stop(g.config.ID)
	_, err = g.Propose(ctx, []byte("z"))
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
}
