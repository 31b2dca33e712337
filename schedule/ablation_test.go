package schedule

import (
	"math"
	"testing"
)

// modifyRouter returns an Option that changes the default router.
func modifyRouter(f func(e *earliestFinish)) Option {
	return func(s *Scheduler) {
		e := s.router.(earliestFinish)
		f(&e)
		s.router = e
	}
}

// ablations disable one or two mechanisms each. The first one, the reference,
// disables none.
var ablations = []struct {
	name   string
	option Option
}{
	{"complete", func(*Scheduler) {}},
	{"without-attained-service", func(s *Scheduler) {
		o := s.ranking.(leastAttained)
		o.maxPenalty = 0
		s.ranking = o
	}},
	{"without-aging", func(s *Scheduler) {
		o := s.ranking.(leastAttained)
		o.maxPenalty = math.MaxInt64 / 4
		s.ranking = o
	}},
	{"without-class", func(s *Scheduler) {
		o := s.ranking.(leastAttained)
		o.classPenalty = 0
		s.ranking = o
	}},
	{"without-team-shares", func(s *Scheduler) { s.teamShares = false }},
	{"without-cached-prefix", modifyRouter(func(e *earliestFinish) { e.recomputeWeight, e.maxOvercommit = 0, 0 })},
	{"without-overcommitment", modifyRouter(func(e *earliestFinish) { e.maxOvercommit = 0 })},
	{"without-load", modifyRouter(func(e *earliestFinish) { e.loadWeight = 0 })},
	{"without-reports", func(s *Scheduler) { s.ignoreReports = true }},
	{"without-detection", func(s *Scheduler) { s.detectSlow, s.hedging = false, false }},
	{"without-hedging", func(s *Scheduler) { s.hedging = false }},
	{"without-admission", noAdmission},
	{"without-admission-and-team-shares", func(s *Scheduler) {
		noAdmission(s)
		s.teamShares = false
	}},
	{"without-bursts", func(s *Scheduler) {
		if a, ok := s.admitter.(activeSlots); ok {
			a.bursts = false
			s.admitter = a
		}
	}},
}

// BenchmarkAblation reports the measures of BenchmarkMeasures, except the last
// one, for each of the ablations.
func BenchmarkAblation(b *testing.B) {
	for _, a := range ablations {
		b.Run(a.name, func(b *testing.B) {
			for b.Loop() {
				for _, m := range measures[:len(measures)-1] {
					for j, v := range m.figures(a.option) {
						b.ReportMetric(quantile(v, 0.5), m.names[j])
					}
				}
			}
		})
	}
}
