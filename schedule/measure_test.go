package schedule

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

// seeds are fixed, so that the measures are reproducible.
var seeds = []uint64{1, 2, 3, 4, 5}

func (p *programRun) latency() time.Duration { return p.ended - p.arrival }

func (p *programRun) finished() bool { return !p.refused && p.ended > 0 }

func (p *programRun) inTime() bool { return p.finished() && p.latency() <= p.deadline }

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}

func quantile(v []float64, q float64) float64 {
	s := slices.Sorted(slices.Values(v))
	return s[min(len(s)-1, int(q*float64(len(s))))]
}

// addedDelay returns the mean ratio of the latency of a program to its latency
// on idle servers, minus one.
func addedDelay(r *result) float64 {
	var v []float64
	for _, p := range r.programs {
		v = append(v, p.latency().Seconds()/p.idleLatency.Seconds()-1)
	}
	return mean(v)
}

// stragglerLatency returns the mean latency of the tenth of the programs with
// the longest latency on idle servers.
func stragglerLatency(r *result) float64 {
	l := slices.Clone(r.programs)
	slices.SortFunc(l, func(a, b *programRun) int { return cmp.Compare(b.idleLatency, a.idleLatency) })
	var v []float64
	for _, p := range l[:len(l)/10] {
		v = append(v, p.latency().Seconds())
	}
	return mean(v)
}

func latencies(r *result, kind string) []float64 {
	var v []float64
	for _, p := range r.programs {
		if kind == "" || p.kind == kind {
			v = append(v, p.latency().Seconds())
		}
	}
	return v
}

// latencyScenario offers a fluctuating load with a mean of 90% of the capacity
// to the Tailor Paws fleet.
func latencyScenario(seed uint64, length time.Duration) scenario {
	r := rand.New(rand.NewPCG(seed, 2))
	return scenario{
		fleet: tailorPaws, reporting: delayedReporting,
		programs: offer(r, fluctuating(r, length, 0.9), tailorPaws.languageServers, languageEngine,
			source{fit, 0.7}, source{chat, 0.3}),
	}
}

// bestBaselineCache caches the results of bestBaseline by seed: the baselines
// do not depend on the policies under test, and all callers pass the same
// scenario and measures for a seed.
var bestBaselineCache sync.Map

// bestBaseline returns the lowest value of each measure over the baselines.
func bestBaseline(sc scenario, seed uint64, measures ...func(*result) float64) []float64 {
	if v, ok := bestBaselineCache.Load(seed); ok {
		return v.([]float64)
	}
	out := make([]float64, len(measures))
	defer func() { bestBaselineCache.Store(seed, out) }()
	for i, b := range baselines {
		r := simulate(sc, seed, b.option)
		for j, m := range measures {
			if v := m(r); i == 0 || v < out[j] {
				out[j] = v
			}
		}
	}
	return out
}

// noAdmission disables the limit on programs, for measures that compare the
// latency of the same programs.
func noAdmission(s *Scheduler) {
	s.admitter = admitAll{}
}

func latencyRatios(seed uint64, opts ...Option) []float64 {
	sc := latencyScenario(seed, 10*time.Minute)
	b := bestBaseline(sc, seed, addedDelay, stragglerLatency)
	r := simulate(sc, seed, append([]Option{noAdmission}, opts...)...)
	return []float64{addedDelay(r) / b[0], stragglerLatency(r) / b[1]}
}

// forSeeds runs f for all seeds concurrently.
func forSeeds(f func(i int, seed uint64)) {
	var w sync.WaitGroup
	for i, seed := range seeds {
		w.Go(func() { f(i, seed) })
	}
	w.Wait()
}

// measure is a group of benchmark figures that are computed together.
type measure struct {
	names          []string
	higherIsBetter bool
	run            func(seed uint64, opts ...Option) []float64
}

var measures = []measure{
	{names: []string{"program-latency-ratio", "straggler-ratio"}, run: latencyRatios},
	{names: []string{"crest-goodput", "crest-work-goodput"}, higherIsBetter: true, run: func(seed uint64, opts ...Option) []float64 {
		return crest(seed, opts...)[:2]
	}},
	{names: []string{"crest-broken-programs"}, run: func(seed uint64, opts ...Option) []float64 {
		return crest(seed, opts...)[2:]
	}},
	{names: []string{"kiosk-p95-ratio"}, run: kioskRatio},
	{names: []string{"slowed-p99-ratio", "slowed-lookup-p99-ratio"}, run: slowedRatios},
	{names: []string{"wasted-cache-ratio"}, run: wastedCache},
	{names: []string{"fairness"}, run: fairness},
	{names: []string{"class-p95-delay"}, run: classDelay},
	{names: []string{"return-delay"}, run: returnDelay},
	{names: []string{"shared-cache-lru-ratio", "shared-cache-mru-ratio", "shared-cache-largest-ratio"}, run: sharedCacheRatios},
}

// figures runs a measure for all seeds. It returns the values of each name, in
// the order of the seeds.
func (m measure) figures(opts ...Option) [][]float64 {
	bySeed := make([][]float64, len(seeds))
	forSeeds(func(i int, seed uint64) { bySeed[i] = m.run(seed, opts...) })
	out := make([][]float64, len(m.names))
	for _, v := range bySeed {
		for j := range m.names {
			out[j] = append(out[j], v[j])
		}
	}
	return out
}

func (m measure) worst(v []float64) float64 {
	if m.higherIsBetter {
		return slices.Min(v)
	}
	return slices.Max(v)
}

// BenchmarkMeasures reports the median and the worst value of each measure.
func BenchmarkMeasures(b *testing.B) {
	for _, m := range measures {
		b.Run(m.names[0], func(b *testing.B) {
			for b.Loop() {
				for j, v := range m.figures() {
					b.ReportMetric(quantile(v, 0.5), m.names[j]+"-median")
					b.ReportMetric(m.worst(v), m.names[j]+"-worst")
				}
			}
		})
	}
}

// BenchmarkHosts compares ways to share the servers among entry hosts:
// independent hosts that rely on delayed load reports, and one owner that
// observes all runs and grants the slots in one round trip, which is an upper
// bound for one owner per server.
func BenchmarkHosts(b *testing.B) {
	independent := func(hosts int, every time.Duration) reporting {
		v := delayedReporting
		v.hosts, v.reportEvery, v.reportLag = hosts, every, every
		return v
	}
	owner := independent(1, time.Second)
	owner.grantLatency = 3 * time.Millisecond
	for _, c := range []struct {
		name      string
		reporting reporting
	}{
		{"alone/hosts=4/report=0.5s", independent(4, 500*time.Millisecond)},
		{"alone/hosts=16/report=0.5s", independent(16, 500*time.Millisecond)},
		{"alone/hosts=16/report=2s", independent(16, 2*time.Second)},
		{"alone/hosts=16/report=10s", independent(16, 10*time.Second)},
		{"owner", owner},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				m := measure{names: []string{"program-latency-ratio", "crest-goodput", "crest-broken-programs"}}
				m.run = func(seed uint64, _ ...Option) []float64 { return hostFigures(seed, c.reporting) }
				for j, v := range m.figures() {
					b.ReportMetric(quantile(v, 0.5), m.names[j]+"-median")
				}
			}
		})
	}
}

func hostFigures(seed uint64, v reporting) []float64 {
	sc := latencyScenario(seed, 10*time.Minute)
	bestDelay := bestBaseline(sc, seed, addedDelay, stragglerLatency)[0]
	sc.reporting = v
	delay := addedDelay(simulate(sc, seed, noAdmission))
	cs := crestScenario(seed)
	cs.reporting = v
	f := crestFigures(cs, seed)
	return []float64{delay / bestDelay, f[0], f[2]}
}
