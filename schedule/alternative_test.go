package schedule

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against calls that leave their server although no other one can take
// them, and against calls that stay although one can.
func TestHasAlternative(t *testing.T) {
	server := func(id, model string, slots int, leaving bool) Server {
		return Server{SoftwareVersion: "v1", ID: id, Slots: slots, Models: []ServerModel{{Name: model}}, Leaving: leaving}
	}
	tests := []struct {
		name   string
		others []Server
		avoid  []string
		busy   bool // another call occupies the other servers
		want   bool
	}{
		{"no other server", nil, nil, false, false},
		{"free server", []Server{server("b", "m", 1, false)}, nil, false, true},
		{"server of another model", []Server{server("b", "n", 1, false)}, nil, false, false},
		{"leaving server", []Server{server("b", "m", 1, true)}, nil, false, false},
		{"full server", []Server{server("b", "m", 1, false)}, nil, true, false},
		{"server on which the call failed", []Server{server("b", "m", 1, false)}, []string{"b"}, false, false},
		{"one free of two", []Server{server("b", "m", 1, true), server("c", "m", 1, false)}, nil, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(rand.NewPCG(1, 2))
			s.SetServer(0, server("a", "m", 1, false))
			id := CallID{Program: "p", Call: 1, Attempt: 1}
			s.Enqueue(0, Request{ID: id, Model: "m", Avoid: tt.avoid})
			a, ok := s.Next(0)
			assert.Assert(t, ok)
			assert.Equal(t, a.Server, "a")
			for _, v := range tt.others {
				s.SetServer(0, v)
			}
			if tt.busy {
				s.Enqueue(0, Request{ID: CallID{Program: "q", Call: 1, Attempt: 1}, Model: "m"})
				_, ok := s.Next(0)
				assert.Assert(t, ok)
			}
			assert.Equal(t, s.HasAlternative(0, id, ""), tt.want)
			assert.Equal(t, s.HasAlternative(0, id, "v1"), tt.want)
			assert.Assert(t, !s.HasAlternative(0, id, "v2"))
		})
	}
	s := New(rand.NewPCG(1, 2))
	assert.Assert(t, !s.HasAlternative(0, CallID{Program: "unknown"}, ""))
}
