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
	impaired  map[string]bool
	committed []string
	spares    int
}

// converged returns whether the members are exactly the current incarnations of
// the desired hosts, and all of them are active voters.
func (w *churnSim) converged() bool {
	for _, n := range w.nodes {
		if n.down || n.Role() != Leader || n.membersIndex > n.commit || len(n.members) != len(w.desired) {
			continue
		}
		now := Now{Elapsed: w.now}
		ok := true
		for _, id := range w.desired {
			x := w.nodes[id]
			ok = ok && x != nil && !x.down && n.members.isVoter(x.Self) && (x == n || n.active(now, x.Self) && n.caughtUp(now, x.Self))
		}
		if ok {
			return true
		}
	}
	return false
}

// run advances time, proposes commands, and checks that all replicas agree.
func (w *churnSim) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.advance(openTick)
		for _, id := range w.ids() {
			n := w.nodes[id]
			if !n.down && n.Role() == Leader && n.acceptsProposals() && w.random.IntN(8) == 0 {
				w.seq++
				_, out := n.Propose(Now{Elapsed: w.now}, [][]byte{[]byte(fmt.Sprint("command ", w.seq))})
				w.handle(id, out)
			}
		}
		w.check()
		if w.converged() {
			clear(w.impaired)
		}
	}
}

// check compares the commands applied by the replicas. A command applied by any
// replica may have been acknowledged, so it must never be lost.
func (w *churnSim) check() {
	for id, n := range w.nodes {
		k := min(len(n.applied), len(w.committed))
		if !slices.Equal(n.applied[:k], w.committed[:k]) {
			w.t.Fatalf("%v: %s applied %v, others %v", w.now, id, n.applied, w.committed)
		}
		if len(n.applied) > k {
			w.committed = slices.Clone(n.applied)
		}
	}
}

// mayImpair returns whether the group must tolerate the loss of a host.
func (w *churnSim) mayImpair(id string) bool {
	return w.impaired[id] || len(w.impaired) < w.maxImpaired
}

func (w *churnSim) setDesired(ids []string) {
	slices.Sort(ids)
	w.desired = ids
	for _, n := range w.nodes {
		n.SetDesiredMembers(ids)
	}
}

func (w *churnSim) startFresh(id string) {
	n, err := NewNode(Now{Elapsed: w.now}, NodeOptions{
		Self: Ref{ID: id, Incarnation: w.random.Uint64()}, Open: true, Timing: openTiming, Random: w.random,
	}, disk.Recovered{})
	assert.NilError(w.openGroupSim.t, err)
	w.nodes[id] = &openNode{Node: n}
	n.SetDesiredMembers(w.desired)
}

// step injects one fault or change.
func (w *churnSim) step() {
	id := rapid.SampledFrom(w.desired).Draw(w.t, "host")
	n := w.nodes[id]
	switch rapid.IntRange(0, 6).Draw(w.t, "action") {
	case 0:
		if w.mayImpair(id) {
			w.impaired[id] = true
			n.down = true
		}
	case 1:
		n.down = false
	case 2:
		if w.mayImpair(id) { // disk loss
			w.impaired[id] = true
			w.startFresh(id)
		}
	case 3:
		n.slow = time.Duration(rapid.IntRange(0, 80).Draw(w.t, "slow")) * time.Millisecond
	case 4: // replacement by another host
		w.spares++
		spare := fmt.Sprint("spare-", w.spares)
		w.startFresh(spare)
		w.setDesired(append(slices.DeleteFunc(slices.Clone(w.desired), func(x string) bool { return x == id }), spare))
	case 5: // loss of all messages in flight
		w.inbox = nil
	case 6: // power loss of this host, and of others at random, with immediate restart
		for _, x := range w.ids() {
			if x == id || rapid.IntRange(0, 3).Draw(w.t, "all") == 0 {
				w.restart(x)
			}
		}
	}
}

// restart restarts a replica with the state on its disk.
func (w *churnSim) restart(id string) {
	old := w.nodes[id]
	n, err := NewNode(Now{Elapsed: w.now}, NodeOptions{Self: old.Self, Open: true, Timing: openTiming, Random: w.random}, old.stored)
	assert.NilError(w.openGroupSim.t, err)
	n.SetDesiredMembers(w.desired)
	w.nodes[id] = &openNode{Node: n, down: old.down, slow: old.slow, stored: old.stored}
}

// Guards against lost commands, replicas that diverge, and a group that makes
// no progress, while several hosts at a time fail, lose power or their disks,
// and are replaced.
func TestOpenGroupUnderChurn(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		founders := []string{"a", "b", "c", "d", "e"}[:rapid.SampledFrom([]int{3, 5}).Draw(rt, "hosts")]
		w := &churnSim{openGroupSim: newOpenGroupSim(t, founders...), t: rt, maxImpaired: (len(founders) - 1) / 2, impaired: map[string]bool{}}
		w.setDesired(slices.Clone(founders))
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			w.step()
			w.run(time.Duration(rapid.IntRange(1, 25).Draw(rt, "pause")) * 100 * time.Millisecond)
		}
		for _, n := range w.nodes {
			n.down, n.slow = false, 0
		}
		for end := w.now + 40*time.Second; !w.converged(); {
			if w.now >= end {
				rt.Fatalf("not converged 40 s after the last fault: desired members %v, members %v", w.desired, w.memberships())
			}
			w.run(100 * time.Millisecond)
		}
		before := len(w.committed)
		w.run(2 * time.Second)
		if len(w.committed) == before {
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
		w := &churnSim{openGroupSim: newOpenGroupSim(t, founders...)}
		w.random = rand.New(rand.NewPCG(uint64(i), 3))
		w.commit(time.Second)
		leader := w.leader()
		for _, id := range founders {
			if id != leader {
				w.restart(id)
				w.advance(time.Duration(w.random.IntN(8)) * 100 * time.Millisecond)
			}
		}
		w.advance(time.Second)
		assert.Equal(t, w.leader(), leader)
		lost := founders[w.random.IntN(len(founders))]
		for _, id := range founders {
			switch {
			case id != lost || i%4 == 0:
				w.restart(id)
			case i%4 == 1:
				w.startFresh(id) // disk loss
			default:
				delete(w.nodes, id) // disk loss; it has not been configured to join yet
			}
			w.advance(time.Duration(w.random.IntN(3)) * openTick)
		}
		began := w.now
		w.commit(5 * time.Second)
		total += w.now - began
	}
	t.Logf("mean time from the last start to the first applied command: %v", total/starts)
	assert.Assert(t, total/starts < openTiming.Election, "%v", total/starts)
}
