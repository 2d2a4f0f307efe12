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
	endedWhole ending = "whole"
	// endedBroken answers broke off visibly.
	endedBroken ending = "broken_off"
	// endedRefused requests got an answer of this router's own.
	endedRefused ending = "refused"
)

// record is what the log tells of one request.
type record struct {
	// status is the one that the caller got.
	status int
	// refused is true if the answer is one of this router's own.
	refused    bool
	reason     string
	firstEvent clocker.Millis
	tries      []try
}

// try is one server that the request was sent to, or was meant to be.
type try struct {
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

func (r *record) try(s chooser.Server, at clocker.Millis) {
	r.tries = append(r.tries, try{Server: s.ID, Zone: s.AvailabilityZone, AtMs: at})
}

// answered notes the status of the server's answer.
func (r *record) answered(status int) {
	if len(r.tries) > 0 {
		r.tries[len(r.tries)-1].Status = status
	}
}

// passed notes that events of the last try went to the caller.
func (r *record) passed(events int64) {
	if len(r.tries) > 0 {
		r.tries[len(r.tries)-1].Events += events
	}
}

// begun notes the status that the caller got, if none went before.
func (r *record) begun(status int) {
	if r.status == 0 {
		r.status = status
	}
}

func (r *record) failed(err error) {
	if len(r.tries) > 0 && err != nil {
		r.tries[len(r.tries)-1].Cause = err.Error()
	}
}

func (r *record) outcome(reason string) {
	if reason == "" {
		reason = "answered"
	}
	if len(r.tries) > 0 {
		r.tries[len(r.tries)-1].Outcome = reason
	}
}

// resumed reports whether a server was tried after events of another one had gone
// to the caller.
func (r *record) resumed() bool {
	for i, t := range r.tries {
		if t.Events > 0 && i+1 < len(r.tries) {
			return true
		}
	}
	return false
}

// ended returns how the answer to the caller ended.
func (x *exchange) ended() ending {
	switch {
	case !x.reply.complete:
		return endedBroken
	case x.log.refused:
		return endedRefused
	}
	return endedWhole
}

// writeLog writes the one line of a request: what was asked, what decided it and
// how it ended.
func (x *exchange) writeLog(used int64) {
	took := x.cfg.Clock.Now() - x.started
	latencies.Update(float64(took) / float64(clocker.Second))
	metrics.GetOrCreateCounter(fmt.Sprintf(`cowsliphinge_relay_answers_total{status="%d"}`, x.log.status)).Inc()
	ended := x.ended()
	metrics.GetOrCreateCounter(fmt.Sprintf(`cowsliphinge_relay_ends_total{end="%s",resumed="%t"}`, ended, x.log.resumed())).Inc()
	attributes := []any{"id", x.id, "status", x.log.status, "reason", x.log.reason, "ended", ended, "took_ms", took}
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
		attributes = append(attributes, "service", x.service.Name, "tries", x.log.tries)
	}
	if x.position.events > 0 {
		attributes = append(attributes, "events", x.position.events, "last_event", x.position.last, "first_event_ms", x.log.firstEvent)
	}
	x.cfg.Log.Info("request", attributes...)
}
