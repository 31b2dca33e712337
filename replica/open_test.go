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

// openGroupSim runs the replicas of an open group in virtual time. By default
// disk writes complete at once; messages take one tick, and messages to a host
// that is down are lost.
type openGroupSim struct {
	t            *testing.T
	now          time.Duration
	random       *rand.Rand
	nodes        map[string]*openNode
	inflight     []Message
	commandCount int
}

type openNode struct {
	*Node
	commands   []string
	down       bool
	writeQueue []openWrite
	writeTime  time.Duration  // duration of each disk write
	writeRate  int            // in bytes per second, in addition; 0 for no limit
	stored     disk.Recovered // state on disk
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
	completesAt  time.Duration
	persist      Persist
	afterPersist []Message
}

const openTick = 25 * time.Millisecond

var openTiming = Timing{
	Heartbeat: 300 * time.Millisecond, Election: time.Second, SlowWrite: 50 * time.Millisecond, WriteRate: 32 << 20, RemoveAfter: 12 * time.Second,
}

func newOpenGroupSim(t *testing.T, founders ...string) *openGroupSim {
	s := &openGroupSim{t: t, random: rand.New(rand.NewPCG(1, 2)), nodes: map[string]*openNode{}}
	for _, id := range founders {
		s.start(id, founders)
	}
	s.advance(5 * time.Second)
	return s
}

// start starts a replica with an empty disk.
func (s *openGroupSim) start(id string, founders []string) {
	n, err := NewNode(Now{Elapsed: s.now}, NodeOptions{
		Self: Ref{ID: id, Incarnation: s.random.Uint64()}, Initial: founders, Open: true, Timing: openTiming, Random: s.random,
	}, disk.Recovered{})
	assert.NilError(s.t, err)
	s.nodes[id] = &openNode{Node: n}
}

func (s *openGroupSim) ids() []string {
	var ids []string
	for id := range s.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *openGroupSim) handle(id string, out Output) {
	n := s.nodes[id]
	assert.NilError(s.t, out.Fatal)
	s.inflight = append(s.inflight, out.Immediate...)
	for _, e := range out.Apply {
		if e.Kind == disk.Command {
			n.commands = append(n.commands, string(e.Data))
		}
	}
	if out.Persist.empty() && len(n.writeQueue) == 0 {
		s.inflight = append(s.inflight, out.AfterPersist...)
		return
	}
	at := s.now + n.writeTime
	if n.writeRate > 0 {
		at += time.Duration(out.Persist.size()) * time.Second / time.Duration(n.writeRate)
	}
	if k := len(n.writeQueue); k > 0 {
		// Writes queued while the disk is busy share one sync.
		at = n.writeQueue[k-1].completesAt
		if at-n.writeTime <= s.now {
			at += n.writeTime
		}
	}
	n.writeQueue = append(n.writeQueue, openWrite{at, out.Persist, out.AfterPersist})
	if n.writeTime == 0 {
		s.finishWrites(id)
	}
}

func (s *openGroupSim) finishWrites(id string) {
	for n := s.nodes[id]; len(n.writeQueue) > 0 && n.writeQueue[0].completesAt <= s.now; {
		done := n.writeQueue[0]
		n.writeQueue = n.writeQueue[1:]
		n.store(done.persist)
		s.inflight = append(s.inflight, done.afterPersist...)
		if !done.persist.empty() {
			s.handle(id, n.Persisted(Now{Elapsed: s.now}, done.persist))
		}
	}
}

func (s *openGroupSim) advance(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += openTick {
		messages := s.inflight
		s.inflight = nil
		for _, m := range messages {
			n := s.nodes[m.To.ID]
			if reply, due := ReplyWithoutReplica(m); n == nil && due {
				s.inflight = append(s.inflight, reply)
			}
			if n != nil && !n.down {
				s.handle(m.To.ID, n.Step(Now{Elapsed: s.now}, m))
			}
		}
		for _, id := range s.ids() {
			if n := s.nodes[id]; !n.down {
				s.finishWrites(id)
				n.SetJoinPeers(s.ids())
				s.handle(id, n.Tick(Now{Elapsed: s.now}))
			}
		}
	}
}

// commit proposes a command and fails the test unless the leader applies it in
// time.
func (s *openGroupSim) commit(within time.Duration) {
	s.t.Helper()
	s.commandCount++
	command := fmt.Sprint("command ", s.commandCount)
	for end := s.now + within; s.now < end; s.advance(openTick) {
		for _, id := range s.ids() {
			n := s.nodes[id]
			if n.down || n.Role() != Leader {
				continue
			}
			if slices.Contains(n.commands, command) {
				return
			}
			if n.acceptsProposals() && !slices.ContainsFunc(n.log.entries, func(e disk.Entry) bool { return string(e.Data) == command }) {
				_, out := n.Propose(Now{Elapsed: s.now}, [][]byte{[]byte(command)})
				s.handle(id, out)
			}
		}
	}
	s.t.Fatalf("%v: %s not applied within %v; members %v", s.now, command, within, s.memberships())
}

func (s *openGroupSim) memberships() map[string]Members {
	out := map[string]Members{}
	for id, n := range s.nodes {
		if !n.down {
			out[id] = n.Members()
		}
	}
	return out
}

func (s *openGroupSim) leader() string {
	for _, id := range s.ids() {
		if n := s.nodes[id]; !n.down && n.Role() == Leader {
			return id
		}
	}
	s.t.Fatal("no leader")
	return ""
}

// Guards against a replacement that becomes a voter before the lost host that
// it replaces is removed. If another host is then lost, two of four voters are
// left, which is no quorum, and the group is stuck.
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
			s := newOpenGroupSim(t, "a", "b", "c")
			s.commit(time.Second)
			for i, id := range tt.lost {
				s.nodes[id].down = true
				s.advance(time.Second)
				s.start(fmt.Sprint("new-", i), nil)
				s.advance(4 * time.Second) // after this time the next loss must be tolerated
				s.commit(3 * time.Second)
			}
			s.commit(time.Second)
			s.advance(time.Second) // until the followers receive the commit index
			assert.Equal(t, len(s.nodes["new-2"].commands), s.commandCount)
		})
	}
}

// Guards against hosts that cannot join an existing group, and against a lost
// host that counts towards the quorum for ever.
func TestOpenGroupGrowsAndForgets(t *testing.T) {
	s := newOpenGroupSim(t, "a", "b", "c")
	s.start("d", nil)
	s.start("e", nil)
	s.advance(3 * time.Second)
	s.commit(time.Second)
	assert.Equal(t, len(s.nodes[s.leader()].Members()), 5)
	s.nodes["e"].down = true
	s.advance(openTiming.RemoveAfter + 2*time.Second)
	s.commit(time.Second)
	assert.Equal(t, len(s.nodes[s.leader()].Members()), 4)
	s.nodes["e"].down = false // joins again
	s.advance(5 * time.Second)
	s.commit(time.Second)
	assert.Equal(t, len(s.nodes[s.leader()].Members()), 5)
}

// Guards against a retiring host that remains a voter or rejoins, and against a
// group that does not tolerate the loss of another host after its removal.
func TestOpenGroupEmptiesRetiringHosts(t *testing.T) {
	for _, retiring := range []string{"a", "b", "c", "d"} {
		t.Run(retiring, func(t *testing.T) {
			s := newOpenGroupSim(t, "a", "b", "c")
			s.start("d", nil)
			s.advance(3 * time.Second)
			s.commit(time.Second)
			for _, n := range s.nodes {
				n.SetRetiring([]string{retiring})
			}
			s.advance(4 * time.Second)
			s.commit(time.Second)
			members := s.nodes[s.leader()].Members()
			assert.Equal(t, len(members), 3)
			assert.Assert(t, !slices.ContainsFunc(members, func(x Member) bool { return x.ID == retiring }))
			delete(s.nodes, retiring)
			s.nodes[s.leader()].down = true
			s.commit(5 * time.Second)
		})
	}
}

// Guards against a leader that keeps its leadership while its disk is slow, but
// not stalled, and thus delays every commit although the other disks are fast.
func TestOpenGroupLeavesASlowDisk(t *testing.T) {
	s := newOpenGroupSim(t, "a", "b", "c")
	s.advance(transferCooldown * openTiming.Election)
	s.commit(time.Second)
	slow := s.leader()
	s.nodes[slow].writeTime = 200 * time.Millisecond
	s.commit(2 * time.Second)
	s.advance(time.Second)
	assert.Assert(t, s.leader() != slow)
	for range 5 {
		s.commit(150 * time.Millisecond)
	}
}

// Guards against a leader that gives up its leadership while its disk writes a
// large command as fast as a healthy disk does, so that the outcome is unknown to
// the proposer, and against one that keeps it when the disk needs longer.
func TestOpenGroupKeepsLeaderDuringLargeWrite(t *testing.T) {
	tests := []struct {
		name     string
		rate     int // of the leader's disk, in bytes per second
		transfer bool
	}{
		{"healthy disk", 48 << 20, false},
		{"slow disk", 4 << 20, true},
	}
	for _, tt := range tests {
		s := newOpenGroupSim(t, "a", "b", "c")
		s.advance(transferCooldown * openTiming.Election)
		s.commit(time.Second)
		leader := s.leader()
		s.nodes[leader].writeRate = tt.rate
		_, out := s.nodes[leader].Propose(Now{Elapsed: s.now}, [][]byte{make([]byte, 9<<20)})
		s.handle(leader, out)
		s.advance(2 * time.Second)
		assert.Equal(t, s.leader() != leader, tt.transfer, tt.name)
	}
}

// Guards against a leader that accepts no proposals for ever, because the replica
// to which it was to transfer its leadership has been lost.
func TestOpenGroupOutlivesTargetOfTransfer(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		s := newOpenGroupSim(t, "a", "b", "c")
		s.commit(time.Second)
		leader := s.leader()
		out, ok := s.nodes[leader].TransferLeadership(Now{Elapsed: s.now})
		assert.Assert(t, ok)
		target := s.nodes[leader].leaderState.transferTo.ID
		s.nodes[target].down = true
		s.handle(leader, out)
		s.advance(time.Second)
		if wiped {
			s.start(target, nil)
		}
		s.commit(2 * time.Second)
	}
}
