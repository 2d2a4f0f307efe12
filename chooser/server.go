// Package chooser decides which backend server gets a request, from the entries
// that servers write of themselves and from what requests show. It decides
// without input, output, goroutines or wall clock.
package chooser

import "cowsliphinge/clocker"

// Server is what a backend server says of itself.
type Server struct {
	// ID names one life of the server.
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	// Slots is how many requests run at once.
	Slots int
	// Draining servers get no new work.
	Draining bool
	// ColdRemaining is how long the server stays slow after its start.
	ColdRemaining clocker.Millis
	// StartedAt is when this life began; 0 if unknown.
	StartedAt clocker.Millis
}

// Part is one part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is what a choice depends on.
type Request struct {
	Service string
	// Prompt lists the parts in order; the last one belongs to this request or
	// session alone.
	Prompt []PromptPart
	// Avoid lists the IDs of servers that this request was sent to before.
	Avoid []string
}

// Load is what a backend server told of its work.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Word is what a backend server told of itself in an answer.
type StatusReport struct {
	// Load is nil if the server told none.
	Load *Load
	// Leaving is true if the server will stop; it stays so for the rest of its life.
	Leaving bool
	// Pause is how long the server wants no request from this host, in
	// milliseconds; 0 if it told nothing.
	BackOff clocker.Millis
}

// Choice is the answer to a Request.
type Choice struct {
	// Server is the one to send to, if Found.
	Server Server
	Found  bool
	// BackAt is when the first server that asked for a pause takes requests again, if
	// none is found and one is expected back; else 0.
	RetryAt clocker.Millis
}

// Outcome is how an exchange with a backend server ended.
type Outcome int

const (
	// Answered is a whole answer, or one that the caller left.
	Answered Outcome = iota
	// Unreachable means that no connection came about.
	Unreachable
	// Broken means that the connection ended or fell silent before the answer was whole.
	Aborted
	// Shed means that the server refused the request without running it.
	Shed
	// Failed is a whole answer that says that the server failed.
	Failed
	// Gone means that another server has the address.
	AddressReused
)

// member is a server and what requests showed of it.
type member struct {
	Server
	inFlight int
	load     Load
	loadAt   clocker.Millis
	// startedSince counts own requests started after load was told.
	startedSince int
	// failures counts exchanges without an answer since the last answer.
	failures     int
	ejectedUntil clocker.Millis
	// errorShare is the recent share of failed answers.
	errorShare float64
	// answeredAt is when a byte last came from the server.
	answeredAt clocker.Millis
	// missingUntil is when the server gets nothing more, its entry found missing
	// right after an outage of the store; 0 if it stands.
	missingUntil clocker.Millis
	// toldLeaving is true once an answer said that the server leaves, whatever its
	// entry says.
	toldLeaving bool
	// pausedUntil is when the server takes requests of this host again.
	pausedUntil clocker.Millis
	// removedAt is when the entry went.
	removedAt clocker.Millis
	cache     partCache
}

// sameLife reports whether an entry tells of the same life of a server.
func (m *member) sameLife(s Server) bool {
	return m.StartedAt == s.StartedAt && m.Address == s.Address
}

// leaves reports whether the server gets nothing new until its entry says otherwise.
func (m *member) leaves(now clocker.Millis) bool {
	return m.Draining || m.toldLeaving || m.missingUntil > 0 && now >= m.missingUntil
}

// closed reports whether the server gets nothing new for now.
func (m *member) closed(now clocker.Millis) bool {
	return m.leaves(now) || now < m.pausedUntil
}

// take notes what the server told of itself.
func (m *member) take(w StatusReport, now clocker.Millis) {
	m.answeredAt = now
	m.toldLeaving = m.toldLeaving || w.Leaving
	if w.BackOff > 0 {
		m.pausedUntil = max(m.pausedUntil, now+w.BackOff)
	}
	if w.Load != nil {
		m.load = *w.Load
		m.loadAt = now
		m.startedSince = 0
	}
}

const (
	// loadAge is how long a told load counts, in milliseconds: servers tell it as
	// of some hundred milliseconds ago.
	loadAge = clocker.Second
	// errorWeight is the weight of the newest answer in errorShare.
	errorWeight = 0.1
	// ejectFirst is how long a server is left out after a failure, in
	// milliseconds; it doubles with each further one up to ejectMost.
	ejectFirst = 250 * clocker.Millis(1)
	ejectMost  = 2 * clocker.Second
	// brokenBeforeEjection is how many exchanges in a row have to break.
	brokenBeforeEjection = 2
)

// work is how many requests the server is taken to have: what it told of late, else
// the mean of its service.
func (m *member) work(now clocker.Millis, mean float64) float64 {
	if m.loadAt == 0 || now-m.loadAt > loadAge {
		return max(float64(m.inFlight), mean)
	}
	return float64(max(m.inFlight, m.load.Running+m.load.Waiting+m.startedSince))
}

func (m *member) slots() int {
	if m.load.Slots > 0 {
		return m.load.Slots
	}
	return m.Slots
}

func (m *member) ejected(now clocker.Millis) bool {
	if m.failures == 0 {
		return false
	}
	return now < m.ejectedUntil || m.ejectedUntil > 0 && m.inFlight > 0
}

func (m *member) eject(now clocker.Millis) {
	pause := min(ejectFirst<<min(m.failures-1, 8), ejectMost)
	m.ejectedUntil = now + pause
}

// note takes in the outcome of an exchange. It reports whether the server was
// ejected by it.
func (m *member) note(o Outcome, now clocker.Millis) bool {
	share := 0.0
	switch o {
	case Answered, Failed, Shed:
		m.failures = 0
		m.ejectedUntil = 0
		m.answeredAt = now
		if o == Failed {
			share = 1
		}
	case Unreachable, AddressReused:
		m.failures++
		m.eject(now)
		return true
	case Aborted:
		share = 1
		m.failures++
		if m.failures >= brokenBeforeEjection {
			m.eject(now)
		}
	}
	m.errorShare += errorWeight * (share - m.errorShare)
	return m.ejectedUntil > now
}
