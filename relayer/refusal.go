package relayer

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
)

// refusal is an answer of this router's own.
type refusal struct {
	status int
	// reason is the label of the counter and of the log line.
	reason string
	// retryAfter is when a repeat has a chance on average, in milliseconds; 0 for
	// never.
	meanRetryAfter clocker.Millis
	// earliest is before when a repeat has none, in milliseconds.
	minRetryAfter clocker.Millis
}

// Refusals before a request is sent. Each of those with status 503 means that the
// request did not run.
var (
	noConfiguration       = refusal{http.StatusServiceUnavailable, "no_configuration", 300, 0}
	noRoute               = refusal{http.StatusNotFound, "no_route", 0, 0}
	unknownKey            = refusal{http.StatusUnauthorized, "unknown_key", 0, 0}
	bodyTooLarge          = refusal{http.StatusRequestEntityTooLarge, "body_too_large", 0, 0}
	bodyReadFailed        = refusal{http.StatusBadRequest, "body_broken", 0, 0}
	budgetExhausted       = refusal{http.StatusPaymentRequired, "budget_exhausted", 0, 0}
	budgetUnreachable     = refusal{http.StatusServiceUnavailable, "budget_unreachable", 700, 0}
	noServer              = refusal{http.StatusServiceUnavailable, "no_server", 500, 0}
	serversPaused         = refusal{http.StatusServiceUnavailable, "servers_paused", 100, 0}
	serverUnreachable     = refusal{http.StatusServiceUnavailable, "server_unreachable", 250, 0}
	serverShed            = refusal{http.StatusServiceUnavailable, "server_shed", 250, 0}
	stopping              = refusal{http.StatusServiceUnavailable, "stopping", 50, 0}
	deadlineBeforeSending = refusal{http.StatusServiceUnavailable, "deadline_before_sending", 0, 0}
	// outcomeUnknown ends a request that may have run.
	outcomeUnknown = refusal{http.StatusBadGateway, "outcome_unknown", 0, 0}
	// serverFailed marks a server's own failure; its answer is passed on.
	serverFailed = refusal{http.StatusBadGateway, "server_failed", 0, 0}
	// notContinued ends a stream that a later server does not go on with.
	streamNotContinued = refusal{http.StatusBadGateway, "stream_not_continued", 0, 0}
	timedOut           = refusal{http.StatusGatewayTimeout, "timed_out", 0, 0}
)

// saysNotRun reports whether the refusal promises that the request has not run.
func (f refusal) impliesNotRun() bool {
	return f.status == http.StatusServiceUnavailable
}

// after returns the refusal with the time before which a repeat has no chance.
func (f refusal) withMinRetryAfter(delay clocker.Millis) refusal {
	f.minRetryAfter = max(0, delay)
	return f
}

// write sends the refusal. left is the time that the caller still waits: callers
// come back within a third of it at most.
func (f refusal) write(w http.ResponseWriter, remaining clocker.Millis) {
	metrics.GetOrCreateCounter(`cowsliphinge_relay_refusals_total{reason="` + f.reason + `"}`).Inc()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if f.meanRetryAfter > 0 {
		delay := float64(f.minRetryAfter) + float64(f.meanRetryAfter)*(0.5+rand.Float64()) // spreads the return
		delay = min(delay, float64(max(remaining, 0))/3)
		h.Set("Retry-After", strconv.FormatFloat(delay/float64(clocker.Second), 'f', 3, 64))
	}
	body, err := json.Marshal(struct{ Reason string }{f.reason})
	if err != nil {
		body = []byte(fmt.Sprintf("%q", f.reason))
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(f.status)
	_, _ = w.Write(body) // a caller that has left needs no answer
}
