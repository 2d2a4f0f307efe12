// Package orderer brings model engines to their desired state. Orders carry
// the fencing number of the lease under which they are given; what an engine
// took is read back, and the present holder repairs what differs, so engines
// that ignore fencing numbers end in the same state.
package orderer

import (
	"slices"

	"cowsliphinge/messenger"
)

// Model names weights, as engines are told.
type Model struct {
	Name     string
	Version  string   `json:",omitempty"`
	Adapters []string `json:",omitempty"`
}

// Order is the desired state of an engine.
type Order struct {
	Fencing int64
	Models  []Model
	Role    string
}

// State is what an engine tells of itself.
type State struct {
	Fencing int64
	Models  []Model
	// Loading lists models that are ordered and not loaded yet.
	Loading []Model
	Role    string
}

// Action is what an engine needs.
type Action int

// Actions of Decide.
const (
	// Keep: the engine is as it should be, or on its way there.
	NoAction Action = iota + 1
	// Raise: the state is right, but the engine may still take orders of an
	// earlier holder.
	RaiseFencing
	// Repair: the state differs without a model to load.
	Repair
	// Load: a model must be loaded from the weight store.
	Load
	// StandDown: an engine that checks took an order of a later holder.
	StandDown
)

// Desired returns the order for a backend server by its declaration.
func DesiredOrder(d *messenger.Declarations, b *messenger.BackendServer) Order {
	order := Order{Role: b.Role}
	for _, name := range b.Models {
		m := Model{Name: name}
		for _, declared := range d.GetModels() {
			if declared.Name == name {
				m.Version, m.Adapters = declared.Version, declared.Adapters
			}
		}
		order.Models = append(order.Models, m)
	}
	return order
}

// Decide compares what an engine told with its order. checks tells whether the
// engine refuses old fencing numbers.
func Decide(order Order, seen State, checks bool) Action {
	switch {
	case checks && seen.Fencing > order.Fencing:
		return StandDown
	case !covers(slices.Concat(seen.Models, seen.Loading), order.Models):
		return Load
	case !covers(order.Models, slices.Concat(seen.Models, seen.Loading)), seen.Role != order.Role:
		return Repair
	case checks && seen.Fencing < order.Fencing:
		return RaiseFencing
	}
	return NoAction
}

// Loaded reports whether an engine serves all that the order names.
func Fulfilled(order Order, seen State) bool {
	return covers(seen.Models, order.Models) && seen.Role == order.Role
}

// covers reports whether have holds all models of want.
func covers(have, want []Model) bool {
	for _, m := range want {
		if !slices.ContainsFunc(have, func(other Model) bool { return same(other, m) }) {
			return false
		}
	}
	return true
}

// same compares models; an engine that was started by hand may not know its
// version, and adapters load with their model.
func same(a, b Model) bool {
	return a.Name == b.Name && (a.Version == b.Version || a.Version == "" || b.Version == "")
}
