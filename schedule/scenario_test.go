package schedule

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	crestStart  = 60 * time.Second
	crestSettle = 30 * time.Second
	crestEnd    = 900 * time.Second
)

// crestScenario raises the load of the Tailor Paws fleet within two seconds
// from a quarter of the capacity to ten times that.
func crestScenario(seed uint64) scenario {
	r := rand.New(rand.NewPCG(seed, 3))
	profile := []period{
		{crestStart, 0.25},
		{time.Second, 1},
		{time.Second, 1.75},
		{crestEnd - crestStart - 2*time.Second, 2.5},
	}
	return scenario{
		fleet: tailorPaws, reporting: delayedReporting, deadlines: true,
		programs: offer(r, profile, tailorPaws.languageServers, languageEngine, source{fit, 0.7}, source{chat, 0.3}),
	}
}

// crest returns the goodput in programs and in work, each as a fraction of the
// maximum, and the fraction of the admitted programs that did not finish in
// time. The maximum work is the engine time from crestSettle after the start of
// the peak load to its end; the maximum number of programs is that time divided
// by their mean work.
func crest(seed uint64, opts ...Option) []float64 {
	return crestFigures(crestScenario(seed), seed, opts...)
}

func crestFigures(sc scenario, seed uint64, opts ...Option) []float64 {
	r := simulate(sc, seed, opts...)
	var work time.Duration
	var finished, finishedWork, admitted, broken float64
	for _, p := range r.programs {
		work += p.work
		if p.inTime() && p.ended > crestStart+crestSettle && p.ended <= crestEnd {
			finished++
			finishedWork += p.work.Seconds()
		}
		if p.admitted {
			admitted++
			if !p.inTime() {
				broken++
			}
		}
	}
	capacity := (crestEnd - crestStart - crestSettle).Seconds() * float64(sc.languageServers)
	maxPrograms := capacity / (work.Seconds() / float64(len(r.programs)))
	return []float64{finished / maxPrograms, finishedWork / capacity, broken / admitted}
}

// kioskRatio returns the ratio of the 95th percentile latency of lookups that
// are mixed with conversations to that of lookups alone, both at 90% load.
func kioskRatio(seed uint64, opts ...Option) []float64 {
	r := rand.New(rand.NewPCG(seed, 4))
	length := 5 * time.Minute
	p95 := func(sources ...source) float64 {
		sc := scenario{fleet: troisSillons, reporting: delayedReporting, programs: offer(
			r, []period{{length, 0.9}}, troisSillons.languageServers, languageEngine, sources...)}
		return quantile(latencies(simulate(sc, seed, withoutAdmission(opts)...), "lookup"), 0.95)
	}
	return []float64{p95(source{lookup, 0.3}, source{conversation, 0.7}) / p95(source{lookup, 1})}
}

// slowPairs slows one pair of the twelve servers by a factor of five at a time,
// each pair for 20 s.
func slowPairs(now time.Duration, id string) float64 {
	pair := int(now/(20*time.Second)) % 6
	if id == languageServerNames[2*pair] || id == languageServerNames[2*pair+1] {
		return 5
	}
	return 1
}

var languageServerNames = strings.Fields("language-0 language-1 language-2 language-3 language-4 language-5 " +
	"language-6 language-7 language-8 language-9 language-10 language-11")

// slowedRatios returns the ratios of the 99th percentile latencies with slowed
// servers to those without, of all programs and of lookups, at 70% load.
func slowedRatios(seed uint64, opts ...Option) []float64 {
	r := rand.New(rand.NewPCG(seed, 5))
	sc := scenario{fleet: troisSillons, reporting: delayedReporting, programs: offer(
		r, []period{{5 * time.Minute, 0.7}}, troisSillons.languageServers, languageEngine,
		source{lookup, 0.5}, source{conversation, 0.5})}
	normal := simulate(sc, seed, withoutAdmission(opts)...)
	sc.slowFactor = slowPairs
	slowed := simulate(sc, seed, withoutAdmission(opts)...)
	p99 := func(kind string) float64 {
		return quantile(latencies(slowed, kind), 0.99) / quantile(latencies(normal, kind), 0.99)
	}
	return []float64{p99(""), p99("lookup")}
}

// cacheScenario sizes the caches of the engines for half of the programs in
// progress. A first run with large caches measures how much these need.
func cacheScenario(seed uint64) scenario {
	r := rand.New(rand.NewPCG(seed, 6))
	sc := scenario{fleet: troisSillons, reporting: delayedReporting, programs: offer(
		r, []period{{5 * time.Minute, 0.6}}, troisSillons.languageServers, languageEngine, source{conversation, 1})}
	largeCaches := simulate(sc, seed, withoutAdmission(nil)...)
	sc.engine.cache = int(meanOpenTokens(largeCaches) / 2 / float64(sc.languageServers))
	return sc
}

// meanOpenTokens returns the mean over time of the total history of the
// programs in progress.
func meanOpenTokens(r *result) float64 {
	open, sum, n := map[string]int{}, 0.0, 0
	last := map[string]int{}
	for i, a := range r.accesses {
		last[a.program] = i
	}
	total := 0
	for i, a := range r.accesses {
		total += a.length - open[a.program]
		open[a.program] = a.length
		if last[a.program] == i {
			total -= a.length
			delete(open, a.program)
		}
		// The start and the end of the run are not representative.
		if i > len(r.accesses)/4 && i < 3*len(r.accesses)/4 {
			sum += float64(total)
			n++
		}
	}
	return sum / float64(n)
}

// wastedCache returns the ratio of the recomputed prefix tokens to those of a
// single cache of the same total size with clairvoyant eviction, on the same
// accesses.
func wastedCache(seed uint64, opts ...Option) []float64 {
	sc := cacheScenario(seed)
	r := simulate(sc, seed, withoutAdmission(opts)...)
	return []float64{float64(r.recomputedTokens) / float64(sharedCache(r.accesses, sc.engine.cache*sc.languageServers, clairvoyant))}
}

// sharedCacheRatios compares online eviction rules with the clairvoyant one, in
// a single cache of the same total size. The rules are LRU, MRU and largest
// first.
func sharedCacheRatios(seed uint64, opts ...Option) []float64 {
	sc := cacheScenario(seed)
	r := simulate(sc, seed, withoutAdmission(opts)...)
	size := sc.engine.cache * sc.languageServers
	clairvoyantTokens := float64(sharedCache(r.accesses, size, clairvoyant))
	var out []float64
	for _, rule := range []eviction{
		func(a, b cachedProgram) bool { return a.last < b.last },
		func(a, b cachedProgram) bool { return a.last > b.last },
		func(a, b cachedProgram) bool { return a.tokens > b.tokens || (a.tokens == b.tokens && a.last < b.last) },
	} {
		out = append(out, float64(sharedCache(r.accesses, size, rule))/clairvoyantTokens)
	}
	return out
}

// eviction reports whether a is evicted before b.
type eviction func(a, b cachedProgram) bool

type cachedProgram struct {
	program    string
	tokens     int
	last, next int // indexes of the last and the next access
}

// clairvoyant is Bélády's rule: it evicts the program whose next use is farthest
// in the future.
func clairvoyant(a, b cachedProgram) bool { return a.next > b.next }

// sharedCache returns the recomputed prefix tokens with one cache for all
// programs. Programs are removed from it when they end.
func sharedCache(accesses []access, limit int, before eviction) int64 {
	next := make([]int, len(accesses))
	seen := map[string]int{}
	for i := len(accesses) - 1; i >= 0; i-- {
		next[i] = seen[accesses[i].program] // 0 after the last access
		seen[accesses[i].program] = i
	}
	cached := map[string]cachedProgram{}
	used, missed := 0, int64(0)
	for i, a := range accesses {
		entry := cached[a.program]
		missed += int64(a.prefix - min(entry.tokens, a.prefix))
		used -= entry.tokens
		delete(cached, a.program)
		if next[i] == 0 {
			continue
		}
		cached[a.program] = cachedProgram{a.program, a.length, i, next[i]}
		used += a.length
		for used > limit {
			var victim cachedProgram
			for _, entry := range cached {
				if victim.program == "" || before(entry, victim) {
					victim = entry
				}
			}
			evicted := min(victim.tokens, used-limit)
			victim.tokens -= evicted
			used -= evicted
			if cached[victim.program] = victim; victim.tokens == 0 {
				delete(cached, victim.program)
			}
		}
	}
	return missed
}

// fairnessScenario loads teams a and b with 90% of their shares, and team c, of
// twice their weight, with its share times overload.
func fairnessScenario(seed uint64, overload float64) scenario {
	r := rand.New(rand.NewPCG(seed, 7))
	programsOf := func(team string) func(*rand.Rand) programSpec {
		return func(r *rand.Rand) programSpec {
			p := fit(r)
			p.team, p.kind = team, team
			return p
		}
	}
	sc := scenario{fleet: tailorPaws, reporting: delayedReporting, teams: map[string]TeamLimits{
		"a": {Weight: 1}, "b": {Weight: 1}, "c": {Weight: 2},
	}}
	for _, s := range []source{{programsOf("a"), 0.25 * 0.9}, {programsOf("b"), 0.25 * 0.9}, {programsOf("c"), 0.5 * overload}} {
		if s.share > 0 {
			sc.programs = append(sc.programs, offer(
				r, []period{{4 * time.Minute, 1}}, tailorPaws.languageServers, languageEngine, s)...)
		}
	}
	slices.SortStableFunc(sc.programs, func(a, b programSpec) int { return cmp.Compare(a.arrival, b.arrival) })
	return sc
}

// fairness returns the greater relative loss of teams a and b, which stay within
// their shares: the fraction of the work finished in time without team c that is
// not finished in time while team c overloads the servers.
func fairness(seed uint64, opts ...Option) []float64 {
	work := func(r *result) map[string]float64 {
		out := map[string]float64{}
		for _, p := range r.programs {
			if p.inTime() {
				out[p.team] += p.work.Seconds()
			}
		}
		return out
	}
	alone := work(simulate(fairnessScenario(seed, 0), seed, opts...))
	shared := work(simulate(fairnessScenario(seed, 5), seed, opts...))
	return []float64{max(0, 1-shared["a"]/alone["a"], 1-shared["b"]/alone["b"])}
}

// withoutAdmission adds noAdmission to opts.
func withoutAdmission(opts []Option) []Option {
	return append([]Option{noAdmission}, opts...)
}

// classDelay returns the 95th percentile of the added delay of interactive
// chats that compete with an overload of batch programs of the same team.
func classDelay(seed uint64, opts ...Option) []float64 {
	r := rand.New(rand.NewPCG(seed, 8))
	batch := func(r *rand.Rand) programSpec {
		p := fit(r)
		p.team, p.class = "chat", Batch
		return p
	}
	sc := scenario{fleet: tailorPaws, reporting: delayedReporting, programs: offer(
		r, []period{{3 * time.Minute, 1.2}}, tailorPaws.languageServers, languageEngine, source{chat, 0.3}, source{batch, 0.7})}
	return []float64{quantile(delays(simulate(sc, seed, withoutAdmission(opts)...), "chat"), 0.95)}
}

// returnDelay returns the mean added delay of the programs of a team that,
// after an idle time, needs its half of the capacity, which another team of the
// same weight has borrowed.
func returnDelay(seed uint64, opts ...Option) []float64 {
	r := rand.New(rand.NewPCG(seed, 9))
	sc := scenario{fleet: tailorPaws, reporting: delayedReporting, teams: map[string]TeamLimits{"fit": {Weight: 1}, "chat": {Weight: 1}}}
	sc.programs = offer(r, []period{{3 * time.Minute, 1.5}}, tailorPaws.languageServers, languageEngine, source{fit, 1})
	for _, p := range offer(r, []period{{20 * time.Second, 0.5}}, tailorPaws.languageServers, languageEngine, source{chat, 1}) {
		p.arrival += 2 * time.Minute
		sc.programs = append(sc.programs, p)
	}
	return []float64{mean(delays(simulate(sc, seed, opts...), "chat"))}
}

func delays(r *result, kind string) []float64 {
	var v []float64
	for _, p := range r.programs {
		if p.kind == kind && p.finished() {
			v = append(v, p.latency().Seconds()/p.idleLatency.Seconds()-1)
		}
	}
	return v
}
