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
	// demandRise and demandFall are the time constants of the demand in
	// seconds. Models are added within seconds and taken away after minutes.
	demandRise = 5.0
	demandFall = 120.0
	// placementHeadroom is the fraction of the slots kept above the demand.
	placementHeadroom = 0.2
	// orderRepeat is the time after which an order without effect is given
	// again.
	orderRepeat = 30 * time.Second
	// fencingGrace is the time after a change of the planner in which servers
	// that ignore fencing numbers may still get orders of the previous one.
	fencingGrace = 10 * time.Second
)

// Planner places models and adapters on servers by demand. One host runs it
// at a time, under a lease whose fencing number goes into each order.
type Planner struct {
	fencing uint64
	since   time.Duration
	now     time.Duration
	store   budget             // bytes of the weight store
	demand  map[string]float64 // smoothed slots by model
	ordered map[PlacementOrder]time.Duration
}

// NewPlanner returns a Planner for a lease that was granted now. The weight
// store delivers bytesPerSecond, and a burst of burstBytes.
func NewPlanner(now time.Duration, fencing uint64, bytesPerSecond, burstBytes float64) *Planner {
	return &Planner{
		fencing: fencing, since: now, now: now,
		store:  budget{rate: bytesPerSecond, burst: burstBytes, level: burstBytes, at: now},
		demand: map[string]float64{}, ordered: map[PlacementOrder]time.Duration{},
	}
}

// plan is one round of decisions.
type plan struct {
	*Planner
	servers []PlacementServer
	demands []ModelDemand
	need    map[string]int // replicas by model
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
	p.follow(now, demands)
	for o, at := range p.ordered {
		if now-at >= orderRepeat {
			delete(p.ordered, o)
		}
	}
	l.setNeed()
	l.unloadDrained()
	l.raise()
	l.replaceVersions()
	l.placeAdapters()
	return l.orders
}

// follow smooths the demand.
func (p *Planner) follow(now time.Duration, demands []ModelDemand) {
	elapsed := (now - p.now).Seconds()
	wanted := map[string]float64{}
	for _, d := range demands {
		wanted[d.Model] = d.Slots
		if _, known := p.demand[d.Model]; !known {
			p.demand[d.Model] = d.Slots
		}
	}
	for m, have := range p.demand {
		constant := demandFall
		if wanted[m] > have {
			constant = demandRise
		}
		p.demand[m] += (wanted[m] - have) * elapsed / (elapsed + constant)
	}
	p.now = now
}

// setNeed divides the places among the models, at least one each.
func (l *plan) setNeed() {
	l.need = map[string]int{}
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
		l.need[d.Model] = max(1, int(want(d.Model)*scale))
	}
}

// order issues an order unless it was given recently.
func (l *plan) order(v *PlacementServer, o PlacementOrder) bool {
	o.Server, o.Fencing = v.ID, l.fencing
	if _, given := l.ordered[o]; given || !l.mayOrder(v) {
		return false
	}
	l.ordered[o] = l.now
	l.orders = append(l.orders, o)
	return true
}

// mayOrder holds back orders that could cross with those of an earlier
// planner on a server that does not tell them apart.
func (l *plan) mayOrder(v *PlacementServer) bool {
	return v.ChecksFencing || l.now-l.since >= fencingGrace
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

// lack returns the number of replicas of the wanted version to be loaded.
func (l *plan) lack(d ModelDemand) int {
	return l.need[d.Model] - l.count(func(m *PlacedModel) bool {
		return m.Model == d.Model && m.Version == d.Version && m.State != Draining
	})
}

// raise starts loads for the models that lack replicas, the largest lack
// first, and drains models that have too many where no place is free.
func (l *plan) raise() {
	lacking := slices.Clone(l.demands)
	slices.SortStableFunc(lacking, func(a, b ModelDemand) int { return cmp.Compare(l.lack(b), l.lack(a)) })
	for _, d := range lacking {
		for n := l.lack(d); n > 0; n-- {
			v := l.freePlace(d)
			if v == nil {
				l.makePlace(d)
				break
			}
			if !l.load(v, d) {
				return // the weight store has no more to give now
			}
		}
	}
}

func (l *plan) freePlace(d ModelDemand) *PlacementServer {
	for i := range l.servers {
		v := &l.servers[i]
		if !v.Leaving && len(v.Models) < v.Capacity && !v.holds(d) && l.mayOrder(v) {
			return v
		}
	}
	return nil
}

func (v *PlacementServer) holds(d ModelDemand) bool {
	return slices.ContainsFunc(v.Models, func(m PlacedModel) bool {
		return m.Model == d.Model && m.Version == d.Version
	})
}

// load orders a load when the weight store allows it. A load that was ordered
// before and is not yet visible keeps its place.
func (l *plan) load(v *PlacementServer, d ModelDemand) bool {
	o := PlacementOrder{Server: v.ID, Action: LoadModel, Model: d.Model, Version: d.Version, Fencing: l.fencing}
	if _, given := l.ordered[o]; !given {
		l.store.has(l.now)
		if l.store.level < min(float64(d.Bytes), l.store.burst) {
			return false
		}
		l.store.level -= float64(d.Bytes)
		l.order(v, o)
	}
	v.Models = append(v.Models, PlacedModel{Model: d.Model, Version: d.Version, State: Loading})
	return true
}

// makePlace drains the least busy replica of a model that has more than it
// needs. One drain at a time is in progress for this reason.
func (l *plan) makePlace(d ModelDemand) {
	if l.count(func(m *PlacedModel) bool { return m.State == Draining }) > 0 {
		return
	}
	var best *PlacementServer
	var victim *PlacedModel
	for i := range l.servers {
		v := &l.servers[i]
		if v.Leaving || v.holds(d) {
			continue
		}
		for j := range v.Models {
			m := &v.Models[j]
			if m.State == Serving && l.spare(m, d) && (victim == nil || m.InFlight < victim.InFlight) {
				best, victim = v, m
			}
		}
	}
	if victim != nil {
		l.drain(best, victim)
	}
}

// spare reports whether a replica may be given up for a model.
func (l *plan) spare(m *PlacedModel, d ModelDemand) bool {
	return m.Model != d.Model && l.serving(m.Model) > l.need[m.Model]
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
				if l.serving(d.Model) > max(1, l.need[d.Model]-1) || len(l.servers) == 1 {
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
					l.adapt(v, m, d.Adapters)
				}
			}
		}
	}
}

func (l *plan) adapt(v *PlacementServer, m PlacedModel, wanted []string) {
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
