// Package faulter makes a stand-in backend server fail on demand.
package faulter

import "cowsliphinge/clocker"

// Faults are what a backend server does wrong. The zero value does nothing
// wrong. Counted faults hit the next answers, one each.
type Faults struct {
	// Crashed closes each connection; what was running is lost.
	Crashed bool
	// Silent accepts requests and sends no byte, on old and new connections.
	Silent bool
	// SilenceOpen makes the connections that are open now silent for good;
	// new ones work. It takes effect once.
	SilenceOpen bool
	// SlowMs is added to each step of work, in milliseconds.
	SlowMs clocker.Millis
	// LateAnswers is how many answers come LateMs milliseconds late.
	LateAnswers int
	LateMs      clocker.Millis
	// CrossAnswers is how many answers are those of another request.
	CrossAnswers int
	// TruncateAnswers is how many answers break off half-way.
	TruncateAnswers int
	// LoseAnswers is how many requests run and get no answer.
	LoseAnswers int
	// Refusals is how many requests are refused as not run.
	Refusals int
	// RefuseAll refuses each request as not run.
	RefuseAll bool
}
