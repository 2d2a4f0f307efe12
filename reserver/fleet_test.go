package reserver_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/reserver"
	"cowsliphinge/standin/platform"
	"cowsliphinge/storer"
)

// fleet is a small fleet whose background tasks the test runs step by step. It counts the
// served tokens independently of the reservers.
type fleet struct {
	clock  *clocker.Clock
	store  *platform.Store
	policy *messenger.Policy
	nodes  []*node
	starts int
	// servedWorstCase is the number of served tokens by budget; open reservations count
	// in full.
	servedWorstCase map[string]int64
	// mayOvercharge is true once tokens may be charged without being served.
	mayOvercharge bool
	// earlierBuilds is true while all hosts seem to be of builds that can't be witnesses.
	earlierBuilds bool
}

// node is a host. It is the Store and the Exchange of its reserver.
type node struct {
	fleet        *fleet
	name         string
	zone         string
	incarnation  string
	reserver     *reserver.Reserver
	reservations []reserver.Reservation
	// partition is the side of a network partition; side 0 reaches the platform.
	partition int
	// paused is true while the host neither answers nor runs tasks.
	paused bool
	// loseReplies is how many of the next transfers take effect but lose their reply.
	loseReplies int
	// duplicates is how many of the next transfers arrive twice.
	duplicates int
	// beforeUpdate runs once before the next conditional write.
	beforeUpdate func()
	calls        int64
}

func newFleet(policy *messenger.Policy, zones, perZone int) *fleet {
	clock := clocker.NewManual(100 * clocker.Hour)
	f := &fleet{clock: clock, store: platform.New(clock), policy: policy, servedWorstCase: map[string]int64{}}
	for z := range zones {
		for h := range perZone {
			f.nodes = append(f.nodes, &node{fleet: f, name: fmt.Sprintf("host-%d-%d", z, h), zone: fmt.Sprintf("zone-%d", z)})
		}
	}
	for _, n := range f.nodes {
		n.start()
	}
	return f
}

// start starts a new incarnation.
func (n *node) start() {
	n.fleet.starts++
	n.incarnation = fmt.Sprintf("%s-%x-00000000", n.name, n.fleet.starts)
	n.reservations = nil
	n.reserver = reserver.NewUnstarted(reserver.Config{
		Incarnation: n.incarnation, Host: n.name, AvailabilityZone: n.zone, Clock: n.fleet.clock,
		Store: n, Exchange: n, Peers: n.peers, Policy: func() *messenger.Policy { return n.fleet.policy },
	})
}

func (n *node) crash() {
	n.fleet.mayOvercharge = true
	n.start()
}

func (n *node) reaches(other *node) bool {
	return n.partition == other.partition && !other.paused
}

func (n *node) peers() []heartbeater.Peer {
	var peers []heartbeater.Peer
	for _, p := range n.fleet.nodes {
		if p == n {
			continue
		}
		peers = append(peers, heartbeater.Peer{
			Host: p.name, Incarnation: p.incarnation, AvailabilityZone: p.zone, ExchangeAddress: p.name,
			Suspect: !n.reaches(p), HeldTokens: p.reserver.HeldTokens(), Witnesses: !n.fleet.earlierBuilds,
		})
	}
	return peers
}

func (n *node) Transfer(ctx context.Context, address string, request *messenger.TransferRequest) (*messenger.TransferReply, error) {
	for _, p := range n.fleet.nodes {
		if p.name != address || !n.reaches(p) {
			continue
		}
		reply, err := p.reserver.Transfer(ctx, request)
		if n.duplicates > 0 {
			n.duplicates--
			reply, err = p.reserver.Transfer(ctx, request)
		}
		if n.loseReplies > 0 {
			n.loseReplies--
			return nil, errors.New("reply lost")
		}
		return reply, err
	}
	return nil, errors.New("unreachable")
}

func (n *node) countCall(key string) error {
	n.calls++
	if n.partition != 0 {
		return storer.ErrOutcomeUnknown{Key: key, Cause: "partition"}
	}
	return nil
}

func (n *node) Get(ctx context.Context, key string) (storer.Object, error) {
	if err := n.countCall(key); err != nil {
		return storer.Object{}, err
	}
	return n.fleet.store.Get(ctx, key)
}

func (n *node) Create(ctx context.Context, key string, value []byte) (storer.Object, error) {
	if err := n.countCall(key); err != nil {
		return storer.Object{}, err
	}
	return n.fleet.store.Create(ctx, key, value)
}

func (n *node) Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error) {
	if err := n.countCall(key); err != nil {
		return storer.Object{}, err
	}
	if before := n.beforeUpdate; before != nil {
		n.beforeUpdate = nil
		before()
	}
	return n.fleet.store.Update(ctx, key, version, value)
}

// reserve reserves tokens and serves the waiting requests of the host once.
func (n *node) reserve(budget string, tokens int64) error {
	p := n.reserver.StartReserve(budget, tokens, clocker.Minute)
	n.reserver.ServeWaiting(context.Background())
	p.Poll()
	if !p.Ended {
		p.TimeOut()
	}
	if p.Err == nil {
		n.reservations = append(n.reservations, p.Reservation)
		n.fleet.servedWorstCase[budget] += tokens
	}
	return p.Err
}

func (n *node) settle(used int64) {
	r := n.reservations[0]
	n.reservations = n.reservations[1:]
	n.fleet.servedWorstCase[r.Budget] -= r.Tokens - used
	n.reserver.Settle(r, used)
}

func (f *fleet) topUp(t testing.TB, n *node, operation, budget string, tokens int64) {
	t.Helper()
	_, err := n.reserver.TopUp(context.Background(), &messenger.TopUpRequest{OperationId: operation, Budget: budget, Tokens: tokens})
	assert.NilError(t, err)
}

// run advances the clock and runs all background tasks every second.
func (f *fleet) run(d clocker.Millis) {
	for end := f.clock.Now() + d; f.clock.Now() < end; {
		f.clock.Advance(clocker.Second)
		for _, n := range f.nodes {
			if !n.paused {
				n.reserver.RunTasks(context.Background())
				n.reserver.RetryUnknownTransfers(context.Background())
			}
		}
	}
}

// storedBudget ends the faults of the platform and returns a budget as stored there.
func (f *fleet) storedBudget(t testing.TB, name string) *messenger.Budget {
	t.Helper()
	f.store.SetFaults(platform.Faults{})
	objects, err := f.store.List(context.Background(), "budget/", "", 1000)
	assert.NilError(t, err)
	for _, o := range objects {
		shard := &messenger.BudgetShard{}
		assert.NilError(t, proto.Unmarshal(o.Value, shard))
		for _, b := range shard.Budgets {
			if b.Name == name {
				return b
			}
		}
	}
	return nil
}

// checkAccounting checks that the assigned tokens do not exceed the granted ones, and that
// the tokens that were or can still be served do not exceed the assigned ones.
func (f *fleet) checkAccounting(t testing.TB, name string) {
	t.Helper()
	b := f.storedBudget(t, name)
	assert.Assert(t, allotter.Assigned(b) <= b.Granted, "assigned %d of %d", allotter.Assigned(b), b.Granted)
	usable := f.servedWorstCase[name]
	for _, n := range f.nodes {
		usable += n.reserver.HeldTokens()
		for _, r := range n.reservations {
			usable -= r.Tokens
		}
	}
	assert.Assert(t, usable <= allotter.Assigned(b), "served and usable %d, assigned %d", usable, allotter.Assigned(b))
}

// heal ends all faults and runs the fleet until it has recovered.
func (f *fleet) heal() {
	f.store.SetFaults(platform.Faults{})
	f.store.ReleaseDelayed()
	for _, n := range f.nodes {
		n.partition, n.paused = 0, false
		n.loseReplies, n.duplicates, n.beforeUpdate = 0, 0, nil
	}
	f.run(20 * clocker.Second)
}
