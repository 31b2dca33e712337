package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// replay replays sessions on engines in virtual time, through hosts that
// receive the load of the other hosts with a delay. Engines prefill prompts in
// chunks between the decode steps of their runs, so a prefill slows all runs.
type replay struct {
	random       *rand.Rand
	hosts        []*Scheduler
	engines      []*replayEngine
	now          time.Duration
	calls        int
	reports      []map[string]int       // last reported runs of each host, by server
	waiting      map[CallID]*replayTurn // turns that wait for a server
	turns        int
	moved        int // turns that ran on another server than the previous turn
	totalLatency time.Duration
}

type replayEngine struct {
	id         string
	runs       []*replayTurn
	cached     map[int]bool // cached sessions by number
	prefilling []*replayTurn
}

type replaySession struct {
	number     int
	prefix     uint64
	lastServer string
	nextAt     time.Duration
	turn       *replayTurn
}

type replayTurn struct {
	session     *replaySession
	host        *Scheduler
	id          CallID
	prefillLeft float64       // prompt tokens still to be prefilled
	decodeLeft  time.Duration // decode time still needed
	started     time.Duration
}

const (
	replayTick           = 5 * time.Millisecond
	replayHosts          = 40
	replayEngines        = 16
	replaySlots          = 16
	replayPrefixes       = 8
	replayDecodeTime     = 150 * time.Millisecond // decode time of a turn on an idle engine
	replayPause          = 350 * time.Millisecond // mean pause between two turns
	replayPrefillPerMS   = 163.0                  // prefilled tokens per millisecond
	replayPrefillShare   = 0.8                    // fraction of the engine time for prefills while prompts wait
	replayPromptTokens   = 14_000                 // tokens to prefill if the session is not cached
	replayTurnTokens     = 600                    // tokens to prefill if it is cached
	replayReportInterval = 250 * time.Millisecond
)

func newReplay(seed uint64) *replay {
	w := &replay{random: rand.New(rand.NewPCG(seed, 9)), waiting: map[CallID]*replayTurn{}}
	for i := range replayEngines {
		w.engines = append(w.engines, &replayEngine{id: fmt.Sprint("s", i), cached: map[int]bool{}})
	}
	for h := range replayHosts {
		s := New(rand.NewPCG(seed, uint64(h)), WithPrefixAffinity(""), WithFloors(2, 3))
		for _, e := range w.engines {
			s.SetServer(0, Server{ID: e.id, Slots: replaySlots, CacheTokens: 1 << 20, Models: []ServerModel{{Name: "m"}}})
		}
		s.SetHosts(0, replayHosts)
		w.hosts = append(w.hosts, s)
		w.reports = append(w.reports, map[string]int{})
	}
	return w
}

// report gives each host that is due the last reports of the other hosts, which
// are up to one interval old, and records the report of the host itself.
func (w *replay) report() {
	step := int(w.now / replayTick)
	every := int(replayReportInterval / replayTick)
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
func (w *replay) run(sessions []*replaySession, d time.Duration) {
	for end := w.now + d; w.now < end; w.now += replayTick {
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

func (w *replay) startTurn(s *replaySession) {
	w.calls++
	h := w.hosts[w.random.IntN(len(w.hosts))]
	s.turn = &replayTurn{session: s, host: h, id: CallID{Program: fmt.Sprint("p", s.number), Call: w.calls, Attempt: 1}, started: w.now}
	h.Enqueue(w.now, Request{ID: s.turn.id, Model: "m", Affinity: s.prefix, Session: uint64(s.number), LastServer: s.lastServer, PromptTokens: replayPromptTokens})
	w.waiting[s.turn.id] = s.turn
}

func (w *replay) dispatch(h *Scheduler) {
	for {
		a, ok := h.Next(w.now)
		if !ok {
			return
		}
		t := w.waiting[a.ID]
		delete(w.waiting, a.ID)
		var e *replayEngine
		for _, x := range w.engines {
			if x.id == a.Server {
				e = x
			}
		}
		w.turns++
		if t.session.lastServer != "" && t.session.lastServer != a.Server {
			w.moved++
		}
		t.prefillLeft, t.decodeLeft = replayTurnTokens, replayDecodeTime
		if !e.cached[t.session.number] {
			t.prefillLeft = replayPromptTokens
		}
		t.session.lastServer = a.Server
		e.prefilling = append(e.prefilling, t)
	}
}

// step simulates one tick of an engine.
func (w *replay) step(e *replayEngine) {
	ms := float64(replayTick) / float64(time.Millisecond)
	budget := 0.0
	if len(e.prefilling) > 0 && len(e.runs) < replaySlots {
		budget = ms * replayPrefillShare
		if len(e.runs) == 0 {
			budget = ms
		}
	}
	used := 0.0
	for len(e.prefilling) > 0 && used < budget && len(e.runs) < replaySlots {
		t := e.prefilling[0]
		k := min(t.prefillLeft, (budget-used)*replayPrefillPerMS)
		t.prefillLeft -= k
		used += k / replayPrefillPerMS
		if t.prefillLeft > 0 {
			break
		}
		e.cached[t.session.number] = true
		e.prefilling, e.runs = e.prefilling[1:], append(e.runs, t)
	}
	progress := time.Duration((ms - used) * float64(time.Millisecond))
	var kept []*replayTurn
	for _, t := range e.runs {
		if t.decodeLeft -= progress; t.decodeLeft > 0 {
			kept = append(kept, t)
			continue
		}
		t.host.Finished(w.now, t.id, e.id, Usage{}, Succeeded)
		w.totalLatency += w.now - t.started
		t.session.turn = nil
		t.session.nextAt = w.now + time.Duration(float64(replayPause)*(0.5+w.random.Float64()))
	}
	e.runs = kept
}

func (w *replay) sessions(from, n int) []*replaySession {
	var out []*replaySession
	for i := range n {
		out = append(out, &replaySession{number: from + i, prefix: 1 + uint64(i%replayPrefixes), nextAt: w.now + time.Duration(w.random.IntN(500))*time.Millisecond})
	}
	return out
}

func (w *replay) measure(sessions []*replaySession, d time.Duration) (moved float64, mean time.Duration) {
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
		w := newReplay(seed)
		steady := w.sessions(0, 300)
		w.run(steady, 3*time.Second)
		before, tookBefore := w.measure(steady, 2*time.Second)
		burst := w.sessions(len(steady), 300)
		during, tookDuring := w.measure(append(burst, steady...), 3*time.Second)
		w.run(steady, 2*time.Second)
		after, tookAfter := w.measure(steady, 3*time.Second)
		t.Logf("seed %d: moved %.2f %.2f %.2f, took %v %v %v", seed, before, during, after, tookBefore, tookDuring, tookAfter)
		assert.Assert(t, after <= before+0.05, "%.2f of the turns moved before the burst, %.2f after it", before, after)
		assert.Assert(t, tookAfter < tookDuring, "turns take %v after the burst", tookAfter)
	}
}
