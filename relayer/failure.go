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
}

// Failures. Status 503 guarantees to callers that the request did not run.
var (
	noConfiguration       = failure{http.StatusServiceUnavailable, "no_configuration", 300, 0}
	noRoute               = failure{http.StatusNotFound, "no_route", 0, 0}
	unknownKey            = failure{http.StatusUnauthorized, "unknown_key", 0, 0}
	bodyTooLarge          = failure{http.StatusRequestEntityTooLarge, "body_too_large", 0, 0}
	bodyReadFailed        = failure{http.StatusBadRequest, "body_broken", 0, 0}
	budgetExhausted       = failure{http.StatusPaymentRequired, "budget_exhausted", 0, 0}
	budgetUnreachable     = failure{http.StatusServiceUnavailable, "budget_unreachable", 700, 0}
	noServer              = failure{http.StatusServiceUnavailable, "no_server", 500, 0}
	serversPaused         = failure{http.StatusServiceUnavailable, "servers_paused", 100, 0}
	serverUnreachable     = failure{http.StatusServiceUnavailable, "server_unreachable", 250, 0}
	serverShed            = failure{http.StatusServiceUnavailable, "server_shed", 250, 0}
	stopping              = failure{http.StatusServiceUnavailable, "stopping", 50, 0}
	deadlineBeforeSending = failure{http.StatusServiceUnavailable, "deadline_before_sending", 0, 0}
	// outcomeUnknown means that the request may have run and is not retried.
	outcomeUnknown = failure{http.StatusBadGateway, "outcome_unknown", 0, 0}
	// serverFailed marks an error response of a server, which is itself forwarded.
	serverFailed = failure{http.StatusBadGateway, "server_failed", 0, 0}
	// streamNotContinued ends a stream that a later server does not continue.
	streamNotContinued = failure{http.StatusBadGateway, "stream_not_continued", 0, 0}
	timedOut           = failure{http.StatusGatewayTimeout, "timed_out", 0, 0}
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
// third of it is sent as Retry-After.
func (f failure) write(w http.ResponseWriter, remaining clocker.Millis) {
	metrics.GetOrCreateCounter(`cowsliphinge_relay_refusals_total{reason="` + f.reason + `"}`).Inc()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if f.meanRetryAfter > 0 {
		delay := float64(f.minRetryAfter) + float64(f.meanRetryAfter)*(0.5+rand.Float64()) // spreads the retries of many callers
		delay = min(delay, float64(max(remaining, 0))/3)
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
