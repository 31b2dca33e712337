package cluster

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/disk"
	"github.com/sycamoreline/sycamoreline/faults"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/replica"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// testPartition is a partition whose replicas are in this process and on in-memory
// disks.
type testPartition struct {
	*deployment
	mu       sync.Mutex
	disks    map[string]*faults.Disk
	replicas map[string]*partitionReplica
	turns    int
}

func newTestPartition(t *testing.T, ids ...string) *testPartition {
	p := &testPartition{deployment: newDeployment(t), disks: map[string]*faults.Disk{}, replicas: map[string]*partitionReplica{}}
	for _, id := range ids {
		p.disks[id] = faults.NewDisk()
		p.open(id, ids)
	}
	p.onCleanup(func() {
		for _, id := range ids {
			assert.Check(t, p.replica(id).group.Close())
		}
	})
	return p
}

// Send implements replica.Transport.
func (p *testPartition) Send(m replica.Message) {
	if r := p.replica(m.To.ID); r != nil {
		r.group.Deliver(m)
	}
}

func (p *testPartition) replica(id string) *partitionReplica {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replicas[id]
}

// open opens a replica that takes snapshots often and keeps few entries.
func (p *testPartition) open(id string, founders []string) *partitionReplica {
	p.t.Helper()
	r, err := openPartition(1, HostConfig{ID: id, DataFolder: "data"}, founders, p,
		append(groupOptions(zap.NewNop()), replica.WithFS(p.disks[id]), replica.WithSnapshots(8, 1<<20, 2), replica.WithResidentLog(1000))...)
	assert.NilError(p.t, err)
	p.mu.Lock()
	p.replicas[id] = r
	p.mu.Unlock()
	return r
}

func (p *testPartition) leader() *partitionReplica {
	p.t.Helper()
	var leader *partitionReplica
	p.await("a leader", func(ctx context.Context) bool {
		for id := range p.disks {
			if r := p.replica(id); r.group.Read(ctx) == nil {
				leader = r
			}
		}
		return leader != nil
	})
	return leader
}

// keep adds turns to the conversation, of 1,000 bytes each.
func (p *testPartition) keep(count int) {
	p.t.Helper()
	leader := p.leader()
	for range count {
		p.turns++
		turn, previous := fmt.Sprint("turn-", p.turns), ""
		if p.turns > 1 {
			previous = fmt.Sprint("turn-", p.turns-1)
		}
		for _, c := range []ledger.Command{
			{ReserveTurn: &ledger.ReserveTurn{Program: "p", Turn: turn, Previous: previous, Budget: 1 << 30, MaxTokens: 1, Retention: 600_000}},
			{SettleTurn: &ledger.SettleTurn{Program: "p", Turn: turn, Tokens: 1, Keep: &ledger.KeptTurn{
				Previous: previous, Input: testBody(p.turns, 600), Output: testBody(p.turns, 400), Retention: 600_000,
			}}},
		} {
			r, err := leader.propose(p.t.Context(), tally.NoopScope, c)
			assert.NilError(p.t, err)
			assert.Assert(p.t, r.Refusal == nil, "%v", r.Refusal)
		}
	}
}

func testBody(turn, size int) []byte { return bytes.Repeat([]byte{byte(turn)}, size) }

// checkConversation checks the conversation on one replica.
func (p *testPartition) checkConversation(r *partitionReplica) {
	p.t.Helper()
	var want []byte
	for i := range p.turns {
		want = append(want, testBody(i+1, 1000)...)
	}
	chain, err := r.chain(fmt.Sprint("turn-", p.turns))
	assert.NilError(p.t, err)
	assert.Assert(p.t, bytes.Equal(chain, want), "%d bytes: want %d", len(chain), len(want))
}

// Guards against bodies of acknowledged turns that a loss of power takes away: those
// in a segment that was not synced, before and after a snapshot refers to it, must be
// written again from the log.
func TestBodiesSurviveALossOfPower(t *testing.T) {
	p := newTestPartition(t, "k1")
	random := rand.New(rand.NewPCG(1, 1))
	for range 12 {
		p.keep(1 + random.IntN(12))
		p.disks["k1"].Crash(random)
		r := p.replica("k1")
		if err := r.group.Close(); err != nil {
			t.Log("replica without power:", err)
		}
		p.open("k1", nil)
		p.checkConversation(p.leader())
	}
}

// Guards against a new replica that catches up without the bodies, and against one
// that gets entries without the data that its leader has only on disk.
func TestNewReplicaGetsTheBodies(t *testing.T) {
	p := newTestPartition(t, "k1", "k2", "k3")
	p.keep(30)
	leader := p.leader()
	lost := "k1"
	if leader == p.replica(lost) {
		lost = "k2"
	}
	assert.NilError(t, p.replica(lost).group.Close())
	p.keep(5)
	p.disks[lost].Erase()
	r := p.open(lost, nil)
	r.group.SetJoinPeers([]string{"k1", "k2", "k3"})
	p.await("the new replica has all turns", func(context.Context) bool {
		_, err := r.state.chain(fmt.Sprint("turn-", p.turns))
		return err == nil
	})
	p.checkConversation(r)
	p.keep(5)
	p.checkConversation(p.leader())
}

// Guards against a damaged body that is given to a caller, and against a replica that
// stays in its group with one.
func TestReplicaWithADamagedBodyJoinsAnew(t *testing.T) {
	p := newTestPartition(t, "k1", "k2", "k3")
	p.keep(10)
	leader := p.leader()
	id := leader.group.Status().ID
	names, err := p.disks[id].List("data/partition-1")
	assert.NilError(t, err)
	for _, n := range names {
		if strings.HasPrefix(n, "segment-") {
			assert.Assert(t, p.disks[id].Corrupt("data/partition-1/"+n, 4321))
		}
	}
	_, err = leader.chain("turn-10")
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	<-leader.group.Done()
	assert.ErrorIs(t, leader.group.Err(), disk.ErrDamaged)
	assert.ErrorIs(t, leader.group.Close(), nil)
	r := p.open(id, nil)
	r.group.SetJoinPeers([]string{"k1", "k2", "k3"})
	p.await("the replica has all turns again", func(context.Context) bool {
		_, err := r.state.chain("turn-10")
		return err == nil
	})
	p.checkConversation(r)
}

// Guards against a replica that comes back with a segment that was emptied although its
// turns are live, and fails again with each of them.
func TestReplicaWithAnEmptiedBodyIsDamaged(t *testing.T) {
	p := newTestPartition(t, "k1", "k2", "k3")
	p.keep(10)
	leader := p.leader()
	segments := leader.state.bodies.segments
	large, err := segments.Append(make([]byte, 4<<20))
	assert.NilError(t, err)
	_, err = segments.Append([]byte("in the next segment"))
	assert.NilError(t, err)
	for before := segments.Bytes(); segments.Bytes() == before; {
		segments.Release(large)
	}
	_, err = leader.chain("turn-10")
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	<-leader.group.Done()
	assert.ErrorIs(t, leader.group.Err(), disk.ErrDamaged)
	assert.ErrorIs(t, leader.group.Err(), disk.ErrExpired)
}

// Guards against a data folder of an earlier build, with bodies in its snapshot, that
// cannot be opened or whose bodies stay in memory.
func TestSnapshotWithBodiesInside(t *testing.T) {
	old := ledger.New()
	for _, c := range []ledger.Command{
		{ReserveTurn: &ledger.ReserveTurn{Program: "p", Turn: "a", Budget: 10, MaxTokens: 6}},
		{SettleTurn: &ledger.SettleTurn{Program: "p", Turn: "a", Keep: &ledger.KeptTurn{Input: []byte("in"), Output: []byte("out"), Retention: 600_000}}},
	} {
		assert.Assert(t, old.ApplyCommand(1, c).Refusal == nil)
	}
	d := faults.NewDisk()
	s, _, err := disk.Open(d, "data/partition-1", "k1", 1)
	assert.NilError(t, err)
	w, err := s.CreateSnapshot(disk.SnapshotInfo{Index: 1, Term: 1, Members: []byte(`[]`)})
	assert.NilError(t, err)
	assert.NilError(t, old.Snapshot(w))
	_, err = w.Finish()
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	r, err := openPartition(1, HostConfig{ID: "k1", DataFolder: "data"}, nil, &testPartition{}, replica.WithFS(d))
	assert.NilError(t, err)
	chain, err := r.chain("a")
	assert.NilError(t, err)
	assert.Equal(t, string(chain), "inout")
	assert.Equal(t, r.state.bodies.segments.Bytes(), int64(len("inout")))
	assert.NilError(t, r.group.Close())
}

// Guards against turns that are refused although there is space, against turns that
// continue a conversation and are refused with first turns, and against a level that
// changes with every turn.
func TestDiskLevel(t *testing.T) {
	cases := []struct {
		used int64
		want refusedTurns
	}{{89, refuseNone}, {90, refuseFirst}, {89, refuseFirst}, {87, refuseNone}, {96, refuseAll}, {95, refuseAll}, {93, refuseFirst}, {0, refuseNone}}
	var d diskLevel
	for _, c := range cases {
		d.update(c.used, 100)
		assert.Equal(t, d.refused(), c.want, "%d%%", c.used)
	}
	assert.Assert(t, !d.update(1000, 0))
}

// Guards against a leader that fills the disk of a follower with less space, as on a
// host that has taken over partitions of a lost one.
func TestLeaderKnowsTheDiskOfItsFollowers(t *testing.T) {
	p := newTestPartition(t, "k1", "k2", "k3")
	leader := p.leader()
	for _, level := range []refusedTurns{refuseAll, refuseNone} {
		for id := range p.disks {
			if r := p.replica(id); r != leader {
				r.group.SetDiskLevel(int(level))
			}
		}
		p.await("the level of the follower", func(context.Context) bool { return leader.group.Status().DiskLevel == int(level) })
	}
}

// Guards against a ledger with a nearly full disk that takes first turns until it
// can't continue any conversation, against a refusal that waits or gets another
// verdict, and against turns that change when they are compressed.
func TestNearlyFullLedgerRefusesFirstTurns(t *testing.T) {
	d := newDeployment(t, "c1", "k1")
	d.tolerate = 0
	seeds := []string{"c1"}
	d.startHost("c1", seeds, seeds)
	c := d.ledgerHostConfig("k1", seeds, true)
	c.DiskBytes = 1_000_000
	h, err := StartLedgerHost(c, d.listeners["k1"], zap.NewNop())
	assert.NilError(t, err)
	d.onCleanup(func() { assert.Check(t, h.Close()) })
	entry := d.startLink("e1", seeds, &observer{})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	reserve := func(turn, previous string) verdict.Reason {
		_, err := entry.Reserve(ctx, turnRequest("p", turn, 1, previous))
		if err == nil {
			return ""
		}
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		return verdict.From(err).Reason()
	}
	// keep fills the disk: the log and a segment have the turn.
	keep := func(turn string, size int, want refusedTurns) {
		input := make([]byte, size)
		_, err := rand.NewChaCha8([32]byte{}).Read(input) // cannot be compressed
		assert.NilError(t, err)
		assert.NilError(t, entry.Settle(ctx, ledger.SettleTurn{Program: "p", Turn: turn, Tokens: 1, Keep: &ledger.KeptTurn{Input: input, Retention: 60_000}}))
		d.await("the level "+want.String(), func(context.Context) bool { return h.partition(1).group.Status().DiskLevel == int(want) })
	}
	words := bytes.Repeat([]byte("words "), 10_000)
	assert.Equal(t, reserve("w", ""), verdict.Reason(""))
	assert.NilError(t, entry.Settle(ctx, ledger.SettleTurn{Program: "p", Turn: "w", Tokens: 1, Keep: &ledger.KeptTurn{Input: words, Retention: 60_000}}))
	r, err := entry.Reserve(ctx, turnRequest("p", "x", 1, "w"))
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(r.Chain, words))
	assert.Assert(t, h.diskBytes() < int64(len(words)/4))
	assert.Equal(t, reserve("a", ""), verdict.Reason(""))
	keep("a", 455_000, refuseFirst)
	assert.Equal(t, reserve("b", ""), verdict.Overloaded)
	assert.Equal(t, reserve("c", "a"), verdict.Reason(""))
	keep("c", 30_000, refuseAll)
	assert.Equal(t, reserve("d", "c"), verdict.Overloaded)
}
