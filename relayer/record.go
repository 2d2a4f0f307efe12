package relayer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
)

var latencies = metrics.NewHistogram("cowsliphinge_relay_seconds")

// record is what the log tells of one request.
type record struct {
	status     int
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
	Cause   string `json:",omitempty"`
}

func (r *record) try(s chooser.Server, at clocker.Millis) {
	r.tries = append(r.tries, try{Server: s.ID, Zone: s.AvailabilityZone, AtMs: at})
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

// writeLog writes the one line of a request: what was asked, what decided it and
// how it ended.
func (x *exchange) writeLog(used int64) {
	took := x.cfg.Clock.Now() - x.started
	latencies.Update(float64(took) / float64(clocker.Second))
	metrics.GetOrCreateCounter(fmt.Sprintf(`cowsliphinge_relay_answers_total{status="%d"}`, x.log.status)).Inc()
	attributes := []any{"id", x.id, "status", x.log.status, "reason", x.log.reason, "took_ms", took}
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
	if x.events > 0 {
		attributes = append(attributes, "events", x.events, "last_event", x.lastEvent, "first_event_ms", x.log.firstEvent)
	}
	x.cfg.Log.Info("request", attributes...)
}
