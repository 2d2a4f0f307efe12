package relayer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
)

var latencies = metrics.NewHistogram("cowsliphinge_relay_seconds")

// ending is how the answer to a caller ended.
type ending string

const (
	// endedWhole answers were framed as complete.
	endedComplete ending = "whole"
	// endedBroken answers broke off visibly.
	endedAborted ending = "broken_off"
	// endedRefused requests got an answer of this router's own.
	endedRefused ending = "refused"
)

// record is what the log tells of one request.
type requestLog struct {
	// status is the one that the caller got.
	status int
	// refused is true if the answer is one of this router's own.
	refused         bool
	reason          string
	firstEventAfter clocker.Millis
	attempts        []attempt
}

// try is one server that the request was sent to, or was meant to be.
type attempt struct {
	Server  string
	Zone    string
	AtMs    clocker.Millis
	Outcome string
	// Status is that of the server's answer; 0 if none came.
	Status int `json:",omitempty"`
	// Events counts the events of this try that went to the caller.
	Events int64  `json:",omitempty"`
	Cause  string `json:",omitempty"`
}

func (r *requestLog) startAttempt(s chooser.Server, at clocker.Millis) {
	r.attempts = append(r.attempts, attempt{Server: s.ID, Zone: s.AvailabilityZone, AtMs: at})
}

// answered notes the status of the server's answer.
func (r *requestLog) setAttemptStatus(status int) {
	if len(r.attempts) > 0 {
		r.attempts[len(r.attempts)-1].Status = status
	}
}

// passed notes that events of the last try went to the caller.
func (r *requestLog) addEvents(events int64) {
	if len(r.attempts) > 0 {
		r.attempts[len(r.attempts)-1].Events += events
	}
}

// begun notes the status that the caller got, if none went before.
func (r *requestLog) setStatus(status int) {
	if r.status == 0 {
		r.status = status
	}
}

func (r *requestLog) setCause(err error) {
	if len(r.attempts) > 0 && err != nil {
		r.attempts[len(r.attempts)-1].Cause = err.Error()
	}
}

func (r *requestLog) setOutcome(reason string) {
	if reason == "" {
		reason = "answered"
	}
	if len(r.attempts) > 0 {
		r.attempts[len(r.attempts)-1].Outcome = reason
	}
}

// resumed reports whether a server was tried after events of another one had gone
// to the caller.
func (r *requestLog) resumed() bool {
	for i, t := range r.attempts {
		if t.Events > 0 && i+1 < len(r.attempts) {
			return true
		}
	}
	return false
}

// ended returns how the answer to the caller ended.
func (x *exchange) ending() ending {
	switch {
	case !x.reply.complete:
		return endedAborted
	case x.log.refused:
		return endedRefused
	}
	return endedComplete
}

// writeLog writes the one line of a request: what was asked, what decided it and
// how it ended.
func (x *exchange) writeLog(used int64) {
	took := x.cfg.Clock.Now() - x.started
	latencies.Update(float64(took) / float64(clocker.Second))
	metrics.GetOrCreateCounter(fmt.Sprintf(`cowsliphinge_relay_answers_total{status="%d"}`, x.log.status)).Inc()
	ending := x.ending()
	metrics.GetOrCreateCounter(fmt.Sprintf(`cowsliphinge_relay_ends_total{end="%s",resumed="%t"}`, ending, x.log.resumed())).Inc()
	attributes := []any{"id", x.id, "status", x.log.status, "reason", x.log.reason, "ended", ending, "took_ms", took}
	if x.table != nil {
		attributes = append(attributes, "version", x.table.Version)
	}
	if x.route != nil {
		attributes = append(attributes, "route", x.route.Name, "time_ms", x.deadline-x.started)
	}
	if x.account != nil {
		attributes = append(attributes, "account", x.account.Name, "reserved", x.reservation.Tokens, "used", used)
	}
	if x.service != nil {
		attributes = append(attributes, "service", x.service.Name, "tries", x.log.attempts)
	}
	if x.position.forwarded > 0 {
		attributes = append(attributes, "events", x.position.forwarded, "last_event", x.position.callerLast, "first_event_ms", x.log.firstEventAfter)
	}
	x.cfg.Log.Info("request", attributes...)
}
