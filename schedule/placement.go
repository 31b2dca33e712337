package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ModelDemand is the demand for one model.
type ModelDemand struct {
	Model   string
	Version string  // version to serve; other versions are replaced
	Slots   float64 // mean number of running and waiting calls
	Bytes   int64   // size of the weights in the weight store
	// Adapters are the adapters of the model that are in demand.
	Adapters []string
}

// PlacementState is the state of a model on a server.
type PlacementState uint8

// The placement states. A draining model finishes its calls and gets no new
// ones.
const (
	Serving PlacementState = iota
	Loading
	Draining
)

// PlacedModel is a replica of a model on a server.
type PlacedModel struct {
	Model    string
	Version  string
	Adapters []string
	State    PlacementState
	InFlight int // runs of all entry hosts
}

// PlacementServer describes a backend server to a Planner.
type PlacementServer struct {
	ID       string
	Slots    int // per model
	Capacity int // maximum number of models
	Models   []PlacedModel
	// ChecksFencing is false for servers that ignore fencing numbers.
	ChecksFencing bool
	Leaving       bool
}

// PlacementAction is the action of a PlacementOrder.
type PlacementAction uint8

// The placement actions.
const (
	LoadModel PlacementAction = iota
	DrainModel
	UnloadModel
	LoadAdapter
	UnloadAdapter
)

// PlacementOrder instructs a server to load, drain or unload a model or an
// adapter.
type PlacementOrder struct {
	Server  string
	Action  PlacementAction
	Model   string
	Version string
	Adapter string
	Fencing uint64
}

const (
	// demandRiseTimeConstant and demandFallTimeConstant, in seconds, smooth a
	// rising and a falling demand. Replicas are added within seconds and
	// removed after minutes.
	demandRiseTimeConstant = 5.0
	demandFallTimeConstant = 120.0
	// placementHeadroom is the number of spare slots as a fraction of the
	// demand.
	placementHeadroom = 0.2
	// orderRepeatInterval is the time after which an order that has had no
	// effect is repeated.
	orderRepeatInterval = 30 * time.Second
	// fencingGrace is the time after a change of the planner during which
	// servers that ignore fencing numbers may still receive orders of the
	// previous one.
	fencingGrace = 10 * time.Second
)

// Planner places models and adapters on servers by demand. One host runs it at
// a time, under a lease whose fencing number is part of each order.
type Planner struct {
	fencing      uint64
	leaseGranted time.Duration
	lastPlan     time.Duration
	weightStore  tokenBucket                      // bytes that may be read from the weight store
	demand       map[string]float64               // smoothed slots by model
	issued       map[PlacementOrder]time.Duration // time of each recent order
}

// NewPlanner returns a Planner for a lease that was granted at now. Loads are
// limited to bytesPerSecond from the weight store, with bursts of burstBytes.
func NewPlanner(now time.Duration, fencing uint64, bytesPerSecond, burstBytes float64) *Planner {
	return &Planner{
		fencing: fencing, leaseGranted: now, lastPlan: now,
		weightStore: tokenBucket{rate: bytesPerSecond, burst: burstBytes, level: burstBytes, refilled: now},
		demand:      map[string]float64{}, issued: map[PlacementOrder]time.Duration{},
	}
}

// plan is the state of one call of Plan.
type plan struct {
	*Planner
	servers        []PlacementServer
	demands        []ModelDemand
	targetReplicas map[string]int // by model
	orders         []PlacementOrder
}

// Plan returns the orders to be sent now. Orders that have had no effect on the
// state in servers are repeated after orderRepeatInterval.
func (p *Planner) Plan(now time.Duration, servers []PlacementServer, demands []ModelDemand) []PlacementOrder {
	l := &plan{Planner: p, servers: slices.Clone(servers), demands: slices.Clone(demands)}
	for i := range l.servers {
		l.servers[i].Models = slices.Clone(l.servers[i].Models)
	}
	slices.SortFunc(l.servers, func(a, b PlacementServer) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(l.demands, func(a, b ModelDemand) int { return cmp.Compare(a.Model, b.Model) })
	p.smoothDemand(now, demands)
	for o, at := range p.issued {
		if now-at >= orderRepeatInterval {
			delete(p.issued, o)
		}
	}
	l.setTargetReplicas()
	l.unloadDrained()
	l.loadMissing()
	l.replaceVersions()
	l.placeAdapters()
	return l.orders
}

// smoothDemand updates the smoothed demand.
func (p *Planner) smoothDemand(now time.Duration, demands []ModelDemand) {
	elapsed := (now - p.lastPlan).Seconds()
	wanted := map[string]float64{}
	for _, d := range demands {
		wanted[d.Model] = d.Slots
		if _, known := p.demand[d.Model]; !known {
			p.demand[d.Model] = d.Slots
		}
	}
	for m, smoothed := range p.demand {
		timeConstant := demandFallTimeConstant
		if wanted[m] > smoothed {
			timeConstant = demandRiseTimeConstant
		}
		p.demand[m] += (wanted[m] - smoothed) * elapsed / (elapsed + timeConstant)
	}
	p.lastPlan = now
}

// setTargetReplicas sets the target number of replicas of each model, at least
// one. It scales the targets down if the demand exceeds the capacity.
func (l *plan) setTargetReplicas() {
	l.targetReplicas = map[string]int{}
	capacity, slots, sum := 0, 0, 0.0
	for _, v := range l.servers {
		if !v.Leaving {
			capacity += v.Capacity
			slots += v.Capacity * max(1, v.Slots)
		}
	}
	if capacity == 0 {
		return
	}
	slotsPerReplica := float64(slots) / float64(capacity)
	target := func(m string) float64 { return math.Ceil(l.demand[m] * (1 + placementHeadroom) / slotsPerReplica) }
	for _, d := range l.demands {
		sum += max(1, target(d.Model))
	}
	scale := min(1, float64(capacity)/max(1, sum))
	for _, d := range l.demands {
		l.targetReplicas[d.Model] = max(1, int(target(d.Model)*scale))
	}
}

// order issues an order, unless it was issued recently or the server may not get
// orders, and reports whether it did.
func (l *plan) order(v *PlacementServer, o PlacementOrder) bool {
	o.Server, o.Fencing = v.ID, l.fencing
	if _, recent := l.issued[o]; recent || !l.mayOrder(v) {
		return false
	}
	l.issued[o] = l.lastPlan
	l.orders = append(l.orders, o)
	return true
}

// mayOrder reports whether a server may get orders. A server that ignores
// fencing numbers cannot reject late orders of the previous planner, so it
// gets none during the grace period.
func (l *plan) mayOrder(v *PlacementServer) bool {
	return v.ChecksFencing || l.lastPlan-l.leaseGranted >= fencingGrace
}

// unloadDrained unloads draining models that have no running calls left.
func (l *plan) unloadDrained() {
	for i := range l.servers {
		for _, m := range l.servers[i].Models {
			if m.State == Draining && m.InFlight == 0 {
				l.order(&l.servers[i], PlacementOrder{Action: UnloadModel, Model: m.Model, Version: m.Version})
			}
		}
	}
}

// count returns the number of replicas that satisfy f, on servers that are not
// leaving.
func (l *plan) count(f func(m *PlacedModel) bool) int {
	n := 0
	for i := range l.servers {
		for j := range l.servers[i].Models {
			if !l.servers[i].Leaving && f(&l.servers[i].Models[j]) {
				n++
			}
		}
	}
	return n
}

// missing returns the number of replicas of the wanted version that still have
// to be loaded. It is negative if there are too many.
func (l *plan) missing(d ModelDemand) int {
	return l.targetReplicas[d.Model] - l.count(func(m *PlacedModel) bool {
		return m.Model == d.Model && m.Version == d.Version && m.State != Draining
	})
}

// loadMissing loads missing replicas, starting with the model that lacks the
// most. If no server has room, it drains a replica of a model that has too many.
func (l *plan) loadMissing() {
	demands := slices.Clone(l.demands)
	slices.SortStableFunc(demands, func(a, b ModelDemand) int { return cmp.Compare(l.missing(b), l.missing(a)) })
	for _, d := range demands {
		for n := l.missing(d); n > 0; n-- {
			v := l.freeServer(d)
			if v == nil {
				l.drainSurplus(d)
				break
			}
			if !l.load(v, d) {
				return // the rate limit of the weight store is reached
			}
		}
	}
}

func (l *plan) freeServer(d ModelDemand) *PlacementServer {
	for i := range l.servers {
		v := &l.servers[i]
		if !v.Leaving && len(v.Models) < v.Capacity && !v.hasModel(d) && l.mayOrder(v) {
			return v
		}
	}
	return nil
}

func (v *PlacementServer) hasModel(d ModelDemand) bool {
	return slices.ContainsFunc(v.Models, func(m PlacedModel) bool {
		return m.Model == d.Model && m.Version == d.Version
	})
}

// load orders a server to load a model, and reports false if the rate limit of
// the weight store does not allow it. A load that was ordered recently but is
// not yet visible in the state of the server still occupies its place there.
func (l *plan) load(v *PlacementServer, d ModelDemand) bool {
	o := PlacementOrder{Server: v.ID, Action: LoadModel, Model: d.Model, Version: d.Version, Fencing: l.fencing}
	if _, recent := l.issued[o]; !recent {
		l.weightStore.refill(l.lastPlan)
		if l.weightStore.level < min(float64(d.Bytes), l.weightStore.burst) {
			return false
		}
		l.weightStore.level -= float64(d.Bytes)
		l.order(v, o)
	}
	v.Models = append(v.Models, PlacedModel{Model: d.Model, Version: d.Version, State: Loading})
	return true
}

// drainSurplus makes room for the model of d: it drains the replica with the
// fewest running calls among the models that have too many replicas. It does
// nothing while another replica is draining.
func (l *plan) drainSurplus(d ModelDemand) {
	if l.count(func(m *PlacedModel) bool { return m.State == Draining }) > 0 {
		return
	}
	var victimServer *PlacementServer
	var victim *PlacedModel
	for i := range l.servers {
		v := &l.servers[i]
		if v.Leaving || v.hasModel(d) {
			continue
		}
		for j := range v.Models {
			m := &v.Models[j]
			if m.State == Serving && l.isSurplus(m, d) && (victim == nil || m.InFlight < victim.InFlight) {
				victimServer, victim = v, m
			}
		}
	}
	if victim != nil {
		l.drain(victimServer, victim)
	}
}

// isSurplus reports whether a replica may be replaced by one of the model of d.
func (l *plan) isSurplus(m *PlacedModel, d ModelDemand) bool {
	return m.Model != d.Model && l.serving(m.Model) > l.targetReplicas[m.Model]
}

func (l *plan) drain(v *PlacementServer, m *PlacedModel) {
	if l.order(v, PlacementOrder{Action: DrainModel, Model: m.Model, Version: m.Version}) {
		m.State = Draining
	}
}

// serving returns the number of replicas of a model that accept calls.
func (l *plan) serving(model string) int {
	return l.count(func(m *PlacedModel) bool { return m.Model == model && m.State == Serving })
}

// replaceVersions drains replicas of other versions than the wanted one, as
// long as the serving replicas stay no more than one below the target and at
// least one remains. If there is only one server, it drains the replica anyway.
func (l *plan) replaceVersions() {
	for _, d := range l.demands {
		for i := range l.servers {
			v := &l.servers[i]
			for j := range v.Models {
				m := &v.Models[j]
				if m.Model != d.Model || m.Version == d.Version || m.State != Serving {
					continue
				}
				if l.serving(d.Model) > max(1, l.targetReplicas[d.Model]-1) || len(l.servers) == 1 {
					l.drain(v, m)
				}
			}
		}
	}
}

// placeAdapters loads each wanted adapter on all serving replicas of its model,
// so that routing is not restricted, and unloads the other adapters.
func (l *plan) placeAdapters() {
	for _, d := range l.demands {
		for i := range l.servers {
			v := &l.servers[i]
			for _, m := range v.Models {
				if !v.Leaving && m.Model == d.Model && m.State == Serving {
					l.reconcileAdapters(v, m, d.Adapters)
				}
			}
		}
	}
}

func (l *plan) reconcileAdapters(v *PlacementServer, m PlacedModel, wanted []string) {
	for _, a := range wanted {
		if !slices.Contains(m.Adapters, a) {
			l.order(v, PlacementOrder{Action: LoadAdapter, Model: m.Model, Version: m.Version, Adapter: a})
		}
	}
	for _, a := range m.Adapters {
		if !slices.Contains(wanted, a) {
			l.order(v, PlacementOrder{Action: UnloadAdapter, Model: m.Model, Version: m.Version, Adapter: a})
		}
	}
}
