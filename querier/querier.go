// Package querier serves the operators' queries, which change nothing.
package querier

import (
	"context"
	"slices"
	"strings"

	"github.com/twitchtv/twirp"

	"cowsliphinge/differ"
	"cowsliphinge/heartbeater"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
	"cowsliphinge/validator"
)

// Spreader holds the configuration in force.
type Spreader interface {
	Index() *indexer.Index
}

// Budgets reports budgets as the platform holds them.
type Budgets interface {
	Report(ctx context.Context, budget string) (*messenger.BudgetReport, error)
}

// Bills sums bills.
type Bills interface {
	SumBills(ctx context.Context, req *messenger.SumBillsRequest) (*messenger.SumBillsReply, error)
}

// Servers reports the backend servers as this host sees them.
type Servers interface {
	Status() []*messenger.BackendServerStatus
}

// Moves reports moves.
type Moves interface {
	// PlanMove returns the steps and findings of a move under the given declarations.
	PlanMove(ctx context.Context, d *messenger.Declarations, move *messenger.Move) (*messenger.MoveReport, error)
	// Report returns the progress of a declared move.
	Report(ctx context.Context, move *messenger.Move) (*messenger.MoveReport, error)
}

// Config configures a Querier. Parts that are nil answer Unimplemented or are
// left out of the status.
type Config struct {
	Spreader Spreader
	Budgets  Budgets
	Bills    Bills
	Servers  Servers
	Moves    Moves
	// Self returns the heartbeat of this host; nil leaves it out of the status.
	Self func() *messenger.Beat
	// Peers returns the other routers.
	Peers func() []heartbeater.Peer
}

// Querier implements messenger.Querier.
type Querier struct {
	cfg Config
}

var _ messenger.Querier = (*Querier)(nil)

// New returns a querier.
func New(cfg Config) *Querier {
	return &Querier{cfg: cfg}
}

// GetConfiguration returns the version in force at this host.
func (q *Querier) GetConfiguration(context.Context, *messenger.GetConfigurationRequest) (*messenger.Configuration, error) {
	return q.cfg.Spreader.Index().Configuration, nil
}

// Diff compares declarations with the version in force at this host.
func (q *Querier) Diff(_ context.Context, req *messenger.DiffRequest) (*messenger.DiffReply, error) {
	if req.Declarations == nil {
		return nil, twirp.RequiredArgumentError("Declarations")
	}
	index := q.cfg.Spreader.Index()
	before := index.Configuration.GetDeclarations()
	if before == nil {
		before = &messenger.Declarations{}
	}
	findings := validator.Declarations("", req.Declarations)
	return &messenger.DiffReply{
		Version:  index.Version(),
		Changes:  differ.Diff(before, req.Declarations),
		Findings: append(findings, validator.Transitions("", before, req.Declarations)...),
	}, nil
}

// GetBudget reports a budget.
func (q *Querier) GetBudget(ctx context.Context, req *messenger.GetBudgetRequest) (*messenger.BudgetReport, error) {
	if req.Budget == "" {
		return nil, twirp.RequiredArgumentError("Budget")
	}
	report, err := q.cfg.Budgets.Report(ctx, req.Budget)
	return report, failure(err)
}

// SumBills totals bills.
func (q *Querier) SumBills(ctx context.Context, req *messenger.SumBillsRequest) (*messenger.SumBillsReply, error) {
	reply, err := q.cfg.Bills.SumBills(ctx, req)
	return reply, failure(err)
}

// GetStatus returns the fleet as this host sees it.
func (q *Querier) GetStatus(ctx context.Context, _ *messenger.GetStatusRequest) (*messenger.Status, error) {
	index := q.cfg.Spreader.Index()
	status := &messenger.Status{ConfigurationVersion: index.Version(), Hosts: q.hosts(index)}
	if q.cfg.Servers != nil {
		status.BackendServers = q.cfg.Servers.Status()
	}
	if q.cfg.Moves == nil {
		return status, nil
	}
	for _, m := range index.Configuration.GetDeclarations().GetMoves() {
		report, err := q.cfg.Moves.Report(ctx, m)
		if err != nil {
			report = &messenger.MoveReport{Move: m, Findings: []*messenger.Finding{{Path: "$.Steps", Message: err.Error()}}}
		}
		status.Moves = append(status.Moves, report)
	}
	return status, nil
}

// hosts lists this host, the peers and the declared hosts never heard of.
func (q *Querier) hosts(index *indexer.Index) []*messenger.HostStatus {
	var list []*messenger.HostStatus
	seen := map[string]bool{}
	if q.cfg.Self != nil {
		list = append(list, fromBeat(q.cfg.Self(), index.Version()))
		seen[list[0].Name] = true
	}
	for _, p := range q.cfg.Peers() {
		if !seen[p.Host] {
			list = append(list, fromPeer(p))
			seen[p.Host] = true
		}
	}
	for _, h := range index.Hosts() {
		if !seen[h.Name] {
			list = append(list, &messenger.HostStatus{Name: h.Name, AvailabilityZone: h.AvailabilityZone})
		}
	}
	slices.SortFunc(list, func(a, b *messenger.HostStatus) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func fromBeat(b *messenger.Beat, version int64) *messenger.HostStatus {
	return &messenger.HostStatus{
		Name:                 b.Host,
		AvailabilityZone:     b.AvailabilityZone,
		Incarnation:          b.Incarnation,
		ConfigurationVersion: version,
		LastHeardMs:          b.SentAtMs,
		Draining:             b.Draining,
		InFlight:             b.InFlight,
		HeldTokens:           b.HeldTokens,
		PlatformReachable:    b.PlatformReachable,
	}
}

func fromPeer(p heartbeater.Peer) *messenger.HostStatus {
	return &messenger.HostStatus{
		Name:                 p.Host,
		AvailabilityZone:     p.AvailabilityZone,
		Incarnation:          p.Incarnation,
		ConfigurationVersion: p.ConfigurationVersion,
		LastHeardMs:          int64(p.LastHeard),
		Draining:             p.Draining,
		InFlight:             p.InFlight,
		HeldTokens:           p.HeldTokens,
		PlatformReachable:    p.PlatformReachable,
	}
}

// PlanMove tells whether a move is feasible.
func (q *Querier) PlanMove(ctx context.Context, req *messenger.PlanMoveRequest) (*messenger.MoveReport, error) {
	if req.Move.GetName() == "" {
		return nil, twirp.RequiredArgumentError("Move.Name")
	}
	if q.cfg.Moves == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this host carries no moves")
	}
	report, err := q.cfg.Moves.PlanMove(ctx, q.cfg.Spreader.Index().Configuration.GetDeclarations(), req.Move)
	return report, failure(err)
}

// GetMove returns the progress of a declared move.
func (q *Querier) GetMove(ctx context.Context, req *messenger.GetMoveRequest) (*messenger.MoveReport, error) {
	if q.cfg.Moves == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this host carries no moves")
	}
	for _, m := range q.cfg.Spreader.Index().Configuration.GetDeclarations().GetMoves() {
		if m.Name == req.Name {
			report, err := q.cfg.Moves.Report(ctx, m)
			return report, failure(err)
		}
	}
	return nil, twirp.NotFoundError("no move is named " + req.Name)
}

// failure gives an error the code that operators see; nil stays nil.
func failure(err error) error {
	switch {
	case err == nil:
		return nil
	case storer.IsErrNotFound(err):
		return twirp.NotFoundError(err.Error())
	case storer.IsErrOutcomeUnknown(err), storer.IsErrRateLimited(err):
		return twirp.NewError(twirp.Unavailable, err.Error())
	}
	return twirp.InternalErrorWith(err)
}
