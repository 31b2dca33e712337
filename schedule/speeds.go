package schedule

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// timingWindow is the time over which a host averages what it has seen of a
	// server, and after which it no longer reports it.
	timingWindow = time.Second
	// speedMemory is the time constant in seconds with which the times of a server
	// are forgotten. A neighbour that slows a server 2.5 times for half a second
	// changes its speed by less than minSpeedDifference.
	speedMemory = 8.0
	// maxTiming bounds a reported time, in microseconds. Control hosts reject reports
	// with more.
	maxTiming = 1e9
	// speedPrior is the weight, in seconds of reports, of the assumption that a
	// server is as fast as the others.
	speedPrior = 0.5
	// maxReportWeight is the maximum weight of a report, in seconds.
	maxReportWeight = 0.25
	// minSpeedDifference is the smallest difference of the logarithm of a speed to
	// the mean that counts, about a fifth, and keepSpeedDifference that which a speed
	// keeps counting with.
	minSpeedDifference  = 0.2
	keepSpeedDifference = 0.12
	// minDeviations is the smallest difference that counts in standard deviations of
	// the mean of the reports.
	minDeviations = 2.5
	// maxTimeDifference bounds the difference of the logarithm of a reported time to
	// the mean of its service, so that a wrong report does not count for many.
	maxTimeDifference = 1.5
	// speedStep is the smallest change of the logarithm of a speed that is passed on.
	speedStep = 0.1
	// sampleAttempts is the number of times that another server is drawn instead of a
	// slow one.
	sampleAttempts = 4
	// speedInterval is the interval at which the speeds are computed.
	speedInterval = 1 * time.Second
)

// timing is the geometric mean of the times per unit of work on a server that this
// host has seen within timingWindow.
type timing struct {
	since, last time.Duration
	sumLog      float64
	n           int
}

func (t *timing) observe(now time.Duration, seconds float64) {
	if seconds <= 0 {
		return
	}
	if now-t.since > timingWindow {
		*t = timing{since: now}
	}
	t.last = now
	t.sumLog += math.Log(seconds)
	t.n++
}

// Timings returns the mean times per unit of work on the servers that this host has
// used within about a second, in microseconds: per token of a model, and per call
// of a service.
func (s *Scheduler) Timings(now time.Duration) map[string]int {
	s.advance(now)
	var out map[string]int
	for _, v := range s.serverOrder {
		if v.timing.n == 0 || now-v.timing.last > timingWindow {
			continue
		}
		if out == nil {
			out = map[string]int{}
		}
		out[v.ID] = int(min(maxTiming, max(1, 1e6*math.Exp(v.timing.sumLog/float64(v.timing.n)))))
	}
	return out
}

// Speeds estimates the speeds of backend servers, relative to the mean of their
// service, from the timings that all hosts report. With many hosts each sees a
// server rarely. It is not safe for concurrent use.
type Speeds struct {
	servers   map[string]*meanTime
	services  map[string]float64 // mean logarithms of the times
	listed    map[string]float64 // logarithms of the speeds that differ
	percent   map[string]int     // the same in percent
	updatedAt time.Duration
}

// meanTime is the mean of the logarithm of the reported times of a server. The
// weight is in seconds and decays.
type meanTime struct {
	service              string
	weight, sum, squares float64
	reports              float64
	at                   time.Duration
}

// NewSpeeds returns Speeds without reports.
func NewSpeeds() *Speeds { return &Speeds{servers: map[string]*meanTime{}} }

// Report records a timing of a server, in microseconds.
func (p *Speeds) Report(now time.Duration, service, server string, micros int) {
	m := p.servers[server]
	if m == nil || m.service != service {
		m = &meanTime{service: service, at: now - timingWindow}
		p.servers[server] = m
	}
	// Time without reports counts as one report: a mean of reports would give a
	// short slowdown of a busy server more weight than a long idle time.
	weight := min(maxReportWeight, (now - m.at).Seconds())
	m.decay(now)
	x := math.Log(float64(max(1, micros)))
	if mean, ok := p.services[service]; ok {
		x = min(mean+maxTimeDifference, max(mean-maxTimeDifference, x))
	}
	m.weight += weight
	m.sum += weight * x
	m.squares += weight * x * x
	m.reports++
}

func (m *meanTime) decay(now time.Duration) {
	k := math.Exp(-max(0, now-m.at).Seconds() / speedMemory)
	m.weight, m.sum, m.at = k*m.weight, k*m.sum, max(now, m.at)
	m.squares, m.reports = k*m.squares, k*m.reports
}

// Relative returns the speeds in percent of the mean of the service, of the servers
// that differ by a fifth or more. The map is not changed later.
func (p *Speeds) Relative(now time.Duration) map[string]int {
	if p.listed == nil || now-p.updatedAt >= speedInterval {
		p.update(now)
	}
	return p.percent
}

// weighted is a weighted mean.
type weighted struct{ weight, sum float64 }

func (w weighted) add(weight, x float64) weighted {
	return weighted{w.weight + weight, w.sum + weight*x}
}

func (w weighted) mean() float64 { return w.sum / w.weight }

// update computes the speeds from the reports.
func (p *Speeds) update(now time.Duration) {
	p.updatedAt = now
	means, deviations := map[string]weighted{}, map[string]weighted{}
	for _, id := range slices.Sorted(maps.Keys(p.servers)) {
		m := p.servers[id]
		m.decay(now)
		if m.weight < negligible {
			delete(p.servers, id)
			continue
		}
		// Each server counts once, however many runs it gets.
		mean := m.sum / m.weight
		means[m.service] = means[m.service].add(m.weight/(m.weight+speedPrior), mean)
		deviations[m.service] = deviations[m.service].add(m.weight, max(0, m.squares/m.weight-mean*mean))
	}
	p.services = map[string]float64{}
	for service, x := range means {
		p.services[service] = x.mean()
	}
	previous := p.listed
	p.listed, p.percent = map[string]float64{}, map[string]int{}
	for id, m := range p.servers {
		speed := (p.services[m.service] - m.sum/m.weight) * m.weight / (m.weight + speedPrior)
		before, wasListed := previous[id]
		if wasListed && math.Abs(speed-before) < speedStep {
			speed = before
		}
		// Calls of a service differ in work: few of them do not tell its servers apart.
		threshold := max(minSpeedDifference, minDeviations*math.Sqrt(deviations[m.service].mean()/m.reports))
		if wasListed {
			threshold = keepSpeedDifference
		}
		if math.Abs(speed) >= threshold {
			p.listed[id], p.percent[id] = speed, int(math.Round(100*math.Exp(speed)))
		}
	}
}

// SetSpeeds replaces the speeds of servers that differ from the mean of their
// service, in percent.
func (s *Scheduler) SetSpeeds(now time.Duration, percent map[string]int) {
	s.advance(now)
	s.sharedSpeeds, s.fastest = percent, 1
	for _, v := range s.serverOrder {
		s.fastest = max(s.fastest, sharedSpeed(percent, v.ID))
		if speed := sharedSpeed(percent, v.ID); speed != v.shared {
			v.shared = speed
			s.updateEligibility(v)
		}
	}
}

// sharedSpeed returns the speed of a server relative to its service, within bounds
// that a wrong report cannot leave.
func sharedSpeed(percent map[string]int, id string) float64 {
	n, ok := percent[id]
	if !ok {
		return 1
	}
	return min(4, max(0.1, float64(n)/100))
}

// relativeSpeed returns the speed of the server relative to the others of its
// service: what all hosts have learned, unless this host has seen that it is slower.
func (v *server) relativeSpeed() float64 {
	if v.shared == 1 {
		return v.speed.relative
	}
	if v.speed.slow {
		return min(v.shared, v.speed.relative)
	}
	return v.shared
}

// worth returns the number of slots of a server of the mean speed that would do the
// work of this one, or its slots if it is faster.
func (v *server) worth() int { return max(1, int(math.Round(float64(v.slots())*min(1, v.shared)))) }

// uneven reports whether servers of the pool differ in speed.
func (p *pool) uneven() bool {
	return slices.ContainsFunc(p.members, func(v *server) bool { return v.shared != 1 })
}

// sample returns a random server of a list that is not empty, with a probability
// about in proportion to its speed. Speeds in the comparison of the samples would
// send all calls of the time until the next load report to the fastest servers.
func (s *Scheduler) sample(list []*server) *server {
	v := list[s.random.IntN(len(list))]
	for range sampleAttempts {
		if s.accepts(v) {
			break
		}
		v = list[s.random.IntN(len(list))]
	}
	return v
}

// accepts reports whether to consider a server that was chosen at random, with a
// probability of its speed relative to that of a fast one.
func (s *Scheduler) accepts(v *server) bool {
	return len(s.sharedSpeeds) == 0 || s.random.Float64()*s.fastest < v.shared
}
