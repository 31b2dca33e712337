package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lineWorld replays sessions on engines in virtual time, through hosts that
// receive the load of the other hosts with a delay. Engines prefill prompts in
// chunks between the decode steps of their runs, so a prefill slows all runs.
type lineWorld struct {
	random  *rand.Rand
	hosts   []*Scheduler
	engines []*lineEngine
	now     time.Duration
	calls   int
	reports []map[string]int     // last reported runs of each host, by server
	waiting map[CallID]*lineTurn // turns that wait for a server
	turns   int
	moved   int // turns that ran on another server than the previous turn
	took    time.Duration
}

type lineEngine struct {
	id      string
	runs    []*lineTurn
	holds   map[int]bool // cached sessions by number
	reading []*lineTurn
}

type convLine struct {
	number int
	prefix uint64
	last   string
	nextAt time.Duration
	turn   *lineTurn
}

type lineTurn struct {
	line   *convLine
	host   *Scheduler
	id     CallID
	unread float64       // prompt tokens still to be prefilled
	left   time.Duration // decode time still needed
	began  time.Duration
}

const (
	lineTick      = 5 * time.Millisecond
	lineHosts     = 40
	lineEngines   = 16
	lineSlots     = 16
	linePrefixes  = 8
	lineDecode    = 150 * time.Millisecond // decode time of a turn on an idle engine
	lineThink     = 350 * time.Millisecond // mean pause between two turns
	lineReadPerMS = 163.0                  // prefilled tokens per millisecond
	lineShare     = 0.8                    // fraction of the engine time for prefills while prompts wait
	linePrompt    = 14_000                 // tokens to prefill if the session is not cached
	lineInput     = 600                    // tokens to prefill if it is cached
	lineReport    = 250 * time.Millisecond
)

func newLineWorld(seed uint64) *lineWorld {
	w := &lineWorld{random: rand.New(rand.NewPCG(seed, 9)), waiting: map[CallID]*lineTurn{}}
	for i := range lineEngines {
		w.engines = append(w.engines, &lineEngine{id: fmt.Sprint("s", i), holds: map[int]bool{}})
	}
	for h := range lineHosts {
		s := New(rand.NewPCG(seed, uint64(h)), WithPrefixAffinity(""), WithFloors(2, 3))
		for _, e := range w.engines {
			s.SetServer(0, Server{ID: e.id, Slots: lineSlots, CacheTokens: 1 << 20, Models: []ServerModel{{Name: "m"}}})
		}
		s.SetHosts(0, lineHosts)
		w.hosts = append(w.hosts, s)
		w.reports = append(w.reports, map[string]int{})
	}
	return w
}

// report gives each host that is due the last reports of the other hosts, which
// are up to one interval old, and records the report of the host itself.
func (w *lineWorld) report() {
	step := int(w.now / lineTick)
	every := int(lineReport / lineTick)
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
		h.SetOthers(w.now, others)
		w.reports[i] = h.Runs()
	}
}

// play runs the sessions for the duration d.
func (w *lineWorld) play(lines []*convLine, d time.Duration) {
	for end := w.now + d; w.now < end; w.now += lineTick {
		w.report()
		for _, l := range lines {
			if l.turn == nil && w.now >= l.nextAt {
				w.begin(l)
			}
		}
		for _, h := range w.hosts {
			w.place(h)
		}
		for _, e := range w.engines {
			w.work(e)
		}
	}
}

func (w *lineWorld) begin(l *convLine) {
	w.calls++
	h := w.hosts[w.random.IntN(len(w.hosts))]
	l.turn = &lineTurn{line: l, host: h, id: CallID{Program: fmt.Sprint("p", l.number), Call: w.calls, Attempt: 1}, began: w.now}
	h.Enqueue(w.now, Request{ID: l.turn.id, Model: "m", Affinity: l.prefix, Line: uint64(l.number), LastServer: l.last, PromptTokens: linePrompt})
	w.waiting[l.turn.id] = l.turn
}

func (w *lineWorld) place(h *Scheduler) {
	for {
		a, ok := h.Next(w.now)
		if !ok {
			return
		}
		t := w.waiting[a.ID]
		delete(w.waiting, a.ID)
		var e *lineEngine
		for _, x := range w.engines {
			if x.id == a.Server {
				e = x
			}
		}
		w.turns++
		if t.line.last != "" && t.line.last != a.Server {
			w.moved++
		}
		t.unread, t.left = lineInput, lineDecode
		if !e.holds[t.line.number] {
			t.unread = linePrompt
		}
		t.line.last = a.Server
		e.reading = append(e.reading, t)
	}
}

// work simulates one tick of an engine.
func (w *lineWorld) work(e *lineEngine) {
	ms := float64(lineTick) / float64(time.Millisecond)
	budget := 0.0
	if len(e.reading) > 0 && len(e.runs) < lineSlots {
		budget = ms * lineShare
		if len(e.runs) == 0 {
			budget = ms
		}
	}
	used := 0.0
	for len(e.reading) > 0 && used < budget && len(e.runs) < lineSlots {
		t := e.reading[0]
		k := min(t.unread, (budget-used)*lineReadPerMS)
		t.unread -= k
		used += k / lineReadPerMS
		if t.unread > 0 {
			break
		}
		e.holds[t.line.number] = true
		e.reading, e.runs = e.reading[1:], append(e.runs, t)
	}
	progress := time.Duration((ms - used) * float64(time.Millisecond))
	var kept []*lineTurn
	for _, t := range e.runs {
		if t.left -= progress; t.left > 0 {
			kept = append(kept, t)
			continue
		}
		t.host.Finished(w.now, t.id, e.id, Usage{}, Succeeded)
		w.took += w.now - t.began
		t.line.turn = nil
		t.line.nextAt = w.now + time.Duration(float64(lineThink)*(0.5+w.random.Float64()))
	}
	e.runs = kept
}

func (w *lineWorld) lines(from, n int) []*convLine {
	var out []*convLine
	for i := range n {
		out = append(out, &convLine{number: from + i, prefix: 1 + uint64(i%linePrefixes), nextAt: w.now + time.Duration(w.random.IntN(500))*time.Millisecond})
	}
	return out
}

func (w *lineWorld) measure(lines []*convLine, d time.Duration) (moved float64, mean time.Duration) {
	w.turns, w.moved, w.took = 0, 0, 0
	w.play(lines, d)
	return float64(w.moved) / float64(w.turns), w.took / time.Duration(w.turns)
}

// Guards against sessions that keep moving between servers after a burst:
// each move needs a full prefill, which keeps the servers overloaded and causes
// further moves.
//
// The load pattern: sessions that use most of the servers' time, and twice
// as many for three seconds.
func TestLinesComeToRestAfterABurst(t *testing.T) {
	for seed := range uint64(2) {
		w := newLineWorld(seed)
		steady := w.lines(0, 300)
		w.play(steady, 3*time.Second)
		before, tookBefore := w.measure(steady, 2*time.Second)
		burst := w.lines(len(steady), 300)
		during, tookDuring := w.measure(append(burst, steady...), 3*time.Second)
		w.play(steady, 2*time.Second)
		after, tookAfter := w.measure(steady, 3*time.Second)
		t.Logf("seed %d: moved %.2f %.2f %.2f, took %v %v %v", seed, before, during, after, tookBefore, tookDuring, tookAfter)
		assert.Assert(t, after <= before+0.05, "%.2f of the turns moved before the burst, %.2f after it", before, after)
		assert.Assert(t, tookAfter < tookDuring, "turns take %v after the burst", tookAfter)
	}
}
