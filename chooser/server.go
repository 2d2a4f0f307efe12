// Package chooser selects the backend server for a request, based on the entries that
// servers publish and on the outcomes of earlier requests. It is pure logic: it does no
// I/O, starts no goroutines and does not read the wall clock.
//
// There are two request paths. Package runner uses this package in the path of packages
// relayer, carrier and retrier.RetryWindow, for servers that publish their entries in the
// operators' store. Package router uses package picker in the path of packages dispatcher,
// balancer, limiter, connector and retrier.RetryBudget, for declared servers.
package chooser

import (
	"fmt"

	"cowsliphinge/clocker"
	"cowsliphinge/shedder"
)

// Server is the published entry of a backend server.
type Server struct {
	// ID identifies the server. A new incarnation may have the same ID; it differs in
	// StartedAt or Address.
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Draining servers get no new requests.
	Draining bool
	// ColdRemaining is how long the server stays slow after its start.
	ColdRemaining clocker.Millis
	// StartedAt is when this incarnation started; 0 if unknown.
	StartedAt clocker.Millis
	// Software is the version of the server's software; "" if unknown.
	Software string
}

// PromptPart is a section of a prompt, with an ID chosen by the caller.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request holds the properties of a request that the choice of a server depends on.
type Request struct {
	Service string
	// Prompt lists the parts in order; the last one is not shared with other
	// requests or sessions.
	Prompt []PromptPart
	// Resumable is true if another server may continue the response later, so that the software of the
	// server has to be known.
	Resumable bool
	// Pinned is true if only servers of the version Software may get the request.
	Pinned   bool
	Software string
	// Avoid lists the IDs of servers that earlier attempts of this request were sent to.
	Avoid []string
	// StartBefore is the deadline of a request that is refused if no server can start it in time; 0 if it is sent in
	// any case.
	StartBefore clocker.Millis
	// Account is the client account, and Rank the priority: requests of a lower one are more urgent.
	Account string
	Rank    int
	// Ordered is true if the servers of the service start the most urgent requests first.
	Ordered bool
}

// Load is the load that a backend server reported.
type Load struct {
	Running int
	Queued  int
	Slots   int
}

// RequestLimit is what a response says of the requests that its server takes.
type RequestLimit struct {
	// Named is true if the response names a limit.
	Named bool
	// PerSecond is the number of requests a second from all hosts together.
	PerSecond float64
	// SentAt is when the request of the response was sent.
	SentAt clocker.Millis
}

// StatusReport is the status that a backend server reported in a response.
type StatusReport struct {
	// Load is nil if the response carried no load.
	Load *Load
	// Slowdown is how long work takes on the server's machine at this moment, as a multiple of the
	// usual time; 0 if the response did not tell.
	Slowdown float64
	// FirstEvent is set with the first event of a response.
	FirstEvent *FirstEvent
	// Completion is set at the end of a complete response.
	Completion *Completion
	// Leaving is true if the server is shutting down; this holds for the rest of the
	// incarnation.
	Leaving bool
	// BackOff is how long this host must not send requests to the server, in
	// milliseconds; 0 if the server did not request a back-off.
	BackOff clocker.Millis
	// Limit is nil if the report tells nothing of a limit.
	Limit *RequestLimit
	// Brittleness is nil if the report tells nothing of it.
	Brittleness *Brittleness
}

// Choice is the result of choosing a server for a Request.
type Choice struct {
	// Server is the server to send the request to. It is only set if Found is true.
	Server Server
	Found  bool
	// Restarted is true if the server went down lately and its entry is that of before: it may
	// be another incarnation, with other software.
	Restarted bool
	// Dispatch goes into the FirstEvent of the response.
	Dispatch Dispatch
	// Shed is why the request is refused although servers accept requests; "" if it is not.
	Shed shedder.Reason
	// RetryAt is when the first server may get a request that backs off or whose limit is
	// used up, or is expected to have room again. It is 0 if a server was found, or if no server is held back so.
	RetryAt clocker.Millis
}

// Outcome is how an attempt to send a request to a backend server ended.
type Outcome int

const (
	// NoFailure means that a complete response without a server error arrived, or that
	// the caller disconnected before the attempt could fail.
	NoFailure Outcome = iota
	// Unreachable means that no connection could be established.
	Unreachable
	// Aborted means that the connection closed or stalled before the response was
	// complete.
	Aborted
	// Refused means that the server did not run the request and said so.
	Refused
	// ServerError means that a complete response arrived that reports a server error.
	ServerError
	// AddressReused means that another server now has the address.
	AddressReused
)

// serverState is the entry of a server plus what this host observed of it.
type serverState struct {
	Server
	inFlight       int
	load           Load
	loadReportedAt clocker.Millis
	// startedSinceLoad counts the requests that this host sent after load was reported.
	startedSinceLoad int
	// slowdown is the last one reported, at slowdownAt; 0 for none.
	slowdown   float64
	slowdownAt clocker.Millis
	speed      serverSpeed
	// sent is the server's part in the sendLedger of its service.
	sent float64
	// outstandingTokens is the number of prompt tokens of this host's requests in flight.
	outstandingTokens int
	// usualLoad is the moving average of the reported loads.
	usualLoad float64
	// consecutiveFailures counts the attempts that failed to get a response since the
	// last one that did not.
	consecutiveFailures int
	ejectedUntil        clocker.Millis
	// errorRate is the moving average of the share of attempts that were aborted or
	// ended with a server error.
	errorRate float64
	// lastByteAt is when a byte was last received from the server, or when an attempt
	// last ended without a failure to get a response. The latter includes attempts that
	// ended because the caller disconnected, with or without a byte from the server.
	lastByteAt clocker.Millis
	// downAt is when nothing listened at the server's address; 0 for never.
	downAt clocker.Millis
	// unlistedStart is when the incarnation started that runs although the entry is still that of an
	// earlier one, 0 if none does. unlistedSince is when this host learned of it.
	unlistedStart, unlistedSince clocker.Millis
	// missingDeadline is when the server stops getting requests because its entry was
	// missing right after a store outage; 0 if the entry is present.
	missingDeadline clocker.Millis
	// reportedLeaving is true once a response said that the server is leaving. It
	// takes precedence over the entry.
	reportedLeaving bool
	// backOffUntil is when the back-off requested by the server ends.
	backOffUntil clocker.Millis
	limit        requestLimit
	share        serverShare
	// rejectsAt is the number of requests that the server held when it rejected one at rejectedAt, 0 for none.
	rejectsAt  int
	rejectedAt clocker.Millis
	// removedAt is when the entry was removed.
	removedAt clocker.Millis
	cache     promptCache
}

// sameIncarnation reports whether an entry belongs to the same incarnation of the server as the present one.
func (m *serverState) sameIncarnation(s Server) bool {
	return m.StartedAt == s.StartedAt && m.Address == s.Address
}

// isUnlisted reports whether an entry is the first one of an incarnation that already runs.
func (m *serverState) isUnlisted(s Server) bool {
	return m.unlistedStart > 0 && m.unlistedStart == s.StartedAt && m.Address == s.Address
}

// running returns the server as it runs. If its entry is that of an earlier incarnation, its software counts
// as a version of its own, which no other server has.
func (m *serverState) running() Server {
	s := m.Server
	if m.unlistedStart > 0 {
		s.StartedAt = m.unlistedStart
		s.Software = unlistedSoftware(s.ID, m.unlistedStart)
	}
	return s
}

// unlistedSeparator stands between the ID and the start of a server in the version of an incarnation without an entry.
const unlistedSeparator = "@"

// unlistedSoftware returns the version that stands for an incarnation without an entry.
func unlistedSoftware(id string, startedAt clocker.Millis) string {
	return fmt.Sprint(id, unlistedSeparator, startedAt)
}

// leaving reports whether the server is draining, has reported in this incarnation that it
// is leaving, or has a missing entry whose deadline has passed.
func (m *serverState) leaving(now clocker.Millis) bool {
	return m.Draining || m.reportedLeaving || m.missingDeadline > 0 && now >= m.missingDeadline
}

// restarted reports whether the server may be another incarnation than its entry tells of.
func (m *serverState) restarted(now clocker.Millis) bool {
	return m.downAt > 0 && now-m.downAt < entryDelay
}

// unavailable reports whether the server gets no new requests of this host at the moment, given
// the number of hosts that share its limit.
func (m *serverState) unavailable(hosts int, now clocker.Millis) bool {
	return m.leaving(now) || now < m.backOffUntil || !m.limit.allows(hosts, now)
}

// retryAt returns when the back-off of the server is over and its limit allows a request of
// this host; 0 if neither holds requests back now, or if that is not known.
func (m *serverState) retryAt(hosts int, now clocker.Millis) clocker.Millis {
	at := clocker.Millis(0)
	if m.backOffUntil > now {
		at = m.backOffUntil
	}
	if m.limit.allows(hosts, now) {
		return at
	}
	permitAt := m.limit.nextPermitAt(hosts, now)
	if permitAt == 0 {
		return 0
	}
	return max(at, permitAt)
}

// applyReport applies a status report of the server.
func (m *serverState) applyReport(report StatusReport, now clocker.Millis) {
	m.lastByteAt = now
	m.reportedLeaving = m.reportedLeaving || report.Leaving
	if report.BackOff > 0 {
		m.backOffUntil = max(m.backOffUntil, now+report.BackOff)
	}
	if report.Load != nil {
		load := float64(report.Load.Running + report.Load.Queued)
		if m.loadReportedAt == 0 {
			m.usualLoad = load
		}
		m.usualLoad += usualLoadWeight * (load - m.usualLoad)
		m.load = *report.Load
		if m.load.Running+m.load.Queued > m.rejectsAt {
			m.rejectsAt = 0
		}
		m.loadReportedAt = now
		m.startedSinceLoad = 0
	}
	if report.Slowdown > 0 {
		m.slowdown, m.slowdownAt = report.Slowdown, now
	}
}

const (
	// entryDelay is the time within which the entry of a server that has started again is known,
	// in milliseconds.
	entryDelay = 5 * clocker.Second
	// unlistedDelay is the time after which a server gets resumable requests whose entry is still that
	// of an earlier incarnation, in milliseconds. Its new entry is usually read sooner; without the store a
	// fleet without servers is worse.
	unlistedDelay = 2 * clocker.Second
	// maxLoadAge is how long a reported load is used. Reports are already some hundred
	// milliseconds old when they arrive.
	maxLoadAge = clocker.Second
	// usualLoadWeight is the weight of a new load report in the moving average of a server, and usualLoadAge
	// the age of the last report from which that average is not used.
	usualLoadWeight = 0.3
	usualLoadAge    = 10 * clocker.Second
	// errorRateWeight is the weight of the newest attempt in errorRate.
	errorRateWeight = 0.1
	// minEjection is how long a server is ejected after the first failure. The time
	// doubles with each consecutive failure up to maxEjection.
	minEjection = 250 * clocker.Millis(1)
	maxEjection = 2 * clocker.Second
	// abortsBeforeEjection is the number of consecutive failures from which an aborted
	// attempt ejects the server.
	abortsBeforeEjection = 2
)

// estimatedLoad estimates the requests on the server: the reported load plus the requests
// that this host sent since the report if the report is recent, else the server's usual load, which
// counts less with its age, and the mean of its service, but in both cases at least the requests of this host in flight.
func (m *serverState) estimatedLoad(now clocker.Millis, mean float64) float64 {
	age := now - m.loadReportedAt
	if m.loadReportedAt > 0 && age <= maxLoadAge {
		return float64(max(m.inFlight, m.load.Running+m.load.Queued+m.startedSinceLoad))
	}
	if m.loadReportedAt > 0 && age < usualLoadAge {
		mean += (m.usualLoad - mean) * (1 - float64(age)/float64(usualLoadAge))
	}
	return max(float64(m.inFlight), mean)
}

// reportedWithin reports whether the server reported its load at most maxAge ago.
func (m *serverState) reportedWithin(maxAge, now clocker.Millis) bool {
	return m.loadReportedAt > 0 && now-m.loadReportedAt <= maxAge
}

func (m *serverState) slots() int {
	if m.load.Slots > 0 {
		return m.load.Slots
	}
	return m.Slots
}

// ejected reports whether the server is excluded after failures. After the ejection, one
// request at a time probes the server until a response arrives.
func (m *serverState) ejected(now clocker.Millis) bool {
	if m.consecutiveFailures == 0 {
		return false
	}
	return now < m.ejectedUntil || m.ejectedUntil > 0 && m.inFlight > 0
}

func (m *serverState) eject(now clocker.Millis) {
	duration := min(minEjection<<min(m.consecutiveFailures-1, 8), maxEjection)
	m.ejectedUntil = now + duration
}

// recordOutcome updates the failure statistics with the outcome of an attempt. It
// reports whether the server is ejected afterwards.
func (m *serverState) recordOutcome(o Outcome, now clocker.Millis) bool {
	failed := 0.0
	switch o {
	case NoFailure, ServerError, Refused:
		m.consecutiveFailures = 0
		m.ejectedUntil = 0
		m.lastByteAt = now
		if o == ServerError {
			failed = 1
		}
	case Unreachable, AddressReused:
		m.consecutiveFailures++
		m.eject(now)
		return true
	case Aborted:
		failed = 1
		m.consecutiveFailures++
		if m.consecutiveFailures >= abortsBeforeEjection {
			m.eject(now)
		}
	}
	m.errorRate += errorRateWeight * (failed - m.errorRate)
	return m.ejectedUntil > now
}
