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

// crestScenario raises the load of Tailor Paws from a quarter of the capacity
// to ten times that within two seconds.
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
		programs: offer(r, profile, tailorPaws.language, languageEngine, source{fit, 0.7}, source{chat, 0.3}),
	}
}

// crest returns the goodput in programs and in work, and the broken fraction of
// admitted programs. The most that the engines could finish is their time from the settling of the
// crest to its end, divided by the mean work of a program.
func crest(seed uint64, opts ...Option) []float64 {
	return crestFigures(crestScenario(seed), seed, opts...)
}

func crestFigures(sc scenario, seed uint64, opts ...Option) []float64 {
	r := simulate(sc, seed, opts...)
	var work time.Duration
	var finished, done, admitted, broken float64
	for _, p := range r.programs {
		work += p.work
		if p.inTime() && p.ended > crestStart+crestSettle && p.ended <= crestEnd {
			finished++
			done += p.work.Seconds()
		}
		if p.admitted {
			admitted++
			if !p.inTime() {
				broken++
			}
		}
	}
	capacity := (crestEnd - crestStart - crestSettle).Seconds() * float64(sc.language)
	most := capacity / (work.Seconds() / float64(len(r.programs)))
	return []float64{finished / most, done / capacity, broken / admitted}
}

// kioskRatio compares the lookups mixed with conversations with lookups alone,
// both at 90% load.
func kioskRatio(seed uint64, opts ...Option) []float64 {
	r := rand.New(rand.NewPCG(seed, 4))
	length := 5 * time.Minute
	p95 := func(sources ...source) float64 {
		sc := scenario{fleet: troisSillons, reporting: delayedReporting, programs: offer(
			r, []period{{length, 0.9}}, troisSillons.language, languageEngine, sources...)}
		return quantile(latencies(simulate(sc, seed, withoutAdmission(opts)...), "lookup"), 0.95)
	}
	return []float64{p95(source{lookup, 0.3}, source{conversation, 0.7}) / p95(source{lookup, 1})}
}

// slowPairs slows two of twelve servers by five for 20 s, in turn.
func slowPairs(now time.Duration, id string) float64 {
	pair := int(now/(20*time.Second)) % 6
	if id == names[2*pair] || id == names[2*pair+1] {
		return 5
	}
	return 1
}

var names = strings.Fields("language-0 language-1 language-2 language-3 language-4 language-5 " +
	"language-6 language-7 language-8 language-9 language-10 language-11")

// slowedRatios compares the 99th percentile of all programs, and of lookups,
// with and without slowed servers at 70% load.
func slowedRatios(seed uint64, opts ...Option) []float64 {
	r := rand.New(rand.NewPCG(seed, 5))
	sc := scenario{fleet: troisSillons, reporting: delayedReporting, programs: offer(
		r, []period{{5 * time.Minute, 0.7}}, troisSillons.language, languageEngine,
		source{lookup, 0.5}, source{conversation, 0.5})}
	normal := simulate(sc, seed, withoutAdmission(opts)...)
	sc.slow = slowPairs
	slowed := simulate(sc, seed, withoutAdmission(opts)...)
	p99 := func(kind string) float64 {
		return quantile(latencies(slowed, kind), 0.99) / quantile(latencies(normal, kind), 0.99)
	}
	return []float64{p99(""), p99("lookup")}
}

// cacheScenario gives the engines cache for half of the open programs. A first
// run with large caches tells how much the open programs need.
func cacheScenario(seed uint64) scenario {
	r := rand.New(rand.NewPCG(seed, 6))
	sc := scenario{fleet: troisSillons, reporting: delayedReporting, programs: offer(
		r, []period{{5 * time.Minute, 0.6}}, troisSillons.language, languageEngine, source{conversation, 1})}
	free := simulate(sc, seed, withoutAdmission(nil)...)
	sc.engine.cache = int(meanOpenTokens(free) / 2 / float64(sc.language))
	return sc
}

// meanOpenTokens is the mean total history of the programs in progress.
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

// wastedCache divides the prefix tokens recomputed by those of a single cache
// of the same total size with clairvoyant eviction on the same accesses.
func wastedCache(seed uint64, opts ...Option) []float64 {
	sc := cacheScenario(seed)
	r := simulate(sc, seed, withoutAdmission(opts)...)
	return []float64{float64(r.recompute) / float64(sharedCache(r.accesses, sc.engine.cache*sc.language, clairvoyant))}
}

// sharedCacheRatios compares eviction rules without knowledge of the future
// with the clairvoyant one, in a single cache of the same total size.
func sharedCacheRatios(seed uint64, opts ...Option) []float64 {
	sc := cacheScenario(seed)
	r := simulate(sc, seed, withoutAdmission(opts)...)
	size := sc.engine.cache * sc.language
	least := float64(sharedCache(r.accesses, size, clairvoyant))
	var out []float64
	for _, rule := range []eviction{
		func(a, b cachedProgram) bool { return a.last < b.last },
		func(a, b cachedProgram) bool { return a.last > b.last },
		func(a, b cachedProgram) bool { return a.tokens > b.tokens || (a.tokens == b.tokens && a.last < b.last) },
	} {
		out = append(out, float64(sharedCache(r.accesses, size, rule))/least)
	}
	return out
}

// eviction reports whether a is to be evicted before b.
type eviction func(a, b cachedProgram) bool

type cachedProgram struct {
	program    string
	tokens     int
	last, next int // positions of the last and the next access
}

// clairvoyant evicts the program that is used again last.
func clairvoyant(a, b cachedProgram) bool { return a.next > b.next }

// sharedCache returns the prefix tokens recomputed by one cache for all
// programs, which are dropped at their end.
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
		h := cached[a.program]
		missed += int64(a.prefix - min(h.tokens, a.prefix))
		used -= h.tokens
		delete(cached, a.program)
		if next[i] == 0 {
			continue
		}
		cached[a.program] = cachedProgram{a.program, a.length, i, next[i]}
		used += a.length
		for used > limit {
			var victim cachedProgram
			for _, h := range cached {
				if victim.program == "" || before(h, victim) {
					victim = h
				}
			}
			lost := min(victim.tokens, used-limit)
			victim.tokens -= lost
			used -= lost
			if cached[victim.program] = victim; victim.tokens == 0 {
				delete(cached, victim.program)
			}
		}
	}
	return missed
}

// fairnessScenario has teams a and b at 90% of their shares, and c, of twice
// their weight, at its share times overload.
func fairnessScenario(seed uint64, overload float64) scenario {
	r := rand.New(rand.NewPCG(seed, 7))
	of := func(team string) func(*rand.Rand) programSpec {
		return func(r *rand.Rand) programSpec {
			p := fit(r)
			p.team, p.kind = team, team
			return p
		}
	}
	sc := scenario{fleet: tailorPaws, reporting: delayedReporting, teams: map[string]TeamLimits{
		"a": {Weight: 1}, "b": {Weight: 1}, "c": {Weight: 2},
	}}
	for _, s := range []source{{of("a"), 0.25 * 0.9}, {of("b"), 0.25 * 0.9}, {of("c"), 0.5 * overload}} {
		if s.share > 0 {
			sc.programs = append(sc.programs, offer(
				r, []period{{4 * time.Minute, 1}}, tailorPaws.language, languageEngine, s)...)
		}
	}
	slices.SortStableFunc(sc.programs, func(a, b programSpec) int { return cmp.Compare(a.arrival, b.arrival) })
	return sc
}

// fairness is the largest fraction of the work that a team within its share
// gets done in time without the overload, and loses with it.
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

// withoutAdmission runs without a limit on programs, where a measure compares
// the latency of the same programs.
func withoutAdmission(opts []Option) []Option {
	return append([]Option{noAdmission}, opts...)
}

// classDelay is the 95th percentile of the added delay of interactive chats
// that share the servers with more batch programs of the same team than fit.
func classDelay(seed uint64, opts ...Option) []float64 {
	r := rand.New(rand.NewPCG(seed, 8))
	batch := func(r *rand.Rand) programSpec {
		p := fit(r)
		p.team, p.class = "chat", Batch
		return p
	}
	sc := scenario{fleet: tailorPaws, reporting: delayedReporting, programs: offer(
		r, []period{{3 * time.Minute, 1.2}}, tailorPaws.language, languageEngine, source{chat, 0.3}, source{batch, 0.7})}
	return []float64{quantile(delays(simulate(sc, seed, withoutAdmission(opts)...), "chat"), 0.95)}
}

// returnDelay is the mean added delay of the programs of a team that returns
// to half of the capacity, which another team of the same weight has borrowed.
func returnDelay(seed uint64, opts ...Option) []float64 {
	r := rand.New(rand.NewPCG(seed, 9))
	sc := scenario{fleet: tailorPaws, reporting: delayedReporting, teams: map[string]TeamLimits{"fit": {Weight: 1}, "chat": {Weight: 1}}}
	sc.programs = offer(r, []period{{3 * time.Minute, 1.5}}, tailorPaws.language, languageEngine, source{fit, 1})
	for _, p := range offer(r, []period{{20 * time.Second, 0.5}}, tailorPaws.language, languageEngine, source{chat, 1}) {
		p.arrival += 2 * time.Minute
		sc.programs = append(sc.programs, p)
	}
	return []float64{mean(delays(simulate(sc, seed, opts...), "chat"))}
}

func delays(r *result, kind string) []float64 {
	var v []float64
	for _, p := range r.programs {
		if p.kind == kind && p.finished() {
			v = append(v, p.latency().Seconds()/p.idle.Seconds()-1)
		}
	}
	return v
}
