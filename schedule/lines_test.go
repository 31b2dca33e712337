package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// replay replays conversations on engines in virtual time, through hosts that
// hear of each other's runs late. Engines read prompts in chunks between the
// steps of their runs, so that reading slows all of them down.
type replay struct {
	random  *rand.Rand
	hosts   []*Scheduler
	engines []*replayEngine
	now     time.Duration
	calls   int
	reports []map[string]int     // runs by host, as last heard
	waiting map[CallID]*replayTurn // for a place
	turns   int
	moved   int // turns that did not stay on the server of the one before
	took    time.Duration
}

type replayEngine struct {
	id      string
	runs    []*replayTurn
	cached   map[int]bool // lines
	prefilling []*replayTurn
}

// replaySession is a conversation.
type replaySession struct {
	number int
	prefix uint64
	last   string
	nextAt time.Duration
	turn   *replayTurn
}

type replayTurn struct {
	session   *replaySession
	host   *Scheduler
	id     CallID
	prefillLeft float64 // tokens
	decodeLeft   time.Duration
	began  time.Duration
}

const (
	replayTick      = 5 * time.Millisecond
	replayHosts     = 40
	replayEngines   = 16
	replaySlots     = 16
	replayPrefixes  = 8
	replayDecodeTime    = 150 * time.Millisecond // of a turn on an idle engine
	replayPause     = 350 * time.Millisecond
	replayPrefillPerMS = 163.0
	replayPrefillShare     = 0.8    // of the time that an engine reads while prompts wait
	replayPromptTokens    = 14_000 // tokens of a conversation that is read anew
	replayTurnTokens     = 600    // tokens of a turn on the server that holds the line
	replayReportInterval    = 250 * time.Millisecond
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

// report lets each host hear of the others, whose own reports are up to one
// interval old.
func (w *replay) report() {
	step := int(w.now / replayTick)
	every := int(replayReportInterval / replayTick)
	for i, h := range w.hosts {
		if (step+i*7)%every != 0 {
			continue
		}
		others := map[string]int{}
		for k, r := range w.reports {
			if k == i {
				continue
			}
			for id, n := range r {
				others[id] += n
			}
		}
		h.SetRemoteInFlight(w.now, others)
		w.reports[i] = h.Runs()
	}
}

// run runs the lines for a time.
func (w *replay) run(lines []*replaySession, d time.Duration) {
	for end := w.now + d; w.now < end; w.now += replayTick {
		w.report()
		for _, l := range lines {
			if l.turn == nil && w.now >= l.nextAt {
				w.startTurn(l)
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

func (w *replay) startTurn(l *replaySession) {
	w.calls++
	h := w.hosts[w.random.IntN(len(w.hosts))]
	l.turn = &replayTurn{session: l, host: h, id: CallID{Program: fmt.Sprint("p", l.number), Call: w.calls, Attempt: 1}, began: w.now}
	h.Enqueue(w.now, Request{ID: l.turn.id, Model: "m", Affinity: l.prefix, Session: uint64(l.number), LastServer: l.last, PromptTokens: replayPromptTokens})
	w.waiting[l.turn.id] = l.turn
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
		if t.session.last != "" && t.session.last != a.Server {
			w.moved++
		}
		t.prefillLeft, t.decodeLeft = replayTurnTokens, replayDecodeTime
		if !e.cached[t.session.number] {
			t.prefillLeft = replayPromptTokens
		}
		t.session.last = a.Server
		e.prefilling = append(e.prefilling, t)
	}
}

// step lets an engine read and generate for a tick.
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
		w.took += w.now - t.began
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

func (w *replay) measure(lines []*replaySession, d time.Duration) (moved float64, mean time.Duration) {
	w.turns, w.moved, w.took = 0, 0, 0
	w.run(lines, d)
	return float64(w.moved) / float64(w.turns), w.took / time.Duration(w.turns)
}

// Guards against lines that leave their servers in turn and are read anew, and
// so keep all servers crowded after a burst is over.
//
// The load pattern: programs whose turns take most of the servers' time, twice
// as many for three seconds.
func TestLinesComeToRestAfterABurst(t *testing.T) {
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
