package schedule

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a server that is removed while it runs calls, comes back and
// then gets more runs than it has slots.
func TestServerKeepsItsRunsWhenItComesBack(t *testing.T) {
	s := New(rand.NewPCG(1, 2))
	v := Server{ID: "a", Incarnation: "1", Slots: 1, Models: []ServerModel{{Name: "m"}}}
	s.SetServer(0, v)
	s.Enqueue(0, Request{ID: CallID{Program: "p", Call: 1, Attempt: 1}, Model: "m"})
	_, ok := s.Next(0)
	assert.Assert(t, ok)
	s.RemoveServer(0, "a")
	s.SetServer(0, v)
	s.Enqueue(0, Request{ID: CallID{Program: "q", Call: 1, Attempt: 1}, Model: "m"})
	_, ok = s.Next(0)
	assert.Assert(t, !ok, "a second run on a server with one slot")
}

// Guards against a restarted server that gets too few runs, or too many, because
// of the runs that were in progress on its earlier incarnation.
func TestNewIncarnationStartsWithoutRuns(t *testing.T) {
	for _, c := range []struct {
		name    string
		removed bool // before the new incarnation is known
	}{
		{"removed", true},
		{"replaced", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New(rand.NewPCG(1, 2))
			v := Server{ID: "a", Incarnation: "1", Slots: 1, Models: []ServerModel{{Name: "m"}}}
			s.SetServer(0, v)
			s.Enqueue(0, request("p", 0))
			earlier, ok := s.Next(0)
			assert.Assert(t, ok)
			if c.removed {
				s.RemoveServer(0, "a")
			}
			v.Incarnation = "2"
			s.SetServer(0, v)
			s.Enqueue(0, request("q", 0))
			_, ok = s.Next(0)
			assert.Assert(t, ok, "no run on a new incarnation")
			s.Finished(0, earlier.ID, "a", Usage{}, Succeeded)
			s.Enqueue(0, request("r", 0))
			_, ok = s.Next(0)
			assert.Assert(t, !ok, "a second run on a server with one slot")
			assert.Equal(t, len(s.removedServers), 0)
		})
	}
}

// Guards against memory and periodic work that grow with the number of servers
// that were removed after a failure.
func TestRemovedServersAreNotMonitored(t *testing.T) {
	s := New(rand.NewPCG(1, 2))
	s.SetServer(0, Server{ID: "a", Slots: 2, Models: []ServerModel{{Name: "m"}}})
	var runs []Assignment
	for _, program := range []string{"p", "q"} {
		s.Enqueue(0, request(program, 0))
		a, ok := s.Next(0)
		assert.Assert(t, ok)
		runs = append(runs, a)
	}
	s.Finished(0, runs[0].ID, "a", Usage{}, Crashed)
	s.RemoveServer(0, "a")
	assert.Equal(t, len(s.monitored), 1, "a server with a run is not monitored")
	s.Finished(0, runs[1].ID, "a", Usage{}, Crashed)
	assert.Equal(t, len(s.monitored), 0)

	s.SetServer(0, Server{ID: "b", Slots: 2, Models: []ServerModel{{Name: "m"}}})
	s.Enqueue(0, request("r", 0))
	a, ok := s.Next(0)
	assert.Assert(t, ok)
	s.Finished(0, a.ID, "b", Usage{}, Crashed)
	s.RemoveServer(0, "b")
	assert.Equal(t, len(s.monitored), 0)
}
