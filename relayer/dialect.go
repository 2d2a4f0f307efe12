package relayer

import (
	"net/http"
	"strconv"
	"strings"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
)

const (
	// maxPause bounds the pause that a backend server may ask for, in milliseconds.
	maxBackOff = clocker.Minute
	// pauseMargin is added to it: an answer takes its time to come, and clocks of two
	// machines do not run at quite the same speed. In milliseconds.
	backOffMargin = 20 * clocker.Millis(1)
)

// Dialect names the headers that a Relayer reads and sets. They belong to the
// protocol of the deployment; an empty name is never sent.
type Dialect struct {
	// RequestID names one attempt of a caller and is passed on as it came.
	RequestID string
	// Deadline holds the milliseconds that the caller, and then the server, has.
	Deadline string
	// Signature marks an answer as a backend server's own.
	Signature string
	// Account holds the name of the client account, towards backend servers.
	Account string
	// ExpectID makes any other backend server refuse the request.
	ExpectedServerID string
	// NotRun marks a refusal of a backend server that did not run the request.
	NotRun string
	// Leaving marks the answers of a backend server that is about to stop.
	Leaving string
	// Load holds running and waiting requests and slots, separated by commas.
	Load string
	// Priority is 0 to 9 towards model engines, 0 is first.
	Priority string
	// LastEventID is the last event of a stream that the caller has.
	LastEventID string
	// Tokens holds the tokens of the prompt and the most to generate.
	Tokens string
	// Prefix lists the parts of a prompt as ID:TOKENS.
	Prefix string
	// Reserved are headers that callers may not send to backend servers.
	Reserved []string
}

// word returns what a backend server told of itself in an answer.
func (d Dialect) serverHints(status int, h http.Header) chooser.Word {
	hints := chooser.Word{Load: parseLoad(h.Get(d.Load)), Leaving: h.Get(d.Leaving) != ""}
	if status == http.StatusServiceUnavailable {
		hints.Pause = parseRetryAfter(h.Get("Retry-After"))
	}
	return hints
}

// parsePause reads a number of seconds, fractions included; 0 if it is none.
func parseRetryAfter(header string) clocker.Millis {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(header), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return clocker.Millis(min(seconds*float64(clocker.Second), float64(maxBackOff))) + backOffMargin
}
