package dispatcher

import (
	"context"

	"cowsliphinge/claimer"
	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
	"cowsliphinge/reserver"
)

// Call is one request of a caller.
type Call struct {
	Account *messenger.ClientAccount
	Service *messenger.Service
	// RequestID names the request in answers, bills and at backend servers.
	RequestID string
	// IdempotencyKey is the caller's name of the request; empty for none.
	IdempotencyKey string
	Deadline       clocker.Millis
	Priority       picker.Priority

	Method      string
	Path        string
	ContentType string
	Body        []byte

	// Authorization is the caller's own header, for forwarding.
	Authorization string

	// Completion is set for language services.
	Completion *CompletionRequest
	// After is the number of the last event that the caller already has.
	After int64
}

// Answer is a whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed is true if it was stored by an earlier run of the same request.
	Replayed bool
}

// Reserver reserves and settles budget tokens.
type Reserver interface {
	Reserve(ctx context.Context, budget string, tokens int64, rank int, deadline clocker.Millis) (reserver.Reservation, error)
	Settle(r reserver.Reservation, used int64)
}

// Claimer makes keyed requests run at most once.
type Claimer interface {
	Claim(ctx context.Context, q claimer.Request) claimer.Decision
	// MarkDispatched reports false if the request must not be sent.
	MarkDispatched(claim *messenger.Claim) bool
	Finish(ctx context.Context, claim *messenger.Claim, answer *messenger.StoredAnswer)
	Release(ctx context.Context, claim *messenger.Claim)
}

// Biller records bills.
type Biller interface {
	Record(ctx context.Context, bill *messenger.Bill) error
	// Room reports whether bills of new requests can be kept.
	Room() bool
}

// Balancer hands out slots of backend servers.
type Balancer interface {
	Acquire(ctx context.Context, q picker.Request) (picker.Choice, error)
	Release(c picker.Choice, o picker.Outcome)
}

// Retrier allows retries within a budget.
type Retrier interface {
	Attempted()
	Allow(reason string) bool
	Backoff(attempt int) clocker.Millis
}

// Forwarder passes a call to the host of an incarnation.
type Forwarder interface {
	Forward(ctx context.Context, incarnation string, call Call) (*Answer, error)
}

// Tracker tells a second host which streams are open.
type Tracker interface {
	Opened(stream *messenger.OpenStream)
	Ended(requestID string)
	// Locate returns an open stream of a host that may be gone, or nil.
	Locate(requestID string) *messenger.OpenStream
}

// Connector reaches backend servers.
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
	Forwarder   Forwarder
	Tracker     Tracker
}
