package cluster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// quotaLeader is a control host that leads, or believes so, with its own clock.
type quotaLeader struct {
	quotas    *quotas
	lease     leadershipLease
	offset    time.Duration // of its clock
	reads     []time.Duration
	replaced  time.Duration // when the next leader was elected; 0 if it is the last one
	wakes     time.Duration // it is frozen until then
	reachable bool
}

// quotaHost is an entry host with at most one request for permits in flight.
type quotaHost struct {
	waiting  []*quotaCall
	batch    *permitBatch
	sent     []*quotaCall // in flight with the batch
	refunds  []WorkspacePermit
	response permitResponse
	err      error
	arrives  time.Duration // of the response
	leader   *quotaLeader  // that it asks
	wakes    time.Duration // it is frozen until then
	table    int64
}

// quotaCall is a request of a caller.
type quotaCall struct {
	permitCall
	sentAt time.Duration // by the caller
	sendAt time.Duration // when its host sends it to a server
	host   *quotaHost
}

// quotaRun is a request that a server has run.
type quotaRun struct{ sent, arrived time.Duration }

// quotaWorld runs the decisions of leaders and entry hosts with faults.
type quotaWorld struct {
	bound   QuotaBound
	random  *rand.Rand
	limits  []QuotaLimit // by version of the table, from 1
	since   []time.Duration
	leaders []*quotaLeader
	hosts   []*quotaHost
	placed  []*quotaCall // with a permit
	runs    []quotaRun
	hoards  bool // calls wait for a server and are refused then
}

func (w *quotaWorld) chance(perSecond float64) bool { return w.random.Float64() < perSecond/100 }

// elect starts the next term. The last leader goes on until its lease has ended.
func (w *quotaWorld) elect(now time.Duration) {
	term := uint64(len(w.leaders) + 1)
	if term > 1 {
		w.leaders[term-2].replaced = now
	}
	l := &quotaLeader{offset: time.Duration(w.random.Int64N(int64(2 * time.Second))), reachable: true}
	l.quotas = newQuotas(w.bound, term, now+l.offset, rand.NewPCG(term, 0))
	w.leaders = append(w.leaders, l)
}

// lead confirms the lease by reads that take some time. Reads that began before the
// next election may be confirmed, however late.
func (w *quotaWorld) lead(now time.Duration, l *quotaLeader) {
	if now < l.wakes {
		return
	}
	for len(l.reads) > 0 && w.random.IntN(2) == 0 {
		if l.replaced == 0 || l.reads[0] < l.replaced {
			l.lease.confirm(l.reads[0]+l.offset, l.quotas.term)
		}
		l.reads = l.reads[1:]
	}
	if w.random.IntN(10) == 0 {
		l.reads = append(l.reads, now)
	}
	if l.replaced == 0 { // a leader that has been replaced gets no newer table
		l.quotas.table, l.quotas.limits = int64(len(w.limits)), map[string]QuotaLimit{"w": w.limits[len(w.limits)-1]}
	}
}

// step advances an entry host.
func (w *quotaWorld) step(now time.Duration, h *quotaHost) {
	if now < h.wakes {
		return
	}
	if h.batch != nil && now >= h.arrives {
		h.refunds = append(h.refunds, h.batch.distribute("c", h.response, h.err)...)
		for _, c := range h.sent {
			switch {
			case c.permit.Limited():
				c.sendAt = now + time.Duration(w.random.ExpFloat64()*float64(20*time.Millisecond))
				if w.hoards {
					c.sendAt = now + 2*time.Second
				}
				w.placed = append(w.placed, c)
			case now < c.sentAt+400*time.Millisecond: // otherwise its caller has left
				h.waiting = append(h.waiting, &quotaCall{sentAt: c.sentAt, host: h})
			}
		}
		h.batch = nil
	}
	if h.batch != nil || len(h.waiting)+len(h.refunds) == 0 {
		return
	}
	calls := make([]*permitCall, len(h.waiting))
	for i, c := range h.waiting {
		c.workspace = workspaceRequest{Workspace: "w", Table: h.table, QuotaLimit: w.limits[h.table-1]}
		c.begins, c.startedAt, c.done = w.random.IntN(4) == 0, now, make(chan struct{})
		calls[i] = &c.permitCall
	}
	h.batch, h.sent = newPermitBatch("h", calls, h.refunds), h.waiting
	h.waiting, h.refunds = nil, nil
	l := h.leader
	h.arrives = now + time.Duration(w.random.Int64N(int64(30*time.Millisecond)))
	if w.random.IntN(20) == 0 && len(h.sent) > 0 {
		h.sent[0].claimed.Store(true) // its caller has left
	}
	if h.err != nil || w.random.IntN(20) == 0 {
		h.leader = w.leaders[len(w.leaders)-1]
	}
	h.response, h.err = permitResponse{}, errNoControlHost
	if at := now + l.offset; now >= l.wakes && l.reachable && l.lease.valid(at, l.quotas.term) {
		h.response = permitResponse{Term: l.quotas.term, At: at, Workspaces: []workspaceGrant{l.quotas.grant(at, &h.batch.request.Workspaces[0])}}
		if w.random.IntN(30) > 0 { // otherwise the answer is lost
			h.err = nil
		}
	}
}

// finish sends the requests that have a permit to servers, or returns the permit.
func (w *quotaWorld) finish(now time.Duration, refundShare float64) {
	w.placed = slices.DeleteFunc(w.placed, func(c *quotaCall) bool {
		switch {
		case now < c.sendAt || now < c.host.wakes:
			return false
		case !c.permit.validAt(now):
			c.host.refunds = append(c.host.refunds, c.permit)
			c.host.waiting = append(c.host.waiting, &quotaCall{sentAt: c.sentAt, host: c.host})
		case w.random.Float64() < refundShare || now > c.startedAt+time.Second:
			c.host.refunds = append(c.host.refunds, c.permit)
		default:
			w.runs = append(w.runs, quotaRun{c.sentAt, now})
		}
		return true
	})
}

// allowed returns the bound of a window: that of the highest rate and the highest
// burst that have been in force. A leader that has been replaced goes on with an
// earlier limit during its lease.
func (w *quotaWorld) allowed(from time.Duration) float64 {
	var highest QuotaLimit
	for i, l := range w.limits {
		ended := i+1 < len(w.limits) && w.since[i+1]+leaseDuration <= from
		if !ended && w.since[i] < from+w.bound.Window {
			highest = QuotaLimit{max(highest.PerSecond, l.PerSecond), max(highest.Burst, l.Burst)}
		}
	}
	return w.bound.requests(highest)
}

// check returns an error if more requests than allowed were sent by callers and
// reached servers in any window.
func (w *quotaWorld) check() error {
	for _, first := range w.runs {
		n := 0
		for _, r := range w.runs {
			if r.sent >= first.sent && r.arrived <= first.sent+w.bound.Window {
				n++
			}
		}
		if allowed := w.allowed(first.sent); float64(n) > allowed+1e-6 {
			return fmt.Errorf("%d requests in the window from %v: want at most %.2f", n, first.sent, allowed)
		}
	}
	return nil
}

// Guards against more requests of a workspace than its quota allows in any window,
// over leaders that change, freeze, are cut off or crash, hosts that freeze with
// permits, lost answers, refunds and changes of the limit.
func TestQuotaBoundHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := quotaWorld{bound: QuotaBound{
			Window:  rapid.SampledFrom([]time.Duration{time.Second, 5 * time.Second}).Draw(rt, "window"),
			Overage: rapid.SampledFrom([]float64{0, 0, 0.1}).Draw(rt, "overage"), Slack: rapid.SampledFrom([]float64{0, 0, 0, 20}).Draw(rt, "slack"),
		}}
		hosts := rapid.IntRange(1, 8).Draw(rt, "hosts")
		faults := rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(rt, "faults")
		refunds := rapid.SampledFrom([]float64{0, 0.1, 0.6}).Draw(rt, "refunds")
		changes := rapid.SampledFrom([]float64{0, 0.2}).Draw(rt, "changes")
		seed := rapid.Uint64().Draw(rt, "seed")
		for n := range uint64(10) { // some faults need a few hundred worlds
			w := w
			w.random = rand.New(rand.NewPCG(seed, n))
			w.run(hosts, faults, refunds, changes)
			assert.NilError(rt, w.check())
		}
	})
}

// run runs the world for some time, with faults and changes of the limit per second.
func (w *quotaWorld) run(hosts int, faults, refunds, changes float64) {
	limit := func() QuotaLimit {
		return QuotaLimit{PerSecond: []float64{0.5, 2, 8, 30, 30}[w.random.IntN(4)], Burst: float64(1 + w.random.IntN(30))}
	}
	w.limits, w.since = []QuotaLimit{limit()}, []time.Duration{-time.Hour}
	w.elect(0)
	for range hosts {
		w.hosts = append(w.hosts, &quotaHost{leader: w.leaders[0], table: 1})
	}
	demand := 1.0
	for now := time.Duration(0); now < 15*time.Second; now += 10 * time.Millisecond {
		if w.chance(0.7) {
			demand, w.hoards = []float64{0, 0.5, 10}[w.random.IntN(3)], w.random.Float64() < refunds
		}
		last := w.leaders[len(w.leaders)-1]
		freeze := now + time.Duration(w.random.Int64N(int64(3500*time.Millisecond)))
		switch {
		case w.chance(faults): // forced, or by replicas that were restarted
			w.elect(now)
		case w.chance(faults):
			last.wakes = freeze
			w.elect(now + min(electionTimeout, freeze-now))
		case w.chance(faults): // crashed, or cut off from the hosts
			last.reachable = false
			w.elect(now)
		case w.chance(changes):
			w.limits, w.since = append(w.limits, limit()), append(w.since, now)
		}
		for _, l := range w.leaders[max(0, len(w.leaders)-3):] {
			w.lead(now, l)
		}
		for _, h := range w.hosts {
			if w.chance(faults) {
				h.wakes = freeze
			}
			if w.chance(1) {
				h.table = int64(len(w.limits))
			}
			if n := w.limits[len(w.limits)-1].PerSecond * demand; len(h.waiting) < 20 && w.chance(n) {
				for range 1 + w.random.IntN(3) {
					h.waiting = append(h.waiting, &quotaCall{sentAt: now, host: h})
				}
			}
			w.step(now, h)
		}
		w.finish(now, refunds)
	}
}

// Guards against a leader that grants permits while the one before may still do so.
func TestNextLeaderStartsAfterLease(t *testing.T) {
	bound, l := QuotaBound{Window: time.Second}, QuotaLimit{100, 10}
	old, next := newQuotas(bound, 1, -time.Minute, rand.NewPCG(1, 1)), newQuotas(bound, 2, 200*time.Millisecond, rand.NewPCG(1, 2))
	var lease leadershipLease
	lease.confirm(200*time.Millisecond-1, 1)
	granted := 0
	for now := time.Duration(0); now <= time.Second; now += time.Millisecond {
		r := workspaceRequest{Workspace: "w", Table: 1, QuotaLimit: l, Continuations: 5}
		if lease.valid(now, 1) {
			granted += old.grant(now, &r).Continuations
		}
		if now >= next.since {
			granted += next.grant(now, &r).Continuations
		}
	}
	most := int(bound.requests(l))
	assert.Assert(t, granted <= most && granted >= most-2, "%d permits: want %d", granted, most)
}

// Guards against refusals and waits of requests within the limit, refunds and
// programs of many lengths included.
func TestRequestsWithinQuota(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bound := QuotaBound{5 * time.Second, rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "overage"), rapid.SampledFrom([]float64{0, 20}).Draw(rt, "slack")}
		l := QuotaLimit{rapid.Float64Range(0.2, 50).Draw(rt, "rate"), rapid.Float64Range(1, 50).Draw(rt, "burst")}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		q := newQuotas(bound, 1, -time.Hour, rand.NewPCG(1, 1))
		plain := credit{tokens: l.Burst}
		demand := 1.0
		for now := time.Duration(0); now < 60*time.Second; now += 10 * time.Millisecond {
			if random.IntN(100) == 0 {
				demand = []float64{0, 0.02, 1}[random.IntN(3)]
			}
			plain.fill(now, l.PerSecond, l.Burst)
			r := workspaceRequest{Workspace: "w", Table: 1, QuotaLimit: l}
			for plain.tokens >= 1 && random.Float64() < demand {
				plain.tokens--
				r.Continuations++
			}
			g := q.grant(now, &r)
			assert.Equal(rt, g.Continuations, r.Continuations, "at %v: %+v", now, g)
			assert.Assert(rt, !g.Exceeded)
			if g.Continuations > 0 && random.IntN(3) == 0 {
				q.grant(now, &workspaceRequest{Workspace: "w", Table: 1, QuotaLimit: l, Refunds: []permitRefund{{1, now, 1}}})
			}
		}
	})
}
