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
	defaultShards = 1 << 14
	// refillRing is how many shards may wait for a refill.
	refillQueueSize = 4096
	// refillers is how many shards are refilled at the same time.
	refillWorkers = 8
	// inspectPause is the time between two looks at all budgets in use.
	inspectInterval = clocker.Second
	// tickPause is the time between two looks at waiting requests.
	tickInterval = 100 * clocker.Millis(1)
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
	DeclaredBudgets func() []string
	// Shards is how many objects hold the budgets; 0 means 16,384. It is fixed for a
	// deployment's life: a budget's object follows from its name. One write raises
	// all budgets of an object, and its writers meet more often.
	Shards int
	// ChangePause is the least time between two extensions of a budget ahead of
	// demand, in milliseconds; 0 means the allotter's own.
	ExtendInterval clocker.Millis
	// ExtendShare is the share of the wanted headroom below which a budget is
	// extended ahead of demand; 0 means the allotter's own.
	ExtendThreshold float64
	// BatchShare is the same for budgets of an object that is written anyway.
	BatchThreshold float64
	// AheadShare is the part of a declared budget that all hosts together may ask for
	// beyond their demand of the near future; 0 means no bound.
	MaxAheadShare float64
	// DemandSpan is the time constant that follows a rising demand, in
	// milliseconds; 0 means the allotter's own.
	DemandTimeConstant clocker.Millis
	// KeepAhead is how much of the demand of more urgent requests is kept for them
	// while no more tokens can be got, in milliseconds; 0 means none.
	UrgentReserve clocker.Millis
	// HoldersFirst makes a host that is no holder leave the platform alone while the
	// holders of its availability zone have what its requests wait for.
	HoldersFirst bool
	// Reachable reports whether the platform is worth a call; nil means always.
	PlatformReachable func() bool
	// Alone reports whether no other host can be reached, so that none is asked; nil
	// means never.
	Isolated func() bool
	// ConflictPause is the least wait after a write that met another host's, in
	// milliseconds; writers that met once are spread over twice that. 0 means none.
	ConflictBackoff clocker.Millis
	// Peek reads an object at a low price, possibly as it was a while ago. It is used
	// before a write, so that the write seldom meets another host's; nil means that
	// writes go by what is known.
	ReadStale func(ctx context.Context, key string) (storer.Object, error)
	// SettleFor is how long the known hosts have to stay the same after the start
	// before this one holds budgets ahead of demand, and SettleMost is the longest wait
	// for that, in milliseconds; 0 means from the start on.
	MembershipStableFor, MembershipTimeout clocker.Millis
	// Granted returns the sum of all top-ups of a budget as the declarations name
	// it; nil means that top-ups come by TopUp alone.
	DeclaredGrant func(budget string) int64
}

// Reserver reserves and settles for one incarnation. All methods may be called
// from many goroutines.
type Reserver struct {
	cfg    Config
	shards []atomic.Pointer[shard]

	mu     sync.Mutex
	active []*shard

	refillQueue *ringer.Ring[*shard]
	stop        context.CancelFunc
	tasks       *errgroup.Group
	closing     atomic.Bool

	platform   platformHealth
	uncertain  uncertainTransfers
	membership membership
}

// New returns a Reserver and starts its duties, which end with ctx or Close.
func New(ctx context.Context, cfg Config) *Reserver {
	r := newUnstarted(cfg)
	ctx, r.stop = context.WithCancel(ctx)
	r.tasks, ctx = errgroup.WithContext(ctx)
	for range refillWorkers {
		r.tasks.Go(func() error {
			r.refillLoop(ctx)
			return nil
		})
	}
	r.tasks.Go(func() error {
		r.inspectLoop(ctx)
		return nil
	})
	return r
}

// prepare returns a Reserver without duties.
func newUnstarted(cfg Config) *Reserver {
	if cfg.Peers == nil {
		cfg.Peers = func() []heartbeater.Peer { return nil }
	}
	if cfg.Shards <= 0 {
		cfg.Shards = defaultShards
	}
	if cfg.Isolated == nil {
		cfg.Isolated = func() bool { return false }
	}
	if cfg.PlatformReachable == nil {
		cfg.PlatformReachable = func() bool { return true }
	}
	return &Reserver{
		cfg:         cfg,
		shards:      make([]atomic.Pointer[shard], cfg.Shards),
		refillQueue: ringer.New[*shard]("budget_refills", refillQueueSize),
		stop:        func() {},
		tasks:       &errgroup.Group{},
	}
}

// Reserve takes the worst case of a request from a budget. It waits until
// deadline, or for the policy's patience, while more tokens may come. Requests of
// a lower rank go first where tokens are scarce. It returns ErrBudgetExhausted or
// ErrBudgetUnreachable; nothing is reserved then.
func (r *Reserver) Reserve(ctx context.Context, budget string, tokens int64, rank int, deadline clocker.Millis) (Reservation, error) {
	now := r.cfg.Clock.Now()
	w := &waiter{budget: budget, tokens: tokens, rank: rank, done: make(chan waitResult, 1)}
	s := r.shard(budget)
	if id, ok := s.reserve(budget, tokens, rank, now); ok {
		return waitResult{id: id}.reservation(w)
	}
	if err := r.refuseImmediately(s, w, deadline-now); err != nil {
		return Reservation{}, err
	}
	return r.waitForHeadroom(ctx, s, w, deadline)
}

// Settle ends a reservation with the tokens that were used, at most the
// reserved ones. A second call for the same reservation changes nothing.
func (r *Reserver) Settle(reservation Reservation, used int64) {
	if reservation.ID == 0 {
		return
	}
	s := r.shard(reservation.Budget)
	if s.settle(reservation, used, r.cfg.Clock.Now()) {
		r.queueRefill(s)
	}
}

// HeldTokens returns the tokens of all budgets that are held here and not spent.
func (r *Reserver) HeldTokens() int64 {
	var sum int64
	for _, s := range r.activeShards() {
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
	s := newShard(int(i), allotter.Config{Incarnation: r.cfg.Incarnation, DemandSpan: r.cfg.DemandTimeConstant, KeepAhead: r.cfg.UrgentReserve})
	r.shards[i].Store(s)
	r.active = append(r.active, s)
	return s
}

func (r *Reserver) activeShards() []*shard {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*shard(nil), r.active...)
}
