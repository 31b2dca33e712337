package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against runs that are counted twice or never end, and against pools with
// servers that do not serve them, if servers change kind, version or incarnation
// or leave the list while they run calls.
func TestRunsOfServersThatChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(rand.NewPCG(1, 2), WithPrefixAffinity("d"), WithFloors(2, 3))
		now := time.Duration(0)
		var running []Assignment
		queued := map[CallID]bool{}
		next := func() {
			for {
				a, ok := s.Next(now)
				if !ok {
					break
				}
				assert.Assert(t, queued[a.ID])
				delete(queued, a.ID)
				running = append(running, a)
			}
			for _, r := range s.Refused(now) {
				assert.Assert(t, queued[r.ID])
				delete(queued, r.ID)
			}
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				var list []Server
				for n := range 4 {
					if !rapid.Bool().Draw(t, "listed") {
						continue
					}
					v := Server{
						ID: fmt.Sprint(n), Incarnation: fmt.Sprint(rapid.IntRange(1, 2).Draw(t, "incarnation")), Slots: rapid.IntRange(1, 3).Draw(t, "slots"),
						SoftwareVersion: rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version"), Leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
					}
					if rapid.Bool().Draw(t, "engine") {
						v.Models = []ServerModel{{Name: "x"}}
					} else {
						v.Service = "x"
					}
					list = append(list, v)
				}
				s.SetServers(now, list)
			case 1, 2:
				r := Request{
					ID: CallID{Program: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "program")), Call: i, Attempt: 1}, Deadline: now + 2*time.Second,
					Affinity: rapid.Uint64Range(0, 2).Draw(t, "affinity"), SoftwareVersion: rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version"),
					LastServer: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "last")), Avoid: []string{fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "avoid"))},
				}
				if rapid.Bool().Draw(t, "model") {
					r.Model, r.PromptTokens = "x", 100
				} else {
					r.Service = "x"
				}
				queued[r.ID] = true
				s.Enqueue(now, r)
			case 3:
				if len(running) > 0 {
					n := rapid.IntRange(0, len(running)-1).Draw(t, "run")
					a := running[n]
					running = append(running[:n], running[n+1:]...)
					s.Finished(now, a.ID, a.Server, Usage{}, Outcome(rapid.IntRange(0, int(Unreachable)).Draw(t, "outcome")))
				}
			case 4:
				if len(running) > 0 {
					a := running[0]
					s.FirstToken(now, a.ID, a.Server)
					s.Tokens(now+time.Millisecond, a.ID, a.Server, 3)
				}
			default:
				s.RemoveServer(now, fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "removed")))
			}
			next()
			for _, p := range s.poolOrder {
				for _, v := range p.members {
					assert.Assert(t, p.key.servedBy(&v.Server))
				}
			}
			assert.Equal(t, s.running, len(running))
			assert.Equal(t, s.queued, len(queued))
		}
		for len(running) > 0 {
			a := running[0]
			running = running[1:]
			s.Finished(now, a.ID, a.Server, Usage{}, Succeeded)
			next()
		}
		assert.Equal(t, s.running, 0)
		assert.Equal(t, len(s.removedServers), 0)
		for _, v := range s.serverOrder {
			assert.Equal(t, v.inFlight, 0)
			assert.Equal(t, len(v.runs), 0)
		}
	})
}
