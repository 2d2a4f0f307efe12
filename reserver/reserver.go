package reserver

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/ringer"
	"cowsliphinge/storer"
)

const (
	// maxShards is how many objects hold the budgets unless the configuration names
	// fewer.
	maxShards = 1 << 14
	// refillRing is how many shards may wait for a refill.
	refillRing = 4096
	// refillers is how many shards are refilled at the same time.
	refillers = 8
	// inspectPause is the time between two looks at all budgets in use.
	inspectPause = clocker.Second
	// tickPause is the time between two looks at waiting requests.
	tickPause = 100 * clocker.Millis(1)
)

// Store is the part of the Object API that budgets need.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (storer.Object, error)
	Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error)
}

// Exchange is how other routers are reached.
type Exchange interface {
	Transfer(ctx context.Context, address string, request *messenger.TransferRequest) (*messenger.TransferReply, error)
}

// Config configures a Reserver.
type Config struct {
	Incarnation      string
	Host             string
	AvailabilityZone string
	Clock            *clocker.Clock
	Store            Store
	Exchange         Exchange
	// Peers returns the other routers as seen now.
	Peers func() []heartbeater.Peer
	// Policy returns the policy in force, defaults filled in.
	Policy func() *messenger.Policy
	// Declared returns the budgets of the declared client accounts, of which
	// holders keep a floor; nil means none.
	Declared func() []string
	// Shards is how many objects hold the budgets; 0 means 16,384. It is fixed for a
	// deployment's life: a budget's object follows from its name. One write raises
	// all budgets of an object, and its writers meet more often.
	Shards int
	// ChangePause is the least time between two extensions of a budget ahead of
	// demand, in milliseconds; 0 means the allotter's own.
	ChangePause clocker.Millis
	// ExtendShare is the share of the wanted headroom below which a budget is
	// extended ahead of demand; 0 means the allotter's own.
	ExtendShare float64
	// BatchShare is the same for budgets of an object that is written anyway.
	BatchShare float64
	// AheadShare is the part of a declared budget that all hosts together may ask for
	// beyond their demand of the near future; 0 means no bound.
	AheadShare float64
	// DemandSpan is the time constant that follows a rising demand, in
	// milliseconds; 0 means the allotter's own.
	DemandSpan clocker.Millis
	// KeepAhead is how much of the demand of more urgent requests is kept for them
	// while no more tokens can be got, in milliseconds; 0 means none.
	KeepAhead clocker.Millis
	// HoldersFirst makes a host that is no holder leave the platform alone while the
	// holders of its availability zone have what its requests wait for.
	HoldersFirst bool
	// Reachable reports whether the platform is worth a call; nil means always.
	Reachable func() bool
	// Alone reports whether no other host can be reached, so that none is asked; nil
	// means never.
	Alone func() bool
	// ConflictPause is the least wait after a write that met another host's, in
	// milliseconds; writers that met once are spread over twice that. 0 means none.
	ConflictPause clocker.Millis
	// Peek reads an object at a low price, possibly as it was a while ago. It is used
	// before a write, so that the write seldom meets another host's; nil means that
	// writes go by what is known.
	Peek func(ctx context.Context, key string) (storer.Object, error)
	// SettleFor is how long the known hosts have to stay the same after the start
	// before this one holds budgets ahead of demand, and SettleMost is the longest wait
	// for that, in milliseconds; 0 means from the start on.
	SettleFor, SettleMost clocker.Millis
	// Granted returns the sum of all top-ups of a budget as the declarations name
	// it; nil means that top-ups come by TopUp alone.
	Granted func(budget string) int64
}

// Reserver reserves and settles for one incarnation. All methods may be called
// from many goroutines.
type Reserver struct {
	cfg    Config
	shards []atomic.Pointer[shard]

	mu   sync.Mutex
	used []*shard

	refills *ringer.Ring[*shard]
	stop    context.CancelFunc
	duties  *errgroup.Group
	closing atomic.Bool

	platform health
	doubts   doubts
	fleet    settling
}

// New returns a Reserver and starts its duties, which end with ctx or Close.
func New(ctx context.Context, cfg Config) *Reserver {
	r := prepare(cfg)
	ctx, r.stop = context.WithCancel(ctx)
	r.duties, ctx = errgroup.WithContext(ctx)
	for range refillers {
		r.duties.Go(func() error {
			r.serveRefills(ctx)
			return nil
		})
	}
	r.duties.Go(func() error {
		r.inspect(ctx)
		return nil
	})
	return r
}

// prepare returns a Reserver without duties.
func prepare(cfg Config) *Reserver {
	if cfg.Peers == nil {
		cfg.Peers = func() []heartbeater.Peer { return nil }
	}
	if cfg.Shards <= 0 {
		cfg.Shards = maxShards
	}
	if cfg.Alone == nil {
		cfg.Alone = func() bool { return false }
	}
	if cfg.Reachable == nil {
		cfg.Reachable = func() bool { return true }
	}
	return &Reserver{
		cfg:     cfg,
		shards:  make([]atomic.Pointer[shard], cfg.Shards),
		refills: ringer.New[*shard]("budget_refills", refillRing),
		stop:    func() {},
		duties:  &errgroup.Group{},
	}
}

// Reserve takes the worst case of a request from a budget. It waits until
// deadline, or for the policy's patience, while more tokens may come. Requests of
// a lower rank go first where tokens are scarce. It returns ErrBudgetExhausted or
// ErrBudgetUnreachable; nothing is reserved then.
func (r *Reserver) Reserve(ctx context.Context, budget string, tokens int64, rank int, deadline clocker.Millis) (Reservation, error) {
	now := r.cfg.Clock.Now()
	w := &waiter{budget: budget, tokens: tokens, rank: rank, done: make(chan grant, 1)}
	s := r.shard(budget)
	if id, ok := s.reserve(budget, tokens, rank, now); ok {
		return grant{id: id}.reservation(w)
	}
	if err := r.refuseAtOnce(s, w, deadline-now); err != nil {
		return Reservation{}, err
	}
	return r.await(ctx, s, w, deadline)
}

// Settle ends a reservation with the tokens that were used, at most the
// reserved ones. A second call for the same reservation changes nothing.
func (r *Reserver) Settle(reservation Reservation, used int64) {
	if reservation.ID == 0 {
		return
	}
	s := r.shard(reservation.Budget)
	if s.settle(reservation, used, r.cfg.Clock.Now()) {
		r.wantRefill(s)
	}
}

// HeldTokens returns the tokens of all budgets that are held here and not spent.
func (r *Reserver) HeldTokens() int64 {
	var sum int64
	for _, s := range r.usedShards() {
		s.mu.Lock()
		sum += s.allotter.Held()
		s.mu.Unlock()
	}
	return sum
}

func (r *Reserver) shard(budget string) *shard {
	i := xxhash.Sum64String(budget) % uint64(len(r.shards))
	if s := r.shards[i].Load(); s != nil {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.shards[i].Load(); s != nil {
		return s
	}
	s := newShard(int(i), allotter.Config{Incarnation: r.cfg.Incarnation, DemandTimeConstant: r.cfg.DemandSpan, UrgentReserve: r.cfg.KeepAhead})
	r.shards[i].Store(s)
	r.used = append(r.used, s)
	return s
}

func (r *Reserver) usedShards() []*shard {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*shard(nil), r.used...)
}
