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
	// checksPerSecond bounds the engines that the holder looks at.
	checksPerSecond = 20
	// recheckMs is the wait before an engine in its desired state is read again.
	recheckMs = 5 * clocker.Second
	// megabyteMs is milliseconds in a second: size over rate gives seconds.
	megabyteMs = int64(clocker.Second)
)

// Lease says whether orders may be given, and under which number.
type Lease interface {
	Held() (int64, bool)
}

// Engines speaks to engines.
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

// Orderer gives orders while the lease is held.
type Orderer struct {
	cfg   Config
	stop  context.CancelFunc
	group *errgroup.Group

	mu sync.Mutex
	// checked is when each engine was last found in its desired state.
	checked map[string]clocker.Millis
	// loadingUntil is when the weight store has given what was ordered last.
	loadingUntil clocker.Millis
	next         int
}

// NewStepped returns an orderer without a duty of its own: Step drives it.
func NewStepped(cfg Config) *Orderer {
	return &Orderer{cfg: cfg, checked: map[string]clocker.Millis{}}
}

// New starts an orderer.
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

// Close stops giving orders.
func (o *Orderer) Close(context.Context) error {
	o.stop()
	return trace.Wrap(o.group.Wait())
}

// Step looks at one engine that is due, if the lease is held.
func (o *Orderer) Step(ctx context.Context) {
	if _, held := o.cfg.Lease.Held(); !held {
		o.forget()
		return
	}
	index := o.cfg.Index()
	if b := o.due(index); b != nil {
		o.check(ctx, index, b)
	}
}

// forget makes a new holder look at each engine.
func (o *Orderer) forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.checked)
}

// due returns the next language server that is to be looked at, in turn.
func (o *Orderer) due(index *indexer.Index) *messenger.BackendServer {
	o.mu.Lock()
	defer o.mu.Unlock()
	servers := index.Configuration.GetDeclarations().GetBackendServers()
	now := o.cfg.Clock.Now()
	for range servers {
		o.next = (o.next + 1) % len(servers)
		b := servers[o.next]
		last, seen := o.checked[b.Name]
		if (!seen || now >= last+recheckMs) && AcceptsOrders(index, b, now) {
			return b
		}
	}
	return nil
}

// Ordered reports whether a backend server takes orders now: a language server
// that is not an arrival of a move that has not begun.
func AcceptsOrders(index *indexer.Index, b *messenger.BackendServer, now clocker.Millis) bool {
	service := index.Service(b.Service)
	if service == nil || service.Kind != messenger.ServiceKind_LANGUAGE {
		return false
	}
	for _, m := range index.Configuration.GetDeclarations().GetMoves() {
		begun := m.State == messenger.MoveState_FINISHED || m.State == messenger.MoveState_STARTED && now >= clocker.Millis(m.StartAtMs)
		if begun {
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

// check reads an engine back and orders what it lacks.
func (o *Orderer) check(ctx context.Context, index *indexer.Index, b *messenger.BackendServer) {
	order := DesiredOrder(index.Configuration.GetDeclarations(), b)
	checks := index.Service(b.Service).ChecksFencing
	seen, err := o.cfg.Engines.State(ctx, b.Address)
	if err != nil {
		o.note(b.Name, "no_answer")
		return
	}
	fencing, held := o.cfg.Lease.Held()
	if !held {
		return
	}
	order.Fencing = fencing
	switch action := Decide(order, seen, checks); action {
	case NoAction:
		o.note(b.Name, "kept")
	case StandDown:
		o.note(b.Name, "stood_down")
	case Load:
		if !o.reserveLoad(index, order, seen) {
			count("load_waits")
			return
		}
		o.send(ctx, b, order)
	case RaiseFencing, Repair:
		o.send(ctx, b, order)
	}
}

// reserveLoad keeps orders to load apart so that all together stay within the
// rate of the weight store. It returns false while an earlier load runs.
func (o *Orderer) reserveLoad(index *indexer.Index, order Order, seen State) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.cfg.Clock.Now()
	if now < o.loadingUntil {
		return false
	}
	o.loadingUntil = now + LoadTime(index.Configuration.GetDeclarations(), index.Policy, missing(order, seen))
	return true
}

func missing(order Order, seen State) []Model {
	var models []Model
	for _, m := range order.Models {
		if !covers(append(seen.Models, seen.Loading...), []Model{m}) {
			models = append(models, m)
		}
	}
	return models
}

// LoadTime returns how long the weight store needs to give models at its rate.
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
	return clocker.Millis(size * megabyteMs / policy.WeightStoreMbPerSecond)
}

// send gives an order if the lease is held still.
func (o *Orderer) send(ctx context.Context, b *messenger.BackendServer, order Order) {
	fencing, held := o.cfg.Lease.Held()
	if !held || fencing != order.Fencing {
		count("lease_lost")
		return
	}
	err := o.cfg.Engines.Order(ctx, b.Address, order)
	switch {
	case IsErrStaleFencing(err):
		count("refused_old_fencing")
	case err != nil:
		// The order may have been taken; the next look at the engine tells.
		count("unknown")
	default:
		count("ordered")
	}
}

// note remembers that an engine was looked at.
func (o *Orderer) note(server, outcome string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checked[server] = o.cfg.Clock.Now()
	count(outcome)
}

func count(outcome string) {
	metrics.GetOrCreateCounter(`cowsliphinge_orders_total{outcome="` + outcome + `"}`).Inc()
}
