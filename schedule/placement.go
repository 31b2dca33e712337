package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ModelDemand is what the callers want of one model.
type ModelDemand struct {
	Model   string
	Version string  // to be served; other versions are replaced
	Slots   float64 // mean number of calls that run or wait
	Bytes   int64   // weights to be read from the weight store
	// Adapters are the adapters of the model that have callers.
	Adapters []string
}

// PlacementState is the state of a model on a server.
type PlacementState uint8

// The placement states. A draining model runs its calls to their end and gets
// no new ones.
const (
	Serving PlacementState = iota
	Loading
	Draining
)

// PlacedModel is a model on a server.
type PlacedModel struct {
	Model    string
	Version  string
	Adapters []string
	State    PlacementState
	InFlight int // runs of all entry hosts
}

// PlacementServer is a backend server as the planner needs it.
type PlacementServer struct {
	ID       string
	Slots    int // per model
	Capacity int // models at the same time
	Models   []PlacedModel
	// ChecksFencing is false for servers that ignore fencing numbers.
	ChecksFencing bool
	Leaving       bool
}

// PlacementAction is what a server is ordered to do.
type PlacementAction uint8

// The placement actions.
const (
	LoadModel PlacementAction = iota
	DrainModel
	UnloadModel
	LoadAdapter
	UnloadAdapter
)

// PlacementOrder is an order to a server.
type PlacementOrder struct {
	Server  string
	Action  PlacementAction
	Model   string
	Version string
	Adapter string
	Fencing uint64
}

const (
	// demandRiseTimeConstant and demandFall are the time constants of the demand in
	// seconds. Models are added within seconds and taken away after minutes.
	demandRiseTimeConstant = 5.0
	demandFallTimeConstant = 120.0
	// placementHeadroom is the fraction of the slots kept above the demand.
	placementHeadroom = 0.2
	// orderRepeatInterval is the time after which an order without effect is given
	// again.
	orderRepeatInterval = 30 * time.Second
	// fencingGrace is the time after a change of the planner in which servers
	// that ignore fencing numbers may still get orders of the previous one.
	fencingGrace = 10 * time.Second
)

// Planner places models and adapters on servers by demand. One host runs it
// at a time, under a lease whose fencing number goes into each order.
type Planner struct {
	fencing uint64
	leaseGranted   time.Duration
	lastPlan     time.Duration
	weightStore   tokenBucket             // bytes of the weight store
	demand  map[string]float64 // smoothed slots by model
	issued map[PlacementOrder]time.Duration
}

// NewPlanner returns a Planner for a lease that was granted now. The weight
// weightStore delivers bytesPerSecond, and a burst of burstBytes.
func NewPlanner(now time.Duration, fencing uint64, bytesPerSecond, burstBytes float64) *Planner {
	return &Planner{
		fencing: fencing, leaseGranted: now, lastPlan: now,
		weightStore:  tokenBucket{rate: bytesPerSecond, burst: burstBytes, level: burstBytes, refilled: now},
		demand: map[string]float64{}, issued: map[PlacementOrder]time.Duration{},
	}
}

// plan is one round of decisions.
type plan struct {
	*Planner
	servers []PlacementServer
	demands []ModelDemand
	targetReplicas    map[string]int // replicas by model
	orders  []PlacementOrder
}

// Plan returns the orders that are due. An order is repeated when the servers
// do not show its effect.
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

// smoothDemand smooths the demand.
func (p *Planner) smoothDemand(now time.Duration, demands []ModelDemand) {
	elapsed := (now - p.lastPlan).Seconds()
	wanted := map[string]float64{}
	for _, d := range demands {
		wanted[d.Model] = d.Slots
		if _, known := p.demand[d.Model]; !known {
			p.demand[d.Model] = d.Slots
		}
	}
	for m, have := range p.demand {
		constant := demandFallTimeConstant
		if wanted[m] > have {
			constant = demandRiseTimeConstant
		}
		p.demand[m] += (wanted[m] - have) * elapsed / (elapsed + constant)
	}
	p.lastPlan = now
}

// setTargetReplicas divides the places among the models, at least one each.
func (l *plan) setTargetReplicas() {
	l.targetReplicas = map[string]int{}
	places, slots, sum := 0, 0, 0.0
	for _, v := range l.servers {
		if !v.Leaving {
			places += v.Capacity
			slots += v.Capacity * max(1, v.Slots)
		}
	}
	if places == 0 {
		return
	}
	perPlace := float64(slots) / float64(places)
	want := func(m string) float64 { return math.Ceil(l.demand[m] * (1 + placementHeadroom) / perPlace) }
	for _, d := range l.demands {
		sum += max(1, want(d.Model))
	}
	scale := min(1, float64(places)/max(1, sum))
	for _, d := range l.demands {
		l.targetReplicas[d.Model] = max(1, int(want(d.Model)*scale))
	}
}

// order issues an order unless it was given recently.
func (l *plan) order(v *PlacementServer, o PlacementOrder) bool {
	o.Server, o.Fencing = v.ID, l.fencing
	if _, given := l.issued[o]; given || !l.mayOrder(v) {
		return false
	}
	l.issued[o] = l.lastPlan
	l.orders = append(l.orders, o)
	return true
}

// mayOrder holds back orders that could cross with those of an earlier
// planner on a server that does not tell them apart.
func (l *plan) mayOrder(v *PlacementServer) bool {
	return v.ChecksFencing || l.lastPlan-l.leaseGranted >= fencingGrace
}

// unloadDrained frees the places of models whose last call has ended.
func (l *plan) unloadDrained() {
	for i := range l.servers {
		for _, m := range l.servers[i].Models {
			if m.State == Draining && m.InFlight == 0 {
				l.order(&l.servers[i], PlacementOrder{Action: UnloadModel, Model: m.Model, Version: m.Version})
			}
		}
	}
}

// count returns the number of places on servers that stay and fulfil a
// condition.
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

// missing returns the number of replicas of the wanted version to be loaded.
func (l *plan) missing(d ModelDemand) int {
	return l.targetReplicas[d.Model] - l.count(func(m *PlacedModel) bool {
		return m.Model == d.Model && m.Version == d.Version && m.State != Draining
	})
}

// loadMissing starts loads for the models that lack replicas, the largest lack
// first, and drains models that have too many where no place is free.
func (l *plan) loadMissing() {
	lacking := slices.Clone(l.demands)
	slices.SortStableFunc(lacking, func(a, b ModelDemand) int { return cmp.Compare(l.missing(b), l.missing(a)) })
	for _, d := range lacking {
		for n := l.missing(d); n > 0; n-- {
			v := l.freeServer(d)
			if v == nil {
				l.drainSurplus(d)
				break
			}
			if !l.load(v, d) {
				return // the weight store has no more to give now
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

// load orders a load when the weight store allows it. A load that was ordered
// before and is not yet visible keeps its place.
func (l *plan) load(v *PlacementServer, d ModelDemand) bool {
	o := PlacementOrder{Server: v.ID, Action: LoadModel, Model: d.Model, Version: d.Version, Fencing: l.fencing}
	if _, given := l.issued[o]; !given {
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

// drainSurplus drains the least busy replica of a model that has more than it
// needs. One drain at a time is in progress for this reason.
func (l *plan) drainSurplus(d ModelDemand) {
	if l.count(func(m *PlacedModel) bool { return m.State == Draining }) > 0 {
		return
	}
	var best *PlacementServer
	var victim *PlacedModel
	for i := range l.servers {
		v := &l.servers[i]
		if v.Leaving || v.hasModel(d) {
			continue
		}
		for j := range v.Models {
			m := &v.Models[j]
			if m.State == Serving && l.isSurplus(m, d) && (victim == nil || m.InFlight < victim.InFlight) {
				best, victim = v, m
			}
		}
	}
	if victim != nil {
		l.drain(best, victim)
	}
}

// isSurplus reports whether a replica may be given up for a model.
func (l *plan) isSurplus(m *PlacedModel, d ModelDemand) bool {
	return m.Model != d.Model && l.serving(m.Model) > l.targetReplicas[m.Model]
}

func (l *plan) drain(v *PlacementServer, m *PlacedModel) {
	if l.order(v, PlacementOrder{Action: DrainModel, Model: m.Model, Version: m.Version}) {
		m.State = Draining
	}
}

// serving counts the replicas of a model that take calls.
func (l *plan) serving(model string) int {
	return l.count(func(m *PlacedModel) bool { return m.Model == model && m.State == Serving })
}

// replaceVersions drains the replicas of an unwanted version while the others
// carry the demand, short of one.
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

// placeAdapters loads each wanted adapter on all serving replicas of its
// model, so that routing is free to choose, and unloads the others.
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
