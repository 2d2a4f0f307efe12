// Package loader sends open-loop load to a running fleet, injects declared
// faults into stand-ins, and records a history that package checker verifies.
// Latency counts from the moment at which the schedule wanted a request sent,
// so that a slow fleet cannot hide it by slowing the sender.
package loader

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/gravitational/trace"

	"cowsliphinge/clocker"
)

// Arrivals is how requests are spread over time.
type Arrivals string

// Kinds of arrivals.
const (
	Constant Arrivals = "Constant"
	Poisson  Arrivals = "Poisson"
)

// Plan is one load, the body of a JSON file.
type Plan struct {
	Name string
	// DurationMs is how long requests are sent, in milliseconds.
	DurationMs clocker.Millis
	// RequestsPerSecond is the mean rate.
	RequestsPerSecond float64
	Arrivals          Arrivals
	// Seed fixes arrivals, accounts, prompts and keys.
	Seed uint64
	// MaxInFlight bounds open requests; more are counted as shed; 0 means 2000.
	MaxInFlight int
	// Callers are addresses of hosts, used in turn.
	Callers []string
	// Accounts that send, with their shares of the requests.
	Accounts []Account
	// Mix of the requests.
	Mix []Kind
	// Faults to inject, by time.
	Faults []FaultStep
	// BackendServers are stand-ins whose logs are read at the end.
	BackendServers []BackendServer
	// PlatformURL is read for bills at the end; empty reads none.
	PlatformURL string
	// SendRequestIDs sends request IDs as a router does, for a load straight at
	// a stand-in engine, which shows what the fleet adds.
	SendRequestIDs bool
	// SettleMs is the wait before the platform is read, in which hosts write
	// their bills, in milliseconds.
	SettleMs clocker.Millis
}

// Account is a client account that sends.
type Account struct {
	Name string
	// Key is the bearer key.
	Key    string
	Budget string
	// Granted is the budget at the start, in tokens.
	Granted int64
	// Share of all requests, relative to the other accounts; 0 means 1.
	Share float64
}

// Kind is one kind of request in the mix.
type Kind struct {
	Service string
	// Share of all requests, relative to the other kinds; 0 means 1.
	Share float64
	// Model makes it a language request; empty makes it an application call.
	Model     string
	MaxTokens int64
	Stream    bool
	// PromptBytes is the length of the prompt that differs each time.
	PromptBytes int
	// SharedBytes is the length of a leading message that several requests
	// share; Prefixes is how many different ones there are.
	SharedBytes int
	Prefixes    int
	// Path of an application call below the service.
	Path string
	// CallTokens is the price of an application call, in tokens.
	CallTokens int64
	// NonIdempotent calls carry a key and must run at most once.
	NonIdempotent bool
	// RepeatPercent of the requests carry a key and are sent again
	// RepeatAfterMs milliseconds later.
	RepeatPercent int
	RepeatAfterMs clocker.Millis
	// DeadlineMs is sent with the request; 0 sends none.
	DeadlineMs clocker.Millis
	// Slots of the service, for the count of false refusals; 0 for unknown.
	Slots int64
}

// FaultStep puts faults in force at a stand-in.
type FaultStep struct {
	// AtMs counts from the start, in milliseconds.
	AtMs clocker.Millis
	// Address of the stand-in; its /faults gets the body.
	Address string
	Faults  json.RawMessage
}

// BackendServer is a stand-in that keeps a log of what it ran.
type BackendServer struct {
	Name    string
	Address string
}

// ErrPlan lists everything that is wrong with a plan.
type ErrPlan struct {
	Findings []string
}

// Error implements error.
func (err ErrPlan) Error() string {
	return strings.Join(err.Findings, "\n")
}

// IsErrPlan reports whether err is an ErrPlan.
func IsErrPlan(err error) bool {
	var target ErrPlan
	return errors.As(err, &target)
}

// Validate returns ErrPlan with every finding, or nil.
func (p Plan) Validate() error {
	var findings []string
	find := func(wrong bool, path, message string) {
		if wrong {
			findings = append(findings, path+": "+message)
		}
	}
	find(p.DurationMs <= 0, "$.DurationMs", "must be positive")
	find(p.RequestsPerSecond <= 0, "$.RequestsPerSecond", "must be positive")
	find(p.Arrivals != Constant && p.Arrivals != Poisson, "$.Arrivals", "must be Constant or Poisson")
	find(len(p.Callers) == 0, "$.Callers", "must not be empty")
	find(len(p.Accounts) == 0, "$.Accounts", "must not be empty")
	find(len(p.Mix) == 0, "$.Mix", "must not be empty")
	for i, a := range p.Accounts {
		find(a.Name == "", fmt.Sprintf("$.Accounts[%d].Name", i), "must not be empty")
		find(a.Share < 0, fmt.Sprintf("$.Accounts[%d].Share", i), "must not be negative")
	}
	for i, k := range p.Mix {
		path := fmt.Sprintf("$.Mix[%d]", i)
		find(k.Share < 0, path+".Share", "must not be negative")
		find(k.Model == "" && k.Service == "", path, "needs a Model or a Service")
		find(k.Model != "" && k.MaxTokens <= 0, path+".MaxTokens", "must be positive")
		find(k.RepeatPercent < 0 || k.RepeatPercent > 100, path+".RepeatPercent", "must be 0 to 100")
	}
	if len(findings) > 0 {
		return ErrPlan{Findings: findings}
	}
	return nil
}

// ReadPlan reads a plan from a JSON file. Unknown keys are errors.
func ReadPlan(name string) (Plan, error) {
	content, err := os.ReadFile(name)
	if err != nil {
		return Plan{}, trace.ConvertSystemError(err)
	}
	d := json.NewDecoder(bytes.NewReader(content))
	d.DisallowUnknownFields()
	var p Plan
	if err := d.Decode(&p); err != nil {
		return Plan{}, trace.Wrap(err, name)
	}
	return p, trace.Wrap(p.Validate(), name)
}
