package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoreline/sycamoreline/disk"
)

// churnSim is an open group whose hosts fail and are replaced at random, within
// the number of failures that the group must tolerate.
type churnSim struct {
	*openGroupSim
	t           *rapid.T
	desired     []string
	maxImpaired int
	// impaired are the hosts that were down or lost their disks since the group
	// last converged.
	impaired   map[string]bool
	committed  []string
	spareCount int
}

// converged returns whether the members are exactly the current incarnations of
// the desired hosts, and all of them are active voters that have caught up.
func (s *churnSim) converged() bool {
	for _, n := range s.nodes {
		if n.down || n.Role() != Leader || n.membersIndex > n.commit || len(n.members) != len(s.desired) {
			continue
		}
		now := Now{Elapsed: s.now}
		ok := true
		for _, id := range s.desired {
			x := s.nodes[id]
			ok = ok && x != nil && !x.down && n.members.isVoter(x.Self) && (x == n || n.active(now, x.Self) && n.caughtUp(now, x.Self))
		}
		if ok {
			return true
		}
	}
	return false
}

// run advances time, proposes commands, and checks that all replicas agree.
func (s *churnSim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.advance(openTick)
		for _, id := range s.ids() {
			n := s.nodes[id]
			if !n.down && n.Role() == Leader && n.acceptsProposals() && s.random.IntN(8) == 0 {
				s.commandCount++
				_, out := n.Propose(Now{Elapsed: s.now}, [][]byte{[]byte(fmt.Sprint("command ", s.commandCount))})
				s.handle(id, out)
			}
		}
		s.check()
		if s.converged() {
			clear(s.impaired)
		}
	}
}

// check compares the commands applied by the replicas. A command applied by any
// replica may have been acknowledged, so it must never be lost.
func (s *churnSim) check() {
	for id, n := range s.nodes {
		k := min(len(n.commands), len(s.committed))
		if !slices.Equal(n.commands[:k], s.committed[:k]) {
			s.t.Fatalf("%v: %s applied %v, others %v", s.now, id, n.commands, s.committed)
		}
		if len(n.commands) > k {
			s.committed = slices.Clone(n.commands)
		}
	}
}

// mayImpair returns whether the group must tolerate the loss of a host.
func (s *churnSim) mayImpair(id string) bool {
	return s.impaired[id] || len(s.impaired) < s.maxImpaired
}

func (s *churnSim) setDesired(ids []string) {
	slices.Sort(ids)
	s.desired = ids
	for _, n := range s.nodes {
		n.SetDesiredMembers(ids)
	}
}

func (s *churnSim) startFresh(id string) {
	n, err := NewNode(Now{Elapsed: s.now}, NodeOptions{
		Self: Ref{ID: id, Incarnation: s.random.Uint64()}, Open: true, Timing: openTiming, Random: s.random,
	}, disk.Recovered{})
	assert.NilError(s.openGroupSim.t, err)
	s.nodes[id] = &openNode{Node: n}
	n.SetDesiredMembers(s.desired)
}

// step injects one fault or change.
func (s *churnSim) step() {
	id := rapid.SampledFrom(s.desired).Draw(s.t, "host")
	n := s.nodes[id]
	switch rapid.IntRange(0, 6).Draw(s.t, "action") {
	case 0:
		if s.mayImpair(id) {
			s.impaired[id] = true
			n.down = true
		}
	case 1:
		n.down = false
	case 2:
		if s.mayImpair(id) { // disk loss
			s.impaired[id] = true
			s.startFresh(id)
		}
	case 3:
		n.writeTime = time.Duration(rapid.IntRange(0, 80).Draw(s.t, "slow")) * time.Millisecond
	case 4: // replacement by another host
		s.spareCount++
		spare := fmt.Sprint("spare-", s.spareCount)
		s.startFresh(spare)
		s.setDesired(append(slices.DeleteFunc(slices.Clone(s.desired), func(x string) bool { return x == id }), spare))
	case 5: // loss of all messages in flight
		s.inflight = nil
	case 6: // power loss of this host, and of others at random, with immediate restart
		for _, x := range s.ids() {
			if x == id || rapid.IntRange(0, 3).Draw(s.t, "all") == 0 {
				s.restart(x)
			}
		}
	}
}

// restart restarts a replica with the state on its disk.
func (s *churnSim) restart(id string) {
	old := s.nodes[id]
	n, err := NewNode(Now{Elapsed: s.now}, NodeOptions{Self: old.Self, Open: true, Timing: openTiming, Random: s.random}, old.stored)
	assert.NilError(s.openGroupSim.t, err)
	n.SetDesiredMembers(s.desired)
	s.nodes[id] = &openNode{Node: n, down: old.down, writeTime: old.writeTime, stored: old.stored}
}

// Guards against lost commands, replicas that diverge, and a group that makes
// no progress, while several hosts at a time fail, lose power or their disks,
// and are replaced.
func TestOpenGroupUnderChurn(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		founders := []string{"a", "b", "c", "d", "e"}[:rapid.SampledFrom([]int{3, 5}).Draw(rt, "hosts")]
		s := &churnSim{openGroupSim: newOpenGroupSim(t, founders...), t: rt, maxImpaired: (len(founders) - 1) / 2, impaired: map[string]bool{}}
		s.setDesired(slices.Clone(founders))
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			s.step()
			s.run(time.Duration(rapid.IntRange(1, 25).Draw(rt, "pause")) * 100 * time.Millisecond)
		}
		for _, n := range s.nodes {
			n.down, n.writeTime = false, 0
		}
		for end := s.now + 40*time.Second; !s.converged(); {
			if s.now >= end {
				rt.Fatalf("not converged 40 s after the last fault: desired members %v, members %v", s.desired, s.memberships())
			}
			s.run(100 * time.Millisecond)
		}
		before := len(s.committed)
		s.run(2 * time.Second)
		if len(s.committed) == before {
			rt.Fatalf("no command committed within 2 s after the group converged")
		}
	})
}

// Guards against a group without a leader that waits for a full election
// timeout after a power loss of all hosts and a disk loss of one, and against a
// restarted replica that forces an election although there is a leader.
func TestOpenGroupElectsSoonAfterAStart(t *testing.T) {
	const starts = 40
	total := time.Duration(0)
	for i := range starts {
		founders := []string{"a", "b", "c", "d", "e"}[:3+2*(i%2)]
		s := &churnSim{openGroupSim: newOpenGroupSim(t, founders...)}
		s.random = rand.New(rand.NewPCG(uint64(i), 3))
		s.commit(time.Second)
		leader := s.leader()
		for _, id := range founders {
			if id != leader {
				s.restart(id)
				s.advance(time.Duration(s.random.IntN(8)) * 100 * time.Millisecond)
			}
		}
		s.advance(time.Second)
		assert.Equal(t, s.leader(), leader)
		lost := founders[s.random.IntN(len(founders))]
		for _, id := range founders {
			switch {
			case id != lost || i%4 == 0:
				s.restart(id)
			case i%4 == 1:
				s.startFresh(id) // disk loss
			default:
				delete(s.nodes, id) // disk loss; the host has not been configured to join yet
			}
			s.advance(time.Duration(s.random.IntN(3)) * openTick)
		}
		began := s.now
		s.commit(5 * time.Second)
		total += s.now - began
	}
	t.Logf("mean time from the last start to the first applied command: %v", total/starts)
	assert.Assert(t, total/starts < openTiming.Election, "%v", total/starts)
}
