package schedule

import (
	"slices"
	"time"
)

// poolKey names what a server must offer to run a call.
type poolKey struct {
	model, version, adapter, service string
}

func keyOf(r *Request) poolKey {
	return poolKey{model: r.Model, version: r.Version, adapter: r.Adapter, service: r.Service}
}

func (k poolKey) servedBy(v *Server) bool {
	if k.service != "" {
		return v.Service == k.service
	}
	return slices.ContainsFunc(v.Models, func(m ServerModel) bool {
		return m.Name == k.model && (k.version == "" || m.Version == k.version) &&
			(k.adapter == "" || slices.Contains(m.Adapters, k.adapter))
	})
}

// pool is the set of servers that can run the same calls, and the queue of
// these calls.
type pool struct {
	key      poolKey
	members  []*server
	eligible     []*server // members that take new work from this host
	queue    queue
	exclusive     []*call // suspects, each to be run alone
	reserved []*server
	waitingIndex  int // position in Scheduler.waiting, or -1
	costs    costs
}

// membership is the place of a server in a pool.
type membership struct {
	pool *pool
	eligibleIndex int // position in pool.open, or -1
}

// poolFor returns the pool of a request and creates it on first use.
func (s *Scheduler) poolFor(r *Request) *pool {
	k := keyOf(r)
	if p := s.pools[k]; p != nil {
		return p
	}
	p := &pool{key: k, waitingIndex: -1, costs: newCosts(), queue: queue{teamShares: s.teamShares}}
	s.pools[k] = p
	s.poolOrder = append(s.poolOrder, p)
	for _, v := range s.serverOrder {
		if k.servedBy(&v.Server) {
			s.addToPool(p, v)
		}
	}
	return p
}

// removeUnused forgets a pool without servers and calls: callers may name any
// model.
func (s *Scheduler) removeUnused(p *pool) {
	if len(p.members) > 0 || p.queue.length > 0 || p.queue.inFlight > 0 || len(p.exclusive) > 0 {
		return
	}
	delete(s.pools, p.key)
	s.poolOrder = slices.DeleteFunc(s.poolOrder, func(o *pool) bool { return o == p })
}

func (s *Scheduler) addToPool(p *pool, v *server) {
	p.members = append(p.members, v)
	v.pools = append(v.pools, membership{pool: p, eligibleIndex: -1})
	s.updateEligibility(v)
}

// removeFromPools takes a server out of all pools.
func (v *server) removeFromPools() {
	for i := range v.pools {
		v.setEligible(i, false)
		p := v.pools[i].pool
		p.members = slices.DeleteFunc(p.members, func(o *server) bool { return o == v })
		p.reserved = slices.DeleteFunc(p.reserved, func(o *server) bool { return o == v })
	}
	v.pools = v.pools[:0]
	v.reserved = false
}

// setEligible enters or removes a server in the open list of its i-th pool.
func (v *server) setEligible(i int, open bool) {
	m := &v.pools[i]
	p := m.pool
	if open == (m.eligibleIndex >= 0) {
		return
	}
	if open {
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

// costs are learned costs of the calls of one pool, in seconds and tokens.
type costs struct {
	prefillPerToken float64 // seconds per uncached prompt token
	secondsPerToken   float64 // median seconds per output token
	meanOutputTokens  float64 // mean output tokens per call
	meanRunSeconds     float64 // mean seconds per run
}

// newCosts returns the assumptions for a pool without any observation.
func newCosts() costs {
	return costs{prefillPerToken: 0.0002, secondsPerToken: 0.03, meanOutputTokens: 150, meanRunSeconds: 2}
}

// medianStep is the relative step of the running median of token times. It
// follows a change of the whole pool by a factor of two within 70
// observations.
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
		return // dominated by the wait for a batch step
	}
	k.prefillPerToken += meanWeight * (took.Seconds()/float64(tokens) - k.prefillPerToken)
}

func (k *costs) observeRun(output int, took time.Duration) {
	k.meanOutputTokens += meanWeight * (float64(output) - k.meanOutputTokens)
	k.meanRunSeconds += meanWeight * (took.Seconds() - k.meanRunSeconds)
}
