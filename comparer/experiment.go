// Package comparer compares variants of a fleet under the same load. Each
// variant is a whole deployment inside this process on loopback.
package comparer

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/gravitational/trace"

	"cowsliphinge/clocker"
	"cowsliphinge/loader"
	"cowsliphinge/standin/engine"
)

// Experiment is the body of a JSON file.
type Experiment struct {
	Name string
	// Question that the experiment answers.
	Question string
	// Base is what the variants share.
	Base json.RawMessage
	// Variants change the base; the first is the one to compare with.
	Variants []Variant
}

// Variant changes parts of the base.
type Variant struct {
	Name string
	// Change is merged into the base: objects key by key, all else replaced.
	Change json.RawMessage
}

// Setup is one variant in full.
type Setup struct {
	// AvailabilityZones with HostsPerZone hosts each.
	AvailabilityZones []string
	HostsPerZone      int
	// LanguageServers and ApplicationServers are spread over the zones.
	LanguageServers    int
	ApplicationServers int
	// Slots of a language server.
	Slots int64
	// Policy as in declarations.
	Policy json.RawMessage
	// Engine is the kind of engine behind each language server.
	Engine engine.Config
	// WorkMs is the time of an application call, in milliseconds.
	WorkMs clocker.Millis
	// Load to send; its addresses are filled in.
	Load loader.Plan
	// Events of the run, by time.
	Events []Event
}

// Event changes the fleet during the run.
type Event struct {
	// AtMs counts from the start of the load, in milliseconds.
	AtMs clocker.Millis
	// Kind is CutOff, Reconnect, KillHost, StartHost, DrainHost,
	// PlatformFaults, ServerFaults, TopUp or Leave.
	Kind string
	// Target is an availability zone, host, backend server or budget.
	Target string
	// Faults of PlatformFaults and ServerFaults.
	Faults json.RawMessage
	// Tokens of a TopUp.
	Tokens int64
}

// Kinds of events.
const (
	CutOff         = "CutOff"
	Reconnect      = "Reconnect"
	KillHost       = "KillHost"
	StartHost      = "StartHost"
	DrainHost      = "DrainHost"
	PlatformFaults = "PlatformFaults"
	ServerFaults   = "ServerFaults"
	TopUp          = "TopUp"
	Leave          = "Leave"
)

// Read reads an experiment from a file. Unknown keys are errors.
func Read(name string) (Experiment, error) {
	content, err := os.ReadFile(name)
	if err != nil {
		return Experiment{}, trace.ConvertSystemError(err)
	}
	var e Experiment
	if err := strict(content, &e); err != nil {
		return Experiment{}, trace.Wrap(err, name)
	}
	if _, err := e.Setups(); err != nil {
		return Experiment{}, trace.Wrap(err, name)
	}
	return e, nil
}

// Setups returns one setup for each variant.
func (e Experiment) Setups() ([]Setup, error) {
	if len(e.Variants) == 0 {
		return nil, trace.BadParameter("$.Variants: must not be empty")
	}
	setups := make([]Setup, 0, len(e.Variants))
	for i, v := range e.Variants {
		merged, err := merge(e.Base, v.Change)
		if err != nil {
			return nil, trace.Wrap(err, "$.Variants[%d].Change", i)
		}
		var s Setup
		if err := strict(merged, &s); err != nil {
			return nil, trace.Wrap(err, "$.Variants[%d]", i)
		}
		s.Load.Name = v.Name
		setups = append(setups, s)
	}
	return setups, nil
}

func strict(content []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(content))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

// merge applies a change to a JSON value, object by object.
func merge(base, change json.RawMessage) (json.RawMessage, error) {
	if len(change) == 0 {
		return base, nil
	}
	var from, to map[string]json.RawMessage
	if json.Unmarshal(base, &from) != nil || json.Unmarshal(change, &to) != nil || from == nil {
		return change, nil
	}
	for key, value := range to {
		merged, err := merge(from[key], value)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		from[key] = merged
	}
	return json.Marshal(from)
}
