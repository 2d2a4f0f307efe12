package dispatcher

import (
	"context"

	"cowsliphinge/admitter"
	"cowsliphinge/claimer"
	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
	"cowsliphinge/reserver"
)

// Call is a request of a caller.
type Call struct {
	Account *messenger.ClientAccount
	Service *messenger.Service
	// RequestID identifies the request in answers, in bills and at backend servers.
	RequestID string
	// IdempotencyKey is the value of the caller's Idempotency-Key header, or empty.
	IdempotencyKey string
	Deadline       clocker.Millis
	Priority       picker.Priority

	Method      string
	Path        string
	ContentType string
	Body        []byte

	// Authorization is the caller's Authorization header. It is sent along when the
	// call is forwarded to another host.
	Authorization string

	// Completion is the parsed request of a language service, nil for applications.
	Completion *CompletionRequest
	// LastEventID is the number of the last event that the caller has received; 0
	// for none.
	LastEventID int64

	// Memory is charged for an answer that is held whole; nil means without a bound.
	Memory *admitter.Holding
}

// Answer is a complete answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed is true if the answer was stored by an earlier run of the request.
	Replayed bool
}

// Reserver reserves and settles budget tokens.
type Reserver interface {
	Reserve(ctx context.Context, budget string, tokens int64, rank int, deadline clocker.Millis) (reserver.Reservation, error)
	Settle(r reserver.Reservation, used int64)
}

// Claimer ensures that a request with an idempotency key runs at most once.
type Claimer interface {
	Claim(ctx context.Context, q claimer.Request) claimer.Decision
	// MarkDispatched records that the request is about to be sent. It returns false if
	// the claim has ended or its deadline has passed; the request must not be sent then.
	MarkDispatched(claim *messenger.Claim) bool
	Finish(ctx context.Context, claim *messenger.Claim, answer *messenger.StoredAnswer)
	Release(ctx context.Context, claim *messenger.Claim)
}

// Biller records bills.
type Biller interface {
	Record(ctx context.Context, bill *messenger.Bill) error
	// HasCapacity reports whether there is capacity for the bills of new requests.
	HasCapacity() bool
}

// Balancer assigns slots of backend servers to requests.
type Balancer interface {
	Acquire(ctx context.Context, q picker.Request) (picker.Choice, error)
	Release(c picker.Choice, o picker.Outcome)
}

// Retrier limits retries to a retry budget, a share of the requests. It has nothing to
// do with token budgets.
type Retrier interface {
	// CountFirstAttempt counts a request, which adds to the retry budget.
	CountFirstAttempt()
	Allow(reason string) bool
	Backoff(attempt int) clocker.Millis
}

// Forwarder sends a call to the host that has the given incarnation.
type Forwarder interface {
	Forward(ctx context.Context, incarnation string, call Call) (*Answer, error)
}

// Tracker shares the open streams between hosts.
type Tracker interface {
	ReportOpened(stream *messenger.OpenStream)
	ReportEnded(requestID string)
	// Locate returns the open stream that another host, which has probably failed, has
	// reported for the request, or nil.
	Locate(requestID string) *messenger.OpenStream
}

// Connector sends requests to backend servers.
type Connector interface {
	Call(address string, r connector.Request) (*connector.Answer, error)
	Stream(address string, r connector.Request) (*connector.Answer, error)
}

// Config configures a Dispatcher.
type Config struct {
	Incarnation string
	Clock       *clocker.Clock
	Index       func() *indexer.Index
	Reserver    Reserver
	Claimer     Claimer
	Biller      Biller
	Balancer    Balancer
	Retrier     Retrier
	Connector   Connector
	// Refuses reports whether nothing listens at an address any more; with nil no crash is
	// detected.
	Refuses func(address string) bool
	// Quarantine may be nil.
	Quarantine Quarantine
	Forwarder  Forwarder
	Tracker    Tracker
}
