package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/faults"
)

// Guards against calls that are refused although they may be served, and against
// callers that are all told to return at once.
func TestRefuseIfHopeless(t *testing.T) {
	full := ServiceQueue{Waiting: 100, PerSecond: 20} // 5 s
	tests := []struct {
		name     string
		queue    ServiceQueue
		age      time.Duration // of the queue
		deadline time.Duration
		first    bool
		free     bool // a server has a free slot
		slow     bool // that server has half the speed of others
		refused  bool
	}{
		{name: "deadline before its turn", queue: full, deadline: 3 * time.Second, refused: true},
		{name: "deadline after its turn", queue: full, deadline: 6 * time.Second},
		{name: "first call", queue: full, deadline: 6 * time.Second, first: true, refused: true},
		{name: "first call of a patient program", queue: full, deadline: 20 * time.Second, first: true},
		{name: "no deadline", queue: full},
		{name: "old queues", queue: full, age: queuesMaxAge + 1, deadline: 3 * time.Second},
		{name: "free slot", queue: full, deadline: 3 * time.Second, free: true},
		{name: "free slot of a slow server", queue: full, deadline: 3 * time.Second, slow: true, refused: true},
		{name: "no completions", queue: ServiceQueue{Waiting: 100, PerSecond: 0.5}, deadline: 3 * time.Second},
		{name: "short queue", queue: ServiceQueue{Waiting: 9, PerSecond: 10}, deadline: 500 * time.Millisecond},
		{name: "nothing known", deadline: 3 * time.Second},
	}
	for _, tt := range tests {
		s := New(rand.NewPCG(1, 2))
		slots := 1
		if tt.slow {
			slots = 2
			s.SetSpeeds(0, map[string]int{"s": 50})
		}
		s.SetServer(0, Server{ID: "s", Slots: slots, Models: []ServerModel{{Name: "m"}}})
		if !tt.free {
			s.Enqueue(0, Request{ID: CallID{Program: "running"}, Model: "m"})
			_, ok := s.Next(0)
			assert.Assert(t, ok)
		}
		if tt.queue.PerSecond > 0 {
			s.SetQueues(0, map[string]ServiceQueue{"m": tt.queue})
		}
		var longest, shortest time.Duration
		for i := range 50 {
			r := Request{ID: CallID{Program: fmt.Sprint(i)}, Model: "m", First: tt.first}
			if tt.deadline > 0 {
				r.Deadline = tt.age + tt.deadline
			}
			s.Enqueue(tt.age, r)
			refused := s.Refused(tt.age)
			assert.Equal(t, len(refused) == 1, tt.refused, tt.name)
			if !tt.refused {
				continue
			}
			d := refused[0].RetryAfter
			assert.Assert(t, d >= minHopelessRetry && d <= maxHopelessRetry, "%s: %v", tt.name, d)
			longest = max(longest, d)
			if i == 0 || d < shortest {
				shortest = d
			}
		}
		if tt.refused {
			assert.Assert(t, longest > shortest+300*time.Millisecond, "%s: from %v to %v", tt.name, shortest, longest)
		}
	}
}

// crestLoad is a load of programs of three calls that arrive at many hosts, for some
// seconds at more than the servers can run.
type crestLoad struct {
	hosts, servers, slots int
	meanRun               time.Duration
	calm, peak            float64 // offered load in capacities
	length                time.Duration
}

const (
	crestWarmUp       = 3 * time.Second // before the crest
	crestReplayLength = 20 * time.Second
)

// arrivals adds the arrivals of programs to a timeline.
func (c crestLoad) arrivals(timeline *faults.Timeline, random *rand.Rand, arrived func(now time.Duration)) {
	capacity := float64(c.servers*c.slots) / c.meanRun.Seconds() / crestCalls // programs per second
	var arrive func(now time.Duration)
	arrive = func(now time.Duration) {
		arrived(now)
		load := c.calm
		if now >= crestWarmUp && now < crestWarmUp+c.length {
			load = c.peak
		}
		if next := now + time.Duration(random.ExpFloat64()/(load*capacity)*float64(time.Second)); next < crestReplayLength-5*time.Second {
			timeline.At(next, arrive)
		}
	}
	timeline.At(0, arrive)
}

// crestReplay replays a crest in virtual time. Full servers run each call slower.
type crestReplay struct {
	crestLoad
	refuse bool // hosts exchange their queues
}

// crestResult counts what became of the programs that arrived.
type crestResult struct {
	programs, inTime int
	expired          int // calls that waited until their deadline
	refused          int
}

const (
	crestCalls    = 3
	crestDeadline = 3 * time.Second // of a call
)

func (p crestReplay) run(seed uint64) crestResult {
	random := rand.New(rand.NewPCG(seed, 0))
	aim := time.Duration(1.6*crestCalls*float64(p.meanRun)) + 250*time.Millisecond
	var timeline faults.Timeline
	var result crestResult
	type program struct {
		id      string
		calls   int
		started time.Duration
		refused bool
	}
	hosts := make([]*Scheduler, p.hosts)
	waiting := make([]int, p.hosts)
	running := map[string]int{}
	var completions []time.Duration
	calls := map[CallID]*program{}
	var arriveCall func(now time.Duration, x *program)
	drive := func(now time.Duration, i int) {
		s := hosts[i]
		for a, ok := s.Next(now); ok; a, ok = s.Next(now) {
			x := calls[a.ID]
			running[a.Server]++
			// A full server runs each call slower.
			took := time.Duration(float64(p.meanRun) * (0.7 + 0.6*random.Float64()) * max(1, float64(running[a.Server])/float64(p.slots)))
			timeline.At(now+took, func(now time.Duration) {
				running[a.Server]--
				completions = append(completions, now)
				s.Finished(now, a.ID, a.Server, Usage{}, Succeeded)
				if x.calls++; x.calls < crestCalls {
					arriveCall(now, x)
				} else if now-x.started <= aim {
					result.inTime++
				}
			})
		}
		for _, r := range s.Refused(now) {
			x := calls[r.ID]
			if r.RetryAfter == 0 {
				result.expired++
				continue
			}
			result.refused++
			if !x.refused {
				x.refused = true
				timeline.At(now+r.RetryAfter, func(now time.Duration) {
					x.started = now
					arriveCall(now, x)
				})
			}
		}
	}
	arriveCall = func(now time.Duration, x *program) {
		i := random.IntN(len(hosts))
		id := CallID{Program: x.id, Call: x.calls, Attempt: 1 + len(calls)}
		calls[id] = x
		hosts[i].Enqueue(now, Request{ID: id, Model: "m", First: x.calls == 0, Deadline: now + crestDeadline})
		drive(now, i)
	}
	for i := range hosts {
		s := New(rand.NewPCG(seed, uint64(i+1)), WithFloors(1, 1))
		s.SetHosts(0, p.hosts)
		for n := range p.servers {
			s.SetServer(0, Server{ID: fmt.Sprint(n), Slots: p.slots, Models: []ServerModel{{Name: "m"}}})
		}
		hosts[i] = s
		var sync func(now time.Duration)
		sync = func(now time.Duration) {
			waiting[i] = s.Waiting()["m"]
			others := map[string]int{}
			for id, n := range running {
				others[id] = n
			}
			for id, n := range s.InFlight() {
				others[id] -= n
			}
			s.SetRemoteInFlight(now, others)
			if p.refuse {
				sum := 0
				for _, n := range waiting {
					sum += n
				}
				recent := 0
				for k := len(completions) - 1; k >= 0 && now-completions[k] <= time.Second; k-- {
					recent++
				}
				s.SetQueues(now, map[string]ServiceQueue{"m": {Waiting: sum, PerSecond: float64(recent)}})
			}
			drive(now, i)
			timeline.At(now+100*time.Millisecond, sync)
		}
		timeline.At(time.Duration(random.Int64N(int64(100*time.Millisecond))), sync)
	}
	p.arrivals(&timeline, random, func(now time.Duration) {
		result.programs++
		arriveCall(now, &program{id: fmt.Sprint(result.programs), started: now})
	})
	timeline.Run(crestReplayLength)
	return result
}

// Guards against calls that are held until their deadline at a long crest, and
// against refusals that cost more programs than they save.
func TestHopelessCallsAreRefusedAtTheCrest(t *testing.T) {
	tests := []struct {
		name string
		crestReplay
	}{
		{"short crest", crestReplay{crestLoad: crestLoad{hosts: 40, servers: 12, slots: 8, meanRun: 250 * time.Millisecond, calm: 0.5, peak: 1.5, length: 2 * time.Second}}},
		{"long crest", crestReplay{crestLoad: crestLoad{hosts: 40, servers: 12, slots: 8, meanRun: 250 * time.Millisecond, calm: 0.5, peak: 2, length: 8 * time.Second}}},
		{"no crest", crestReplay{crestLoad: crestLoad{hosts: 40, servers: 12, slots: 8, meanRun: 250 * time.Millisecond, calm: 0.7, peak: 0.7, length: 8 * time.Second}}},
	}
	for _, tt := range tests {
		held := tt.run(1)
		tt.refuse = true
		refused := tt.run(1)
		t.Logf("%s: held %+v, refused %+v", tt.name, held, refused)
		assert.Assert(t, refused.inTime >= held.inTime, "%s: %d programs in time: want %d or more", tt.name, refused.inTime, held.inTime)
		assert.Assert(t, refused.expired <= held.expired/4, "%s: %d calls held to their deadline: want a quarter of %d at most", tt.name, refused.expired, held.expired)
	}
}
