package dispatcher

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
)

// Code is the reason why a request was refused. docs/ERRORS.md lists the codes.
type Code string

// Refusal codes.
const (
	CodeBadRequest        Code = "BadRequest"
	CodeUnauthenticated   Code = "Unauthenticated"
	CodeUnknownService    Code = "UnknownService"
	CodeTooLarge          Code = "TooLarge"
	CodeKeyReused         Code = "KeyReused"
	CodeBudgetExhausted   Code = "BudgetExhausted"
	CodeBudgetUnreachable Code = "BudgetUnreachable"
	CodeOverloaded        Code = "Overloaded"
	CodeNoServer          Code = "NoServer"
	CodeDeadlineExceeded  Code = "DeadlineExceeded"
	CodeDraining          Code = "Draining"
	CodeInProgress        Code = "InProgress"
	CodeClaimUnreachable  Code = "ClaimUnreachable"
	CodeOutcomeUnknown    Code = "OutcomeUnknown"
	CodeAnswerBroken      Code = "AnswerBroken"
	CodeQuarantined       Code = "Quarantined"
	CodeMemoryFull        Code = "MemoryFull"
)

// Refusal is the router's answer to a request for which it returns no answer of a
// backend server.
type Refusal struct {
	Code    Code
	Message string
	// RequestID identifies the request.
	RequestID string `json:"RequestId"`
	// NotRun is true only if the request did not run and was not billed.
	NotRun bool
	// RetryAfterMs is the delay before the caller should retry, in milliseconds; 0
	// means that a retry does not help.
	RetryAfterMs clocker.Millis
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Code, r.Message)
}

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int {
	if status, ok := httpStatuses[r.Code]; ok {
		return status
	}
	return 500
}

var httpStatuses = map[Code]int{
	CodeBadRequest:        400,
	CodeUnauthenticated:   401,
	CodeBudgetExhausted:   402,
	CodeUnknownService:    404,
	CodeInProgress:        409,
	CodeTooLarge:          413,
	CodeKeyReused:         422,
	CodeOverloaded:        429,
	CodeOutcomeUnknown:    502,
	CodeAnswerBroken:      502,
	CodeBudgetUnreachable: 503,
	CodeClaimUnreachable:  503,
	CodeNoServer:          503,
	CodeDraining:          503,
	CodeQuarantined:       503,
	CodeMemoryFull:        503,
	CodeDeadlineExceeded:  504,
}

// NewRefusal returns a refusal and counts it in the metrics.
func NewRefusal(code Code, requestID string, notRun bool, message string) *Refusal {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cowsliphinge_answers_refused_total{code=%q,not_run="%t"}`, code, notRun)).Inc()
	return &Refusal{Code: code, Message: message, RequestID: requestID, NotRun: notRun, RetryAfterMs: retryAfterMs[code]}
}

// retryAfterMs is the delay before a caller should retry, in milliseconds.
var retryAfterMs = map[Code]clocker.Millis{
	CodeOverloaded:        500,
	CodeNoServer:          1000,
	CodeDraining:          100,
	CodeInProgress:        500,
	CodeBudgetUnreachable: 2000,
	CodeClaimUnreachable:  2000,
	CodeMemoryFull:        1000,
}
