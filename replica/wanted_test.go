package replica

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func (w *openGroupSim) setDesired(ids ...string) {
	for _, n := range w.nodes {
		n.SetDesiredMembers(ids)
	}
}

func (w *openGroupSim) voters() []string {
	var ids []string
	for _, x := range w.nodes[w.leader()].Members() {
		if !x.Learner {
			ids = append(ids, x.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// Guards against a replica that joins a group whose member it is not to be,
// against one that leaves before its successor has a vote, and against a group
// that keeps both.
func TestWantedReplicasReplaceOthers(t *testing.T) {
	founders := []string{"a", "b", "c", "d", "e"}
	for _, leaving := range founders {
		t.Run(leaving, func(t *testing.T) {
			w := newOpenGroupSim(t, founders...)
			w.commit(time.Second)
			w.setDesired(founders...)
			w.start("f", nil)
			w.setDesired(founders...)
			for end := w.now + 3*time.Second; w.now < end; w.advance(openTick) {
				assert.Equal(t, len(w.nodes["a"].Members()), len(founders))
			}

			next := slices.Concat([]string{"f"}, slices.DeleteFunc(slices.Clone(founders), func(id string) bool { return id == leaving }))
			slices.Sort(next)
			w.setDesired(next...)
			fewest := len(founders)
			for end := w.now + 6*time.Second; w.now < end; w.advance(openTick) {
				for _, n := range w.nodes {
					if n.Role() == Leader {
						fewest = min(fewest, len(w.voters()))
					}
				}
			}
			assert.Equal(t, fewest, len(founders))
			assert.DeepEqual(t, w.voters(), next)
			w.nodes[next[0]].down, w.nodes[next[1]].down = true, true
			w.commit(6 * time.Second)
		})
	}
}

// Guards against a group of five that has lost two hosts for good and takes
// neither of their successors in, since it waits for the other one.
func TestTwoLostReplicasAreReplaced(t *testing.T) {
	for _, lost := range [][]string{{"a", "b"}, {"d", "e"}, {"a", "e"}} {
		w := newOpenGroupSim(t, "a", "b", "c", "d", "e")
		w.commit(time.Second)
		for _, id := range lost {
			w.nodes[id].down = true
		}
		w.advance(4 * time.Second)
		w.start("f", nil)
		w.start("g", nil)
		next := []string{"c", "f", "g"}
		for _, id := range []string{"a", "b", "d", "e"} {
			if !slices.Contains(lost, id) {
				next = append(next, id)
			}
		}
		slices.Sort(next)
		w.setDesired(next...)
		w.advance(8 * time.Second)
		w.commit(time.Second)
		assert.DeepEqual(t, w.voters(), next)
		w.nodes[next[0]].down, w.nodes[next[1]].down = true, true
		w.commit(6 * time.Second)
	}
}
