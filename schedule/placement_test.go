package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// placementFleet simulates servers that carry out placement orders.
type placementFleet struct {
	now     time.Duration
	servers []PlacementServer
	loaded  float64 // bytes
	orders  int
	loads   map[string]time.Duration // end of each load by server, model and version
}

const modelBytes = 10e9

func newPlacementFleet(servers, capacity int) *placementFleet {
	f := &placementFleet{loads: map[string]time.Duration{}}
	for i := range servers {
		f.servers = append(f.servers, PlacementServer{
			ID: fmt.Sprintf("s%02d", i), Slots: 8, Capacity: capacity, ChecksFencing: true,
		})
	}
	return f
}

func (f *placementFleet) apply(t assert.TestingT, o PlacementOrder) {
	f.orders++
	v := &f.servers[slices.IndexFunc(f.servers, func(v PlacementServer) bool { return v.ID == o.Server })]
	i := slices.IndexFunc(v.Models, func(m PlacedModel) bool { return m.Model == o.Model && m.Version == o.Version })
	switch o.Action {
	case LoadModel:
		assert.Assert(t, i < 0 && len(v.Models) < v.Capacity, "the load exceeds the capacity of %s", v.ID)
		v.Models = append(v.Models, PlacedModel{Model: o.Model, Version: o.Version, State: Loading})
		f.loads[v.ID+o.Model+o.Version] = f.now + 10*time.Second
		f.loaded += modelBytes
	case DrainModel:
		v.Models[i].State = Draining
		v.Models[i].InFlight = 3
	case UnloadModel:
		assert.Assert(t, v.Models[i].State == Draining && v.Models[i].InFlight == 0, "model unloaded before it was drained")
		v.Models = slices.Delete(v.Models, i, i+1)
	case LoadAdapter:
		v.Models[i].Adapters = append(v.Models[i].Adapters, o.Adapter)
	case UnloadAdapter:
		v.Models[i].Adapters = slices.DeleteFunc(v.Models[i].Adapters, func(a string) bool { return a == o.Adapter })
	}
}

// step advances the time by a second and runs the planner.
func (f *placementFleet) step(t assert.TestingT, p *Planner, demands []ModelDemand) {
	f.now += time.Second
	for i := range f.servers {
		v := &f.servers[i]
		for j := range v.Models {
			m := &v.Models[j]
			if m.State == Loading && f.now >= f.loads[v.ID+m.Model+m.Version] {
				m.State = Serving
			}
			if m.State == Draining && m.InFlight > 0 {
				m.InFlight--
			}
		}
	}
	snapshot := slices.Clone(f.servers)
	for i := range snapshot {
		snapshot[i].Models = slices.Clone(snapshot[i].Models)
	}
	for _, o := range p.Plan(f.now, snapshot, demands) {
		assert.Equal(t, o.Fencing, uint64(7))
		f.apply(t, o)
	}
}

func (f *placementFleet) serving(model, version string) int {
	n := 0
	for _, v := range f.servers {
		for _, m := range v.Models {
			if m.Model == model && m.Version == version && m.State == Serving {
				n++
			}
		}
	}
	return n
}

// TestPlacementFollowsDemand guards against loads that exceed the capacity of a
// server or the rate limit of the weight store, models that are unloaded while
// calls run, a model without any replica during a change, and a plan that does
// not converge.
func TestPlacementFollowsDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := rapid.IntRange(1, 4).Draw(t, "models")
		f := newPlacementFleet(models+rapid.IntRange(1, 8).Draw(t, "servers"), rapid.IntRange(1, 2).Draw(t, "capacity"))
		const rate, burst = 2e9, 20e9
		p := NewPlanner(0, 7, rate, burst)
		demands := make([]ModelDemand, models)
		for i := range demands {
			demands[i] = ModelDemand{Model: fmt.Sprint("m", i), Version: "1", Bytes: modelBytes}
		}
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			total := 8.0 * float64(len(f.servers))
			for i := range demands {
				demands[i].Slots = rapid.Float64Range(0, total/float64(models)/1.3).Draw(t, "slots")
				demands[i].Adapters = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"x", "y"}), 0, 2, rapid.ID).Draw(t, "adapters")
			}
			if rapid.Bool().Draw(t, "version") {
				demands[0].Version = fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "number"))
			}
			for range 900 {
				before := f.serving("m0", "1") + f.serving("m0", "2") + f.serving("m0", "3")
				f.step(t, p, demands)
				after := f.serving("m0", "1") + f.serving("m0", "2") + f.serving("m0", "3")
				assert.Assert(t, before == 0 || after > 0, "m0 has no serving replica left")
				assert.Assert(t, f.loaded <= burst+rate*f.now.Seconds()+1, "loads exceed the rate limit of the weight store")
			}
			for _, d := range demands {
				n := f.serving(d.Model, d.Version)
				assert.Assert(t, n >= 1 && float64(8*n) >= d.Slots, "%s has %d replicas for a demand of %.0f slots", d.Model, n, d.Slots)
			}
		}
		orders := f.orders
		for range 300 {
			f.step(t, p, demands)
		}
		assert.Equal(t, f.orders, orders, "the plan does not converge")
	})
}

// TestPlacementIgnoresShortFluctuations guards against loading and unloading
// models on every change of the demand.
func TestPlacementIgnoresShortFluctuations(t *testing.T) {
	f := newPlacementFleet(9, 1)
	p := NewPlanner(0, 7, 10e9, 100e9)
	demands := []ModelDemand{{Model: "a", Version: "1", Bytes: modelBytes}, {Model: "b", Version: "1", Bytes: modelBytes}}
	settled := 0
	for i := range 1200 {
		demands[0].Slots, demands[1].Slots = 40, 10
		if i/20%2 == 0 {
			demands[0].Slots, demands[1].Slots = 18, 26
		}
		f.step(t, p, demands)
		if i == 300 {
			settled = f.orders
		}
	}
	assert.Equal(t, f.orders, settled)
}

// TestPlacementWaitsForEarlierOrders guards against orders that interfere with
// late ones of the previous planner, on servers that ignore fencing numbers.
func TestPlacementWaitsForEarlierOrders(t *testing.T) {
	v := []PlacementServer{{ID: "s", Slots: 8, Capacity: 1}}
	d := []ModelDemand{{Model: "a", Version: "1", Slots: 4, Bytes: modelBytes}}
	p := NewPlanner(0, 7, 10e9, 100e9)
	assert.Equal(t, len(p.Plan(time.Second, v, d)), 0)
	assert.Equal(t, len(p.Plan(fencingGrace, v, d)), 1)
}
