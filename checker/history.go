// Package checker verifies the history of a run, as callers, backend servers,
// bills and budgets tell it, against what the system promises. It does no
// input or output but for Read and Recorder.
package checker

import "cowsliphinge/clocker"

// History is everything that was observed in one run. Times are of one clock.
type History struct {
	Requests []Request
	Runs     []Run
	Bills    []Bill
	Budgets  []Budget
	TopUps   []TopUp
	Leavings []Leaving
	Stops    []Stop
	Versions []Version
	Applies  []Apply
	Services []Service
}

// Outcome is how an attempt ended for its caller.
type Outcome string

// Outcomes of an attempt.
const (
	// Answered: an answer came and said that it is complete.
	Answered Outcome = "Answered"
	// RefusedNotRun: the refusal said that the request did not run.
	RefusedNotRun Outcome = "RefusedNotRun"
	// InProgress: another attempt with the key is running.
	InProgress Outcome = "InProgress"
	// OutcomeUnknown: the refusal said that the request may have run.
	OutcomeUnknown Outcome = "OutcomeUnknown"
	// Broken: the connection ended without answer or refusal.
	Broken Outcome = "Broken"
	// Left: the caller gave up, by its own choice.
	Left Outcome = "Left"
)

// Request is one attempt of a caller.
type Request struct {
	ClientAccount  string
	Budget         string
	Service        string
	IdempotencyKey string
	// NonIdempotent requests must run at most once for each key.
	NonIdempotent bool
	// RequestID that the answer carried; empty if none came.
	RequestID string
	// Address of the host that was called.
	Address string
	// IntendedAt is when the schedule wanted it sent, SentAt when it was.
	IntendedAt   clocker.Millis
	SentAt       clocker.Millis
	FirstTokenAt clocker.Millis
	FinishedAt   clocker.Millis
	Outcome      Outcome
	// Code of a refusal, or of a broken connection's cause.
	Code string
	// Whole and Own are meaningful with Answered: the answer is complete, and
	// it belongs to this request.
	Whole bool
	Own   bool
	// AnswerID identifies the content of an answer to a keyed request.
	AnswerID string
	// PromptTokens and OutputTokens that the caller was served.
	PromptTokens int64
	OutputTokens int64
	// CallTokens is the price of an application call that was answered.
	CallTokens int64
	// WorstCase is the most tokens that the request could have used.
	WorstCase int64
}

// Tokens returns what the caller was served.
func (r Request) Tokens() int64 {
	return r.PromptTokens + r.OutputTokens + r.CallTokens
}

// Run is one start of a request at a backend server.
type Run struct {
	Server         string
	RequestID      string
	IdempotencyKey string
	StartedAt      clocker.Millis
	// EndedAt is 0 while it runs.
	EndedAt      clocker.Millis
	PromptTokens int64
	// Generated and Delivered count output tokens.
	Generated int64
	Delivered int64
}

// Bill is a bill record as the platform holds it at the end.
type Bill struct {
	ClientAccount string
	RequestID     string
	Budget        string
	Tokens        int64
	// Partial amounts are upper bounds.
	Partial bool
}

// Budget is a prepaid budget as the platform holds it at the end.
type Budget struct {
	Name string
	// Initial is what was granted before the run began.
	Initial int64
	// Granted is the sum of top-ups; Assigned is what incarnations may put
	// into use. Both are 0 if they were not read.
	Granted  int64
	Assigned int64
}

// TopUp is one command that an operator sent.
type TopUp struct {
	OperationID string
	Budget      string
	Tokens      int64
	SentAt      clocker.Millis
	// Confirmed is false if no answer came; it may have counted.
	Confirmed bool
}

// Leaving is a backend server that gets no new work 3 s after At.
type Leaving struct {
	Server string
	At     clocker.Millis
	// Until is when it took work again; 0 for never.
	Until clocker.Millis
}

// Stop is a planned stop of a host.
type Stop struct {
	Host    string
	Address string
	From    clocker.Millis
	Until   clocker.Millis
}

// Version is a configuration version seen in force at a host.
type Version struct {
	Host    string
	At      clocker.Millis
	Version int64
}

// Apply is one command to put a configuration in force.
type Apply struct {
	OperationID     string
	ExpectedVersion int64
	// Version that it produced; 0 if it was refused or nothing came back.
	Version  int64
	Conflict bool
	SentAt   clocker.Millis
	EndedAt  clocker.Millis
}

// Service tells how much work a service can take at once.
type Service struct {
	Name  string
	Slots int64
}
