// Package heartbeater keeps the list of peers from declared hosts, the host
// list and heartbeats. Suspicion is local: it steers routing, never safety.
package heartbeater

import (
	"cowsliphinge/clocker"
)

// Peer is another router as this one sees it.
type Peer struct {
	Host             string
	Incarnation      string
	AvailabilityZone string
	ExchangeAddress  string
	CallerAddress    string
	// ConfigurationVersion that it last told.
	ConfigurationVersion int64
	// ServersFingerprint of the backend servers that it knows, as the store told at
	// ServersRevision.
	ServersFingerprint uint64
	ServersRevision    int64
	// LastHeard is when the last news of it arrived; 0 for never.
	LastHeard clocker.Millis
	Draining  bool
	// Suspect is true while it is silent.
	Suspect           bool
	PlatformReachable bool
	InFlight          int64
	HeldTokens        int64
	// LeavingInFlight counts its requests on leaving backend servers.
	LeavingInFlight int64
	// RequestsCut counts what it cut in its graceful stop.
	RequestsCut int64
}
