package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSlowServerLosesItsWork guards against calls that stay on a slow server,
// and against hedges of calls that are not idempotent.
func TestSlowServerLosesItsWork(t *testing.T) {
	s := New(rand.NewPCG(1, 1))
	for i := range 4 {
		s.SetServer(0, Server{ID: fmt.Sprint("s", i), Slots: 4, Models: []ServerModel{{Name: "m"}}})
	}
	runs := map[CallID]string{}
	for i := range 12 {
		r := request(fmt.Sprint("p", i), 0)
		r.Idempotent = i%2 == 0
		r.MaxTokens = 400
		s.Enqueue(0, r)
		a, ok := s.Next(0)
		assert.Assert(t, ok)
		runs[a.ID] = a.Server
	}
	hedged := map[CallID]bool{}
	for step := 1; step < 200; step++ {
		now := time.Duration(step) * 20 * time.Millisecond
		for i := range 12 {
			id := request(fmt.Sprint("p", i), 0).ID
			if runs[id] == "s0" && step%10 != 0 {
				continue // ten times slower than the others
			}
			s.FirstToken(now, id, runs[id])
			s.Tokens(now, id, runs[id], 1)
		}
		for a, ok := s.Next(now); ok; a, ok = s.Next(now) {
			assert.Assert(t, a.Hedge && a.ResumeFrom > 0 && a.Server != "s0")
			assert.Assert(t, s.calls[a.ID].Idempotent, "hedge of a call that is not idempotent")
			assert.Equal(t, runs[a.ID], "s0")
			hedged[a.ID] = true
		}
	}
	assert.Assert(t, len(hedged) > 0, "no call was resumed on another server")
	for i, v := range s.Snapshot().Servers {
		assert.Equal(t, v.Speed < defaultSlowBelow, i == 0, "%s has speed %.2f", v.ID, v.Speed)
	}
}

// Guards against a server that stays out of use after its backoff because
// another run on it succeeded in the meantime.
func TestBackoffEndsAfterASuccess(t *testing.T) {
	s := New(rand.NewPCG(1, 1))
	s.SetServer(0, Server{ID: "s", Slots: 4, Service: "orders"})
	for n := range 2 {
		s.Enqueue(0, Request{ID: CallID{Program: "p", Call: n, Attempt: 1}, Service: "orders"})
		_, ok := s.Next(0)
		assert.Assert(t, ok)
	}
	s.Finished(0, CallID{Program: "p", Call: 0, Attempt: 1}, "s", Usage{}, Crashed)
	s.Finished(0, CallID{Program: "p", Call: 1, Attempt: 1}, "s", Usage{}, Succeeded)
	s.Enqueue(0, Request{ID: CallID{Program: "p", Call: 2, Attempt: 1}, Service: "orders"})
	_, ok := s.Next(0)
	assert.Assert(t, !ok)
	_, ok = s.Next(initialBackoff + checkInterval)
	assert.Assert(t, ok)
}

// TestFailingServerIsHeldBack guards against a server that refuses connections
// immediately, so that it looks idle and attracts all calls.
func TestFailingServerIsHeldBack(t *testing.T) {
	s := New(rand.NewPCG(1, 1))
	for i := range 2 {
		s.SetServer(0, Server{ID: fmt.Sprint("s", i), Slots: 4, Models: []ServerModel{{Name: "m"}}})
	}
	failed := 0
	for i := range 1000 {
		now := time.Duration(i) * 10 * time.Millisecond
		s.Enqueue(now, request(fmt.Sprint("p", i), 0))
		for a, ok := s.Next(now); ok; a, ok = s.Next(now) {
			outcome := Succeeded
			if a.Server == "s0" {
				failed++
				outcome = Unreachable
			}
			s.Finished(now, a.ID, a.Server, Usage{}, outcome)
		}
	}
	assert.Assert(t, failed < 10, "%d of 1000 calls went to the failing server", failed)
}

// TestPoolRecoversFromAStall guards against a collapse observed under load: all
// engines stalled for a moment, each was then limited to one probe run per
// second, and the queue did not drain although the engines were at full speed
// again.
func TestPoolRecoversFromAStall(t *testing.T) {
	s := New(rand.NewPCG(1, 1))
	const (
		servers, slots = 3, 4
		step           = 2 * time.Millisecond
		stalledFrom    = 2 * time.Second
		stalledUntil   = 4 * time.Second
		end            = 7 * time.Second
	)
	for i := range servers {
		s.SetServer(0, Server{ID: fmt.Sprint("s", i), Slots: slots, Models: []ServerModel{{Name: "m"}}})
	}
	var runs []Assignment
	next := 0
	for now := step; now < end; now += step {
		for len(runs) < servers*slots {
			s.Enqueue(now, request(fmt.Sprint("p", next), 0))
			a, ok := s.Next(now)
			if !ok {
				break
			}
			next++
			runs = append(runs, a)
		}
		s.Next(now)
		if now > stalledFrom && now < stalledUntil {
			continue
		}
		kept := runs[:0]
		for _, a := range runs {
			s.FirstToken(now, a.ID, a.Server)
			s.Tokens(now, a.ID, a.Server, 1)
			if now%(20*step) == 0 {
				s.Finished(now, a.ID, a.Server, Usage{OutputTokens: 20}, Succeeded)
				continue
			}
			kept = append(kept, a)
		}
		runs = kept
	}
	assert.Assert(t, len(runs) > servers*slots/2, "%d of %d slots are used after the stall", len(runs), servers*slots)
}

// TestRecoveredServerGetsItsSlotsBack guards against a slot limit that takes
// minutes to rise again on a server with many slots.
func TestRecoveredServerGetsItsSlotsBack(t *testing.T) {
	p := speed{relative: 1, ramping: true, slotLimit: 1}
	now := time.Duration(0)
	for p.ramping {
		now += rampInterval
		p.ramp(now, 2000)
		assert.Assert(t, now < 10*time.Second, "%d of 2000 slots after %s", p.slotLimit, now)
	}
}
