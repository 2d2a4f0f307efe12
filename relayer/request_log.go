package relayer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/shedder"
)

var latencies = metrics.NewHistogram("cowsliphinge_relay_seconds")

const (
	// maxLoggedParts limits the prompt parts in a log line.
	maxLoggedParts = 8
	// maxLoggedIDBytes limits the logged ID of a part, which callers choose.
	maxLoggedIDBytes = 32
	// maxLoggedPathBytes limits the logged path, which callers choose.
	maxLoggedPathBytes = 96
)

// ending is how the response to the caller ended.
type ending string

const (
	// endedComplete means that a server's response was forwarded completely.
	endedComplete ending = "whole"
	// endedAborted means that the response was aborted before its end.
	endedAborted ending = "broken_off"
	// endedRefused means that this host responded with a failure.
	endedRefused ending = "refused"
)

// requestLog collects what is logged about one request.
type requestLog struct {
	// status is the status sent to the caller.
	status int
	// refused is true if this host responded with a failure.
	refused         bool
	reason          string
	firstEventAfter clocker.Millis
	// shed is why no server could start the request in time.
	shed     shedder.Reason
	attempts []*attemptLog
}

// attemptLog is one server chosen for the request. The field names are keys of the log
// line.
type attemptLog struct {
	Server string
	Zone   string
	// Software is the version of the server's software, and StartedAt when it started, by its entry.
	Software  string         `json:",omitempty"`
	StartedAt clocker.Millis `json:",omitempty"`
	// Incarnation is when the server started by its own word on the connection; 0 if it did not tell.
	Incarnation clocker.Millis `json:",omitempty"`
	// Unframed is true if the end of the response was the end of the connection.
	Unframed bool `json:",omitempty"`
	AtMs     clocker.Millis
	Outcome  string
	// Status is the status of the server's response; 0 without a response.
	Status int `json:",omitempty"`
	// Events counts the events of this attempt that were forwarded to the caller, and Received those that the server
	// sent, with the ones that the caller already had.
	Events   int64 `json:",omitempty"`
	Received int64 `json:",omitempty"`
	// EndedWhole is true if the server ended its answer as complete, by its length or chunks, or answered afterwards.
	EndedWhole bool `json:",omitempty"`
	// SilentMs is how long the server had sent nothing when another one took over, in milliseconds; 0 if none did.
	SilentMs clocker.Millis `json:",omitempty"`
	Cause    string         `json:",omitempty"`
	// Crashed is true if the server crashed before it had begun to answer.
	Crashed bool `json:",omitempty"`
}

func (r *requestLog) startAttempt(s chooser.Server, at clocker.Millis) *attemptLog {
	l := &attemptLog{Server: s.ID, Zone: s.AvailabilityZone, Software: s.Software, StartedAt: s.StartedAt, AtMs: at}
	r.attempts = append(r.attempts, l)
	return l
}

// setStatus sets the status sent to the caller, unless one was sent before.
func (r *requestLog) setStatus(status int) {
	if r.status == 0 {
		r.status = status
	}
}

func (l *attemptLog) setCause(err error) {
	if err != nil {
		l.Cause = err.Error()
	}
}

func (l *attemptLog) setOutcome(reason string) {
	if reason == "" {
		reason = "answered"
	}
	l.Outcome = reason
}

// resumed reports whether another attempt followed one whose events were forwarded to
// the caller.
func (r *requestLog) resumed() bool {
	for i, t := range r.attempts {
		if t.Events > 0 && i+1 < len(r.attempts) {
			return true
		}
	}
	return false
}

// ending returns how the response to the caller ended.
func (x *relayedRequest) ending() ending {
	switch {
	case !x.reply.complete:
		return endedAborted
	case x.log.refused:
		return endedRefused
	}
	return endedComplete
}

// writeLog writes the log line of a request and updates the metrics: what was
// requested, which configuration applied and how the response ended.
func (x *relayedRequest) writeLog(used int64) {
	took := x.cfg.Clock.Now() - x.started
	latencies.Update(float64(took) / float64(clocker.Second))
	metrics.GetOrCreateCounter(fmt.Sprintf(`cowsliphinge_relay_answers_total{status="%d"}`, x.log.status)).Inc()
	ending := x.ending()
	metrics.GetOrCreateCounter(fmt.Sprintf(`cowsliphinge_relay_ends_total{end="%s",resumed="%t"}`, ending, x.log.resumed())).Inc()
	attributes := []any{"id", x.id, "status", x.log.status, "reason", x.log.reason, "ended", ending, "took_ms", took}
	if x.table != nil {
		attributes = append(attributes, "version", x.table.Version)
	}
	if x.dependsOnVersion() {
		news := x.cfg.ConfigurationNews()
		attributes = append(attributes, "path", x.loggedPath(), "in_force_ms", x.cfg.Clock.Now()-news.InForceSince, "newest_version", news.NewestVersion)
	}
	if x.route != nil {
		attributes = append(attributes, "route", x.route.Name, "time_ms", x.deadline-x.started)
	}
	if x.suspect.ID != 0 {
		attributes = append(attributes, "fingerprint", fmt.Sprintf("%016x", x.suspect.ID))
	}
	if parts := x.loggedParts(); len(parts) > 0 {
		attributes = append(attributes, "parts", parts)
	}
	if takenUp := x.req.Header.Get(x.cfg.HeaderNames.TakenUp); takenUp != "" {
		attributes = append(attributes, "takes_up", takenUp[:min(len(takenUp), maxLoggedIDBytes)])
	}
	if x.account != nil {
		attributes = append(attributes, "account", x.account.Name, "reserved", x.reservation.Tokens, "used", used)
	}
	if x.service != nil {
		attributes = append(attributes, "service", x.service.Name, "tries", x.log.attempts)
	}
	if x.log.shed != shedder.Sent {
		attributes = append(attributes, "shed", x.log.shed, "priority", x.priority())
	}
	if x.position.forwarded > 0 {
		attributes = append(attributes, "events", x.position.forwarded, "last_event", x.position.callerLast, "first_event_ms", x.log.firstEventAfter)
	}
	x.cfg.Log.Info("request", attributes...)
}

// dependsOnVersion reports whether the request was refused because the configuration in force has
// no such route or key. Another version may have it.
func (x *relayedRequest) dependsOnVersion() bool {
	return x.log.reason == noRoute.reason || x.log.reason == unknownKey.reason
}

// loggedPath returns the host and the start of the path of the request.
func (x *relayedRequest) loggedPath() string {
	target := x.req.Host + requestTarget(x.req)
	return target[:min(len(target), maxLoggedPathBytes)]
}

// loggedParts returns the IDs of the first maxLoggedParts parts of the prompt.
func (x *relayedRequest) loggedParts() []string {
	parts := x.prompt[:min(len(x.prompt), maxLoggedParts)]
	ids := make([]string, 0, len(parts))
	for _, p := range parts {
		ids = append(ids, p.ID[:min(len(p.ID), maxLoggedIDBytes)])
	}
	return ids
}
