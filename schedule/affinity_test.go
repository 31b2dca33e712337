package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func affinityScheduler(seed uint64, dataCentre string, opts ...Option) *Scheduler {
	s := New(rand.NewPCG(seed, 1), append([]Option{WithPrefixAffinity(dataCentre)}, opts...)...)
	for i := range 12 {
		s.SetServer(0, Server{
			ID: fmt.Sprint("s", i), DataCentre: fmt.Sprint("dc", i%3), Slots: 24, CacheTokens: 1 << 20, Models: []ServerModel{{Name: "m"}},
		})
	}
	return s
}

func affinityRequest(n int, prefix, session uint64) Request {
	return Request{ID: CallID{Program: fmt.Sprint("p", n), Call: n, Attempt: 1}, Model: "m", Affinity: prefix, Session: session, PromptTokens: 14_000}
}

// Guards against prefilling a session again because its next turn arrives at
// another host: hosts that do not communicate must choose the same server for
// it, and few servers for one prefix.
//
// The load pattern: sessions that share a few prompts, with turns that arrive
// at any host.
func TestHostsAgreeOnTheHomeOfASession(t *testing.T) {
	hosts := []*Scheduler{affinityScheduler(1, ""), affinityScheduler(2, ""), affinityScheduler(3, "")}
	used := map[string]bool{}
	for session := range uint64(20) {
		chosen := ""
		for i, s := range hosts {
			n := int(session)*10 + i
			s.Enqueue(0, affinityRequest(n, 7, session))
			a, ok := s.Next(0)
			assert.Assert(t, ok)
			if chosen == "" {
				chosen = a.Server
			}
			assert.Equal(t, a.Server, chosen)
			s.Finished(0, a.ID, a.Server, Usage{}, Succeeded)
		}
		used[chosen] = true
	}
	assert.Equal(t, len(used), 3)
}

// Guards against hosts that all choose the server with the lowest last reported
// load.
//
// The load pattern: fifteen hosts receive a burst within one interval of the
// load reports, while all servers are above the utilisation limit for homes.
func TestBurstSpreadsOverStaleViews(t *testing.T) {
	remote := map[string]int{}
	for i := range 12 {
		remote[fmt.Sprint("s", i)] = 12
	}
	remote["s5"] = 11 // the least loaded server according to the reports
	runs := map[string]int{}
	for host := range 15 {
		s := affinityScheduler(uint64(host), "")
		s.SetHosts(0, 15)
		s.SetRemoteInFlight(0, remote)
		for n := range 8 {
			s.Enqueue(0, affinityRequest(n, uint64(n), uint64(n)))
			a, ok := s.Next(0)
			assert.Assert(t, ok)
			runs[a.Server]++
		}
	}
	for id, n := range runs {
		assert.Assert(t, n <= 3*15*8/12, "server %s got %d of %d runs", id, n, 15*8)
	}
}

// Guards against a slow server that keeps its sessions.
//
// The load pattern: a noisy neighbour slows one server while programs run.
func TestSessionsLeaveASlowServer(t *testing.T) {
	s := affinityScheduler(1, "")
	s.Enqueue(0, affinityRequest(1, 7, 1))
	a, _ := s.Next(0)
	s.servers[a.Server].speed.slow = true
	r := affinityRequest(2, 7, 1)
	r.LastServer = a.Server
	s.Enqueue(time.Second, r)
	b, ok := s.Next(time.Second)
	assert.Assert(t, ok)
	assert.Assert(t, b.Server != a.Server)
}

// Guards against traffic between data centres when a local server could run the
// call.
func TestHomesAreInTheOwnDataCentre(t *testing.T) {
	s := affinityScheduler(1, "dc1")
	for n := range 12 {
		s.Enqueue(0, affinityRequest(n, uint64(n), uint64(n)))
		a, _ := s.Next(0)
		assert.Equal(t, s.servers[a.Server].DataCentre, "dc1")
	}
}

// Guards against calls that wait until their deadline although slots are free.
//
// The load pattern: twenty hosts send calls of 20 ms to three servers of six
// slots. Load reports of other hosts are a quarter of a second old, so servers
// look full although they are idle again. Some hosts are slow, so their runs
// appear to last longer.
func TestShortCallsDoNotWaitForLateLoad(t *testing.T) {
	for _, serviceFloor := range []int{0, 3} {
		placed := 0
		for host := range 20 {
			s := New(rand.NewPCG(uint64(host), 1), WithFloors(2, serviceFloor))
			remote := map[string]int{}
			for i := range 3 {
				id := fmt.Sprint("s", i)
				s.SetServer(0, Server{ID: id, Service: "orders", Slots: 6})
				remote[id] = 6
			}
			s.SetHosts(0, 20)
			s.SetRemoteInFlight(0, remote)
			s.Enqueue(0, Request{ID: CallID{Program: "p", Call: 1, Attempt: 1}, Service: "orders"})
			if _, ok := s.Next(0); ok {
				placed++
			}
		}
		assert.Equal(t, placed == 20, serviceFloor > 0, "%d of 20 hosts placed their call", placed)
	}
}
