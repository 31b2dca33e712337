package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sessionSim simulates sessions on engines in virtual time, through hosts that
// receive the load of the other hosts with a delay. Engines prefill prompts in
// chunks between the decode steps of their runs, so a prefill slows all runs.
type sessionSim struct {
	random       *rand.Rand
	hosts        []*Scheduler
	engines      []*simEngine
	now          time.Duration
	calls        int
	reports      []map[string]int    // last reported runs of each host, by server
	waiting      map[CallID]*simTurn // turns that wait for a server
	turns        int
	moved        int // turns that ran on another server than the previous turn
	totalLatency time.Duration
}

type simEngine struct {
	id         string
	runs       []*simTurn
	cached     map[int]bool // cached sessions by number
	prefilling []*simTurn
}

type simSession struct {
	number     int
	prefix     uint64
	lastServer string
	nextAt     time.Duration
	turn       *simTurn
}

type simTurn struct {
	session     *simSession
	host        *Scheduler
	id          CallID
	prefillLeft float64       // prompt tokens still to be prefilled
	decodeLeft  time.Duration // decode time still needed
	started     time.Duration
}

const (
	simTick           = 5 * time.Millisecond
	simHosts          = 40
	simEngines        = 16
	simSlots          = 16
	simPrefixes       = 8
	simDecodeTime     = 150 * time.Millisecond // decode time of a turn on an idle engine
	simPause          = 350 * time.Millisecond // mean pause between two turns
	simPrefillPerMS   = 163.0                  // prefilled tokens per millisecond
	simPrefillShare   = 0.8                    // fraction of the engine time for prefills while prompts wait
	simPromptTokens   = 14_000                 // tokens to prefill if the session is not cached
	simTurnTokens     = 600                    // tokens to prefill if it is cached
	simReportInterval = 250 * time.Millisecond
)

func newSessionSim(seed uint64) *sessionSim {
	w := &sessionSim{random: rand.New(rand.NewPCG(seed, 9)), waiting: map[CallID]*simTurn{}}
	for i := range simEngines {
		w.engines = append(w.engines, &simEngine{id: fmt.Sprint("s", i), cached: map[int]bool{}})
	}
	for h := range simHosts {
		s := New(rand.NewPCG(seed, uint64(h)), WithPrefixAffinity(""), WithFloors(2, 3))
		for _, e := range w.engines {
			s.SetServer(0, Server{ID: e.id, Slots: simSlots, CacheTokens: 1 << 20, Models: []ServerModel{{Name: "m"}}})
		}
		s.SetHosts(0, simHosts)
		w.hosts = append(w.hosts, s)
		w.reports = append(w.reports, map[string]int{})
	}
	return w
}

// report passes the last reports of the other hosts to each host that is due,
// and records that host's own report. The reports are up to one interval old.
func (w *sessionSim) report() {
	step := int(w.now / simTick)
	every := int(simReportInterval / simTick)
	for i, h := range w.hosts {
		if (step+i*7)%every != 0 {
			continue
		}
		remote := map[string]int{}
		for k, r := range w.reports {
			if k == i {
				continue
			}
			for id, n := range r {
				remote[id] += n
			}
		}
		h.SetRemoteInFlight(w.now, remote)
		w.reports[i] = h.InFlight()
	}
}

// run runs the sessions for the duration d.
func (w *sessionSim) run(sessions []*simSession, d time.Duration) {
	for end := w.now + d; w.now < end; w.now += simTick {
		w.report()
		for _, s := range sessions {
			if s.turn == nil && w.now >= s.nextAt {
				w.startTurn(s)
			}
		}
		for _, h := range w.hosts {
			w.dispatch(h)
		}
		for _, e := range w.engines {
			w.step(e)
		}
	}
}

func (w *sessionSim) startTurn(s *simSession) {
	w.calls++
	h := w.hosts[w.random.IntN(len(w.hosts))]
	s.turn = &simTurn{session: s, host: h, id: CallID{Program: fmt.Sprint("p", s.number), Call: w.calls, Attempt: 1}, started: w.now}
	h.Enqueue(w.now, Request{ID: s.turn.id, Model: "m", Affinity: s.prefix, Session: uint64(s.number), LastServer: s.lastServer, PromptTokens: simPromptTokens})
	w.waiting[s.turn.id] = s.turn
}

func (w *sessionSim) dispatch(h *Scheduler) {
	for {
		a, ok := h.Next(w.now)
		if !ok {
			return
		}
		t := w.waiting[a.ID]
		delete(w.waiting, a.ID)
		var e *simEngine
		for _, x := range w.engines {
			if x.id == a.Server {
				e = x
			}
		}
		w.turns++
		if t.session.lastServer != "" && t.session.lastServer != a.Server {
			w.moved++
		}
		t.prefillLeft, t.decodeLeft = simTurnTokens, simDecodeTime
		if !e.cached[t.session.number] {
			t.prefillLeft = simPromptTokens
		}
		t.session.lastServer = a.Server
		e.prefilling = append(e.prefilling, t)
	}
}

// step simulates one tick of an engine.
func (w *sessionSim) step(e *simEngine) {
	ms := float64(simTick) / float64(time.Millisecond)
	budget := 0.0
	if len(e.prefilling) > 0 && len(e.runs) < simSlots {
		budget = ms * simPrefillShare
		if len(e.runs) == 0 {
			budget = ms
		}
	}
	used := 0.0
	for len(e.prefilling) > 0 && used < budget && len(e.runs) < simSlots {
		t := e.prefilling[0]
		k := min(t.prefillLeft, (budget-used)*simPrefillPerMS)
		t.prefillLeft -= k
		used += k / simPrefillPerMS
		if t.prefillLeft > 0 {
			break
		}
		e.cached[t.session.number] = true
		e.prefilling, e.runs = e.prefilling[1:], append(e.runs, t)
	}
	progress := time.Duration((ms - used) * float64(time.Millisecond))
	var kept []*simTurn
	for _, t := range e.runs {
		if t.decodeLeft -= progress; t.decodeLeft > 0 {
			kept = append(kept, t)
			continue
		}
		t.host.Finished(w.now, t.id, e.id, Usage{}, Succeeded)
		w.totalLatency += w.now - t.started
		t.session.turn = nil
		t.session.nextAt = w.now + time.Duration(float64(simPause)*(0.5+w.random.Float64()))
	}
	e.runs = kept
}

func (w *sessionSim) sessions(from, n int) []*simSession {
	var out []*simSession
	for i := range n {
		out = append(out, &simSession{number: from + i, prefix: 1 + uint64(i%simPrefixes), nextAt: w.now + time.Duration(w.random.IntN(500))*time.Millisecond})
	}
	return out
}

func (w *sessionSim) measure(sessions []*simSession, d time.Duration) (moved float64, mean time.Duration) {
	w.turns, w.moved, w.totalLatency = 0, 0, 0
	w.run(sessions, d)
	return float64(w.moved) / float64(w.turns), w.totalLatency / time.Duration(w.turns)
}

// Guards against sessions that keep moving between servers after a burst:
// each move needs a full prefill, which keeps the servers overloaded and causes
// further moves.
//
// The load pattern: sessions that use most of the servers' time, and twice
// as many for three seconds.
func TestSessionsStopMovingAfterABurst(t *testing.T) {
	for seed := range uint64(2) {
		w := newSessionSim(seed)
		steady := w.sessions(0, 300)
		w.run(steady, 3*time.Second)
		before, tookBefore := w.measure(steady, 2*time.Second)
		burst := w.sessions(len(steady), 300)
		during, tookDuring := w.measure(append(burst, steady...), 3*time.Second)
		w.run(steady, 2*time.Second)
		after, tookAfter := w.measure(steady, 3*time.Second)
		t.Logf("seed %d: moved %.2f before, %.2f during and %.2f after the burst; took %v, %v and %v", seed, before, during, after, tookBefore, tookDuring, tookAfter)
		assert.Assert(t, after <= before+0.05, "%.2f of the turns moved before the burst, %.2f after it", before, after)
		assert.Assert(t, tookAfter < tookDuring, "turns take %v after the burst, not less than during it", tookAfter)
	}
}
