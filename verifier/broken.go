// Package verifier checks the responses of HTTP/1.1 servers while they are read. The parsers of net/http and fasthttp
// accept heads that RFC 9110 and RFC 9112 rule out, and differ in what they make of them. Nothing of such a response
// is to be used: neither its status and fields nor the length that they give to the body.
package verifier

import (
	"context"
	"errors"
	"fmt"
	"log/slog"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
)

const (
	// maxLinesPerSecond and maxLineBurst bound the log lines about broken responses of a process.
	maxLinesPerSecond = 10
	maxLineBurst      = 100
	// maxDetailBytes bounds what is quoted of a response.
	maxDetailBytes = 32
)

// Reason is the rule that a response breaks. It is a metric label and a value in log lines.
type Reason string

// Reasons.
const (
	// ReasonVersion means that the response does not begin with a version of HTTP/1.
	ReasonVersion Reason = "version"
	// ReasonStatus means that the status is not a number from 100 to 599.
	ReasonStatus Reason = "status"
	// ReasonSwitched is status 101, which no request asks for.
	ReasonSwitched Reason = "switched_protocols"
	// ReasonPhrase means that the reason phrase has a control byte.
	ReasonPhrase Reason = "reason_phrase"
	// ReasonLineEnd means that a carriage return is not followed by a line feed.
	ReasonLineEnd Reason = "line_end"
	// ReasonFieldName means that the name of a field is not a token directly before its colon.
	ReasonFieldName Reason = "field_name"
	// ReasonFieldValue means that the value of a field has a control byte.
	ReasonFieldValue Reason = "field_value"
	// ReasonLength means that Content-Length is not one number.
	ReasonLength Reason = "content_length"
	// ReasonTransferEncoding means that Transfer-Encoding is not one "chunked", or comes with another version than HTTP/1.1,
	// for which the libraries ignore it.
	ReasonTransferEncoding Reason = "transfer_encoding"
	// ReasonInterimBody means that an interim response announces a body.
	ReasonInterimBody Reason = "interim_body"
)

// ErrBrokenResponse reports that a response is not valid HTTP/1.1. The request may have run.
type ErrBrokenResponse struct {
	Reason Reason
	// Detail is the beginning of what breaks the rule.
	Detail string
}

// Error implements error.
func (e ErrBrokenResponse) Error() string {
	return fmt.Sprintf("broken response: %s %q", e.Reason, e.Detail)
}

// IsErrBrokenResponse reports whether err wraps an ErrBrokenResponse.
func IsErrBrokenResponse(err error) bool {
	var broken ErrBrokenResponse
	return errors.As(err, &broken)
}

var logLines = rate.NewLimiter(maxLinesPerSecond, maxLineBurst)

// Report counts and logs a broken response. Other errors and nil are ignored. The attributes name the server.
func Report(err error, server ...slog.Attr) {
	var broken ErrBrokenResponse
	if !errors.As(err, &broken) {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`cowsliphinge_broken_responses_total{reason=%q}`, broken.Reason)).Inc()
	if logLines.Allow() {
		attrs := append(server, slog.String("reason", string(broken.Reason)), slog.String("detail", broken.Detail))
		slog.LogAttrs(context.Background(), slog.LevelWarn, "broken response", attrs...)
	}
}
