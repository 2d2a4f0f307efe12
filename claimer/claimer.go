package claimer

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

const (
	// MaxAnswerBytes bounds the body of one stored answer.
	MaxAnswerBytes = 64 << 10
	// maxTicketAnswerBytes bounds the bodies that are kept for tickets.
	maxTicketAnswerBytes = 16 << 20
	// maxOpen bounds the attempts whose last state is not yet durable.
	maxOpen = 20_000
	// maxTickets bounds the used tickets that are remembered.
	maxTickets = 200_000
	// defaultRetryEvery is the time between tries to write, in milliseconds.
	defaultRetryEvery = 250 * clocker.Millis(1)
	// defaultTicketLife is how long a ticket may be used, in milliseconds.
	defaultTicketLife = 15 * clocker.Minute
	// defaultRetention is how long stored answers are kept, in milliseconds.
	defaultRetention = 24 * clocker.Hour
	// secretBytes is the size of the key that signs tickets.
	secretBytes = 32
)

// Store is the part of the Object API that claims need.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (storer.Object, error)
	Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error)
}

// Config configures a Claimer.
type Config struct {
	Incarnation string
	Clock       *clocker.Clock
	Store       Store
	// Alive reports whether an incarnation still runs as far as is known. It
	// chooses between verdicts that do not run the request, never more. Nil
	// means that none is known.
	Alive func(incarnation string) bool
	// Retention returns how long stored answers are kept, in milliseconds;
	// nil or 0 means a day.
	Retention func() clocker.Millis
	// RetryEvery and TicketLife are in milliseconds; 0 means 250 ms and 15 minutes.
	RetryEvery clocker.Millis
	TicketLife clocker.Millis
}

// Claimer is the shell around the claims of one incarnation.
type Claimer struct {
	cfg    Config
	cancel context.CancelFunc
	duties errgroup.Group

	mu       sync.Mutex
	attempts *attempts
	tickets  *tickets
}

// New returns a claimer that finishes its claims in the background until Close.
func New(ctx context.Context, cfg Config) *Claimer {
	if cfg.Alive == nil {
		cfg.Alive = func(string) bool { return false }
	}
	if cfg.RetryEvery == 0 {
		cfg.RetryEvery = defaultRetryEvery
	}
	if cfg.TicketLife == 0 {
		cfg.TicketLife = defaultTicketLife
	}
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	ctx, cancel := context.WithCancel(ctx)
	c := &Claimer{
		cfg:      cfg,
		cancel:   cancel,
		attempts: newAttempts(cfg.Incarnation, maxOpen),
		tickets:  newTickets(cfg.Incarnation, secret, maxTickets),
	}
	c.duties.Go(func() error {
		for ctx.Err() == nil {
			c.writePending(ctx)
			c.forget()
			_ = cfg.Clock.Sleep(ctx, cfg.RetryEvery)
		}
		return nil
	})
	return c
}

// Close writes the last states that are not yet durable, and returns an error
// that says how many are left once ctx ends.
func (c *Claimer) Close(ctx context.Context) error {
	c.cancel()
	_ = c.duties.Wait()
	for {
		c.writePending(ctx)
		left := c.unwritten()
		if left == 0 {
			return nil
		}
		if err := c.cfg.Clock.Sleep(ctx, c.cfg.RetryEvery); err != nil {
			return trace.Wrap(err, "%d claims are not finished", left)
		}
	}
}

// IssueTicket returns an idempotency key that this incarnation alone runs, and
// that needs no platform. It may be used for as long as the ticket life.
func (c *Claimer) IssueTicket(clientAccount string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tickets.issue(clientAccount, c.cfg.Clock.Now(), c.cfg.TicketLife)
}

// Claim decides whether this process may run the request. It returns by the
// request's deadline.
func (c *Claimer) Claim(ctx context.Context, req Request) Decision {
	d := c.claim(ctx, req)
	metrics.GetOrCreateCounter(fmt.Sprintf(`cowsliphinge_claims_total{verdict=%q}`, d.Verdict)).Inc()
	return d
}

func (c *Claimer) claim(ctx context.Context, req Request) Decision {
	if tk, ok := parseTicket(req.IdempotencyKey); ok {
		return c.claimTicket(tk, req)
	}
	c.mu.Lock()
	at, decision := c.attempts.begin(req, c.cfg.Clock.Now())
	c.mu.Unlock()
	if at == nil {
		return decision
	}
	decision = c.acquire(ctx, at)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case decision.Verdict == Owned:
		at.owned = true
	case at.final == nil:
		c.attempts.close(at)
	}
	return decision
}

func (c *Claimer) claimTicket(tk ticket, req Request) Decision {
	if tk.incarnation == c.cfg.Incarnation {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.tickets.open(tk, req, c.cfg.Clock.Now())
	}
	if c.cfg.Alive(tk.incarnation) {
		return Decision{Verdict: Elsewhere, Incarnation: tk.incarnation}
	}
	return Decision{Verdict: OutcomeUnknown}
}

// acquire writes the claim of an attempt until the outcome is known or the
// deadline passes. A claim that may still arrive is then abandoned: the attempt
// stays open until a released state stands in its place.
func (c *Claimer) acquire(ctx context.Context, at *attempt) Decision {
	giveUp := Decision{Verdict: Undetermined}
	version := int64(0)
	written := false
	for ctx.Err() == nil && c.cfg.Clock.Now() < at.deadline {
		o, err := c.put(ctx, at.key, version, at.claim)
		if err == nil {
			at.version = o.Version
			return Decision{Verdict: Owned, Claim: at.claim}
		}
		written = written || storer.IsErrOutcomeUnknown(err)
		finding, o, decision := c.look(ctx, at)
		switch finding {
		case Own:
			at.version = o.Version
			return decision
		case Taken:
			return decision
		case Free:
			version = o.Version
			giveUp.Verdict = Unreachable
			if storer.IsErrConflict(err) {
				continue
			}
		}
		_ = c.cfg.Clock.Sleep(ctx, min(c.cfg.RetryEvery, max(1, at.deadline-c.cfg.Clock.Now())))
	}
	if written {
		c.mu.Lock()
		c.attempts.end(at, messenger.ClaimState_RELEASED, nil)
		c.mu.Unlock()
	}
	return giveUp
}

// look reads what the platform holds for an attempt's key; the finding is 0 if
// that is not known.
func (c *Claimer) look(ctx context.Context, at *attempt) (Finding, storer.Object, Decision) {
	o, found, err := c.get(ctx, at.key)
	if storer.IsErrNotFound(err) {
		return Free, storer.Object{}, Decision{}
	}
	if err != nil {
		return 0, storer.Object{}, Decision{}
	}
	c.mu.Lock()
	abandoned := c.attempts.abandoned(found)
	c.mu.Unlock()
	finding, decision := Judge(View{
		Wanted:     at.claim,
		Found:      found,
		OwnerKnown: found.Incarnation == c.cfg.Incarnation || c.cfg.Alive(found.Incarnation),
		Abandoned:  abandoned,
	})
	return finding, o, decision
}

// Dispatched notes that a claimed request is now sent to a backend server. It
// reports false if the claim is no longer this process's to run: it ended, or
// its deadline passed, as after a pause. It must then not be sent.
func (c *Claimer) Dispatched(claim *messenger.Claim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, used := c.tickets.of(claim); used != nil {
		return c.tickets.dispatched(claim, c.cfg.Clock.Now())
	}
	at := c.attempts.of(claim)
	if at == nil || !at.owned || at.final != nil || c.cfg.Clock.Now() >= at.deadline {
		return false
	}
	at.dispatched = true
	return true
}

// Finish stores the answer of a claimed request for repeats. A nil answer says
// that the outcome is unknown for ever. The answer is remembered at once, and
// written now or, while the platform is away, later.
func (c *Claimer) Finish(ctx context.Context, claim *messenger.Claim, answer *messenger.StoredAnswer) {
	if answer == nil {
		c.end(ctx, claim, messenger.ClaimState_LOST, nil)
		return
	}
	if len(answer.Body) > MaxAnswerBytes {
		answer = truncated(answer)
	}
	c.end(ctx, claim, messenger.ClaimState_ANSWERED, answer)
}

// Release gives up a claim that surely did not run: it was never dispatched, or
// its backend server refused it with authority. The key may be claimed again.
func (c *Claimer) Release(ctx context.Context, claim *messenger.Claim) {
	c.end(ctx, claim, messenger.ClaimState_RELEASED, nil)
}

func (c *Claimer) end(ctx context.Context, claim *messenger.Claim, state messenger.ClaimState, answer *messenger.StoredAnswer) {
	c.mu.Lock()
	c.tickets.end(claim, state, answer)
	at := c.attempts.of(claim)
	first := at != nil && c.attempts.end(at, state, answer)
	if first {
		at.writing = true
	}
	c.mu.Unlock()
	if first {
		c.writeFinal(ctx, at)
	}
}

func (c *Claimer) writePending(ctx context.Context) {
	c.mu.Lock()
	pending := c.attempts.pending()
	c.mu.Unlock()
	reachable := true
	for _, at := range pending {
		if reachable && ctx.Err() == nil {
			reachable = c.writeFinal(ctx, at)
			continue
		}
		c.mu.Lock()
		at.writing = false
		c.mu.Unlock()
	}
}

// writeFinal tries once to make the last state of an attempt durable. It
// reports false if the platform did not answer.
func (c *Claimer) writeFinal(ctx context.Context, at *attempt) bool {
	done, err := c.replace(ctx, at)
	c.mu.Lock()
	defer c.mu.Unlock()
	at.writing = false
	if err == nil && done {
		c.attempts.close(at)
		return true
	}
	metrics.GetOrCreateCounter(`cowsliphinge_claim_writes_retried_total`).Inc()
	return storer.IsErrConflict(err)
}

// replace writes the last state over the claim. A claim whose own write may
// still be on its way is found absent: the last state is then created, so that
// the late write meets it and fails.
func (c *Claimer) replace(ctx context.Context, at *attempt) (bool, error) {
	if at.version != 0 {
		o, err := c.put(ctx, at.key, at.version, at.final)
		if err == nil {
			return o.Version != 0, nil
		}
	}
	o, found, err := c.get(ctx, at.key)
	switch {
	case storer.IsErrNotFound(err) && at.owned:
		return true, nil
	case storer.IsErrNotFound(err):
		o.Version = 0
	case err != nil:
		return false, err
	case !owns(found, at.claim) && at.owned:
		return true, nil
	case !owns(found, at.claim) && found.State != messenger.ClaimState_RELEASED:
		return true, nil
	case owns(found, at.claim) && found.State == at.final.State:
		return true, nil
	}
	_, err = c.put(ctx, at.key, o.Version, at.final)
	return err == nil, err
}

func (c *Claimer) forget() {
	retention := defaultRetention
	if c.cfg.Retention != nil && c.cfg.Retention() > 0 {
		retention = c.cfg.Retention()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets.forget(c.cfg.Clock.Now(), retention)
}

func (c *Claimer) unwritten() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, at := range c.attempts.byKey {
		if at.final != nil {
			n++
		}
	}
	return n
}
