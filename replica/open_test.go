package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/disk"
)

// openGroupSim runs replicas of an open group in virtual time. Disks write at once
// and messages take a tick; a host that is down loses what is sent to it.
type openGroupSim struct {
	t      *testing.T
	now    time.Duration
	random *rand.Rand
	nodes  map[string]*openNode
	inbox  []Message
	seq    int
}

type openNode struct {
	*Node
	applied []string
	down    bool
	writing []openWrite
	slow    time.Duration  // of each write
	stored  disk.Recovered // on its disk
}

// store applies a write to the disk.
func (n *openNode) store(p Persist) {
	if p.HardState != nil {
		n.stored.HardState = *p.HardState
	}
	if len(p.Entries) > 0 {
		n.stored.Entries = slices.Concat(n.stored.Entries[:p.Entries[0].Index-1], p.Entries)
	}
}

type openWrite struct {
	at      time.Duration // when it is done
	persist Persist
	after   []Message
}

const openTick = 25 * time.Millisecond

var openTiming = Timing{
	Heartbeat: 300 * time.Millisecond, Election: time.Second, SlowWrite: 50 * time.Millisecond, RemoveAfter: 12 * time.Second,
}

func newOpenGroupSim(t *testing.T, founders ...string) *openGroupSim {
	w := &openGroupSim{t: t, random: rand.New(rand.NewPCG(1, 2)), nodes: map[string]*openNode{}}
	for _, id := range founders {
		w.start(id, founders)
	}
	w.advance(5 * time.Second)
	return w
}

// start begins a replica with an empty disk.
func (w *openGroupSim) start(id string, founders []string) {
	n, err := NewNode(Now{Elapsed: w.now}, NodeOptions{
		Self: Ref{ID: id, Incarnation: w.random.Uint64()}, Initial: founders, Open: true, Timing: openTiming, Random: w.random,
	}, disk.Recovered{})
	assert.NilError(w.t, err)
	w.nodes[id] = &openNode{Node: n}
}

func (w *openGroupSim) ids() []string {
	var ids []string
	for id := range w.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *openGroupSim) handle(id string, out Output) {
	n := w.nodes[id]
	assert.NilError(w.t, out.Fatal)
	w.inbox = append(w.inbox, out.Immediate...)
	for _, e := range out.Apply {
		if e.Kind == disk.Command {
			n.applied = append(n.applied, string(e.Data))
		}
	}
	if out.Persist.empty() && len(n.writing) == 0 {
		w.inbox = append(w.inbox, out.AfterPersist...)
		return
	}
	at := w.now + n.slow
	if k := len(n.writing); k > 0 {
		// Writes that wait for the disk share one sync.
		at = n.writing[k-1].at
		if at-n.slow <= w.now {
			at += n.slow
		}
	}
	n.writing = append(n.writing, openWrite{at, out.Persist, out.AfterPersist})
	if n.slow == 0 {
		w.finishWrites(id)
	}
}

func (w *openGroupSim) finishWrites(id string) {
	for n := w.nodes[id]; len(n.writing) > 0 && n.writing[0].at <= w.now; {
		done := n.writing[0]
		n.writing = n.writing[1:]
		n.store(done.persist)
		w.inbox = append(w.inbox, done.after...)
		if !done.persist.empty() {
			w.handle(id, n.Persisted(Now{Elapsed: w.now}, done.persist))
		}
	}
}

func (w *openGroupSim) advance(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += openTick {
		messages := w.inbox
		w.inbox = nil
		for _, m := range messages {
			n := w.nodes[m.To.ID]
			if answer, due := ReplyWithoutReplica(m); n == nil && due {
				w.inbox = append(w.inbox, answer)
			}
			if n != nil && !n.down {
				w.handle(m.To.ID, n.Step(Now{Elapsed: w.now}, m))
			}
		}
		for _, id := range w.ids() {
			if n := w.nodes[id]; !n.down {
				w.finishWrites(id)
				n.SetJoinPeers(w.ids())
				w.handle(id, n.Tick(Now{Elapsed: w.now}))
			}
		}
	}
}

// commit proposes a command and fails unless it is applied within a time.
func (w *openGroupSim) commit(within time.Duration) {
	w.t.Helper()
	w.seq++
	command := fmt.Sprint("command ", w.seq)
	for end := w.now + within; w.now < end; w.advance(openTick) {
		for _, id := range w.ids() {
			n := w.nodes[id]
			if n.down || n.Role() != Leader {
				continue
			}
			if slices.Contains(n.applied, command) {
				return
			}
			if n.acceptsProposals() && !slices.ContainsFunc(n.log.entries, func(e disk.Entry) bool { return string(e.Data) == command }) {
				_, out := n.Propose(Now{Elapsed: w.now}, [][]byte{[]byte(command)})
				w.handle(id, out)
			}
		}
	}
	w.t.Fatalf("%v: %s not applied within %v; members %v", w.now, command, within, w.memberships())
}

func (w *openGroupSim) memberships() map[string]Members {
	out := map[string]Members{}
	for id, n := range w.nodes {
		if !n.down {
			out[id] = n.Members()
		}
	}
	return out
}

func (w *openGroupSim) leader() string {
	for _, id := range w.ids() {
		if n := w.nodes[id]; !n.down && n.Role() == Leader {
			return id
		}
	}
	w.t.Fatal("no leader")
	return ""
}

// Guards against a new host that gets a vote beside the lost one that it
// replaces: of the four voters two may then be lost before the first of them
// is removed, and the group is stuck.
func TestOpenGroupOutlivesReplacementsInTurn(t *testing.T) {
	tests := []struct {
		name string
		lost []string
	}{
		{name: "followers first", lost: []string{"c", "b", "a"}},
		{name: "leader first", lost: []string{"a", "b", "c"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newOpenGroupSim(t, "a", "b", "c")
			w.commit(time.Second)
			for i, id := range tt.lost {
				w.nodes[id].down = true
				w.advance(time.Second)
				w.start(fmt.Sprint("new-", i), nil)
				w.advance(4 * time.Second) // the next loss may come then
				w.commit(3 * time.Second)
			}
			w.commit(time.Second)
			w.advance(time.Second) // until the followers know of the commit
			assert.Equal(t, len(w.nodes["new-2"].applied), w.seq)
		})
	}
}

// Guards against hosts that cannot join a running group, and against a lost
// host that counts towards the quorum for ever.
func TestOpenGroupGrowsAndForgets(t *testing.T) {
	w := newOpenGroupSim(t, "a", "b", "c")
	w.start("d", nil)
	w.start("e", nil)
	w.advance(3 * time.Second)
	w.commit(time.Second)
	assert.Equal(t, len(w.nodes[w.leader()].Members()), 5)
	w.nodes["e"].down = true
	w.advance(openTiming.RemoveAfter + 2*time.Second)
	w.commit(time.Second)
	assert.Equal(t, len(w.nodes[w.leader()].Members()), 4)
	w.nodes["e"].down = false // it joins again
	w.advance(5 * time.Second)
	w.commit(time.Second)
	assert.Equal(t, len(w.nodes[w.leader()].Members()), 5)
}

// Guards against a host that keeps its vote, or comes back, after it was to be
// emptied, and against the loss of another one right after.
func TestOpenGroupEmptiesRetiringHosts(t *testing.T) {
	for _, retiring := range []string{"a", "b", "c", "d"} {
		t.Run(retiring, func(t *testing.T) {
			w := newOpenGroupSim(t, "a", "b", "c")
			w.start("d", nil)
			w.advance(3 * time.Second)
			w.commit(time.Second)
			for _, n := range w.nodes {
				n.SetRetiring([]string{retiring})
			}
			w.advance(4 * time.Second)
			w.commit(time.Second)
			members := w.nodes[w.leader()].Members()
			assert.Equal(t, len(members), 3)
			assert.Assert(t, !slices.ContainsFunc(members, func(x Member) bool { return x.ID == retiring }))
			delete(w.nodes, retiring)
			w.nodes[w.leader()].down = true
			w.commit(5 * time.Second)
		})
	}
}

// Guards against a leader whose disk is slow, but not stalled, and that holds up
// every commit although the other disks would do.
func TestOpenGroupLeavesASlowDisk(t *testing.T) {
	w := newOpenGroupSim(t, "a", "b", "c")
	w.advance(transferCooldown * openTiming.Election)
	w.commit(time.Second)
	slow := w.leader()
	w.nodes[slow].slow = 200 * time.Millisecond
	w.commit(2 * time.Second)
	w.advance(time.Second)
	assert.Assert(t, w.leader() != slow)
	for range 5 {
		w.commit(150 * time.Millisecond)
	}
}
