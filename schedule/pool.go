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
	open     []*server // members that take new work from this host
	queue    queue
	solo     []*call // suspects, each to be run alone
	reserved []*server
	waiting  int // position in Scheduler.waiting, or -1
	costs    costs
}

// membership is the place of a server in a pool.
type membership struct {
	pool *pool
	open int // position in pool.open, or -1
}

// poolFor returns the pool of a request and creates it on first use.
func (s *Scheduler) poolFor(r *Request) *pool {
	k := keyOf(r)
	if p := s.pools[k]; p != nil {
		return p
	}
	p := &pool{key: k, waiting: -1, costs: newCosts(), queue: queue{shares: s.shares}}
	s.pools[k] = p
	s.poolOrder = append(s.poolOrder, p)
	for _, v := range s.serverOrder {
		if k.servedBy(&v.Server) {
			s.join(p, v)
		}
	}
	return p
}

func (s *Scheduler) join(p *pool, v *server) {
	p.members = append(p.members, v)
	v.pools = append(v.pools, membership{pool: p, open: -1})
	s.refresh(v)
}

// leaveAll takes a server out of all pools.
func (v *server) leaveAll() {
	for i := range v.pools {
		v.setOpen(i, false)
		p := v.pools[i].pool
		p.members = slices.DeleteFunc(p.members, func(o *server) bool { return o == v })
		p.reserved = slices.DeleteFunc(p.reserved, func(o *server) bool { return o == v })
	}
	v.pools = v.pools[:0]
	v.reserved = false
}

// setOpen enters or removes a server in the open list of its i-th pool.
func (v *server) setOpen(i int, open bool) {
	m := &v.pools[i]
	p := m.pool
	if open == (m.open >= 0) {
		return
	}
	if open {
		m.open = len(p.open)
		p.open = append(p.open, v)
		return
	}
	last := len(p.open) - 1
	moved := p.open[last]
	p.open[m.open] = moved
	p.open = p.open[:last]
	moved.membershipOf(p).open = m.open
	m.open = -1
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
	prefill float64 // seconds per uncached prompt token
	token   float64 // median seconds per output token
	output  float64 // mean output tokens per call
	run     float64 // mean seconds per run
}

// newCosts returns the assumptions for a pool without any observation.
func newCosts() costs {
	return costs{prefill: 0.0002, token: 0.03, output: 150, run: 2}
}

// medianStep is the relative step of the running median of token times. It
// follows a change of the whole pool by a factor of two within 70
// observations.
const medianStep = 0.01

func (k *costs) observeToken(seconds float64) {
	if seconds > k.token {
		k.token *= 1 + medianStep
	} else {
		k.token *= 1 - medianStep
	}
}

// meanWeight is the weight of one observation in the means.
const meanWeight = 0.02

func (k *costs) observePrefill(tokens int, took time.Duration) {
	if tokens < 64 {
		return // dominated by the wait for a batch step
	}
	k.prefill += meanWeight * (took.Seconds()/float64(tokens) - k.prefill)
}

func (k *costs) observeRun(output int, took time.Duration) {
	k.output += meanWeight * (float64(output) - k.output)
	k.run += meanWeight * (took.Seconds() - k.run)
}
