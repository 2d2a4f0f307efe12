// Package picker selects the backend server for a request by load, prompt cache affinity
// and health. It is pure logic: it does no I/O, starts no goroutines and does not read the
// wall clock.
//
// There are two request paths. Package router uses this package in the path of packages
// dispatcher, balancer, limiter, connector and retrier.RetryBudget, for declared servers.
// Package runner uses package chooser in the path of packages relayer, carrier and
// retrier.RetryWindow, for servers that publish their entries in the operators' store.
package picker

import (
	"errors"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// Request holds the properties of a request that its queueing and the choice of a server
// depend on. ClientAccount, Weight, Deadline and Priority are used by package limiter only.
type Request struct {
	Service       string
	Model         string
	ClientAccount string
	// Weight of the client account in fair queueing.
	Weight int64
	// Prefix is the hash of the leading part of the prompt; 0 without one.
	Prefix uint64
	// Tokens is the worst-case token count of the request.
	Tokens int64
	// Deadline is when the caller stops waiting.
	Deadline clocker.Millis
	// Avoid lists backend servers on which earlier attempts of this request failed.
	Avoid []string
	// Role of the model engine that the request needs; empty means an engine that serves
	// all phases.
	Role string
	// Priority class in the queue; the zero value is Interactive.
	Priority Priority
}

// Priority is the class of a request in the queue.
type Priority int

// Priority classes, the most urgent first.
const (
	// Interactive requests have a user waiting for the answer.
	Interactive Priority = iota
	// Batch requests have no user waiting. They get a small share of the slots while
	// interactive requests are queued.
	Batch
)

// Choice is a backend server on which a slot is taken for a request.
type Choice struct {
	Server *messenger.BackendServer
	// TakenAt is when the slot was taken.
	TakenAt clocker.Millis
	// FirstByteAt is when the first byte of the answer was received; 0 if unknown.
	// The dispatcher may set it before Release.
	FirstByteAt clocker.Millis
	// Tokens is the worst-case token count of the request. Service times are compared
	// per token.
	Tokens int64
	// Prefix is the prompt prefix hash of the request.
	Prefix uint64
	// Probe is true if the backend server is ejected and the request probes whether it
	// has recovered.
	Probe bool
}

// Outcome is how a dispatched request ended on its backend server.
type Outcome int

// Outcomes of Release.
const (
	// Succeeded means that the complete answer was received.
	Succeeded Outcome = iota + 1
	// Failed means that no connection could be established, that it broke or stalled, or
	// that the answer was invalid.
	Failed
	// Refused means that the backend server reported that it did not run the request.
	Refused
	// Abandoned means that the router stopped waiting for the answer or did not send the
	// request, because the caller disconnected or the choice was no longer usable. It is
	// no failure of the backend server.
	Abandoned
)

// ErrRefused reports that the request is refused and did not run, for one of the reasons
// below.
type ErrRefused struct {
	// Reason is a counter label such as queue_full, deadline or none_live.
	Reason string
	// RetryAfterMs is the time after which a retry may succeed, in milliseconds; 0 if
	// unknown.
	RetryAfterMs int64
}

// Reasons of ErrRefused.
const (
	// ReasonNoServer means that no backend server that accepts new requests serves the model
	// and role.
	ReasonNoServer = "none_live"
	// ReasonQueueFull means that the queue of the service, model and role is full.
	ReasonQueueFull = "queue_full"
	// ReasonShed means that the request was removed from a full queue in favor of a client
	// account with fewer queued requests.
	ReasonShed = "shed"
	// ReasonDeadline means that the deadline passed or cannot be met.
	ReasonDeadline = "deadline"
	// ReasonOverload means that queueing times have been long for a while and the expected
	// wait of this request is long too.
	ReasonOverload = "overload"
	// ReasonCallerDisconnected means that the caller disconnected while the request was queued.
	ReasonCallerDisconnected = "caller_left"
	// ReasonClosed means that the balancer was closed.
	ReasonClosed = "closed"
)

// Error implements error.
func (err ErrRefused) Error() string {
	return "no backend server: " + err.Reason
}

// IsErrRefused reports whether err is an ErrRefused.
func IsErrRefused(err error) bool {
	var target ErrRefused
	return errors.As(err, &target)
}
