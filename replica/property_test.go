package replica

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// faultActions are the faults that TestAnyFaults injects, and their repairs.
var faultActions = map[string]func(s *sim, h *simHost, d time.Duration){
	"crash": func(_ *sim, h *simHost, d time.Duration) { h.crash(d) },
	"lose-disk": func(s *sim, h *simHost, d time.Duration) {
		if s.othersComplete(h) {
			s.logf("%s: loses its disk", h.id)
			h.crash(d)
			h.disk.Erase()
		}
	},
	"corrupt-log": func(s *sim, h *simHost, d time.Duration) {
		if s.othersComplete(h) {
			s.logf("%s: log corrupted", h.id)
			if h.node != nil {
				h.corrupted = h.node.Self.Incarnation
			}
			h.crash(d)
			h.disk.Corrupt("data/log", s.random.IntN(1<<20))
		}
	},
	"fail-sync": func(_ *sim, h *simHost, _ time.Duration) { h.disk.FailSync(true) },
	"full-disk": func(_ *sim, h *simHost, _ time.Duration) { h.disk.SetCapacity(h.disk.Used() + 20) },
	"slow-disk": func(_ *sim, h *simHost, d time.Duration) { h.syncTime = d },
	"cut": func(s *sim, h *simHost, _ time.Duration) {
		s.net.Cut(h.id, testIDs[s.random.IntN(len(testIDs))])
	},
	"isolate": func(s *sim, h *simHost, _ time.Duration) { s.net.Isolate(h.id, testIDs...) },
	"freeze": func(_ *sim, h *simHost, d time.Duration) {
		if h.node != nil {
			h.frozenUntil = h.now + d
		}
	},
	"drift": func(s *sim, h *simHost, _ time.Duration) { h.setRate(0.99 + 0.02*s.random.Float64()) },
	"jump":  func(s *sim, h *simHost, _ time.Duration) { h.wallClockOffset += s.random.Int64N(7200_000) - 3600_000 },
	"unreliable": func(s *sim, _ *simHost, d time.Duration) {
		s.net.Jitter, s.net.DuplicatePercent, s.net.LossPercent = d/4, 20, 10
	},
	"heal": func(s *sim, _ *simHost, _ time.Duration) { s.net.Heal(); s.net.ClearImpairments() },
	"repair": func(_ *sim, h *simHost, _ time.Duration) {
		h.disk.FailSync(false)
		h.disk.SetCapacity(0)
		h.syncTime = 2 * time.Millisecond
	},
}

// Guards against committed entries lost or changed, two leaders in one term,
// stale reads, and a group that does not recover, under any combination of
// faults.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		s.run(2 * time.Second)
		actions := map[string]func(*rapid.T){
			"propose": func(*rapid.T) { s.eachHost((*simHost).propose) },
			"read":    func(*rapid.T) { s.eachHost((*simHost).read) },
		}
		for name, f := range faultActions {
			actions[name] = func(t *rapid.T) {
				h := s.hosts[rapid.IntRange(0, 2).Draw(t, "host")]
				d := time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
				s.logf("%s: %s %v", h.id, name, d)
				f(s, h, d)
			}
		}
		actions[""] = func(t *rapid.T) {
			s.eachHost((*simHost).propose)
			s.run(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
		}
		t.Repeat(actions)
		s.checkRecovery()
	})
}

func (s *sim) eachHost(f func(*simHost)) {
	for _, h := range s.hosts {
		f(h)
	}
}
