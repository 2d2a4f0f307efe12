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
	// defaultShards is the number of objects that hold the budgets if the
	// configuration names none.
	defaultShards = 1 << 14
	// refillQueueSize is how many shards may wait for a refill.
	refillQueueSize = 4096
	// refillWorkers is how many shards are refilled at the same time.
	refillWorkers = 8
	// inspectInterval is the time between two inspections of all budgets in use.
	inspectInterval = clocker.Second
	// tickInterval is the time between two checks of waiting requests.
	tickInterval = 100 * clocker.Millis(1)
)

// Store is the part of the Object API that the Reserver uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (storer.Object, error)
	Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error)
}

// Exchange sends transfer requests to other routers.
type Exchange interface {
	Transfer(ctx context.Context, address string, request *messenger.TransferRequest) (*messenger.TransferReply, error)
}

// Config configures a Reserver.
type Config struct {
	Incarnation      string
	Host             string
	AvailabilityZone string
	// CapacityMilli is the processor capacity of this machine in thousandths of a core, 0 if unknown.
	CapacityMilli int64
	Clock         *clocker.Clock
	Store         Store
	Exchange      Exchange
	// Peers returns the other routers as currently known.
	Peers func() []heartbeater.Peer
	// Policy returns the policy in force with its defaults filled in.
	Policy func() *messenger.Policy
	// DeclaredBudgets returns the budgets of the declared client accounts. Holders
	// keep a minimum headroom of these. Nil means none.
	DeclaredBudgets func() []string
	// Shards is the number of objects that hold the budgets; 0 means 16,384. It must
	// not change during the lifetime of a deployment, because the object of a budget
	// is a hash of its name modulo Shards. With fewer objects, one write raises the limits
	// of more budgets, but conflicts between writers are more frequent.
	Shards int
	// ChangeInterval is the minimum time between two raises of a budget's limit ahead
	// of demand, or between two returns, in milliseconds; 0 means the allotter's
	// default.
	ChangeInterval clocker.Millis
	// RaiseThreshold is the share of the target headroom below which the limit is
	// raised ahead of demand; 0 means the allotter's default.
	RaiseThreshold float64
	// BatchRaiseThreshold replaces RaiseThreshold for budgets that are included in a
	// write that another budget caused; 0 means RaiseThreshold.
	BatchRaiseThreshold float64
	// PrefetchShare is the share of a declared budget that all hosts together may
	// request beyond their expected demand; 0 means no bound.
	PrefetchShare float64
	// DemandTimeConstant is the time constant of the average that follows a rising
	// demand, in milliseconds; 0 means the allotter's default.
	DemandTimeConstant clocker.Millis
	// UrgentReserveHorizon is the time span whose expected demand of more urgent
	// requests is reserved for them while the platform is unreachable or few tokens
	// are unassigned, in milliseconds; 0 disables the reserve.
	UrgentReserveHorizon clocker.Millis
	// HoldersFirst prevents a host that is not a holder from calling the platform
	// while the holders of its availability zone can supply its waiting requests.
	HoldersFirst bool
	// PlatformReachable reports whether the platform is considered reachable; nil
	// means always.
	PlatformReachable func() bool
	// Isolated reports whether no other host can be reached; transfer requests are
	// not sent then. Nil means never.
	Isolated func() bool
	// ConflictBackoff bounds the random delay after the first write conflict, in
	// milliseconds. It doubles with each further conflict. 0 means none.
	ConflictBackoff clocker.Millis
	// GetStale is a cheap read of an object that may return an older version. It is
	// called before a write to make conflicts with other hosts' writes rare; nil means
	// that writes are based on the last known version.
	GetStale func(ctx context.Context, key string) (storer.Object, error)
	// MembershipStableFor is how long the set of known hosts must stay unchanged after
	// the start before this host keeps headroom as a holder. MembershipTimeout
	// bounds the wait for that. Both are in milliseconds; 0 means no wait.
	MembershipStableFor, MembershipTimeout clocker.Millis
	// DeclaredGrant returns the sum of all top-ups of a budget according to the
	// declarations; nil means that budgets are topped up only through TopUp.
	DeclaredGrant func(budget string) int64
	// StoreEra returns the latest era that the store named; nil means a store without eras.
	StoreEra func() int64
	// Guard bounds the tokens that are lost if this incarnation dies; nil means no bound. DrawShare
	// is the share of what remains of a budget that all holders together may leave unguarded for their demand.
	Guard     *allotter.GuardConfig
	DrawShare float64
	// DemandShare is the part of a holder's share of the remaining tokens that goes by its share of the demand.
	DemandShare float64
}

// Reserver reserves and settles tokens for one incarnation. It is safe for
// concurrent use.
type Reserver struct {
	cfg    Config
	shards []atomic.Pointer[shard]

	mu     sync.Mutex
	active []*shard

	refillQueue *ringer.DroppingQueue[*shard]
	// ctx is the context of the tasks.
	ctx     context.Context
	stop    context.CancelFunc
	tasks   *errgroup.Group
	closing atomic.Bool

	platform         platformHealth
	unknownTransfers unknownTransfers
	pauses           askPauses
	slowLenders      askPauses
	emptyAnswers     answerMeter
	membership       membership
	witnesses        witnesses

	liveMu sync.Mutex
	// lastLive is when incarnations were last seen alive, and startedAt when this host first
	// looked.
	lastLive  map[string]clocker.Millis
	startedAt clocker.Millis
}

// New returns a Reserver and starts its background tasks. They end with ctx or Close.
func New(ctx context.Context, cfg Config) *Reserver {
	r := newUnstarted(cfg)
	ctx, r.stop = context.WithCancel(ctx)
	r.tasks, ctx = errgroup.WithContext(ctx)
	r.ctx = ctx
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

// newUnstarted returns a Reserver without background tasks.
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
	if cfg.StoreEra == nil {
		cfg.StoreEra = func() int64 { return 0 }
	}
	return &Reserver{
		lastLive:    map[string]clocker.Millis{},
		witnesses:   witnesses{askAgainAt: map[witnessQuestion]clocker.Millis{}, refused: map[witnessQuestion]bool{}, closed: map[string]clocker.Millis{}},
		cfg:         cfg,
		shards:      make([]atomic.Pointer[shard], cfg.Shards),
		refillQueue: ringer.New[*shard]("budget_refills", refillQueueSize),
		ctx:         context.Background(),
		stop:        func() {},
		tasks:       &errgroup.Group{},
	}
}

// Reserve reserves the worst-case token use of a request. If the headroom does not
// suffice, it waits for more tokens until the deadline, at most for the policy's
// PatienceMs. Requests with a lower rank take precedence when tokens are scarce.
// ErrBudgetExhausted and ErrBudgetUnreachable mean that nothing was reserved.
func (r *Reserver) Reserve(ctx context.Context, budget string, tokens int64, rank int, deadline clocker.Millis) (Reservation, error) {
	now := r.cfg.Clock.Now()
	w := &waiter{budget: budget, tokens: tokens, rank: rank, result: make(chan waitResult, 1)}
	s := r.shard(budget)
	if id, ok := s.reserve(budget, tokens, rank, now); ok {
		return waitResult{reservationID: id}.reservation(w)
	}
	err := r.refuseImmediately(s, w, deadline-now)
	var reservation Reservation
	if err == nil {
		reservation, err = r.waitForHeadroom(ctx, s, w, deadline)
	}
	if err != nil {
		s.countRefused(budget)
	}
	return reservation, err
}

// Settle ends a reservation and charges the tokens that were used, at most the
// reserved ones. Further calls for the same reservation have no effect.
func (r *Reserver) Settle(reservation Reservation, used int64) {
	if reservation.ID == 0 {
		return
	}
	s := r.shard(reservation.Budget)
	if s.settle(reservation, used, r.cfg.Clock.Now()) {
		r.queueRefill(s)
	}
}

// HeldTokens returns the unspent tokens of all budgets that this host holds.
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
	s := newShard(int(i), allotter.Config{Incarnation: r.cfg.Incarnation, DemandTimeConstant: r.cfg.DemandTimeConstant, UrgentReserveHorizon: r.cfg.UrgentReserveHorizon, Guard: r.cfg.Guard})
	r.shards[i].Store(s)
	r.active = append(r.active, s)
	return s
}

func (r *Reserver) activeShards() []*shard {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*shard(nil), r.active...)
}
