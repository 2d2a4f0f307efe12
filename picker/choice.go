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
}

// Choice is a backend server with one of its slots taken.
type Choice struct {
	Server *messenger.BackendServer
	// TakenAt is when the slot was taken.
	TakenAt clocker.Millis
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
	Left
)

// ErrNoServer says that no backend server can take the request in time.
type ErrNoServer struct {
	// Reason is a counter label such as queue_full, deadline or none_live.
	Reason string
}

// Error implements error.
func (err ErrNoServer) Error() string {
	return "no backend server: " + err.Reason
}

// IsErrNoServer reports whether err is an ErrNoServer.
func IsErrNoServer(err error) bool {
	var target ErrNoServer
	return errors.As(err, &target)
}
