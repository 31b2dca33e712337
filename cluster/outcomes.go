package cluster

import (
	"math"
	"time"

	"github.com/sycamoreline/sycamoreline/cborwire"
	"github.com/sycamoreline/sycamoreline/schedule"
)

const (
	// outcomeHalfLife is the time in which the weight of an outcome halves. It is
	// about as long as the outcome takes to reach all entry hosts.
	outcomeHalfLife = 700 * time.Millisecond
	// minOutcomeWeight is the weight below which outcomes are forgotten, some 5 s
	// after the last one. With many hosts each sees one failure of a server: if hosts
	// forgot it while the sum of all still counts, the doubt about a bad server would
	// end for all of them at once, and earlier than with few hosts.
	minOutcomeWeight = 0.01
	// pressingFailures is the weight of the failures of a server from which another
	// one may put it in doubt, and settledFailures that from which more of them change
	// nothing. It is twice the weight that does, since entry hosts ignore the failures
	// that hosts of a single other data centre have seen.
	pressingFailures = 2
	settledFailures  = 6
	// evidencePerAggregate is how often evidence may be computed for one aggregated
	// load, which bounds the cost if many servers go on failing a few requests.
	evidencePerAggregate = 32
	// outcomesPerSecond is the rate of outcomes whose weights add up to 1.
	outcomesPerSecond = math.Ln2 / (float64(outcomeHalfLife) / float64(time.Second))
)

// weightAfter returns the weight of an outcome of the given age.
func weightAfter(age time.Duration) float64 {
	return math.Exp2(-max(0, age).Seconds() / outcomeHalfLife.Seconds())
}

// outcomeCount is the sum of the weights of outcomes.
type outcomeCount struct {
	sum       float64
	updatedAt time.Duration
}

func (c *outcomeCount) add(now time.Duration) { c.sum, c.updatedAt = c.at(now)+1, now }

func (c *outcomeCount) at(now time.Duration) float64 { return c.sum * weightAfter(now-c.updatedAt) }

// ServerOutcomes are the recent outcomes of the requests of one entry host to an
// incarnation of a backend server, weighted by their age.
type ServerOutcomes struct {
	Server    string  `json:"server"`
	StartedAt int64   `json:"born"` // incarnation of the server
	Failed    float64 `json:"failed,omitempty"`
	Succeeded float64 `json:"succeeded,omitempty"`
}

// ServerEvidence is the sum of the outcomes that the entry hosts of one data
// centre have reported for an incarnation of a backend server, if any of them
// failed.
type ServerEvidence struct {
	ServerOutcomes
	DataCentre string `json:"data-centre"` // of the entry hosts
	Hosts      int    `json:"hosts"`       // that have seen failures
	// Expected is the weight of the successes that the server would have if those
	// of its service were spread evenly. Hosts report successes on a server only
	// once they know that requests to it have failed.
	Expected float64 `json:"expected,omitempty"`
}

// SumEvidence returns the evidence about each server by scope, for a host of the
// given data centre. The outcomes of the host itself are left out.
func SumEvidence(list []ServerEvidence, dataCentre string) map[ServerIncarnation]*schedule.Evidence {
	out := map[ServerIncarnation]*schedule.Evidence{}
	for _, x := range list {
		k := ServerIncarnation{x.Server, x.StartedAt}
		e := out[k]
		if e == nil {
			e = &schedule.Evidence{}
			out[k] = e
		}
		o := schedule.Outcomes{Failed: x.Failed, Succeeded: x.Succeeded, Expected: x.Expected, Hosts: x.Hosts}
		if x.DataCentre == dataCentre {
			e.DataCentre = o
		}
		e.All.Failed += o.Failed
		e.All.Succeeded += o.Succeeded
		e.All.Expected += o.Expected
		e.All.Hosts += o.Hosts
		if o.Hosts > 0 {
			e.DataCentres++
		}
	}
	return out
}

// ServerIncarnation identifies a process of a backend server.
type ServerIncarnation struct {
	Server    string
	StartedAt int64
}

// Outcomes holds the recent outcomes of the requests of an entry host. It is not
// safe for concurrent use.
type Outcomes struct {
	servers  map[string]*serverOutcomes
	services map[string]*outcomeCount // successes by service
}

type serverOutcomes struct {
	startedAt         int64
	failed, succeeded outcomeCount
}

// NewOutcomes returns an empty set of outcomes.
func NewOutcomes() *Outcomes {
	return &Outcomes{servers: map[string]*serverOutcomes{}, services: map[string]*outcomeCount{}}
}

// Failed records a request that a server has not answered as it should.
func (o *Outcomes) Failed(now time.Duration, server string, startedAt int64) {
	if s := o.server(server, startedAt); s != nil {
		s.failed.add(now)
	}
}

// Withdraw removes a failure that was recorded at an earlier time, of a server that
// has answered after all.
func (o *Outcomes) Withdraw(now, recordedAt time.Duration, server string, startedAt int64) {
	if s := o.servers[server]; s != nil && s.startedAt == startedAt {
		s.failed.sum = max(0, s.failed.at(now)-weightAfter(now-recordedAt))
		s.failed.updatedAt = now
	}
}

// Succeeded records a request that a server has answered.
func (o *Outcomes) Succeeded(now time.Duration, service, server string, startedAt int64) {
	if s := o.server(server, startedAt); s != nil {
		s.succeeded.add(now)
	}
	c := o.services[service]
	if c == nil {
		c = &outcomeCount{}
		o.services[service] = c
	}
	c.add(now)
}

// server returns the outcomes of an incarnation, or nil if a later one is known.
func (o *Outcomes) server(id string, startedAt int64) *serverOutcomes {
	s := o.servers[id]
	if s == nil || s.startedAt < startedAt {
		s = &serverOutcomes{startedAt: startedAt}
		o.servers[id] = s
	}
	if s.startedAt > startedAt {
		return nil
	}
	return s
}

// Get returns the outcomes of an incarnation of a server.
func (o *Outcomes) Get(now time.Duration, server string, startedAt int64) ServerOutcomes {
	out := ServerOutcomes{Server: server, StartedAt: startedAt}
	if s := o.servers[server]; s != nil && s.startedAt == startedAt {
		out.Failed, out.Succeeded = s.failed.at(now), s.succeeded.at(now)
	}
	return out
}

// Report returns the outcomes of the servers that have failed requests of this
// host or are accused by others, and the successes by service.
func (o *Outcomes) Report(now time.Duration, accused func(server string) bool) (servers []ServerOutcomes, services map[string]float64) {
	for id, s := range o.servers {
		out := ServerOutcomes{Server: id, StartedAt: s.startedAt, Failed: s.failed.at(now), Succeeded: s.succeeded.at(now)}
		if out.Failed < minOutcomeWeight && out.Succeeded < minOutcomeWeight {
			delete(o.servers, id)
			continue
		}
		if out.Failed >= minOutcomeWeight || accused(id) {
			servers = append(servers, out)
		}
	}
	for name, c := range o.services {
		n := c.at(now)
		if n < minOutcomeWeight {
			delete(o.services, name)
			continue
		}
		if services == nil {
			services = map[string]float64{}
		}
		services[name] = n
	}
	return servers, services
}

// serviceDirectory knows the services of the backend servers.
type serviceDirectory interface {
	// Service returns the service of a server, which is empty if it is unknown.
	Service(server string) string
	// ReadyServers returns the number of ready servers by service.
	ReadyServers() map[string]int
}

// noteFailures marks the evidence of the aggregated load as stale if the failures
// that a report adds may put a server in doubt. With many hosts the aggregated load
// is computed rarely, and all of them would lose requests to the server meanwhile.
// Failures that are spread over many servers mark nothing.
func (l *loads) noteFailures(now time.Duration, r *syncRequest) {
	if l.aggregate == nil {
		return
	}
	previous := l.hosts[r.Host]
	for _, o := range r.Outcomes {
		added := o.Failed
		for _, x := range previous.outcomes {
			if x.Server == o.Server && x.StartedAt == o.StartedAt {
				added -= weightAfter(now-previous.reportedAt) * x.Failed
			}
		}
		if added < minOutcomeWeight {
			continue
		}
		before := l.aggregate.failed[o.Server]
		l.aggregate.failed[o.Server] = before + added
		if before < settledFailures && before+added >= pressingFailures {
			l.evidenceStale = true
		}
	}
}

// refreshEvidence computes the evidence of the aggregated load.
func (l *loads) refreshEvidence(now time.Duration, directory serviceDirectory) {
	a := l.aggregate
	a.evidence, a.evidenceAt, a.failed = nil, now, map[string]float64{}
	l.evidenceStale = false
	list := l.evidence(now, directory)
	if len(list) == 0 {
		return
	}
	for _, e := range list {
		a.failed[e.Server] += e.Failed
	}
	a.evidence = cborwire.MustMarshal(list)
}

// evidence sums the reports of entry hosts by server and data centre.
func (l *loads) evidence(now time.Duration, directory serviceDirectory) []ServerEvidence {
	type key struct{ server, dataCentre string }
	sums := map[key]*ServerEvidence{}
	for _, r := range l.hosts {
		age := now - r.reportedAt
		if age > loadMaxAge {
			continue
		}
		for _, o := range r.outcomes {
			k := key{o.Server, r.dataCentre}
			s := sums[k]
			if s == nil || s.StartedAt < o.StartedAt {
				s = &ServerEvidence{ServerOutcomes: ServerOutcomes{Server: o.Server, StartedAt: o.StartedAt}, DataCentre: r.dataCentre}
				sums[k] = s
			}
			if s.StartedAt > o.StartedAt {
				continue
			}
			weight := weightAfter(age)
			s.Failed += weight * o.Failed
			s.Succeeded += weight * o.Succeeded
			if weight*o.Failed >= minOutcomeWeight {
				s.Hosts++
			}
		}
	}
	if len(sums) == 0 {
		return nil
	}
	type scope struct{ service, dataCentre string }
	expected := map[scope]float64{}
	ready := directory.ReadyServers()
	var out []ServerEvidence
	for _, e := range sums {
		if e.Hosts == 0 {
			continue
		}
		k := scope{directory.Service(e.Server), e.DataCentre}
		if _, ok := expected[k]; !ok && ready[k.service] > 0 {
			expected[k] = l.successes(now, k.service, k.dataCentre) / float64(ready[k.service])
		}
		e.Expected = expected[k]
		out = append(out, *e)
	}
	return out
}

// successes returns the successes on a service that the entry hosts of a data
// centre have reported.
func (l *loads) successes(now time.Duration, service, dataCentre string) float64 {
	sum := 0.0
	for _, r := range l.hosts {
		if age := now - r.reportedAt; r.dataCentre == dataCentre && age <= loadMaxAge {
			sum += weightAfter(age) * r.succeeded[service]
		}
	}
	return sum
}
