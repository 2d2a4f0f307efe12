// Package picker chooses the backend server of a request. It decides without
// input, output, goroutines or wall clock.
package picker

import (
	"errors"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// Request is what a choice depends on.
type Request struct {
	Service       string
	Model         string
	ClientAccount string
	// Weight of the client account for fair shares.
	Weight int64
	// Prefix is the hash of the leading part of the prompt; 0 without one.
	Prefix uint64
	// Tokens is the worst case of the request.
	Tokens int64
	// Deadline is when the caller stops waiting.
	Deadline clocker.Millis
	// Avoid lists backend servers that failed this request before.
	Avoid []string
	// Role of the model engine that the request needs; empty takes any that serves all phases.
	Role string
	// Priority class in the queue; the zero value is Interactive.
	Priority Priority
}

// Priority is the class of a request in the queue.
type Priority int

// Priority classes, the most urgent first.
const (
	// Interactive: somebody waits for the answer.
	Interactive Priority = iota
	// Batch: nobody waits; it gets a small share while interactive requests queue.
	Batch
)

// Choice is a backend server with one of its slots taken.
type Choice struct {
	Server *messenger.BackendServer
	// TakenAt is when the slot was taken.
	TakenAt clocker.Millis
	// FirstByteAt is when the first byte of the answer came; 0 while unknown.
	// The dispatcher may set it before Release.
	FirstByteAt clocker.Millis
	// Tokens is the worst case of the request, to compare service times by.
	Tokens int64
	// Prefix is that of the request.
	Prefix uint64
	// Probe is true if the backend server is on trial after an ejection.
	Probe bool
}

// Outcome tells how a dispatched request ended at its backend server.
type Outcome int

// Outcomes of Release.
const (
	// Succeeded: the whole answer came.
	Succeeded Outcome = iota + 1
	// Failed: the connection broke, went silent, or the answer was wrong.
	Failed
	// Refused: the backend server said that it did not run the request.
	Refused
	// Left: the caller left; it tells nothing of the backend server.
	CallerLeft
)

// ErrNoServer says that no backend server can take the request in time.
type ErrNoServer struct {
	// Reason is a counter label such as queue_full, deadline or none_live.
	Reason string
	// RetryAfterMs is when a repeat has a chance, in milliseconds; 0 if unknown.
	RetryAfterMs int64
}

// Reasons of ErrNoServer.
const (
	// ReasonNone: no backend server that takes new work serves the model and role.
	ReasonNone = "none_live"
	// ReasonQueueFull: too many requests of the service wait already.
	ReasonQueueFull = "queue_full"
	// ReasonShed: pushed out of a full queue for a client account with less in it.
	ReasonShed = "shed"
	// ReasonDeadline: the deadline passed or cannot be met.
	ReasonDeadline = "deadline"
	// ReasonOverload: waits have been long for a while and this one would be.
	ReasonOverload = "overload"
	// ReasonCallerLeft: the caller left while the request waited.
	ReasonCallerLeft = "caller_left"
	// ReasonClosed: the balancer was closed.
	ReasonClosed = "closed"
)

// Error implements error.
func (err ErrNoServer) Error() string {
	return "no backend server: " + err.Reason
}

// IsErrNoServer reports whether err is an ErrNoServer.
func IsErrNoServer(err error) bool {
	var target ErrNoServer
	return errors.As(err, &target)
}
