// Package dispatcher runs requests, from the claim and the reservation to the bill.
// A request is NotDispatched until it is sent to a backend server, Dispatched until
// the answer is complete, then Answered. An attempt that certainly did not run
// restores the progress from before it. A refusal reports "not run" only if the request
// was never dispatched or every backend server it was sent to certainly did not run it.
package dispatcher

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
	"cowsliphinge/quarantiner"
	"cowsliphinge/reserver"
)

// maxAttempts bounds how often one request is sent to backend servers. It also
// bounds how often one stream is resumed.
const maxAttempts = 4

// billCopyTimeout bounds how long the last byte of an answer waits until a second
// host has a copy of the bill, in milliseconds. If no other host is reachable, the
// answer is sent without a copy.
const billCopyTimeout = 300 * clocker.Millis(1)

// Progress is how far a request got in this process. It is kept for every request; the
// state of a claim is kept by the Claimer and, unlike Progress, outlives the process.
type Progress int

// Progress of a request, in order. It goes back only when an attempt certainly did not
// run.
const (
	// NotDispatched means that no backend server can have run the request.
	NotDispatched Progress = iota
	// Dispatched means that a backend server may have run the request.
	Dispatched
	// Answered means that the complete answer was received.
	Answered
)

var singleCopyBills = metrics.NewCounter("cowsliphinge_bills_without_copy_total")

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	cfg       Config
	canceller Canceller
	inFlight  atomic.Int64

	mu       sync.Mutex
	draining bool
	drained  chan struct{}
}

// New returns a Dispatcher that accepts requests.
func New(cfg Config) *Dispatcher {
	if cfg.Quarantine == nil {
		cfg.Quarantine = noQuarantine{}
	}
	return &Dispatcher{
		cfg:       cfg,
		canceller: Canceller{Connector: cfg.Connector, Clock: cfg.Clock},
		drained:   make(chan struct{}),
	}
}

// InFlight returns the number of requests in flight.
func (d *Dispatcher) InFlight() int64 {
	return d.inFlight.Load()
}

// Drain makes the Dispatcher refuse new requests. Requests in flight continue.
func (d *Dispatcher) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return
	}
	d.draining = true
	if d.inFlight.Load() == 0 {
		close(d.drained)
	}
}

// Drained returns a channel that is closed when Drain was called and no request is
// in flight.
func (d *Dispatcher) Drained() <-chan struct{} {
	return d.drained
}

func (d *Dispatcher) startRequest() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return false
	}
	d.inFlight.Add(1)
	return true
}

func (d *Dispatcher) finishRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight.Add(-1) == 0 && d.draining {
		close(d.drained)
	}
}

// activeRequest is the state of one request that was admitted or is being admitted. It
// may lead to several runs, that is, executions at backend servers.
type activeRequest struct {
	d           *Dispatcher
	call        Call
	suspect     quarantiner.Request
	progress    Progress
	reservation reserver.Reservation
	claim       *messenger.Claim
	choice      picker.Choice
	avoid       []string
	attempts    int
	// withoutSlot is true if choice holds no slot of the balancer.
	withoutSlot bool
	// tracked is true if the stream was reported to the Tracker.
	tracked bool
	// settled is true once settle was called.
	settled bool
}

// admit claims a call if it needs a claim, and then reserves the given tokens, an
// upper bound of its cost. It returns the admitted request, an existing answer as
// acquireClaim does, or a refusal. The claim is made first: a retry of a request that
// has run needs no budget, and a refusal for lack of budget could not report "not run"
// for it.
func (d *Dispatcher) admit(ctx context.Context, call Call, tokens int64) (*activeRequest, *Answer, *Refusal) {
	if !d.startRequest() {
		return nil, nil, NewRefusal(CodeDraining, call.RequestID, !call.NeedsClaim(), "this host takes no new requests")
	}
	r := &activeRequest{d: d, call: call, suspect: suspectOf(call)}
	if !d.cfg.Biller.HasCapacity() {
		d.finishRequest()
		return nil, nil, NewRefusal(CodeOverloaded, call.RequestID, !call.NeedsClaim(), "too many bills wait for the platform")
	}
	existing, refusal := r.acquireClaim(ctx)
	if existing != nil || refusal != nil {
		d.finishRequest()
		return nil, existing, refusal
	}
	if refusal := r.reserve(ctx, tokens); refusal != nil {
		if r.claim != nil {
			d.cfg.Claimer.Release(ctx, r.claim)
		}
		d.finishRequest()
		return nil, nil, refusal
	}
	return r, nil, nil
}

// NeedsClaim reports whether the call has an idempotency key under which it may run
// only once. Until the key is claimed, an earlier request with it may have run. A
// call of an unknown service with a key needs a claim.
func (c Call) NeedsClaim() bool {
	return c.IdempotencyKey != "" && (c.Service == nil || !c.Service.Idempotent)
}

// reserve reserves the tokens at rank 0, the first to be served when tokens are scarce.
func (r *activeRequest) reserve(ctx context.Context, tokens int64) *Refusal {
	cfg := r.d.cfg
	patience := clocker.Millis(cfg.Index().Policy.PatienceMs)
	deadline := min(r.call.Deadline, cfg.Clock.Now()+patience)
	reservation, err := cfg.Reserver.Reserve(ctx, r.call.Account.Budget, tokens, 0, deadline)
	if err != nil {
		return budgetRefusal(r.call, err)
	}
	r.reservation = reservation
	return nil
}

func budgetRefusal(call Call, err error) *Refusal {
	if reserver.IsErrBudgetExhausted(err) {
		return NewRefusal(CodeBudgetExhausted, call.RequestID, true, err.Error())
	}
	return NewRefusal(CodeBudgetUnreachable, call.RequestID, true, err.Error())
}

// acquireSlot takes a slot of a backend server, preferably one that has neither failed
// nor refused this request.
func (r *activeRequest) acquireSlot(ctx context.Context, prefix uint64) *Refusal {
	if refusal := r.quarantined(); refusal != nil {
		return refusal
	}
	choice, err := r.d.cfg.Balancer.Acquire(ctx, picker.Request{
		Service:       r.call.Service.Name,
		Model:         r.call.model(),
		ClientAccount: r.call.Account.Name,
		Weight:        r.call.Account.Weight,
		Prefix:        prefix,
		Tokens:        r.reservation.Tokens,
		Deadline:      r.call.Deadline,
		Avoid:         r.avoid,
		Priority:      r.call.Priority,
	})
	if err != nil {
		return r.noServerRefusal(err)
	}
	r.choice = choice
	now := r.d.cfg.Clock.Now()
	if now >= r.call.Deadline {
		r.releaseSlot(picker.Abandoned)
		return NewRefusal(CodeDeadlineExceeded, r.call.RequestID, r.progress == NotDispatched, "deadline passed before dispatch")
	}
	r.attempts++
	return nil
}

func (r *activeRequest) noServerRefusal(err error) *Refusal {
	code := CodeNoServer
	var noServer picker.ErrRefused
	if errors.As(err, &noServer) {
		code = noServerCode(noServer.Reason)
	}
	refusal := NewRefusal(code, r.call.RequestID, r.progress == NotDispatched, err.Error())
	if noServer.RetryAfterMs > 0 {
		refusal.RetryAfterMs = clocker.Millis(noServer.RetryAfterMs)
	}
	return refusal
}

func noServerCode(reason string) Code {
	switch reason {
	case picker.ReasonQueueFull, picker.ReasonShed, picker.ReasonOverload:
		return CodeOverloaded
	case picker.ReasonDeadline:
		return CodeDeadlineExceeded
	default:
		return CodeNoServer
	}
}

// releaseSlot gives the slot back, if one is held. A backend server that failed or
// refused the request is avoided in further attempts.
func (r *activeRequest) releaseSlot(o picker.Outcome) {
	if r.choice.Server == nil {
		return
	}
	if o == picker.Failed || o == picker.Refused {
		r.avoid = append(r.avoid, r.choice.Server.Name)
	}
	if !r.withoutSlot {
		r.d.cfg.Balancer.Release(r.choice, o)
	}
	r.withoutSlot = false
	r.choice = picker.Choice{}
}

// allowRetry reports whether the request may be retried for reason, and sleeps for
// the back-off.
func (r *activeRequest) allowRetry(ctx context.Context, reason string) bool {
	if r.attempts >= maxAttempts || !r.d.cfg.Retrier.Allow(reason) {
		return false
	}
	backoff := r.d.cfg.Retrier.Backoff(r.attempts)
	if r.d.cfg.Clock.Now()+backoff >= r.call.Deadline {
		return false
	}
	return r.d.cfg.Clock.Sleep(ctx, backoff) == nil
}

// settle settles the reservation and ends the request. Only the first call has an
// effect.
func (r *activeRequest) settle(used int64) {
	if r.settled {
		return
	}
	r.settled = true
	if r.tracked {
		r.d.cfg.Tracker.ReportEnded(r.call.RequestID)
	}
	r.d.cfg.Reserver.Settle(r.reservation, min(used, r.reservation.Tokens))
	r.d.finishRequest()
}

// recordBill records the bill of the request. It is called before the last byte of
// the answer is sent.
func (r *activeRequest) recordBill(ctx context.Context, usage Usage, partial bool) {
	ctx, cancel := r.d.cfg.Clock.WithTimeout(ctx, billCopyTimeout)
	defer cancel()
	if err := r.d.cfg.Biller.Record(ctx, &messenger.Bill{
		ClientAccount: r.call.Account.Name,
		RequestId:     r.call.RequestID,
		Budget:        r.call.Account.Budget,
		Service:       r.call.Service.Name,
		Tokens:        min(usage.Total(), r.reservation.Tokens),
		PromptTokens:  usage.PromptTokens,
		OutputTokens:  usage.CompletionTokens,
		FinishedAtMs:  int64(r.d.cfg.Clock.Now()),
		Incarnation:   r.d.cfg.Incarnation,
		Partial:       partial,
	}); err != nil {
		singleCopyBills.Inc()
	}
}

// priorityNames are the names of the priorities in requests to model engines.
var priorityNames = map[picker.Priority]string{
	picker.Interactive: "interactive",
	picker.Batch:       "batch",
}

func (r *activeRequest) backendRequest(method, path, contentType string, body []byte) connector.Request {
	return connector.Request{
		Method:          method,
		Path:            path,
		ContentType:     contentType,
		Body:            body,
		Memory:          r.call.Memory,
		RequestID:       r.call.RequestID,
		IdempotencyKey:  r.call.IdempotencyKey,
		Priority:        priorityNames[r.call.Priority],
		Deadline:        r.call.Deadline,
		ProgressTimeout: clocker.Millis(r.call.Service.ProgressTimeoutMs),
		CloseConnection: !r.call.Service.Idempotent,
		OwnConnection:   r.attempts > 1 || r.call.IdempotencyKey != "",
	}
}

func (c Call) model() string {
	if c.Completion == nil {
		return ""
	}
	return c.Completion.Model
}
