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

// churnSim is an open group whose hosts come and go at random, as far as the
// group must bear it.
type churnSim struct {
	*openGroupSim
	t        *rapid.T
	desired   []string
	maxImpaired int
	// impaired are the hosts that were down or lost their disks since the group
	// was last whole.
	impaired  map[string]bool
	committed []string
	spares    int
}

// converged returns whether all wanted hosts have a vote in their present
// incarnations and answer, and no other host belongs to the group.
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

// run passes time, proposes commands, and checks that all replicas agree.
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

// check compares what the replicas have applied. What a leader has applied it
// has acknowledged.
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

// mayImpair returns whether the group must bear the loss of a host.
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
		if w.mayImpair(id) { // its disk is lost
			w.impaired[id] = true
			w.startFresh(id)
		}
	case 3:
		n.slow = time.Duration(rapid.IntRange(0, 80).Draw(w.t, "slow")) * time.Millisecond
	case 4: // another host is to take its place
		w.spares++
		spare := fmt.Sprint("spare-", w.spares)
		w.startFresh(spare)
		w.setDesired(append(slices.DeleteFunc(slices.Clone(w.desired), func(x string) bool { return x == id }), spare))
	case 5: // the loss of messages
		w.inbox = nil
	case 6: // it loses power and starts again at once, as all may do
		for _, x := range w.ids() {
			if x == id || rapid.IntRange(0, 3).Draw(w.t, "all") == 0 {
				w.restart(x)
			}
		}
	}
}

// restart starts a replica again with what is on its disk.
func (w *churnSim) restart(id string) {
	old := w.nodes[id]
	n, err := NewNode(Now{Elapsed: w.now}, NodeOptions{Self: old.Self, Open: true, Timing: openTiming, Random: w.random}, old.stored)
	assert.NilError(w.openGroupSim.t, err)
	n.SetDesiredMembers(w.desired)
	w.nodes[id] = &openNode{Node: n, down: old.down, slow: old.slow, stored: old.stored}
}

// Guards against a command that was acknowledged and is lost, replicas that
// disagree, and a group that is stuck, while hosts fail, lose power or their
// disks and are replaced, several at a time.
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
				rt.Fatalf("not whole 40 s after the last fault: wanted %v, members %v", w.desired, w.memberships())
			}
			w.run(100 * time.Millisecond)
		}
		before := len(w.committed)
		w.run(2 * time.Second)
		if len(w.committed) == before {
			rt.Fatalf("nothing is committed after the last fault")
		}
	})
}

// Guards against a group that waits for an election timeout after all its hosts
// have lost power and one its disk, although nobody leads it, and against a
// replica that starts beside a leader and unseats it.
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
				w.startFresh(id) // its disk is lost
			default:
				delete(w.nodes, id) // and it does not know yet that it is to join
			}
			w.advance(time.Duration(w.random.IntN(3)) * openTick)
		}
		began := w.now
		w.commit(5 * time.Second)
		total += w.now - began
	}
	t.Logf("a command is applied %v after the last start on average", total/starts)
	assert.Assert(t, total/starts < openTiming.Election, "%v", total/starts)
}
