// Package dispatcher takes one request from its reservation to its bill. A
// request is NotDispatched until it is handed to a backend server, Dispatched
// until the answer is whole, then Answered. Only a request that was never
// dispatched, or that its backend server refused to run, is told "not run".
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
	"cowsliphinge/reserver"
)

// maxAttempts bounds how often one request is handed to backend servers.
const maxAttempts = 4

// copyPatience is how long the last byte of an answer waits for its bill to be
// with a second host, in milliseconds; a host alone in reach goes on without.
const copyPatience = 300 * clocker.Millis(1)

// State is how far a request has come.
type State int

// States of a request, in order.
const (
	// NotDispatched: no backend server can have run it.
	NotDispatched State = iota
	// Dispatched: a backend server may have run it.
	Dispatched
	// Answered: the whole answer is here.
	Answered
)

var singleCopyBills = metrics.NewCounter("cowsliphinge_bills_without_copy_total")

// Dispatcher runs requests. Its methods may be called from many goroutines.
type Dispatcher struct {
	cfg       Config
	canceller Canceller
	inFlight  atomic.Int64

	mu       sync.Mutex
	draining bool
	idle     chan struct{}
}

// New returns a Dispatcher that takes requests.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:       cfg,
		canceller: Canceller{Connector: cfg.Connector, Clock: cfg.Clock},
		idle:      make(chan struct{}),
	}
}

// InFlight returns how many requests are being run.
func (d *Dispatcher) InFlight() int64 {
	return d.inFlight.Load()
}

// Drain refuses new requests from now on. Requests in flight go on.
func (d *Dispatcher) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return
	}
	d.draining = true
	if d.inFlight.Load() == 0 {
		close(d.idle)
	}
}

// Idle is closed once the Dispatcher drains and nothing is in flight.
func (d *Dispatcher) Idle() <-chan struct{} {
	return d.idle
}

func (d *Dispatcher) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return false
	}
	d.inFlight.Add(1)
	return true
}

func (d *Dispatcher) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight.Add(-1) == 0 && d.draining {
		close(d.idle)
	}
}

// run is the state of one request.
type run struct {
	d           *Dispatcher
	call        Call
	state       State
	reservation reserver.Reservation
	claim       *messenger.Claim
	choice      picker.Choice
	avoid       []string
	attempts    int
	// borrowed is true if the choice took no slot.
	borrowed bool
	// tracked is true if a second host knows of the request.
	tracked bool
	left    bool
}

// admit claims a call if it needs a claim, and then reserves its worst case. It
// returns the run, or the answer of an earlier run, or a refusal. The claim goes
// first: a repeat of a request that ran needs no budget, and a refusal for want
// of budget could not say "not run" of it.
func (d *Dispatcher) admit(ctx context.Context, call Call, tokens int64) (*run, *Answer, *Refusal) {
	if !d.enter() {
		return nil, nil, NewRefusal(CodeDraining, call.RequestID, !call.NeedsClaim(), "this host takes no new requests")
	}
	r := &run{d: d, call: call}
	if !d.cfg.Biller.Room() {
		d.leave()
		return nil, nil, NewRefusal(CodeOverloaded, call.RequestID, !call.NeedsClaim(), "too many bills wait for the platform")
	}
	stored, refusal := r.makeClaim(ctx)
	if stored != nil || refusal != nil {
		d.leave()
		return nil, stored, refusal
	}
	if refusal := r.reserve(ctx, tokens); refusal != nil {
		if r.claim != nil {
			d.cfg.Claimer.Release(ctx, r.claim)
		}
		d.leave()
		return nil, nil, refusal
	}
	return r, nil, nil
}

// NeedsClaim reports whether the call may run only once under its key. Until it
// is claimed, an earlier attempt may have run it. A call whose service is not
// known counts.
func (c Call) NeedsClaim() bool {
	return c.IdempotencyKey != "" && (c.Service == nil || !c.Service.Idempotent)
}

func (r *run) reserve(ctx context.Context, tokens int64) *Refusal {
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

// acquire takes a slot at a backend server that has not failed this request.
func (r *run) acquire(ctx context.Context, prefix uint64) *Refusal {
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
		return r.noServer(err)
	}
	r.choice = choice
	now := r.d.cfg.Clock.Now()
	if now >= r.call.Deadline {
		r.release(picker.CallerLeft)
		return NewRefusal(CodeDeadlineExceeded, r.call.RequestID, r.state == NotDispatched, "deadline passed before dispatch")
	}
	r.attempts++
	return nil
}

func (r *run) noServer(err error) *Refusal {
	code := CodeNoServer
	var none picker.ErrNoServer
	if errors.As(err, &none) {
		code = codeOf(none.Reason)
	}
	refusal := NewRefusal(code, r.call.RequestID, r.state == NotDispatched, err.Error())
	if none.RetryAfterMs > 0 {
		refusal.RetryAfterMs = clocker.Millis(none.RetryAfterMs)
	}
	return refusal
}

func codeOf(reason string) Code {
	switch reason {
	case picker.ReasonQueueFull, picker.ReasonShed, picker.ReasonOverload:
		return CodeOverloaded
	case picker.ReasonDeadline:
		return CodeDeadlineExceeded
	default:
		return CodeNoServer
	}
}

func (r *run) release(o picker.Outcome) {
	if r.choice.Server == nil {
		return
	}
	if o == picker.Failed || o == picker.Refused {
		r.avoid = append(r.avoid, r.choice.Server.Name)
	}
	if !r.borrowed {
		r.d.cfg.Balancer.Release(r.choice, o)
	}
	r.borrowed = false
	r.choice = picker.Choice{}
}

// again reports whether the request may be handed out once more for reason.
func (r *run) again(ctx context.Context, reason string) bool {
	if r.attempts >= maxAttempts || !r.d.cfg.Retrier.Allow(reason) {
		return false
	}
	backoff := r.d.cfg.Retrier.Backoff(r.attempts)
	if r.d.cfg.Clock.Now()+backoff >= r.call.Deadline {
		return false
	}
	return r.d.cfg.Clock.Sleep(ctx, backoff) == nil
}

// end settles the request and forgets it. It may be called more than once; the
// first call counts.
func (r *run) end(used int64) {
	if r.left {
		return
	}
	r.left = true
	if r.tracked {
		r.d.cfg.Tracker.Ended(r.call.RequestID)
	}
	r.d.cfg.Reserver.Settle(r.reservation, min(used, r.reservation.Tokens))
	r.d.leave()
}

// bill records what the request costs, before its last byte leaves.
func (r *run) bill(ctx context.Context, usage Usage, partial bool) {
	ctx, cancel := r.d.cfg.Clock.WithTimeout(ctx, copyPatience)
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

// priorities are the names of the classes towards model engines.
var priorities = map[picker.Priority]string{
	picker.Interactive: "interactive",
	picker.Batch:       "batch",
}

func (r *run) request(method, path, contentType string, body []byte) connector.Request {
	return connector.Request{
		Method:          method,
		Path:            path,
		ContentType:     contentType,
		Body:            body,
		RequestID:       r.call.RequestID,
		IdempotencyKey:  r.call.IdempotencyKey,
		Priority:        priorities[r.call.Priority],
		Deadline:        r.call.Deadline,
		ProgressTimeout: clocker.Millis(r.call.Service.ProgressTimeoutMs),
		Fresh:           !r.call.Service.Idempotent,
	}
}

func (c Call) model() string {
	if c.Completion == nil {
		return ""
	}
	return c.Completion.Model
}
