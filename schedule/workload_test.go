package schedule

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// programSpec describes a program of a workload.
type programSpec struct {
	id          string
	team        string
	kind        string
	class       Class
	arrival     time.Duration
	deadline    time.Duration // after arrival
	steps       []callSpec
	idleLatency time.Duration // latency on idle servers
	work        time.Duration // engine time in full batches
}

// callSpec describes a call, followed by a pause for a tool or a user.
type callSpec struct {
	service  string // empty for a model call
	toolTime time.Duration
	prompt   int // new prompt tokens
	output   int
	pause    time.Duration
}

// lognormal returns a log-normal random value. Sigma is the standard deviation
// of its logarithm.
func lognormal(r *rand.Rand, median, sigma float64) float64 {
	return median * math.Exp(sigma*r.NormFloat64())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func uniform(r *rand.Rand, low, high int) int { return low + r.IntN(high-low+1) }

// chain returns a sequence of model calls with pauses.
func chain(r *rand.Rand, calls, prompt, output int, pause float64) []callSpec {
	steps := make([]callSpec, calls)
	for i := range steps {
		steps[i] = callSpec{
			prompt: int(lognormal(r, float64(prompt), 0.5)) + 1,
			output: min(2000, int(lognormal(r, float64(output), 0.6))+4),
			pause:  seconds(r.ExpFloat64() * pause),
		}
	}
	steps[calls-1].pause = 0
	return steps
}

// fit returns an agent program of several model calls with short pauses. A
// fourth of these programs end with a tool call that places an order. Three in a
// hundred are stragglers, with eight times as many model calls.
func fit(r *rand.Rand) programSpec {
	calls := uniform(r, 3, 10)
	if r.IntN(100) < 3 {
		calls *= 8
	}
	p := programSpec{team: "fit", kind: "fit", class: Standard, steps: chain(r, calls, 250, 100, 1.5)}
	p.steps[0].prompt += 800
	if r.IntN(4) == 0 {
		p.steps = append(p.steps, callSpec{service: "order", toolTime: seconds(0.2 + r.ExpFloat64()*0.3)})
	}
	return p
}

// chat returns an interactive chat with a user.
func chat(r *rand.Rand) programSpec {
	return programSpec{team: "chat", kind: "chat", class: Interactive, steps: chain(r, uniform(r, 3, 12), 120, 120, 6)}
}

// lookup returns a lookup at a kiosk: one short model call, followed in half of
// the programs by a tool call to the finder.
func lookup(r *rand.Rand) programSpec {
	p := programSpec{team: "kiosk", kind: "lookup", class: Interactive, steps: chain(r, 1, 200, 40, 0)}
	if r.IntN(2) == 0 {
		p.steps = append(p.steps, callSpec{service: "finder", toolTime: seconds(0.1 + r.ExpFloat64()*0.1)})
	}
	return p
}

// conversation returns a library conversation of up to 88 turns.
func conversation(r *rand.Rand) programSpec {
	turns := min(88, uniform(r, 8, 30))
	if r.IntN(20) == 0 {
		turns = 88
	}
	p := programSpec{team: "library", kind: "conversation", class: Standard, steps: chain(r, turns, 150, 150, 8)}
	p.steps[0].prompt += 1500
	return p
}

// computeCosts computes the fields of a program that derive from its steps.
func (p *programSpec) computeCosts(e engineCosts) {
	for _, c := range p.steps {
		if c.service != "" {
			p.idleLatency += c.toolTime
			continue
		}
		steps := max(1, (c.prompt+e.chunk-1)/e.chunk)
		p.idleLatency += time.Duration(steps-1)*e.base + time.Duration(c.prompt)*e.prefill +
			time.Duration(c.output)*(e.base+e.decode) + c.pause
		p.work += time.Duration(c.prompt)*e.prefill + time.Duration(c.output)*e.tokenWork()
	}
	if p.deadline == 0 {
		p.deadline = max(60*time.Second, 3*p.idleLatency)
	}
}

// source generates programs of one kind, which make up a share of the offered
// work.
type source struct {
	generate func(*rand.Rand) programSpec
	share    float64
}

// period is a part of a load profile with a constant load.
type period struct {
	length time.Duration
	level  float64 // offered work as a fraction of the capacity
}

// fluctuating returns a load profile whose level changes at random, with a
// given mean.
func fluctuating(r *rand.Rand, length time.Duration, mean float64) []period {
	var out []period
	var sum, total float64
	for total < length.Seconds() {
		t := min(5+r.ExpFloat64()*10, length.Seconds()-total+0.001)
		out = append(out, period{seconds(t), 0.5 + 0.8*r.Float64()})
		total += t
		sum += t * out[len(out)-1].level
	}
	for i := range out {
		out[i].level *= mean * total / sum
	}
	return out
}

// offer generates the programs of a load profile, until the work of each source
// matches its share of the profile, so that the offered load is exact.
func offer(r *rand.Rand, profile []period, servers int, e engineCosts, sources ...source) []programSpec {
	var profileWork float64
	for _, p := range profile {
		profileWork += p.length.Seconds() * p.level
	}
	var out []programSpec
	for _, s := range sources {
		budget := seconds(profileWork * float64(servers) * s.share)
		for budget > 0 {
			p := s.generate(r)
			p.computeCosts(e)
			budget -= p.work
			p.arrival = profileTime(profile, r.Float64()*profileWork)
			out = append(out, p)
		}
	}
	slices.SortStableFunc(out, func(a, b programSpec) int { return cmp.Compare(a.arrival, b.arrival) })
	for i := range out {
		out[i].id = fmt.Sprintf("%s-%d", out[i].kind, i)
	}
	return out
}

// profileTime returns the time at which the cumulative work of the profile
// reaches the given work.
func profileTime(profile []period, work float64) time.Duration {
	var at time.Duration
	for _, p := range profile {
		if a := p.length.Seconds() * p.level; work > a {
			work -= a
			at += p.length
			continue
		}
		return at + seconds(work/p.level)
	}
	return at
}

// fleet describes the servers of a scenario.
type fleet struct {
	languageServers int
	engine          engineCosts
	service         string
	serviceServers  int
}

var (
	tailorPaws   = fleet{languageServers: 20, engine: languageEngine, service: "order", serviceServers: 3}
	troisSillons = fleet{languageServers: 12, engine: languageEngine, service: "finder", serviceServers: 3}
)

func (f fleet) servers() []Server {
	var out []Server
	for i := range f.languageServers {
		out = append(out, Server{
			ID: fmt.Sprintf("language-%d", i), DataCentre: fmt.Sprint(i % 3), Slots: f.engine.slots,
			CacheTokens: int64(f.engine.cache), Models: []ServerModel{{Name: "m"}},
		})
	}
	for i := range f.serviceServers {
		out = append(out, Server{ID: fmt.Sprintf("%s-%d", f.service, i), Service: f.service, Slots: 64})
	}
	return out
}

// scenario is a workload, the fleet that runs it and the reporting to its entry
// hosts.
type scenario struct {
	fleet
	reporting
	programs   []programSpec
	slowFactor func(now time.Duration, id string) float64
	teams      map[string]TeamLimits
	// deadlines is true if each call has the deadline of its program.
	deadlines bool
}

// simulate runs a scenario with the given options on every entry host.
func simulate(sc scenario, seed uint64, opts ...Option) *result {
	s := &simulation{
		reporting: sc.reporting, random: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*fakeEngine{},
		slowFactor: sc.slowFactor, deadlines: sc.deadlines,
	}
	for i := range sc.hosts {
		s.hosts = append(s.hosts, &fakeHost{
			sim: s, s: New(rand.NewPCG(seed, uint64(100+i)), opts...), calls: map[CallID]*programCall{},
		})
	}
	for i, v := range sc.servers() {
		e := &fakeEngine{engineCosts: sc.engine, id: v.ID, service: v.Service, sim: s, cached: map[string]*fakeCacheEntry{}}
		e.slots = v.Slots
		s.engines[v.ID] = e
		s.engineOrder = append(s.engineOrder, e)
		for _, h := range s.hosts {
			h.s.SetServer(0, v)
		}
		s.after(time.Duration(i)*s.reportEvery/time.Duration(len(sc.servers())), func() { s.report(e) })
	}
	for _, h := range s.hosts {
		h.s.SetHosts(0, sc.hosts)
		for _, t := range slices.Sorted(maps.Keys(sc.teams)) {
			h.s.SetTeam(0, t, sc.teams[t])
		}
		h.sim.after(0, h.dispatchReady)
	}
	for _, p := range sc.programs {
		run := &programRun{programSpec: p, host: s.hosts[s.random.IntN(sc.hosts)]}
		s.programs = append(s.programs, run)
		s.openPrograms++
		s.after(p.arrival, func() { run.host.requestAdmission(run) })
	}
	s.run(func() bool { return s.openPrograms == 0 })
	return &s.result
}
