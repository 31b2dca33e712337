package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against runs on a paused server, also of calls whose session is cached
// there, and against a pause without an end.
func TestPausedServerGetsNoRuns(t *testing.T) {
	tests := []struct {
		name    string
		options []Option
	}{
		{"earliest finish", nil},
		{"prefix affinity", []Option{WithPrefixAffinity("")}},
	}
	for _, tt := range tests {
		s := New(rand.NewPCG(1, 2), tt.options...)
		s.SetServer(0, Server{ID: "s", Slots: 4, Models: []ServerModel{{Name: "m"}}})
		s.PauseServer(0, "s", time.Second)
		s.Enqueue(0, Request{ID: CallID{Program: "p", Call: 1, Attempt: 1}, Model: "m", LastServer: "s", PrefixTokens: 900, PromptTokens: 1000, Affinity: 1})
		for now := time.Duration(0); now < time.Second; now = max(s.Wake(now), now+time.Millisecond) {
			_, ok := s.Next(now)
			assert.Assert(t, !ok, "%s: run at %v", tt.name, now)
			assert.Equal(t, len(s.Refused(now)), 0)
		}
		a, ok := s.Next(s.Wake(time.Second))
		assert.Assert(t, ok, tt.name)
		assert.Equal(t, a.Server, "s")
	}
}
