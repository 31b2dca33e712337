package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unevenReplay replays programs on engines of different speeds in virtual time,
// through hosts that each see a fiftieth of the turns, with a burst.
type unevenReplay struct {
	slow, fast float64 // speeds of the two halves of the engines
	neighbours bool    // that slow an engine 2.5 times for half a second, at random
	share      bool    // hosts exchange the speeds of servers
}

const (
	unevenHosts, unevenEngines, unevenSlots, unevenPrefixes = 52, 48, 16, 16
	unevenTick                                              = 5 * time.Millisecond
	unevenTurns                                             = 450.0 // a second, before the burst
	unevenBurst                                             = 1.9
	unevenBurstStart, unevenBurstEnd, unevenEnd             = 8 * time.Second, 13 * time.Second, 18 * time.Second
	unevenStep                                              = 1.26 // ms for a token of each run
	unevenPrefill                                           = 170.0
)

type unevenProgram struct {
	number     int
	prefix     uint64
	lastServer string
	started    time.Duration
	ideal      time.Duration
	turns      []int // output tokens
}

type unevenTurn struct {
	program         *unevenProgram
	host            *Scheduler
	id              CallID
	prompt, prefill float64
	decode, total   float64
	reported        float64
	reportedAt      time.Duration
}

type unevenEngine struct {
	id                 string
	speed              float64
	waiting, runs      []*unevenTurn
	prefixes, sessions map[uint64]bool
	started            int
	slowUntil          time.Duration
}

type unevenResult struct {
	programs, late int
	cold           int     // prefills of a shared prefix
	mostListed     int     // servers that differ in speed
	busiest        float64 // runs of the server with the most in the burst, relative to the mean
}

func (p unevenReplay) run(seed uint64) unevenResult {
	random := rand.New(rand.NewPCG(seed, 7))
	var engines []*unevenEngine
	var hosts []*Scheduler
	var reports []map[string]int
	for i := range unevenEngines {
		speed := []float64{p.slow, p.fast}[random.IntN(2)]
		engines = append(engines, &unevenEngine{id: fmt.Sprint(i), speed: speed, prefixes: map[uint64]bool{}, sessions: map[uint64]bool{}})
	}
	for h := range unevenHosts {
		s := New(rand.NewPCG(seed, uint64(h)), WithPrefixAffinity(""), WithSlowThresholds(0.3, 0.5), WithFloors(2, 3))
		for _, e := range engines {
			s.SetServer(0, Server{ID: e.id, Slots: unevenSlots, CacheTokens: 353_217, Models: []ServerModel{{Name: "m"}}})
		}
		s.SetHosts(0, unevenHosts)
		hosts, reports = append(hosts, s), append(reports, map[string]int{})
	}
	turns := map[CallID]*unevenTurn{}
	calls := 0
	speeds := NewSpeeds()
	var result unevenResult
	type start struct {
		at      time.Duration
		program *unevenProgram
	}
	var starts []start
	next := time.Duration(0)
	number := 0
	enqueue := func(now time.Duration, x *unevenProgram) {
		calls++
		t := &unevenTurn{program: x, host: hosts[random.IntN(len(hosts))], id: CallID{Program: fmt.Sprint(x.number), Call: calls, Attempt: 1}, prompt: 12_600 + 1680*random.Float64(), total: float64(x.turns[0])}
		t.decode = t.total
		turns[t.id] = t
		t.host.Enqueue(now, Request{ID: t.id, Model: "m", Affinity: x.prefix, Session: uint64(x.number), LastServer: x.lastServer, PromptTokens: int(t.prompt)})
	}
	for now := time.Duration(0); now < unevenEnd+3*time.Second; now += unevenTick {
		step := int(now / unevenTick)
		for i, h := range hosts {
			if (step+i*7)%50 == 0 {
				remote := map[string]int{}
				for k, r := range reports {
					if k != i {
						for id, n := range r {
							remote[id] += n
						}
					}
				}
				h.SetRemoteInFlight(now, remote)
				reports[i] = h.InFlight()
				if p.share {
					if (step+i*7)%200 == 0 {
						for id, n := range h.Timings(now) {
							speeds.Report(now, "m", id, n)
						}
					}
					r := speeds.Relative(now)
					result.mostListed = max(result.mostListed, len(r))
					h.SetSpeeds(now, r)
				}
			}
		}
		for now >= next && now < unevenEnd {
			load := unevenTurns / 6.5
			if now >= unevenBurstStart && now < unevenBurstEnd {
				load *= unevenBurst
			}
			next += time.Duration(random.ExpFloat64() / load * float64(time.Second))
			number++
			x := &unevenProgram{number: number, prefix: 1 + uint64(random.IntN(unevenPrefixes)), started: now}
			for range 4 + random.IntN(6) {
				n := 20 + int(min(1000, 100*random.ExpFloat64()*random.ExpFloat64()*1.3))
				x.turns = append(x.turns, n)
				x.ideal += time.Duration((float64(n)*unevenStep + 20) * float64(time.Millisecond))
			}
			enqueue(now, x)
		}
		starts = slices.DeleteFunc(starts, func(s start) bool {
			if now >= s.at {
				enqueue(now, s.program)
				return true
			}
			return false
		})
		for _, h := range hosts {
			for a, ok := h.Next(now); ok; a, ok = h.Next(now) {
				if a.Hedge {
					h.Finished(now, a.ID, a.Server, Usage{}, Superseded)
					continue
				}
				t := turns[a.ID]
				var n int
				_, _ = fmt.Sscan(a.Server, &n)
				e := engines[n]
				t.prefill = 600
				if !e.sessions[uint64(t.program.number)] {
					t.prefill = t.prompt
					if e.prefixes[t.program.prefix] {
						t.prefill = t.prompt - 12_600
					} else {
						result.cold++
					}
				}
				e.waiting = append(e.waiting, t)
				if now >= unevenBurstStart && now < unevenBurstEnd {
					e.started++
				}
			}
		}
		for _, e := range engines {
			ms := float64(unevenTick) / float64(time.Millisecond)
			if p.neighbours {
				if now >= e.slowUntil && random.IntN(2000) == 0 {
					e.slowUntil = now + 500*time.Millisecond
				}
				if now < e.slowUntil {
					ms /= 2.5
				}
			}
			budget, used := 0.0, 0.0
			if len(e.waiting) > 0 && len(e.runs) < unevenSlots {
				budget = 0.8 * ms
				if len(e.runs) == 0 {
					budget = ms
				}
			}
			for len(e.waiting) > 0 && used < budget && len(e.runs) < unevenSlots {
				t := e.waiting[0]
				k := min(t.prefill, (budget-used)*unevenPrefill*e.speed)
				t.prefill -= k
				used += k / unevenPrefill / e.speed
				if t.prefill > 0 {
					break
				}
				e.prefixes[t.program.prefix], e.sessions[uint64(t.program.number)] = true, true
				t.host.FirstToken(now, t.id, e.id)
				t.reportedAt, t.reported = now, t.decode
				e.waiting, e.runs = e.waiting[1:], append(e.runs, t)
			}
			tokens := (ms - used) * e.speed / (unevenStep * (1 + 0.03*float64(len(e.runs))))
			e.runs = slices.DeleteFunc(e.runs, func(t *unevenTurn) bool {
				t.decode -= tokens
				if now-t.reportedAt >= 100*time.Millisecond {
					t.host.Tokens(now, t.id, e.id, int(t.reported-t.decode))
					t.reportedAt, t.reported = now, t.decode
				}
				if t.decode > 0 {
					return false
				}
				x := t.program
				t.host.Finished(now, t.id, e.id, Usage{PromptTokens: int(t.prompt), OutputTokens: int(t.total)}, Succeeded)
				x.lastServer, x.turns = e.id, x.turns[1:]
				if len(x.turns) > 0 {
					pause := time.Duration((20 + 60*random.Float64()) * float64(time.Millisecond))
					x.started += pause // counted from the ends of its pauses
					starts = append(starts, start{now + pause, x})
				} else if x.started < unevenEnd {
					result.programs++
					if now-x.started > x.ideal*17/10+250*time.Millisecond {
						result.late++
					}
				}
				return true
			})
		}
	}
	sum, most := 0, 0
	for _, e := range engines {
		sum, most = sum+e.started, max(most, e.started)
	}
	result.busiest = float64(most) * unevenEngines / float64(sum)
	return result
}

// Guards against sessions that stay on slow servers because a host sees each server
// too rarely to know it, and against servers that count as slow because of a
// neighbour or of the load.
//
// The load pattern: turns of programs arrive at any of 52 hosts. Half of the 48
// engines have less than half the speed of the others, and for some seconds twice as
// many programs arrive.
func TestSpeedsAreLearnedTogether(t *testing.T) {
	tests := []struct {
		name    string
		replay  unevenReplay
		maxLate float64 // relative to the late programs without shared speeds
	}{
		{"uneven", unevenReplay{slow: 0.55, fast: 1.2}, 0.3},
		{"uneven with neighbours", unevenReplay{slow: 0.55, fast: 1.2, neighbours: true}, 0.4},
		{"even with neighbours", unevenReplay{slow: 1, fast: 1, neighbours: true}, 1},
	}
	for _, tt := range tests {
		var alone, shared unevenResult
		for seed := range uint64(2) {
			tt.replay.share = false
			alone.add(tt.replay.run(seed))
			tt.replay.share = true
			shared.add(tt.replay.run(seed))
		}
		t.Logf("%s: alone %+v, shared %+v", tt.name, alone, shared)
		assert.Assert(t, float64(shared.late) <= tt.maxLate*float64(alone.late)+4, "%s: %d programs late: want %.1f of %d", tt.name, shared.late, tt.maxLate, alone.late)
		assert.Assert(t, shared.mostListed <= 6 || tt.replay.slow < tt.replay.fast, "%s: %d servers of equal speed differ", tt.name, shared.mostListed)
	}
}

// Guards against a speed that a short slowdown, a wrong report or old reports decide.
func TestSpeeds(t *testing.T) {
	tests := []struct {
		name   string
		micros func(now time.Duration) int // of server 0; 0 for no report
		want   int                         // percent after 40 s
	}{
		{"as the others", func(time.Duration) int { return 2000 }, 0},
		{"slow", func(time.Duration) int { return 4000 }, 57},
		{"fast", func(time.Duration) int { return 1000 }, 177},
		{"a tenth slower", func(time.Duration) int { return 2200 }, 0},
		{"slowed briefly", func(now time.Duration) int {
			if now >= 38500*time.Millisecond && now < 39*time.Second {
				return 5000
			}
			return 2000
		}, 0},
		{"wrong report", func(now time.Duration) int {
			if now == 39*time.Second {
				return 1
			}
			return 2000
		}, 0},
		{"slow long ago", func(now time.Duration) int {
			if now > 5*time.Second {
				return 0
			}
			return 4000
		}, 0},
	}
	for _, tt := range tests {
		p := NewSpeeds()
		for now := time.Duration(0); now <= 40*time.Second; now += 100 * time.Millisecond {
			for i := range 8 {
				micros := 2000
				if i == 0 {
					micros = tt.micros(now)
				}
				if micros > 0 {
					p.Report(now, "m", fmt.Sprint(i), micros)
				}
			}
			p.Relative(now)
		}
		got := p.Relative(40 * time.Second)["0"]
		assert.Assert(t, math.Abs(float64(got-tt.want)) <= 0.1*float64(tt.want), "%s: %d: want about %d", tt.name, got, tt.want)
	}
}

func (r *unevenResult) add(o unevenResult) {
	r.programs += o.programs
	r.late += o.late
	r.cold += o.cold
	r.mostListed = max(r.mostListed, o.mostListed)
	r.busiest = max(r.busiest, o.busiest)
}
