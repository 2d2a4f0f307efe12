package orderer

import (
	"context"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"cowsliphinge/clocker"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
)

const (
	// checksPerSecond limits how many engines the holder checks.
	checksPerSecond = 20
	// recheckInterval is the time before an engine that was sent no order is checked
	// again, in milliseconds.
	recheckInterval = 5 * clocker.Second
	// millisPerSecond converts size over rate, which is in seconds, to milliseconds.
	millisPerSecond = int64(clocker.Second)
)

// Lease returns the fencing token of the lease, and whether the lease is held. Orders
// are sent only while it is held.
type Lease interface {
	Held() (int64, bool)
}

// EngineClient calls model engines.
type EngineClient interface {
	State(ctx context.Context, address string) (State, error)
	Order(ctx context.Context, address string, order Order) error
}

// Config configures an Orderer.
type Config struct {
	Clock   *clocker.Clock
	Index   func() *indexer.Index
	Lease   Lease
	Engines EngineClient
}

// Orderer sends orders to model engines while the lease is held.
type Orderer struct {
	cfg   Config
	stop  context.CancelFunc
	group *errgroup.Group

	mu sync.Mutex
	// checkedAt is when each engine was last checked without an order being sent:
	// it was in its desired state, did not answer, or follows a later holder.
	checkedAt map[string]clocker.Millis
	// loadingUntil is the estimated time at which the weight store finishes the
	// last load that was ordered.
	loadingUntil clocker.Millis
	nextServer   int
}

// NewStepped returns an orderer without a background task; the caller calls Step.
func NewStepped(cfg Config) *Orderer {
	return &Orderer{cfg: cfg, checkedAt: map[string]clocker.Millis{}}
}

// New returns an orderer and starts its background task.
func New(ctx context.Context, cfg Config) *Orderer {
	o := NewStepped(cfg)
	ctx, o.stop = context.WithCancel(ctx)
	o.group, ctx = errgroup.WithContext(ctx)
	o.group.Go(func() error {
		for cfg.Clock.Sleep(ctx, clocker.Second/checksPerSecond) == nil {
			o.Step(ctx)
		}
		return nil
	})
	return o
}

// Close stops the background task.
func (o *Orderer) Close(context.Context) error {
	o.stop()
	return trace.Wrap(o.group.Wait())
}

// Step checks one engine that is due, if the lease is held.
func (o *Orderer) Step(ctx context.Context) {
	if _, held := o.cfg.Lease.Held(); !held {
		o.clearChecks()
		return
	}
	index := o.cfg.Index()
	if b := o.nextDue(index); b != nil {
		o.reconcile(ctx, index, b)
	}
}

// clearChecks makes all engines due, so that a new holder checks each of them.
func (o *Orderer) clearChecks() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.checkedAt)
}

// nextDue returns the next language server, in round-robin order, that is due for a
// check, or nil.
func (o *Orderer) nextDue(index *indexer.Index) *messenger.BackendServer {
	o.mu.Lock()
	defer o.mu.Unlock()
	servers := index.Configuration.GetDeclarations().GetBackendServers()
	now := o.cfg.Clock.Now()
	for range servers {
		o.nextServer = (o.nextServer + 1) % len(servers)
		b := servers[o.nextServer]
		last, checked := o.checkedAt[b.Name]
		if (!checked || now >= last+recheckInterval) && AcceptsOrders(index, b, now) {
			return b
		}
	}
	return nil
}

// AcceptsOrders reports whether orders are sent to a backend server: it is a language
// server and does not arrive by a move that has not started.
func AcceptsOrders(index *indexer.Index, b *messenger.BackendServer, now clocker.Millis) bool {
	service := index.Service(b.Service)
	if service == nil || service.Kind != messenger.ServiceKind_LANGUAGE {
		return false
	}
	for _, m := range index.Configuration.GetDeclarations().GetMoves() {
		started := m.State == messenger.MoveState_FINISHED || m.State == messenger.MoveState_STARTED && now >= clocker.Millis(m.StartAtMs)
		if started {
			continue
		}
		for _, name := range m.ArrivingBackendServers {
			if name == b.Name {
				return false
			}
		}
	}
	return true
}

// reconcile reads the state of an engine and sends an order if it differs from the
// desired state.
func (o *Orderer) reconcile(ctx context.Context, index *indexer.Index, b *messenger.BackendServer) {
	order := DesiredOrder(index.Configuration.GetDeclarations(), b)
	checksFencing := index.Service(b.Service).ChecksFencing
	state, err := o.cfg.Engines.State(ctx, b.Address)
	if err != nil {
		o.recordCheck(b.Name, "no_answer")
		return
	}
	fencing, held := o.cfg.Lease.Held()
	if !held {
		return
	}
	order.Fencing = fencing
	switch action := Decide(order, state, checksFencing); action {
	case NoAction:
		o.recordCheck(b.Name, "kept")
	case StandDown:
		o.recordCheck(b.Name, "stood_down")
	case Load:
		if !o.reserveLoad(index, order, state) {
			countOutcome("load_waits")
			return
		}
		o.sendOrder(ctx, b, order)
	case RaiseFencing, Repair:
		o.sendOrder(ctx, b, order)
	}
}

// reserveLoad reserves the weight store for the load of an order. It returns false while
// an earlier load runs: loads run one after the other, which keeps their total within the
// rate of the weight store.
func (o *Orderer) reserveLoad(index *indexer.Index, order Order, state State) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.cfg.Clock.Now()
	if now < o.loadingUntil {
		return false
	}
	o.loadingUntil = now + LoadTime(index.Configuration.GetDeclarations(), index.Policy, missingModels(order, state))
	return true
}

func missingModels(order Order, state State) []Model {
	var models []Model
	for _, m := range order.Models {
		if !covers(append(state.Models, state.Loading...), []Model{m}) {
			models = append(models, m)
		}
	}
	return models
}

// LoadTime returns the time that the weight store needs to deliver models at its rate.
// The policy must have its defaults filled in.
func LoadTime(d *messenger.Declarations, policy *messenger.Policy, models []Model) clocker.Millis {
	var size int64
	for _, m := range models {
		for _, declared := range d.GetModels() {
			if declared.Name == m.Name {
				size += declared.SizeMb
			}
		}
	}
	return clocker.Millis(size * millisPerSecond / policy.WeightStoreMbPerSecond)
}

// sendOrder sends an order if the lease is still held under the same fencing token.
func (o *Orderer) sendOrder(ctx context.Context, b *messenger.BackendServer, order Order) {
	fencing, held := o.cfg.Lease.Held()
	if !held || fencing != order.Fencing {
		countOutcome("lease_lost")
		return
	}
	err := o.cfg.Engines.Order(ctx, b.Address, order)
	switch {
	case IsErrStaleFencing(err):
		countOutcome("refused_old_fencing")
	case err != nil:
		// The engine may have accepted the order; the next check of its state shows it.
		countOutcome("unknown")
	default:
		countOutcome("ordered")
	}
}

// recordCheck records the time and the outcome of a check.
func (o *Orderer) recordCheck(server, outcome string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checkedAt[server] = o.cfg.Clock.Now()
	countOutcome(outcome)
}

func countOutcome(outcome string) {
	metrics.GetOrCreateCounter(`cowsliphinge_orders_total{outcome="` + outcome + `"}`).Inc()
}
