package replica

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func (s *openGroupSim) setDesired(ids ...string) {
	for _, n := range s.nodes {
		n.SetDesiredMembers(ids)
	}
}

func (s *openGroupSim) voters() []string {
	var ids []string
	for _, x := range s.nodes[s.leader()].Members() {
		if !x.Learner {
			ids = append(ids, x.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// Guards against a replica that joins although it is not a desired member, and
// against a member that is removed before its replacement is a voter, or not at
// all.
func TestWantedReplicasReplaceOthers(t *testing.T) {
	founders := []string{"a", "b", "c", "d", "e"}
	for _, leaving := range founders {
		t.Run(leaving, func(t *testing.T) {
			s := newOpenGroupSim(t, founders...)
			s.commit(time.Second)
			s.setDesired(founders...)
			s.start("f", nil)
			s.setDesired(founders...)
			for end := s.now + 3*time.Second; s.now < end; s.advance(openTick) {
				assert.Equal(t, len(s.nodes["a"].Members()), len(founders))
			}

			next := slices.Concat([]string{"f"}, slices.DeleteFunc(slices.Clone(founders), func(id string) bool { return id == leaving }))
			slices.Sort(next)
			s.setDesired(next...)
			fewest := len(founders)
			for end := s.now + 6*time.Second; s.now < end; s.advance(openTick) {
				for _, n := range s.nodes {
					if n.Role() == Leader {
						fewest = min(fewest, len(s.voters()))
					}
				}
			}
			assert.Equal(t, fewest, len(founders))
			assert.DeepEqual(t, s.voters(), next)
			s.nodes[next[0]].down, s.nodes[next[1]].down = true, true
			s.commit(6 * time.Second)
		})
	}
}

// Guards against a group of five that has lost two hosts for good and admits
// neither replacement, because each admission waits for the other.
func TestTwoLostReplicasAreReplaced(t *testing.T) {
	for _, lost := range [][]string{{"a", "b"}, {"d", "e"}, {"a", "e"}} {
		s := newOpenGroupSim(t, "a", "b", "c", "d", "e")
		s.commit(time.Second)
		for _, id := range lost {
			s.nodes[id].down = true
		}
		s.advance(4 * time.Second)
		s.start("f", nil)
		s.start("g", nil)
		next := []string{"c", "f", "g"}
		for _, id := range []string{"a", "b", "d", "e"} {
			if !slices.Contains(lost, id) {
				next = append(next, id)
			}
		}
		slices.Sort(next)
		s.setDesired(next...)
		s.advance(8 * time.Second)
		s.commit(time.Second)
		assert.DeepEqual(t, s.voters(), next)
		s.nodes[next[0]].down, s.nodes[next[1]].down = true, true
		s.commit(6 * time.Second)
	}
}
