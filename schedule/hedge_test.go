package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a hedge that is sent to a server without a free slot because the
// prefix of its program is cached there.
func TestHedgeRunsInFreeSlot(t *testing.T) {
	s := New(rand.NewPCG(1, 2))
	set := func(id string) {
		s.SetServer(0, Server{ID: id, Slots: 2, Models: []ServerModel{{Name: "m"}}})
	}
	set("cached")
	for _, program := range []string{"p", "q"} {
		s.Enqueue(0, request(program, 0))
		_, ok := s.Next(0)
		assert.Assert(t, ok)
	}
	set("slow")
	s.PauseServer(0, "cached", time.Second)
	r := request("hedged", 0)
	r.Idempotent, r.LastServer, r.PromptTokens, r.PrefixTokens = true, "cached", 40_000, 40_000
	s.Enqueue(0, r)
	a, ok := s.Next(0)
	assert.Assert(t, ok)
	assert.Equal(t, a.Server, "slow")
	v := s.servers["slow"]
	v.speed.slow, v.speed.relative, v.speed.secondsPerToken = true, 0.1, 1
	set("free")
	a, ok = s.Next(1100 * time.Millisecond)
	assert.Assert(t, ok && a.Hedge)
	assert.Equal(t, a.Server, "free")
}
