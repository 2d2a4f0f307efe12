// Package tunneler passes connections to backend servers through another host, for hosts whose own
// path to the servers is cut. The far host forwards bytes only: the near one keeps the decisions about
// requests, and learns before it sends the first byte whether the server accepted the connection.
//
// A tunnel is a CONNECT request to the exchange address of the far host, authenticated by the key
// of the routers. It leads to known backend servers only, and never to another tunnel.
package tunneler

import (
	"fmt"
	"syscall"

	"cowsliphinge/clocker"
)

const (
	// dialFailureHeader tells, with status 502, why the far host could not connect.
	dialFailureHeader = "X-Dial-Failure"
	// refusedFailure means that nothing listens at the server's address.
	refusedFailure = "refused"
	// handshakeAllowance is the time for the two hosts in addition to the dial of the server, in
	// milliseconds.
	handshakeAllowance = 150 * clocker.Millis(1)
	// maxReplyBytes bounds the reply of the far host to a CONNECT request.
	maxReplyBytes = 4 << 10
)

// ErrServerUnreachable means that the far host could not connect to the server.
type ErrServerUnreachable struct {
	Address string
	// Refused is true if nothing listens at the address.
	Refused bool
}

// Error implements error.
func (e ErrServerUnreachable) Error() string {
	return fmt.Sprintf("another host can't connect to %s, refused: %t", e.Address, e.Refused)
}

// Unwrap makes a refused connection look like one that was refused directly.
func (e ErrServerUnreachable) Unwrap() error {
	if e.Refused {
		return syscall.ECONNREFUSED
	}
	return nil
}

// IsErrServerUnreachable reports whether err is an ErrServerUnreachable.
func IsErrServerUnreachable(err error) bool {
	_, ok := err.(ErrServerUnreachable)
	return ok
}

// ErrHostUnavailable means that the far host could not be reached or accepts no tunnel.
type ErrHostUnavailable struct {
	Address string
	Cause   string
}

// Error implements error.
func (e ErrHostUnavailable) Error() string {
	return fmt.Sprintf("no tunnel through %s: %s", e.Address, e.Cause)
}

// IsErrHostUnavailable reports whether err is an ErrHostUnavailable.
func IsErrHostUnavailable(err error) bool {
	_, ok := err.(ErrHostUnavailable)
	return ok
}
