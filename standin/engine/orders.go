package engine

import (
	"slices"

	"cowsliphinge/clocker"
)

// Model names weights that an engine serves.
type Model struct {
	Name     string
	Version  string   `json:",omitempty"`
	Adapters []string `json:",omitempty"`
}

// Order is the desired state of an engine, the body of PUT /orders.
type Order struct {
	Fencing int64
	Models  []Model
	Role    string
}

// State is the answer of GET /state.
type State struct {
	Fencing int64
	Models  []Model
	// Loading lists ordered models that are not loaded yet.
	Loading []Model
	Role    string
}

type orders struct {
	fencing int64
	role    string
	models  []Model
	loading []loading
	any     bool // true if any model is served
}

type loading struct {
	model Model
	due   clocker.Millis
}

func newOrders(models []string) orders {
	o := orders{any: len(models) == 0}
	for _, name := range models {
		o.models = append(o.models, Model{Name: name})
	}
	return o
}

// Order applies a desired state. It returns false if the engine checks fencing
// numbers and this one is old.
func (e *Engine) Order(order Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && order.Fencing < e.orders.fencing {
		return false
	}
	e.settleLoading()
	due := e.cfg.Clock.Now()
	next := orders{fencing: order.Fencing, role: order.Role}
	for _, m := range order.Models {
		if containsModel(e.orders.models, m) {
			next.models = append(next.models, m)
			continue
		}
		due += e.cfg.LoadMsPerModel
		next.loading = append(next.loading, loading{model: m, due: e.loadDue(m, due)})
	}
	e.orders = next
	e.settleLoading()
	return true
}

// loadDue keeps the time of a load that has begun already.
func (e *Engine) loadDue(m Model, due clocker.Millis) clocker.Millis {
	for _, l := range e.orders.loading {
		if sameModel(l.model, m) {
			return l.due
		}
	}
	return due
}

// settleLoading makes the models ready whose time has come.
func (e *Engine) settleLoading() {
	now := e.cfg.Clock.Now()
	e.orders.loading = slices.DeleteFunc(e.orders.loading, func(l loading) bool {
		if l.due > now {
			return false
		}
		e.orders.models = append(e.orders.models, l.model)
		return true
	})
}

// State returns what is loaded and what is being loaded.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settleLoading()
	state := State{Fencing: e.orders.fencing, Role: e.orders.role, Models: slices.Clone(e.orders.models)}
	for _, l := range e.orders.loading {
		state.Loading = append(state.Loading, l.model)
	}
	return state
}

// serves reports whether a model of that name is loaded. The caller holds mu.
func (e *Engine) serves(name string) bool {
	e.settleLoading()
	return e.orders.any || slices.ContainsFunc(e.orders.models, func(m Model) bool {
		return m.Name == name || slices.Contains(m.Adapters, name)
	})
}

func containsModel(models []Model, m Model) bool {
	return slices.ContainsFunc(models, func(other Model) bool { return sameModel(other, m) })
}

// sameModel ignores adapters that are left out and an unnamed version.
func sameModel(a, b Model) bool {
	return a.Name == b.Name && (a.Version == b.Version || a.Version == "" || b.Version == "")
}
