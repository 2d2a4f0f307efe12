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

// failure is the cause of a failed attempt or request. It is also the error response that
// this host generates, unless the caller gets a server's response.
type failure struct {
	status int
	// reason is the metric label and the value in the log line.
	reason string
	// meanRetryAfter is the mean delay after which a retry can succeed, in
	// milliseconds; 0 means that no Retry-After is sent.
	meanRetryAfter clocker.Millis
	// minRetryAfter is the delay before which no retry can succeed, in milliseconds.
	minRetryAfter clocker.Millis
	// exactRetryAfter sends the delay even if the caller does not wait for so long.
	exactRetryAfter bool
}

// Failures. Status 503 guarantees to callers that the request did not run.
var (
	noConfiguration       = failure{status: http.StatusServiceUnavailable, reason: "no_configuration", meanRetryAfter: 300}
	noRoute               = failure{status: http.StatusNotFound, reason: "no_route"}
	unknownKey            = failure{status: http.StatusUnauthorized, reason: "unknown_key"}
	bodyTooLarge          = failure{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	memoryFull            = failure{status: http.StatusServiceUnavailable, reason: "memory_full", meanRetryAfter: 500}
	bodyReadFailed        = failure{status: http.StatusBadRequest, reason: "body_broken"}
	budgetExhausted       = failure{status: http.StatusPaymentRequired, reason: "budget_exhausted"}
	budgetUnreachable     = failure{status: http.StatusServiceUnavailable, reason: "budget_unreachable", meanRetryAfter: 700}
	noServer              = failure{status: http.StatusServiceUnavailable, reason: "no_server", meanRetryAfter: 500}
	serversPaused         = failure{status: http.StatusServiceUnavailable, reason: "servers_paused", meanRetryAfter: 100}
	serversFull           = failure{status: http.StatusServiceUnavailable, reason: "servers_full", meanRetryAfter: 250}
	serverUnreachable     = failure{status: http.StatusServiceUnavailable, reason: "server_unreachable", meanRetryAfter: 250}
	serverShed            = failure{status: http.StatusServiceUnavailable, reason: "server_shed", meanRetryAfter: 250}
	crashesServers        = failure{status: http.StatusServiceUnavailable, reason: "quarantined", meanRetryAfter: 100, exactRetryAfter: true}
	originUnknown         = failure{status: http.StatusServiceUnavailable, reason: "origin_unknown", meanRetryAfter: 250}
	stopping              = failure{status: http.StatusServiceUnavailable, reason: "stopping", meanRetryAfter: 50}
	deadlineBeforeSending = failure{status: http.StatusServiceUnavailable, reason: "deadline_before_sending"}
	// outcomeUnknown means that the request may have run and is not retried.
	outcomeUnknown = failure{status: http.StatusBadGateway, reason: "outcome_unknown"}
	// serverFailed marks an error response of a server, which is itself forwarded.
	serverFailed = failure{status: http.StatusBadGateway, reason: "server_failed"}
	// streamNotContinued ends a stream that a later server does not continue.
	streamNotContinued = failure{status: http.StatusBadGateway, reason: "stream_not_continued"}
	timedOut           = failure{status: http.StatusGatewayTimeout, reason: "timed_out"}
)

// impliesNotRun reports whether callers take the status as proof that the request did not
// run. It is false for some failures before the run, such as noRoute.
func (f failure) impliesNotRun() bool {
	return f.status == http.StatusServiceUnavailable
}

// withMinRetryAfter returns the failure with the delay before which no retry can
// succeed.
func (f failure) withMinRetryAfter(delay clocker.Millis) failure {
	f.minRetryAfter = max(0, delay)
	return f
}

// write sends the failure as a response. remaining is the time that the caller still waits; at most a
// third of it is sent as Retry-After, unless the delay is exact.
func (f failure) write(w http.ResponseWriter, remaining clocker.Millis) {
	metrics.GetOrCreateCounter(`cowsliphinge_relay_refusals_total{reason="` + f.reason + `"}`).Inc()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if f.meanRetryAfter > 0 {
		delay := float64(f.minRetryAfter) + float64(f.meanRetryAfter)*(0.5+rand.Float64()) // spreads the retries of many callers
		if !f.exactRetryAfter {
			delay = min(delay, float64(max(remaining, 0))/3)
		}
		h.Set("Retry-After", strconv.FormatFloat(delay/float64(clocker.Second), 'f', 3, 64))
	}
	body, err := json.Marshal(struct{ Reason string }{f.reason})
	if err != nil {
		body = []byte(fmt.Sprintf("%q", f.reason))
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(f.status)
	_, _ = w.Write(body) // fails only if the caller has disconnected
}
