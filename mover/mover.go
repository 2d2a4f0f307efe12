package mover

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/orderer"
	"cowsliphinge/spreader"
	"cowsliphinge/storer"
)

const (
	// keyPrefix is the prefix of progress objects in the Object API.
	keyPrefix = "move/"
	// stepIntervalMs is the wait between two steps of the background task.
	stepIntervalMs = 2 * clocker.Second
	// callTimeoutMs is the timeout of a call to the platform.
	callTimeoutMs = 2 * clocker.Second
	// maxCandidates is the number of live hosts that compete for the lease.
	maxCandidates = 3
	// appliedBy identifies the mover in the versions it publishes.
	appliedBy = "mover"
)

// Store is the part of the Object API that the mover uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	List(ctx context.Context, prefix, after string, limit int) ([]storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (storer.Object, error)
	Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error)
}

// Spreader publishes versions of the configuration.
type Spreader interface {
	Index() *indexer.Index
	Publish(ctx context.Context, c spreader.PublishRequest) (*messenger.ApplyReply, error)
}

// Lease allows one host at a time to execute moves.
type Lease interface {
	Held() (int64, bool)
	AcquireOrRenew(ctx context.Context) error
	Release(ctx context.Context) error
}

// Servers calls backend servers.
type Servers interface {
	State(ctx context.Context, address string) (orderer.State, error)
	InFlight(ctx context.Context, address string) (int64, error)
	Warm(ctx context.Context, from, to string) (int, error)
}

// Config configures a Mover.
type Config struct {
	Incarnation string
	Clock       *clocker.Clock
	Store       Store
	Spreader    Spreader
	Lease       Lease
	Servers     Servers
	// Self returns the heartbeat of this host.
	Self  func() *messenger.Beat
	Peers func() []heartbeater.Peer
	// Log receives state changes; nil means slog.Default.
	Log *slog.Logger
}

// Mover executes moves while it holds the lease.
type Mover struct {
	cfg   Config
	stop  context.CancelFunc
	group *errgroup.Group

	mu sync.Mutex
	// warmUps holds the warm-ups made by this host, keyed by move and target.
	warmUps map[string]WarmUp
}

// New starts a mover with a background task.
func New(ctx context.Context, cfg Config) *Mover {
	m := NewStepped(cfg)
	ctx, m.stop = context.WithCancel(ctx)
	m.group, ctx = errgroup.WithContext(ctx)
	m.group.Go(func() error {
		for cfg.Clock.Sleep(ctx, stepIntervalMs) == nil {
			m.Step(ctx)
		}
		return nil
	})
	return m
}

// NewStepped returns a mover without a background task: the caller runs Step.
func NewStepped(cfg Config) *Mover {
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	return &Mover{cfg: cfg, warmUps: map[string]WarmUp{}}
}

// Close stops the background task and releases the lease.
func (m *Mover) Close(ctx context.Context) error {
	m.stop()
	_ = m.group.Wait() // the task always returns nil
	return trace.Wrap(m.cfg.Lease.Release(ctx))
}

// Step acquires or renews the lease if this host holds it or is a candidate. If
// the lease is held, Step advances each started move once.
func (m *Mover) Step(ctx context.Context) {
	_, held := m.cfg.Lease.Held()
	if !held && !m.candidate() {
		return
	}
	if err := m.cfg.Lease.AcquireOrRenew(ctx); err != nil {
		count("lease_failed")
	}
	if _, held = m.cfg.Lease.Held(); !held {
		return
	}
	for _, move := range m.cfg.Spreader.Index().Configuration.GetDeclarations().GetMoves() {
		if move.State != messenger.MoveState_STARTED {
			continue
		}
		if err := m.advanceMove(ctx, move); err != nil {
			count("carry_failed")
		}
	}
}

// candidate reports whether this host is one of the first maxCandidates live
// hosts by name.
func (m *Mover) candidate() bool {
	self := m.cfg.Self()
	before := 0
	for _, p := range m.cfg.Peers() {
		if !p.Suspect && !p.Draining && p.PlatformReachable && p.Host < self.Host {
			before++
		}
	}
	return before < maxCandidates && !self.Draining
}

// advanceMove observes the targets of a move, records its progress, and
// postpones or finishes the move if needed.
func (m *Mover) advanceMove(ctx context.Context, move *messenger.Move) error {
	progress, version, err := m.readProgress(ctx, move)
	if err != nil {
		return trace.Wrap(err)
	}
	fencing, held := m.cfg.Lease.Held()
	if !held || progress.Fencing > fencing {
		count("stood_down")
		return nil
	}
	now := m.cfg.Clock.Now()
	next := proto.CloneOf(progress)
	next.Fencing = fencing
	next.Steps = Advance(move, progress.Steps, m.observe(ctx, move, progress.Steps, now), now)
	next.RequestsCut = max(progress.RequestsCut, m.requestsCut(move))
	if err := m.writeProgress(ctx, progress, next, version); err != nil {
		return trace.Wrap(err)
	}
	if postponed := Postponed(move, next.Steps, now); postponed != nil {
		return m.publish(ctx, move, postponed, fmt.Sprintf("mover-postpone-%s-%d", move.Name, move.DrainAtMs))
	}
	if !Complete(next.Steps) {
		return nil
	}
	finished := proto.CloneOf(move)
	finished.State = messenger.MoveState_FINISHED
	return m.publish(ctx, move, finished, fmt.Sprintf("mover-finish-%s-%d", move.Name, move.DrainAtMs))
}

// publish changes the state of a move under the lease. If an operator changed
// the configuration at the same time, the operator's change wins.
func (m *Mover) publish(ctx context.Context, current, updated *messenger.Move, operation string) error {
	if _, held := m.cfg.Lease.Held(); !held {
		count("lease_lost")
		return nil
	}
	expected := m.cfg.Spreader.Index().Version()
	_, err := m.cfg.Spreader.Publish(ctx, spreader.PublishRequest{
		OperationID: truncateOperationID(operation), ExpectedVersion: expected, AppliedBy: appliedBy,
		Edit: func(before *messenger.Declarations) (*messenger.Declarations, []*messenger.Finding) {
			after := proto.CloneOf(before)
			i := slices.IndexFunc(after.Moves, func(o *messenger.Move) bool { return proto.Equal(o, current) })
			if i < 0 {
				return after, []*messenger.Finding{{Path: "$.Moves", Message: "the move was changed meanwhile"}}
			}
			after.Moves[i] = updated
			return after, nil
		},
	})
	if spreader.IsErrVersionConflict(err) {
		count("lost_race")
		return nil
	}
	if err == nil {
		m.cfg.Log.Info("move changed", "Move", current.Name, "State", updated.State.String(), "DrainAtMs", updated.DrainAtMs)
	}
	return trace.Wrap(err)
}

// Report returns the recorded progress of a declared move, or its planned steps
// if none is recorded. A planned move also gets its findings.
func (m *Mover) Report(ctx context.Context, move *messenger.Move) (*messenger.MoveReport, error) {
	progress, _, err := m.readProgress(ctx, move)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	report := &messenger.MoveReport{Move: move, Steps: progress.Steps, RequestsCut: progress.RequestsCut}
	if move.State == messenger.MoveState_PLANNED {
		report.Findings = Plan(m.cfg.Spreader.Index().Configuration.GetDeclarations(), move, m.cfg.Clock.Now()).Findings
	}
	return report, nil
}

// PlanMove returns the steps and findings of a move under the given declarations.
func (m *Mover) PlanMove(_ context.Context, d *messenger.Declarations, move *messenger.Move) (*messenger.MoveReport, error) {
	report := Plan(d, move, m.cfg.Clock.Now())
	live := map[string]bool{m.cfg.Self().Host: true}
	for _, p := range m.cfg.Peers() {
		live[p.Host] = live[p.Host] || !p.Suspect && p.LastHeard > 0
	}
	for i, name := range move.ArrivingHosts {
		if !live[name] {
			report.Findings = append(report.Findings, &messenger.Finding{
				Path: fmt.Sprintf("$.ArrivingHosts[%d]", i), Message: name + " is not heard of yet", Warning: true,
			})
		}
	}
	return report, nil
}

func truncateOperationID(operation string) string {
	const maxBytes = 64
	if len(operation) <= maxBytes {
		return operation
	}
	return operation[len(operation)-maxBytes:]
}

func count(outcome string) {
	metrics.GetOrCreateCounter(`cowsliphinge_mover_total{outcome="` + outcome + `"}`).Inc()
}
