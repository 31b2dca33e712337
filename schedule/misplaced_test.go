package schedule

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against calls that wait for a model whose servers now run a plain service
// of that name, and against the refusal of calls that may still be served.
func TestMisplacedCallsAreRefused(t *testing.T) {
	engine := Server{ID: "s", Slots: 1, Models: []ServerModel{{Name: "x"}}}
	plain := Server{ID: "s", Slots: 1, Service: "x"}
	leaving := plain
	leaving.Leaving = true
	tests := []struct {
		name    string
		request Request
		servers []Server
		refused bool
	}{
		{"engine becomes plain", Request{Model: "x"}, []Server{plain}, true},
		{"plain becomes engine", Request{Service: "x"}, []Server{engine}, true},
		{"other service", Request{Service: "y"}, []Server{engine, plain}, false},
		{"no server", Request{Model: "x"}, nil, false},
		{"only a leaving one of the other kind", Request{Model: "x"}, []Server{leaving}, false},
	}
	for _, tt := range tests {
		for _, queuedFirst := range []bool{true, false} {
			s := New(rand.NewPCG(1, 2))
			tt.request.ID = CallID{Program: "p"}
			if queuedFirst {
				s.Enqueue(0, tt.request)
				s.SetServers(0, tt.servers)
			} else {
				s.SetServers(0, tt.servers)
				s.Enqueue(0, tt.request)
			}
			refused := s.Refused(0)
			assert.Equal(t, len(refused) == 1, tt.refused, "%s, queued first %v", tt.name, queuedFirst)
			if tt.refused {
				assert.Equal(t, refused[0].Reason, ServiceChanged)
			}
		}
	}
}
