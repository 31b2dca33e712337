package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/faults"
)

// queueReplay replays a crest in virtual time. Servers run some calls, queue some
// more and reject the others, which their hosts send again after a backoff. Hosts
// learn the load of the others late.
type queueReplay struct {
	crestLoad
	queue  int           // of each server
	delay  time.Duration // of what hosts know of each other
	refuse bool          // hosts exchange their queues
}

// crestAttempts is the number of times that a call is sent to servers that reject
// it.
const crestAttempts = 12

// queueResult counts what became of the programs and of their calls.
type queueResult struct {
	programs, ended, inTime int
	refused                 int // by hosts
	rejected                int // by servers
	failed                  int // at the deadline, or rejected too often
}

// replayServer is a server with a queue in order of arrival.
type replayServer struct {
	running int
	queue   []*replayRun
}

// replayRun is a run of a call on a server.
type replayRun struct {
	host    int
	id      CallID
	program *replayProgram
	expires time.Duration
}

// replayProgram is a program of crestCalls calls.
type replayProgram struct {
	id      string
	calls   int
	started time.Duration
	refused bool
}

func (p queueReplay) run(seed uint64) queueResult {
	random := rand.New(rand.NewPCG(seed, 0))
	aim := time.Duration(1.7*crestCalls*float64(p.meanRun)) + 250*time.Millisecond
	var timeline faults.Timeline
	var result queueResult
	hosts := make([]*Scheduler, p.hosts)
	servers := make([]replayServer, p.servers)
	programs := map[CallID]*replayProgram{}
	deadlines := map[CallID]time.Duration{}
	completed := make([]float64, p.hosts)
	attempt := 0
	backingOff := make([]int, p.hosts)
	var enqueue func(now time.Duration, host int, x *replayProgram, deadline time.Duration, tries int)
	var drive func(now time.Duration, host int)
	var start func(now time.Duration, n int)
	end := func(now time.Duration, n int, r *replayRun, o Outcome) {
		hosts[r.host].Finished(now, r.id, fmt.Sprint(n), Usage{}, o)
	}
	start = func(now time.Duration, n int) {
		v := &servers[n]
		for v.running < p.slots && len(v.queue) > 0 {
			r := v.queue[0]
			v.queue = v.queue[1:]
			if now >= r.expires {
				result.failed++
				end(now, n, r, CallerCancelled)
				drive(now, r.host)
				continue
			}
			v.running++
			took := time.Duration(float64(p.meanRun) * (0.7 + 0.6*random.Float64()))
			timeline.At(now+took, func(now time.Duration) {
				v.running--
				end(now, n, r, Succeeded)
				completed[r.host]++
				r.program.calls++
				if r.program.calls < crestCalls {
					enqueue(now, random.IntN(p.hosts), r.program, now+crestDeadline, 0)
				} else {
					result.ended++
					if now-r.program.started <= aim {
						result.inTime++
					}
				}
				start(now, n)
				drive(now, r.host)
			})
		}
	}
	tries := map[CallID]int{}
	drive = func(now time.Duration, host int) {
		s := hosts[host]
		for a, ok := s.Next(now); ok; a, ok = s.Next(now) {
			var n int
			if _, err := fmt.Sscan(a.Server, &n); err != nil {
				panic(err)
			}
			r := &replayRun{host: host, id: a.ID, program: programs[a.ID], expires: deadlines[a.ID]}
			v := &servers[n]
			if v.running >= p.slots && len(v.queue) >= p.queue {
				result.rejected++
				end(now, n, r, Rejected)
				k := tries[a.ID]
				backoff := min(100*time.Millisecond, 8*time.Millisecond<<min(k, 8))
				backingOff[host]++
				timeline.At(now+backoff/2+time.Duration(random.Float64()*float64(backoff)), func(now time.Duration) {
					backingOff[host]--
					if now >= r.expires || k+1 >= crestAttempts {
						result.failed++
						return
					}
					enqueue(now, host, r.program, r.expires, k+1)
				})
				continue
			}
			v.queue = append(v.queue, r)
			start(now, n)
		}
		for _, r := range s.Refused(now) {
			x := programs[r.ID]
			if r.RetryAfter == 0 {
				result.failed++
				continue
			}
			result.refused++
			if !x.refused {
				x.refused = true
				timeline.At(now+r.RetryAfter, func(now time.Duration) {
					x.started = now
					enqueue(now, random.IntN(p.hosts), x, now+crestDeadline, 0)
				})
			}
		}
	}
	enqueue = func(now time.Duration, host int, x *replayProgram, deadline time.Duration, k int) {
		attempt++
		id := CallID{Program: x.id, Call: x.calls, Attempt: attempt}
		programs[id], deadlines[id], tries[id] = x, deadline, k
		hosts[host].Enqueue(now, Request{ID: id, Model: "m", First: x.calls == 0, Deadline: deadline})
		drive(now, host)
	}
	type report struct {
		inFlight  map[string]int
		waiting   int
		completed float64
	}
	reports := make([]report, p.hosts)
	for i := range hosts {
		s := New(rand.NewPCG(seed, uint64(i+1)), WithFloors(2, 3))
		s.SetHosts(0, p.hosts)
		for n := range p.servers {
			s.SetServer(0, Server{ID: fmt.Sprint(n), Slots: p.slots, Models: []ServerModel{{Name: "m"}}})
		}
		hosts[i] = s
		var sync func(now time.Duration)
		sync = func(now time.Duration) {
			completed[i] *= 0.78 // forgotten within about a second
			reports[i] = report{s.InFlight(), s.Waiting()["m"] + backingOff[i], completed[i]}
			others, q := map[string]int{}, ServiceQueue{}
			for j, r := range reports {
				q.Waiting += r.waiting
				q.PerSecond += r.completed
				if j != i {
					for id, n := range r.inFlight {
						others[id] += n
					}
				}
			}
			timeline.At(now+p.delay, func(now time.Duration) {
				s.SetRemoteInFlight(now, others)
				if p.refuse {
					s.SetQueues(now, map[string]ServiceQueue{"m": q})
				}
				drive(now, i)
			})
			timeline.At(now+250*time.Millisecond, sync)
		}
		timeline.At(time.Duration(random.Int64N(int64(250*time.Millisecond))), sync)
	}
	p.arrivals(&timeline, random, func(now time.Duration) {
		result.programs++
		enqueue(now, random.IntN(p.hosts), &replayProgram{id: fmt.Sprint(result.programs), started: now}, now+crestDeadline, 0)
	})
	timeline.Run(crestReplayLength)
	return result
}

// Guards against many hosts that fill the queues of all servers at a crest, so that
// calls wait there or are rejected again and again, and none is refused early.
func TestHopelessCallsAreRefusedIfTheyWaitAtServers(t *testing.T) {
	for _, hosts := range []int{20, 120} {
		p := queueReplay{
			crestLoad: crestLoad{hosts: hosts, servers: 24, slots: 8, meanRun: 300 * time.Millisecond, calm: 0.6, peak: 2, length: 6 * time.Second},
			queue:     24, delay: 100 * time.Millisecond,
		}
		var held, refused queueResult
		for seed := range uint64(2) {
			p.refuse = false
			held.add(p.run(seed))
			p.refuse = true
			refused.add(p.run(seed))
		}
		t.Logf("%d hosts: held %+v, refused %+v", hosts, held, refused)
		assert.Assert(t, refused.rejected <= held.rejected*2/3, "%d hosts: servers reject %d calls: want two thirds of %d at most", hosts, refused.rejected, held.rejected)
		assert.Assert(t, refused.failed <= held.failed/4, "%d hosts: %d calls fail late: want a quarter of %d at most", hosts, refused.failed, held.failed)
		assert.Assert(t, refused.ended >= held.ended, "%d hosts: %d programs end: want %d or more", hosts, refused.ended, held.ended)
		assert.Assert(t, refused.inTime >= held.inTime, "%d hosts: %d programs in time: want %d or more", hosts, refused.inTime, held.inTime)
	}
}

func (r *queueResult) add(o queueResult) {
	r.programs += o.programs
	r.ended += o.ended
	r.inTime += o.inTime
	r.refused += o.refused
	r.rejected += o.rejected
	r.failed += o.failed
}
