// Package orderer brings model engines to their desired state. Each order carries
// the fencing token of the lease under which it is sent. The current holder of the
// lease reads the state of the engines back and repairs differences, so that
// engines that ignore fencing tokens converge to the same state too.
package orderer

import (
	"slices"

	"cowsliphinge/messenger"
)

// Model names a version of the weights and its adapters, as sent to engines.
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

// State is the state that an engine reports.
type State struct {
	Fencing int64
	Models  []Model
	// Loading lists the models that were ordered and are not loaded yet.
	Loading []Model
	Role    string
}

// Action is the action by which an engine reaches its desired state.
type Action int

// The results of Decide.
const (
	// NoAction: the engine is in its desired state or is loading what it lacks.
	NoAction Action = iota + 1
	// RaiseFencing: the state is as desired, but the fencing token of the engine is
	// lower than the holder's, so that it still accepts orders of an earlier holder.
	RaiseFencing
	// Repair: the state differs, but no model has to be loaded.
	Repair
	// Load: a model has to be loaded from the weight store.
	Load
	// StandDown: an engine that checks fencing tokens accepted an order of a later
	// holder; nothing is sent.
	StandDown
)

// DesiredOrder returns the order that brings a backend server to its declared state.
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

// Decide compares the state that an engine reported with its order. checksFencing
// reports whether the engine rejects stale fencing tokens.
func Decide(order Order, state State, checksFencing bool) Action {
	switch {
	case checksFencing && state.Fencing > order.Fencing:
		return StandDown
	case !covers(slices.Concat(state.Models, state.Loading), order.Models):
		return Load
	case !covers(order.Models, slices.Concat(state.Models, state.Loading)), state.Role != order.Role:
		return Repair
	case checksFencing && state.Fencing < order.Fencing:
		return RaiseFencing
	}
	return NoAction
}

// Fulfilled reports whether an engine has loaded all models of the order and has its
// role.
func Fulfilled(order Order, state State) bool {
	return covers(state.Models, order.Models) && state.Role == order.Role
}

// covers reports whether have contains all models of want.
func covers(have, want []Model) bool {
	for _, m := range want {
		if !slices.ContainsFunc(have, func(other Model) bool { return sameModel(other, m) }) {
			return false
		}
	}
	return true
}

// sameModel compares name and version. An empty version matches any: an engine that was
// started by hand may not know its version. Adapters are not compared because they load
// with their model.
func sameModel(a, b Model) bool {
	return a.Name == b.Name && (a.Version == b.Version || a.Version == "" || b.Version == "")
}
