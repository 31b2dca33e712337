package schedule

import (
	"slices"
	"time"
)

// poolKey identifies a pool by what its servers must provide.
type poolKey struct {
	model, version, adapter, service, softwareVersion string
}

func keyOf(r *Request) poolKey {
	return poolKey{model: r.Model, version: r.Version, adapter: r.Adapter, service: r.Service, softwareVersion: r.SoftwareVersion}
}

func (k poolKey) servedBy(v *Server) bool {
	if k.softwareVersion != "" && v.SoftwareVersion != k.softwareVersion {
		return false
	}
	if k.service != "" {
		return v.Service == k.service
	}
	return slices.ContainsFunc(v.Models, func(m ServerModel) bool {
		return m.runsModel(k.model, k.adapter) && (k.version == "" || m.Version == k.version)
	})
}

// anySoftware returns the key of the pool of all software versions.
func (k poolKey) anySoftware() poolKey {
	k.softwareVersion = ""
	return k
}

// HasVersion reports whether a server that is not leaving runs a model, or a
// service if model is empty, at a software version. An empty version stands for
// any.
func (s *Scheduler) HasVersion(model, service, version string) bool {
	k := poolKey{model: model, service: service, softwareVersion: version}
	return slices.ContainsFunc(s.serverOrder, func(v *server) bool { return !v.Leaving && k.servedBy(&v.Server) })
}

// pool is a set of servers that can run the same calls, with the queue of these
// calls.
type pool struct {
	key          poolKey
	members      []*server
	eligible     []*server // members that are eligible for new runs from this host
	recent       []*server // members on which this host's last runs have ended, newest last
	queue        queue
	exclusive    []*call   // queued suspects, each to be run alone on a server
	reserved     []*server // members reserved for suspects of this host
	waitingIndex int       // index in Scheduler.waiting, or -1
	// base is the pool of the servers of all software versions; nil if the pool
	// itself is not restricted to one. versionPools is the number of pools with
	// this base.
	base         *pool
	versionPools int
	costs        *costs // shared with the base
	// refusals is the number of calls refused lately until refusalsAt, if teams share
	// the servers.
	refusals   float64
	refusalsAt time.Duration
}

// membership links a server to one of its pools.
type membership struct {
	pool          *pool
	eligibleIndex int // index in pool.eligible, or -1
}

// poolFor returns the pool of a request, and creates it if necessary.
func (s *Scheduler) poolFor(r *Request) *pool { return s.poolOf(keyOf(r)) }

func (s *Scheduler) poolOf(k poolKey) *pool {
	if p := s.pools[k]; p != nil {
		return p
	}
	p := &pool{key: k, waitingIndex: -1, queue: queue{teamShares: s.teamShares, shared: s.shared}}
	if k.softwareVersion == "" {
		p.costs = newCosts()
	} else {
		p.base = s.poolOf(k.anySoftware())
		p.base.versionPools++
		p.costs = p.base.costs
	}
	s.pools[k] = p
	s.poolOrder = append(s.poolOrder, p)
	for _, v := range s.serverOrder {
		if k.servedBy(&v.Server) {
			s.addToPool(p, v)
		}
	}
	return p
}

// removeIfUnused removes a pool if it has neither servers nor calls and is not
// the base of another one. Callers may name any model, so unused pools would
// accumulate.
func (s *Scheduler) removeIfUnused(p *pool) {
	if len(p.members) > 0 || p.queue.length > 0 || p.queue.inFlight > 0 || len(p.exclusive) > 0 || p.versionPools > 0 {
		return
	}
	delete(s.pools, p.key)
	s.poolOrder = slices.DeleteFunc(s.poolOrder, func(o *pool) bool { return o == p })
	if p.base != nil {
		p.base.versionPools--
	}
}

func (s *Scheduler) addToPool(p *pool, v *server) {
	p.members = append(p.members, v)
	v.pools = append(v.pools, membership{pool: p, eligibleIndex: -1})
	s.updateEligibility(v)
}

// removeFromPools removes a server from all pools, and pools of software
// versions that become unused.
func (s *Scheduler) removeFromPools(v *server) {
	for i := range v.pools {
		v.setEligible(i, false)
		p := v.pools[i].pool
		p.members = slices.DeleteFunc(p.members, func(o *server) bool { return o == v })
		p.reserved = slices.DeleteFunc(p.reserved, func(o *server) bool { return o == v })
		p.recent = slices.DeleteFunc(p.recent, func(o *server) bool { return o == v })
	}
	left := v.pools
	v.pools = v.pools[:0]
	v.reserved = false
	for _, m := range left {
		if m.pool.base != nil {
			s.removeIfUnused(m.pool)
		}
	}
}

// setEligible adds a server to the list of eligible servers of its i-th pool,
// or removes it.
func (v *server) setEligible(i int, eligible bool) {
	m := &v.pools[i]
	p := m.pool
	if eligible == (m.eligibleIndex >= 0) {
		return
	}
	if eligible {
		m.eligibleIndex = len(p.eligible)
		p.eligible = append(p.eligible, v)
		return
	}
	last := len(p.eligible) - 1
	moved := p.eligible[last]
	p.eligible[m.eligibleIndex] = moved
	p.eligible = p.eligible[:last]
	moved.membershipOf(p).eligibleIndex = m.eligibleIndex
	m.eligibleIndex = -1
}

func (v *server) membershipOf(p *pool) *membership {
	for i := range v.pools {
		if v.pools[i].pool == p {
			return &v.pools[i]
		}
	}
	return nil
}

// costs are the estimated costs of the calls of one pool. Those of all software
// versions are estimated together: a version that gets few calls would keep its
// initial estimates, compared with which its servers could look slow.
type costs struct {
	prefillPerToken  float64 // seconds per uncached prompt token
	secondsPerToken  float64 // per output token, running median
	meanOutputTokens float64 // per call
	meanRunSeconds   float64
	meanRunWork      float64 // per run, in output tokens; 0 if not known
}

// newCosts returns the initial estimates of a pool.
func newCosts() *costs {
	return &costs{prefillPerToken: 0.0002, secondsPerToken: 0.03, meanOutputTokens: 150, meanRunSeconds: 2}
}

// medianStep is the relative step size of the running median of the seconds per
// token. The median follows a change by a factor of two within 70 observations.
const medianStep = 0.01

func (k *costs) observeToken(seconds float64) {
	if seconds > k.secondsPerToken {
		k.secondsPerToken *= 1 + medianStep
	} else {
		k.secondsPerToken *= 1 - medianStep
	}
}

// meanWeight is the weight of one observation in the means.
const meanWeight = 0.02

func (k *costs) observePrefill(tokens int, took time.Duration) {
	if tokens < 64 {
		return // the time to first token is mainly the wait for a batch step
	}
	k.prefillPerToken += meanWeight * (took.Seconds()/float64(tokens) - k.prefillPerToken)
}

func (k *costs) observeRun(output int, took time.Duration) {
	k.meanOutputTokens += meanWeight * (float64(output) - k.meanOutputTokens)
	k.meanRunSeconds += meanWeight * (took.Seconds() - k.meanRunSeconds)
}
