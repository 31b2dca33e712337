package engine

import (
	"net/http"
	"slices"

	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/standin"
	"github.com/sycamoreline/sycamoreline/verdict"
)

func (e *StandIn) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !standin.ReadJSON(w, r, &o) {
		return
	}
	i := e.current.Load()
	serving, rejection := i.apply(o, e.settings.Fencing)
	if rejection != nil {
		rejection.Write(w)
		return
	}
	standin.WriteJSON(w, serving)
}

// apply executes an order. With fencing, it rejects an order whose fencing
// number is below the highest one of the executed orders.
func (i *incarnation) apply(o Order, fencing bool) (Serving, *verdict.Error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if fencing && o.Fencing < i.fencing {
		return Serving{}, verdict.Newf(verdict.NotRun, verdict.Conflict, "field \"fencing\": %d: want %d or more", o.Fencing, i.fencing)
	}
	switch {
	case o.LoadModel != nil:
		i.unload(ModelVersion{Name: o.LoadModel.Name, Version: o.LoadModel.Version})
		i.models = append(i.models, *o.LoadModel)
	case o.UnloadModel != nil:
		i.unload(*o.UnloadModel)
	case o.Role != "":
		i.role = o.Role
	default:
		return Serving{}, verdict.New(verdict.NotRun, verdict.BadRequest, "order is empty: want load-model, unload-model or role")
	}
	i.fencing = max(i.fencing, o.Fencing)
	return Serving{Incarnation: i.id, Models: slices.Clone(i.models), Role: i.role}, nil
}

func (i *incarnation) unload(v ModelVersion) {
	i.models = slices.DeleteFunc(i.models, func(m membership.Model) bool {
		return m.Name == v.Name && m.Version == v.Version
	})
}
