package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
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
	cut    map[string]bool // ids whose messages are lost in both directions
	cutTo  map[string]bool // ids that receive no messages
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
	if t.cut[m.From.ID] || t.cut[m.To.ID] || t.cutTo[m.To.ID] {
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

func (t *memoryTransport) setCutTo(id string, cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cutTo[id] = cut
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

// attempt is one proposal of a command. A command that is proposed again is a
// new attempt: it is applied twice if an earlier attempt with an unknown outcome
// is applied too.
type attempt struct {
	id      string // the command as proposed, with the number of the attempt
	verdict verdict.Verdict
}

// testGroup is a group of three replicas.
type testGroup struct {
	t             testing.TB
	transport     *memoryTransport
	disks         map[string]*faults.Disk
	stateMachines map[string]*commandRecorder
	groups        map[string]*Group
	options       []Option
	attempts      []attempt // in the order of the proposals, which do not overlap
}

func newTestGroup(t testing.TB, opts ...Option) *testGroup {
	c := &testGroup{
		t: t, transport: &memoryTransport{groups: map[string]*Group{}, cut: map[string]bool{}, cutTo: map[string]bool{}},
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

// propose makes attempts until a leader commits the command.
func (c *testGroup) propose(ctx context.Context, command string) {
	c.t.Helper()
	for ctx.Err() == nil {
		for _, id := range testIDs {
			if c.groups[id] != nil && c.attempt(ctx, id, command) == verdict.Ran {
				return
			}
		}
		pause(ctx)
	}
	c.logStatus()
	c.t.Fatalf("no leader committed command %.40q before the deadline", command)
}

// attempt proposes a command once to a replica. It returns the verdict: ran if
// the command was acknowledged with the result of its own application.
func (c *testGroup) attempt(ctx context.Context, id, command string) verdict.Verdict {
	c.t.Helper()
	a := attempt{id: fmt.Sprintf("%d:%s", len(c.attempts), command), verdict: verdict.Ran}
	result, err := c.groups[id].Propose(ctx, []byte(a.id))
	if err != nil {
		a.verdict = verdict.Of(err)
	} else {
		applied := c.stateMachines[id].all()
		position := slices.Index(applied, a.id) + 1
		assert.Equal(c.t, string(result), fmt.Sprint(position), "result of %.40q, applied: %.40q", a.id, applied)
	}
	c.attempts = append(c.attempts, a)
	return a.verdict
}

// checkCommands checks the commands applied by a replica: all acknowledged
// attempts, none with the verdict not-run, each at most once and in the order in
// which they were made. It also checks that the other replicas have applied the
// same commands, as far as they have got.
func (c *testGroup) checkCommands(id string) {
	c.t.Helper()
	applied := c.stateMachines[id].all()
	rest := applied
	for _, a := range c.attempts {
		ran := len(rest) > 0 && rest[0] == a.id
		if ran {
			rest = rest[1:]
		}
		if ran && a.verdict == verdict.NotRun || !ran && a.verdict == verdict.Ran {
			c.t.Fatalf("%s: attempt %.40q has the verdict %v; applied: %.40q", id, a.id, a.verdict, applied)
		}
	}
	if len(rest) > 0 {
		c.t.Fatalf("%s applied %.40q again, out of order or without a proposal; applied: %.40q", id, rest[0], applied)
	}
	for other := range c.groups {
		commands := c.stateMachines[other].all()
		if len(commands) > len(applied) || !slices.Equal(commands, applied[:len(commands)]) {
			c.t.Fatalf("%s applied %.40q, but %s %.40q", id, applied, other, commands)
		}
	}
}

// waitForCommands waits until a replica has applied the last acknowledged
// attempt, and checks all that it has applied. No earlier attempt can be applied
// after it.
func (c *testGroup) waitForCommands(ctx context.Context, id string) {
	c.t.Helper()
	last := ""
	for _, a := range c.attempts {
		if a.verdict == verdict.Ran {
			last = a.id
		}
	}
	for !slices.Contains(c.stateMachines[id].all(), last) {
		if ctx.Err() != nil {
			c.logStatus()
			c.t.Fatalf("%s has not applied %.40q; applied: %.40q", id, last, c.stateMachines[id].all())
		}
		pause(ctx)
	}
	c.checkCommands(id)
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
		c.propose(ctx, fmt.Sprint(i))
	}
	g := c.leader(ctx)
	assert.NilError(t, g.Read(ctx))
	c.checkCommands(g.config.ID)
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
	c.propose(ctx, "last")
	for _, id := range testIDs {
		c.waitForCommands(ctx, id)
	}
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

// Guards against a proposal that is applied twice or out of order after its
// outcome was reported as unknown. The replies to the leader are lost, so that it
// loses its leadership after the others have stored the command, which is then
// proposed again.
func TestUnknownOutcomeIsAppliedAtMostOnce(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := newTestGroup(t)
	defer c.close()
	ctx := testContext(t)
	for {
		c.propose(ctx, "before")
		id := c.leader(ctx).config.ID
		c.transport.setCutTo(id, true)
		unknown := len(c.attempts)
		v := c.attempt(ctx, id, "x")
		c.propose(ctx, "x")
		c.transport.setCutTo(id, false)
		for _, id := range testIDs {
			c.waitForCommands(ctx, id)
		}
		if v == verdict.MayHaveRun && slices.Contains(c.stateMachines[id].all(), c.attempts[unknown].id) {
			return
		}
		// Leadership was lost before the others had stored the command.
		assert.NilError(t, ctx.Err())
	}
}
