package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/disk"
	"github.com/sycamoreline/sycamoreline/faults"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// kill stops a replica without a leadership transfer, as a crash of its host
// does.
func (c *testGroup) kill(id string) {
	c.t.Helper()
	c.transport.setGroup(id, nil)
	c.disks[id].Crash(rand.New(rand.NewPCG(1, 1)))
	c.groups[id].shutDown(nil)
	assert.NilError(c.t, c.groups[id].Close())
	delete(c.groups, id)
}

// Guards against a log that is not compacted, a snapshot that loses commands,
// and a lost disk whose replica is not replaced. The new incarnation receives a
// snapshot in several chunks and must then count towards the quorum when
// another host is down.
func TestLostDiskIsReplaced(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := newTestGroup(t, WithSnapshots(40, 1<<40, 5), WithTiming(Timing{Heartbeat: 50 * time.Millisecond, Election: 400 * time.Millisecond}))
	defer c.close()
	ctx := testContext(t)
	const commands = 200
	padding := strings.Repeat("x", 8<<10)
	for i := range commands {
		c.propose(ctx, fmt.Sprint(i, padding))
	}
	lost := testIDs[0]
	c.kill(lost)
	c.disks[lost].Erase()
	c.start(lost)
	c.waitForCommands(ctx, lost)
	for c.voterCount(ctx) != 3 {
		pause(ctx)
	}
	c.kill(testIDs[1])
	c.propose(ctx, "last")
	c.waitForCommands(ctx, lost)
	assert.Assert(t, c.disks[lost].Size("data/log") < 100*(8<<10), "log was not compacted")
	c.start(testIDs[1])
	c.waitForCommands(ctx, testIDs[1])
}

func (c *testGroup) logStatus() {
	for id, g := range c.groups {
		c.t.Logf("%s: %+v", id, g.Status())
	}
}

// voterCount returns the number of voters, or 0 while a replacement is in
// progress.
func (c *testGroup) voterCount(ctx context.Context) int {
	assert.NilError(c.t, ctx.Err())
	s := c.leader(ctx).Status()
	voters := 0
	for _, m := range s.Members {
		if m.Learner || !s.MembersCommitted {
			return 0
		}
		voters++
	}
	return voters
}

// Guards against a replica that continues after a failed sync, or that does not
// report why it stopped.
func TestFailedSyncStopsReplica(t *testing.T) {
	c := newTestGroup(t)
	defer c.close()
	ctx := testContext(t)
	c.propose(ctx, "first")
	g := c.leader(ctx)
	id := g.config.ID
	c.disks[id].FailSync(true)
	_, err := g.Propose(ctx, []byte("x"))
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	<-g.Done()
	assert.ErrorIs(t, g.Err(), faults.ErrSync)
	_, err = g.Propose(ctx, []byte("y"))
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	assert.ErrorContains(t, err, "injected sync failure")
	c.disks[id].FailSync(false)
	c.stop(id)
	c.propose(ctx, "second")
	c.start(id)
	c.propose(ctx, "third")
}

// Guards against a full disk of one replica that blocks the group, and against a
// replica that does not recover once its disk has space again.
func TestFullDiskRecovers(t *testing.T) {
	c := newTestGroup(t)
	defer c.close()
	ctx := testContext(t)
	c.propose(ctx, "first")
	id := c.leader(ctx).config.ID
	c.disks[id].SetCapacity(c.disks[id].Used() + 10)
	c.propose(ctx, "second")
	c.propose(ctx, "third")
	c.disks[id].SetCapacity(0)
	c.waitForCommands(ctx, id)
}

// Guards against a damaged data folder being used, and against one that keeps
// the host out of the group for good even with WithRejoin.
func TestDamagedFolder(t *testing.T) {
	c := newTestGroup(t)
	defer c.close()
	ctx := testContext(t)
	for i := range 10 {
		c.propose(ctx, fmt.Sprint(i))
	}
	id := testIDs[2]
	c.waitForCommands(ctx, id) // damage to the only write in a log would be taken for a torn write
	c.kill(id)
	c.disks[id].Corrupt("data/log", 30)
	config := Config{ID: id, Peers: testIDs, Dir: "data"}
	_, err := Open(config, &commandRecorder{}, c.transport, WithFS(c.disks[id]))
	assert.ErrorIs(t, err, disk.ErrDamaged)
	assert.ErrorContains(t, err, "log offset 20: checksum mismatch")
	c.options = append(c.options, WithRejoin())
	c.start(id)
	c.waitForCommands(ctx, id)
}

// Guards against a rolled-back disk that is not detected.
func TestRolledBackFolder(t *testing.T) {
	c := newTestGroup(t, WithRejoin())
	defer c.close()
	ctx := testContext(t)
	c.propose(ctx, "first")
	l := c.leader(ctx)
	id := testIDs[0]
	if id == l.config.ID {
		id = testIDs[1]
	}
	c.waitForCommands(ctx, id)
	image := c.disks[id].Image()
	for i := range 10 {
		c.propose(ctx, fmt.Sprint(i))
	}
	c.waitForCommands(ctx, id)
	c.kill(id)
	c.disks[id].Restore(image)
	c.start(id)
	select {
	case <-c.groups[id].Done():
	case <-ctx.Done():
		c.logStatus()
		t.Fatalf("%s did not detect before the deadline that its disk was rolled back", id)
	}
	assert.ErrorIs(t, c.groups[id].Err(), ErrRolledBack)
	c.stop(id)
	c.start(id)
	c.waitForCommands(ctx, id)
}

// Guards against a rolling restart that loses or repeats a proposal, or that
// waits for an election timeout because leadership was not transferred.
func TestRollingRestart(t *testing.T) {
	c := newTestGroup(t, WithTiming(Timing{Heartbeat: 20 * time.Millisecond, Election: time.Hour}))
	// With this election timeout, a restart of the leader without a leadership
	// transfer would leave the group without a leader for an hour.
	defer c.close()
	ctx := testContext(t)
	c.propose(ctx, "0")
	for range 2 {
		id := c.leader(ctx).config.ID
		c.stop(id)
		c.propose(ctx, "x")
		c.start(id)
		c.propose(ctx, "y")
		c.waitForCommands(ctx, id)
	}
	var applied []string
	for _, command := range c.stateMachines[c.leader(ctx).config.ID].all() {
		_, name, _ := strings.Cut(command, ":")
		applied = append(applied, name)
	}
	assert.DeepEqual(t, applied, []string{"0", "x", "y", "x", "y"})
}
