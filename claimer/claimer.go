package claimer

import (
	"context"
	"crypto/rand"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

const (
	// MaxAnswerBytes is the maximum size of the body of one stored answer.
	MaxAnswerBytes = 64 << 10
	// maxTicketAnswersBytes is the maximum total size of the answer bodies kept in
	// memory for tickets.
	maxTicketAnswersBytes = 16 << 20
	// maxOpenClaims is the maximum number of open claims.
	maxOpenClaims = 20_000
	// maxUsedTickets is the maximum number of used tickets kept in memory.
	maxUsedTickets = 200_000
	// defaultRetryInterval is the time between two writes of the same object, in
	// milliseconds.
	defaultRetryInterval = 250 * clocker.Millis(1)
	// defaultTicketLifetime is how long after its issue a ticket may be used for
	// the first time, in milliseconds.
	defaultTicketLifetime = 15 * clocker.Minute
	// defaultRetention is how long stored answers are kept, in milliseconds.
	defaultRetention = 24 * clocker.Hour
	// secretBytes is the size of the key that signs tickets.
	secretBytes = 32
)

var (
	openClaimsGauge  = metrics.GetOrCreateGauge(`cowsliphinge_claims_open`, nil)
	usedTicketsGauge = metrics.GetOrCreateGauge(`cowsliphinge_tickets_remembered`, nil)
)

// Store is the part of the Object API that the Claimer uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (storer.Object, error)
	Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error)
	Delete(ctx context.Context, key string, version int64) error
	List(ctx context.Context, prefix, after string, limit int) ([]storer.Object, error)
}

// Config configures a Claimer.
type Config struct {
	Incarnation string
	Clock       *clocker.Clock
	Store       Store
	// Alive reports whether an incarnation still runs, to the knowledge of this
	// host. A wrong answer never makes a request run twice: for a stored claim it
	// only selects between verdicts that do not run the request, and the ticket of
	// an incarnation that is not alive runs only if its ticket record shows it as
	// unused. Nil means that no incarnation is known to run.
	Alive func(incarnation string) bool
	// MayBeAlive reports whether an incarnation may still run although it sends no
	// heartbeats: it was known and has not been replaced. Its tickets are
	// forwarded to it if it left no ticket record. Nil means the same as Alive.
	MayBeAlive func(incarnation string) bool
	// Retention returns how long stored answers are kept, in milliseconds.
	// Nil or 0 means one day.
	Retention func() clocker.Millis
	// RetryInterval, TicketLifetime and SweepInterval are in milliseconds; 0 means
	// 250 ms, 15 minutes and one minute.
	RetryInterval  clocker.Millis
	TicketLifetime clocker.Millis
	SweepInterval  clocker.Millis
}

// Claimer makes the claims of one incarnation: it does the I/O, locking and
// background tasks around openClaims and tickets, which are pure logic.
type Claimer struct {
	cfg    Config
	cancel context.CancelFunc
	tasks  errgroup.Group

	resolve func(ResolveInput) (KeyState, Decision)

	mu         sync.Mutex
	openClaims *openClaims
	tickets    *tickets
}

// New returns a Claimer that writes the final states of its claims and deletes
// expired claims in the background until Close is called.
func New(ctx context.Context, cfg Config) *Claimer {
	if cfg.Alive == nil {
		cfg.Alive = func(string) bool { return false }
	}
	if cfg.MayBeAlive == nil {
		cfg.MayBeAlive = cfg.Alive
	}
	if cfg.RetryInterval == 0 {
		cfg.RetryInterval = defaultRetryInterval
	}
	if cfg.TicketLifetime == 0 {
		cfg.TicketLifetime = defaultTicketLifetime
	}
	if cfg.SweepInterval == 0 {
		cfg.SweepInterval = defaultSweepInterval
	}
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	ctx, cancel := context.WithCancel(ctx)
	c := &Claimer{
		cfg:        cfg,
		cancel:     cancel,
		resolve:    Resolve,
		openClaims: newOpenClaims(cfg.Incarnation, maxOpenClaims),
		tickets:    newTickets(cfg.Incarnation, secret, maxUsedTickets),
	}
	c.tasks.Go(func() error {
		for ctx.Err() == nil {
			c.writePending(ctx)
			c.updateGauges()
			_ = cfg.Clock.Sleep(ctx, cfg.RetryInterval)
		}
		return nil
	})
	c.tasks.Go(func() error {
		for partition := int(firstSweepPartition(cfg.Incarnation)); ctx.Err() == nil; partition++ {
			_ = cfg.Clock.Sleep(ctx, cfg.SweepInterval)
			if ctx.Err() == nil {
				c.forgetExpired()
				c.sweep(ctx, partition)
			}
		}
		return nil
	})
	return c
}

// Close stops the background tasks and writes the ticket record and the final
// states of claims that are not yet durable. If ctx ends first, it returns an
// error that says what was not written.
func (c *Claimer) Close(ctx context.Context) error {
	c.cancel()
	_ = c.tasks.Wait()
	return trace.NewAggregate(c.writeTicketRecord(ctx), c.writeAllPending(ctx))
}

func (c *Claimer) writeAllPending(ctx context.Context) error {
	for {
		c.writePending(ctx)
		unwritten := c.countUnwritten()
		if unwritten == 0 {
			return nil
		}
		if err := c.cfg.Clock.Sleep(ctx, c.cfg.RetryInterval); err != nil {
			return trace.Wrap(err, "the final states of %d claims are not written", unwritten)
		}
	}
}

// updateGauges exports the numbers of open claims and used tickets.
func (c *Claimer) updateGauges() {
	c.mu.Lock()
	defer c.mu.Unlock()
	openClaimsGauge.Set(float64(len(c.openClaims.byKey)))
	usedTicketsGauge.Set(float64(len(c.tickets.used)))
}

// IssueTicket returns an idempotency key that only this incarnation can claim
// while it runs, without access to the platform. The key must be used within the
// ticket lifetime.
func (c *Claimer) IssueTicket(clientAccount string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tickets.issue(clientAccount, c.cfg.Clock.Now(), c.cfg.TicketLifetime)
}

// Claim decides whether this process may run the request. It starts no further write
// of a claim after the request's deadline, but awaits a store call that is under way.
func (c *Claimer) Claim(ctx context.Context, req Request) Decision {
	d := c.claim(ctx, req)
	d.Verdict.count()
	return d
}

func (c *Claimer) claim(ctx context.Context, req Request) Decision {
	if tk, ok := parseTicket(req.IdempotencyKey); ok {
		return c.claimTicket(ctx, tk, req)
	}
	return c.claimKey(ctx, req)
}

// claimKey claims a key by a conditional write to the platform.
func (c *Claimer) claimKey(ctx context.Context, req Request) Decision {
	c.mu.Lock()
	oc, decision := c.openClaims.start(req, c.cfg.Clock.Now())
	c.mu.Unlock()
	if oc == nil {
		return decision
	}
	decision = c.writeClaim(ctx, oc)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case decision.Verdict == Owned:
		oc.owned = true
	case oc.final == nil:
		c.openClaims.remove(oc)
	}
	return decision
}

// claimTicket decides on a ticket. While the issuer runs, only the issuer
// decides; afterwards its ticket record does.
func (c *Claimer) claimTicket(ctx context.Context, tk ticket, req Request) Decision {
	if tk.incarnation == c.tickets.incarnation {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.tickets.claim(tk, req, c.cfg.Clock.Now())
	}
	if c.cfg.Alive(tk.incarnation) {
		return Decision{Verdict: IssuedElsewhere, Incarnation: tk.incarnation}
	}
	return c.claimFromRecord(ctx, tk, req)
}

// ownerAlive reports whether the incarnation that owns a stored claim still runs,
// to the knowledge of this host.
func (c *Claimer) ownerAlive(stored *messenger.Claim) bool {
	return stored.Incarnation == c.cfg.Incarnation || c.cfg.Alive(stored.Incarnation)
}

// writeClaim tries to write an open claim until the outcome is known or the deadline
// passes. If a write may still take effect after the deadline, the claim stays open
// until a released state is stored in place of it.
func (c *Claimer) writeClaim(ctx context.Context, oc *openClaim) Decision {
	failure := Decision{Verdict: UnknownForNow}
	version := int64(0)
	mayBeWritten := false
	for ctx.Err() == nil && c.cfg.Clock.Now() < oc.deadline {
		o, err := c.putClaim(ctx, oc.key, version, oc.claim)
		if err == nil {
			oc.version = o.Version
			return Decision{Verdict: Owned, Claim: oc.claim}
		}
		mayBeWritten = mayBeWritten || storer.IsErrOutcomeUnknown(err)
		state, o, decision := c.readState(ctx, oc)
		switch state {
		case KeyOwned:
			oc.version = o.Version
			return decision
		case KeyTaken:
			return decision
		case KeyFree:
			version = o.Version
			failure.Verdict = NotClaimed
			if storer.IsErrConflict(err) {
				continue
			}
		}
		_ = c.cfg.Clock.Sleep(ctx, min(c.cfg.RetryInterval, max(1, oc.deadline-c.cfg.Clock.Now())))
	}
	if mayBeWritten {
		c.mu.Lock()
		c.openClaims.setFinal(oc, messenger.ClaimState_RELEASED, nil)
		c.mu.Unlock()
	}
	return failure
}

// readState reads the claim that the platform stores for the key of an open claim. The
// returned KeyState is 0 if the platform cannot be read.
func (c *Claimer) readState(ctx context.Context, oc *openClaim) (KeyState, storer.Object, Decision) {
	o, stored, err := c.getClaim(ctx, oc.key)
	if storer.IsErrNotFound(err) {
		return KeyFree, storer.Object{}, Decision{}
	}
	if err != nil {
		return 0, storer.Object{}, Decision{}
	}
	c.mu.Lock()
	abandoned := c.openClaims.abandoned(stored)
	c.mu.Unlock()
	state, decision := c.resolve(ResolveInput{
		Proposed:   oc.claim,
		Stored:     stored,
		OwnerAlive: c.ownerAlive(stored),
		Abandoned:  abandoned,
	})
	return state, o, decision
}
