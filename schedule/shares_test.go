package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/faults"
)

// sharesReplay replays in virtual time the calls of teams that arrive at many hosts.
// Servers run their queues by level and then in order of arrival. Hosts learn of each
// other with their reports. One team, the first, sends more than usual for a while.
type sharesReplay struct {
	hosts, servers, slots int
	meanRun               time.Duration
	deadline              time.Duration // of a call, which is in time if it ends before it
	usual                 []float64     // offered load of each team, in capacities
	burst                 float64       // factor of the first team's load
	urgency               []int         // by team; nil for 0
	shared                bool          // teams share the servers
}

const (
	sharesBurst  = 3 * time.Second // beginning
	sharesEnd    = 13 * time.Second
	sharesReport = 250 * time.Millisecond
	sharesDelay  = 50 * time.Millisecond
)

// teamResult counts the calls of a team that arrived in the burst.
type teamResult struct {
	calls, inTime, refused int
	retries                []time.Duration
}

type sharesResult struct {
	teams []teamResult
	// idle is the share of the slots' time in the second half of the burst in which a
	// slot was free although calls waited.
	idle float64
}

// share returns the share of a team's calls that were in time.
func (r teamResult) share() float64 { return float64(r.inTime) / float64(max(1, r.calls)) }

// worstTenth returns the mean share of the calls in time of the worst tenth of the
// teams, relative to that of all teams.
func (r sharesResult) worstTenth() float64 {
	var shares []float64
	for _, t := range r.teams {
		shares = append(shares, t.share())
	}
	slices.Sort(shares)
	mean := func(list []float64) float64 {
		sum := 0.0
		for _, x := range list {
			sum += x
		}
		return sum / float64(len(list))
	}
	return mean(shares[:max(1, len(shares)/10)]) / mean(shares)
}

type sharesRun struct {
	host, team int
	id         CallID
	level      int
	arrived    time.Duration
}

// sharesServer is a server with one queue, in order of arrival.
type sharesServer struct {
	running int
	queue   []*sharesRun
}

// take removes the run that goes next from the queue.
func (v *sharesServer) take() *sharesRun {
	best := 0
	for i, r := range v.queue {
		if r.level < v.queue[best].level {
			best = i
		}
	}
	r := v.queue[best]
	v.queue = slices.Delete(v.queue, best, best+1)
	return r
}

func (p sharesReplay) run(seed uint64) sharesResult {
	random := rand.New(rand.NewPCG(seed, 0))
	var timeline faults.Timeline
	result := sharesResult{teams: make([]teamResult, len(p.usual))}
	hosts, servers := make([]*Scheduler, p.hosts), make([]sharesServer, p.servers)
	completed, calls := make([]float64, p.hosts), map[CallID]*sharesRun{}
	counted := func(r *sharesRun) bool { return r.arrived >= sharesBurst && r.arrived < sharesEnd-p.deadline }
	var drive func(now time.Duration, host int)
	var start func(now time.Duration, n int)
	start = func(now time.Duration, n int) {
		v := &servers[n]
		for v.running < p.slots && len(v.queue) > 0 {
			r := v.take()
			finish := func(now time.Duration, o Outcome) {
				hosts[r.host].Finished(now, r.id, fmt.Sprint(n), Usage{}, o)
				drive(now, r.host)
			}
			if now >= r.arrived+p.deadline {
				finish(now, CallerCancelled)
				continue
			}
			v.running++
			timeline.At(now+time.Duration(float64(p.meanRun)*(0.5+random.Float64())), func(now time.Duration) {
				v.running--
				completed[r.host]++
				if counted(r) && now <= r.arrived+p.deadline {
					result.teams[r.team].inTime++
				}
				finish(now, Succeeded)
				start(now, n)
			})
		}
	}
	drive = func(now time.Duration, host int) {
		s := hosts[host]
		for a, ok := s.Next(now); ok; a, ok = s.Next(now) {
			var n int
			if _, err := fmt.Sscan(a.Server, &n); err != nil {
				panic(err)
			}
			r := calls[a.ID]
			r.level = a.Level
			servers[n].queue = append(servers[n].queue, r)
			start(now, n)
		}
		for _, x := range s.Refused(now) {
			if r := calls[x.ID]; counted(r) && x.RetryAfter > 0 {
				t := &result.teams[r.team]
				t.refused++
				t.retries = append(t.retries, x.RetryAfter)
			}
		}
	}
	type report struct {
		inFlight  map[string]int
		waiting   int
		levels    []int
		service   *Service
		completed float64
	}
	reports := make([]report, p.hosts)
	shares := Shares{Weights: map[string]float64{}, Urgencies: 1}
	for i, load := range p.usual {
		shares.Weights[fmt.Sprint("team-", i)] = load
		if p.urgency != nil {
			shares.Urgencies = max(shares.Urgencies, p.urgency[i]+1)
		}
	}
	for i := range hosts {
		s := New(rand.NewPCG(seed, uint64(i+1)), WithFloors(2, 3))
		s.SetHosts(0, p.hosts)
		if p.shared {
			s.SetShares(0, shares)
		}
		for n := range p.servers {
			s.SetServer(0, Server{ID: fmt.Sprint(n), Slots: p.slots, Models: []ServerModel{{Name: "m"}}})
		}
		hosts[i] = s
		var sync func(now time.Duration)
		sync = func(now time.Duration) {
			completed[i] *= 0.78 // forgotten within about a second
			reports[i] = report{s.InFlight(), s.Waiting()["m"], s.Levels()["m"], s.Service(now), completed[i]}
			others, q := map[string]int{}, ServiceQueue{Levels: make([]int, priorityLevels)}
			var service []*Service
			for j, r := range reports {
				q.Waiting += r.waiting
				q.PerSecond += r.completed
				for l, n := range r.levels {
					q.Levels[l] += n
				}
				if r.service != nil {
					service = append(service, r.service)
				}
				if j != i {
					for id, n := range r.inFlight {
						others[id] += n
					}
				}
			}
			timeline.At(now+sharesDelay, func(now time.Duration) {
				s.SetRemoteInFlight(now, others)
				s.SetQueues(now, map[string]ServiceQueue{"m": q})
				if p.shared {
					s.SetService(now, SumService(service))
				}
				drive(now, i)
			})
			timeline.At(now+sharesReport, sync)
		}
		timeline.At(time.Duration(random.Int64N(int64(sharesReport))), sync)
	}
	serial := 0
	capacity := float64(p.servers*p.slots) / p.meanRun.Seconds()
	for team, load := range p.usual {
		var arrive func(now time.Duration)
		arrive = func(now time.Duration) {
			serial++
			r := &sharesRun{host: random.IntN(p.hosts), team: team, id: CallID{Program: fmt.Sprint(serial)}, arrived: now}
			request := Request{ID: r.id, Model: "m", Deadline: now + p.deadline}
			if p.shared {
				request.Team = fmt.Sprint("team-", team)
				if p.urgency != nil {
					request.Urgency = p.urgency[team]
				}
			}
			calls[r.id] = r
			if counted(r) {
				result.teams[team].calls++
			}
			hosts[r.host].Enqueue(now, request)
			drive(now, r.host)
			rate := load * capacity
			if team == 0 && now >= sharesBurst {
				rate *= p.burst
			}
			timeline.At(now+time.Duration(random.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
		timeline.At(time.Duration(random.ExpFloat64()/(load*capacity)*float64(time.Second)), arrive)
	}
	samples, idle := 0, 0.0
	var sample func(now time.Duration)
	sample = func(now time.Duration) {
		queued, free := 0, 0
		for _, s := range hosts {
			queued += s.Waiting()["m"]
		}
		for i := range servers {
			queued += len(servers[i].queue)
			free += p.slots - servers[i].running
		}
		samples++
		idle += float64(min(queued, free)) / float64(p.servers*p.slots)
		timeline.At(now+10*time.Millisecond, sample)
	}
	timeline.At((sharesBurst+sharesEnd)/2, sample)
	timeline.Run(sharesEnd)
	result.idle = idle / float64(samples)
	return result
}

// usualLoads returns the loads of n teams, of which the first ones are large.
func usualLoads(n, large int, total float64) []float64 {
	out := make([]float64, n)
	sum := 0.0
	for i := range out {
		out[i] = 1
		if i < large {
			out[i] = 12
		}
		sum += out[i]
	}
	for i := range out {
		out[i] *= total / sum
	}
	return out
}

// rest returns the share in time of the calls of the teams from the n-th on.
func (r sharesResult) rest(n int) float64 {
	var sum teamResult
	for _, x := range r.teams[n:] {
		sum.calls, sum.inTime = sum.calls+x.calls, sum.inTime+x.inTime
	}
	return sum.share()
}

func testReplay(hosts int) sharesReplay {
	return sharesReplay{
		hosts: hosts, servers: 12, slots: 8, meanRun: 200 * time.Millisecond, deadline: 1500 * time.Millisecond,
		usual: usualLoads(83, 3, 0.8), burst: 5, shared: true,
	}
}

// Guards against a team that gets more than what the others leave by sending five
// times its usual load, against teams that starve, and against slots that are idle
// while calls wait, beyond those at the usual load, which are idle because hosts know
// of each other's calls late. The present order, by arrival, is the baseline.
func TestBurstOfATeamTakesWhatIsFree(t *testing.T) {
	for _, hosts := range []int{10, 60} {
		p := testReplay(hosts)
		after := p.run(1)
		p.shared = false
		before := p.run(1)
		p.burst = 1
		calm := p.run(1)
		for _, r := range []struct {
			name string
			sharesResult
		}{{"calm", calm}, {"arrival", before}, {"shares", after}} {
			t.Logf("%d hosts, %s: worst tenth %.3f of the mean, others %.3f in time, burst %.3f in time (%d refused of %d), idle %.4f",
				hosts, r.name, r.worstTenth(), r.rest(1), r.teams[0].share(), r.teams[0].refused, r.teams[0].calls, r.idle)
		}
		assert.Assert(t, after.worstTenth() >= 0.9, "%.3f", after.worstTenth())
		assert.Assert(t, after.rest(1) >= 0.99, "%.3f of the other teams' calls in time", after.rest(1))
		assert.Assert(t, after.idle <= calm.idle, "%.4f of the slots idle while calls wait, %.4f at the usual load", after.idle, calm.idle)
		assert.Assert(t, after.teams[0].share() >= 0.4, "%.3f of the burst in time", after.teams[0].share())
	}
}

// Guards against teams that starve if all of them send more than the servers can run,
// and against callers that are told to return while there is no room.
func TestNoTeamStarvesIfAllSendMore(t *testing.T) {
	p := testReplay(20)
	p.usual, p.burst = usualLoads(40, 0, 1.6), 1
	r := p.run(1)
	var retries []time.Duration
	for i, x := range r.teams {
		assert.Assert(t, x.share() >= 0.5*r.rest(0), "team %d: %.3f in time, all %.3f", i, x.share(), r.rest(0))
		retries = append(retries, x.retries...)
	}
	slices.Sort(retries)
	spread := retries[len(retries)*9/10] - retries[len(retries)/10]
	t.Logf("%.3f in time, worst tenth %.3f of the mean; %d refused, retries from %v to %v", r.rest(0), r.worstTenth(), len(retries), retries[0], retries[len(retries)-1])
	assert.Assert(t, spread > time.Second, "nine tenths of the callers return within %v", spread)
}

// Guards against work that waits behind less urgent work, and against urgent calls
// that are refused because of it.
func TestUrgentTeamsGoFirst(t *testing.T) {
	p := testReplay(20)
	p.usual, p.burst = usualLoads(20, 0, 1.6), 1
	for i := range p.usual {
		p.urgency = append(p.urgency, i/10) // the first half is more urgent
	}
	r := p.run(1)
	all, urgent := r.rest(0), 2*r.rest(0)-r.rest(10)
	t.Logf("%.3f in time: urgent %.3f, others %.3f", all, urgent, r.rest(10))
	assert.Assert(t, urgent >= 0.97)
	for i, x := range r.teams[:10] {
		assert.Assert(t, x.share() >= 0.95, "team %d: %+v", i, x.share())
	}
	assert.Assert(t, r.rest(10) > 0.05, "less urgent calls get nothing of what is free")
}

// Guards against an order of waiting calls that ignores urgency or the use of a team,
// or that changes without shares.
func TestOrderOfSharedQueue(t *testing.T) {
	for _, shared := range []bool{true, false} {
		s := New(rand.NewPCG(1, 1))
		s.SetServer(0, Server{ID: "s", Slots: 1, Models: []ServerModel{{Name: "m"}}})
		if shared {
			s.SetShares(0, Shares{Weights: map[string]float64{"a": 1, "b": 1, "c": 1}, Urgencies: 2})
		}
		enqueue := func(id, team string, urgency int) {
			if !shared {
				urgency = 0
			}
			objective := time.Second
			if id == "short objective" {
				objective = time.Second / 2
			}
			s.Enqueue(s.now, Request{ID: CallID{Program: id}, Model: "m", Team: team, Urgency: urgency, Objective: objective})
		}
		enqueue("running", "a", 0)
		a, ok := s.Next(0)
		assert.Assert(t, ok)
		if shared {
			s.SetService(0, &Service{Used: map[TeamKey]uint32{KeyOf("a"): 900_000, KeyOf("b"): 90_000}, Total: 1_000_000, Teams: 3})
		}
		enqueue("above its share", "a", 0)
		enqueue("less urgent", "b", 1)
		enqueue("first", "b", 0)
		enqueue("second", "c", 0)
		enqueue("short objective", "c", 0)
		want := []string{"short objective", "first", "second", "above its share", "less urgent"}
		levels := []int{0, 0, 0, 1, 5}
		if !shared {
			want, levels = []string{"above its share", "less urgent", "first", "second", "short objective"}, []int{0, 0, 0, 0, 0}
		}
		for i, id := range want {
			s.Finished(s.now, a.ID, "s", Usage{}, Succeeded)
			a, ok = s.Next(s.now)
			assert.Assert(t, ok)
			assert.Equal(t, a.ID.Program, id, "shared %t, call %d", shared, i)
			assert.Equal(t, a.Level, levels[i], "shared %t, call %d", shared, i)
		}
	}
}

// Guards against reports that grow with the number of teams, and against the service
// of a run that did not take place.
func TestServiceReport(t *testing.T) {
	s := New(rand.NewPCG(1, 1))
	weights := map[string]float64{}
	for i := range 600 {
		weights[fmt.Sprint("team-", i)] = 1
	}
	s.SetShares(0, Shares{Weights: weights, Urgencies: 1})
	s.SetServer(0, Server{ID: "s", Slots: 1000, Models: []ServerModel{{Name: "m"}}})
	outcomes := map[string]Outcome{"team-0": Rejected, "team-1": Succeeded}
	for i := range 600 {
		r := Request{ID: CallID{Program: fmt.Sprint(i)}, Model: "m", Team: fmt.Sprint("team-", i%60)}
		s.Enqueue(0, r)
		a, ok := s.Next(0)
		assert.Assert(t, ok)
		s.Finished(0, a.ID, "s", Usage{}, outcomes[r.Team])
	}
	v := s.Service(0)
	assert.Equal(t, v.Teams, 59)
	assert.Equal(t, len(v.Used), maxReportedTeams)
	assert.Equal(t, v.Used[KeyOf("team-0")], uint32(0))
	sum := SumService([]*Service{v, v, {Total: 5, Teams: 1, Used: map[TeamKey]uint32{KeyOf("other"): 5}}})
	assert.Equal(t, sum.Total, 2*v.Total+5)
	assert.Equal(t, len(sum.Used), maxReportedTeams+1)
	assert.Assert(t, s.Service(serviceTimeConstant).Total < v.Total*2/5)
}
