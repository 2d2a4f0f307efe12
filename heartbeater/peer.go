// Package heartbeater maintains the list of peers from declared hosts, the platform's host
// list and heartbeats (beats), which hosts exchange by gossip. Each host decides for itself
// which peers are suspect; routing uses this, but no safety property depends on it.
package heartbeater

import (
	"cowsliphinge/clocker"
)

// Peer is the state of another router as known here.
type Peer struct {
	Host             string
	Incarnation      string
	AvailabilityZone string
	ExchangeAddress  string
	CallerAddress    string
	// ConfigurationVersion is the version that it last reported.
	ConfigurationVersion int64
	// ServersFingerprint is the fingerprint of the backend servers that it knows, as of
	// ServersRevision of the store.
	ServersFingerprint uint64
	ServersRevision    int64
	// LastHeard is when its latest accepted beat arrived, less the age of a forwarded beat;
	// 0 means never.
	LastHeard clocker.Millis
	Draining  bool
	// Suspect is true if no beat of it was accepted yet, too many beats to it in a row were
	// unanswered, or it has been silent for too long.
	Suspect           bool
	PlatformReachable bool
	// BackendsCut is true while it can't connect to backend servers that other hosts reach.
	BackendsCut bool
	InFlight    int64
	// Witnesses is true if it can be the witness of a lease that guards tokens.
	Witnesses bool
	// CapacityMilli is the processor capacity of its machine in thousandths of a core, 0 if unknown.
	CapacityMilli int64
	HeldTokens    int64
	// LeavingInFlight is the number of its requests on leaving backend servers.
	LeavingInFlight int64
	// RequestsCut is the number of requests that it aborted in its graceful stop.
	RequestsCut int64
}
