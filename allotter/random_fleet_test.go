package allotter_test

import (
	"context"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/platform"
	"cowsliphinge/storer"
)

const shardKey = "budget/1"

var (
	budgetNames = []string{"mason", "school"}
	tightPolicy = &messenger.Policy{HeadroomMs: 5000, OfflineReserveMs: 60000, MaxShareOfRestMilli: 400}
)

// randomFleet is a small fleet whose steps, messages and writes are drawn at random. It
// counts the served tokens independently of the allotters.
type randomFleet struct {
	clock    *clocker.Clock
	store    *platform.Store
	hosts    []*host
	crashed  []*host
	history  []storer.Object
	messages []message
	// consumed is the number of served tokens by budget; open reservations count in
	// full.
	consumed        map[string]int64
	submittedTopUps map[string]map[string]int64
	fault           allotter.Fault
	// reclaimEntries injects a fault: entries of other hosts are removed after a
	// timeout.
	reclaimEntries bool
	firstSeen      map[string]clocker.Millis
	// mayLoseTokens is true once a host crashed or started to close, perhaps before it
	// returned what it had received.
	mayLoseTokens bool
	// guarded makes hosts guard tokens, which open at rates, and start at the address of one that crashed.
	guarded bool
}

type host struct {
	incarnation, address string
	allotter             *allotter.Allotter
	write                *allotter.Write
	// answer delivers the platform's answer to write; nil until write is sent.
	answer  func()
	open    []reservation
	settled []reservation
}

type reservation struct {
	budget string
	id     int64
	tokens int64
}

type message struct {
	from, to string
	total    *messenger.TransferTotal
}

func newRandomFleet(hosts int) *randomFleet {
	return newRandomFleetOf(hosts, false)
}

// newGuardedRandomFleet returns the same with hosts that guard tokens.
func newGuardedRandomFleet(hosts int) *randomFleet {
	return newRandomFleetOf(hosts, true)
}

func newRandomFleetOf(hosts int, guarded bool) *randomFleet {
	clock := clocker.NewManual(clocker.Hour)
	f := &randomFleet{
		clock: clock, store: platform.New(clock), consumed: map[string]int64{},
		submittedTopUps: map[string]map[string]int64{}, firstSeen: map[string]clocker.Millis{}, guarded: guarded,
	}
	for i := range hosts {
		f.startHostAt(fmt.Sprint("address-", i))
	}
	for i, budget := range budgetNames {
		h := f.hosts[i%hosts]
		f.read(h)
		f.planTopUp(h, budget, 5)
		f.send(h, platform.Faults{})
		f.deliverAnswer(h, false)
	}
	return f
}

func (f *randomFleet) startHost() *host {
	return f.startHostAt("")
}

func (f *randomFleet) startHostAt(address string) *host {
	h := &host{incarnation: fmt.Sprintf("host-%d", len(f.hosts)+len(f.crashed)), address: address}
	cfg := allotter.Config{Incarnation: h.incarnation, UrgentReserveHorizon: clocker.Second}
	if f.guarded {
		cfg.Guard = &allotter.GuardConfig{
			LeaseTime: 2000, RenewInterval: 900, DrawHorizon: clocker.Second, OpenFactor: 2, OpenShare: 1, FastAfter: 4000, FastFactor: 4, OpenTime: clocker.Minute,
			Address: address, SameHost: func(string) bool { return true }, StartedAt: f.clock.Now(), BootAt: f.clock.Now(),
		}
	}
	h.allotter = allotter.New(cfg)
	f.hosts = append(f.hosts, h)
	return h
}

// injectFaults enables the faults of the run on a host.
func (f *randomFleet) injectFaults(h *host) {
	h.allotter.InjectFault(f.fault)
	if f.reclaimEntries {
		h.allotter.TamperWrites(func(s *messenger.BudgetShard) { f.reclaim(h, s) })
	}
}

// reclaim removes entries of other hosts that have not changed for a minute.
func (f *randomFleet) reclaim(h *host, s *messenger.BudgetShard) {
	for _, b := range s.Budgets {
		remaining := b.Holders[:0]
		for _, e := range b.Holders {
			key := fmt.Sprint(b.Name, e.Incarnation, e.Limit)
			if _, ok := f.firstSeen[key]; !ok {
				f.firstSeen[key] = f.clock.Now()
			}
			if e.Incarnation == h.incarnation || f.clock.Now()-f.firstSeen[key] < clocker.Minute {
				remaining = append(remaining, e)
			}
		}
		b.Holders = remaining
	}
}

func (f *randomFleet) conditions(holder bool) allotter.Conditions {
	return allotter.Conditions{Now: f.clock.Now(), Policy: tightPolicy, KeepsHeadroom: holder, IsLive: f.isLive}
}

func (f *randomFleet) isLive(incarnation string) bool {
	for _, h := range f.hosts {
		if h.incarnation == incarnation {
			return true
		}
	}
	return false
}

func (f *randomFleet) storedObject() (storer.Object, *messenger.BudgetShard) {
	o, err := f.store.Get(context.Background(), shardKey)
	if err != nil {
		return storer.Object{}, &messenger.BudgetShard{}
	}
	return o, decodeShard(o)
}

func decodeShard(o storer.Object) *messenger.BudgetShard {
	object := &messenger.BudgetShard{}
	if err := proto.Unmarshal(o.Value, object); err != nil {
		panic(err)
	}
	return object
}

func (f *randomFleet) read(h *host) {
	o, object := f.storedObject()
	f.history = append(f.history, o)
	h.allotter.Merge(o.Version, object, f.clock.Now())
}

// readStale merges the object as of an earlier read.
func (f *randomFleet) readStale(h *host, i int) {
	o := f.history[i]
	h.allotter.Merge(o.Version, decodeShard(o), f.clock.Now())
}

func (f *randomFleet) plan(h *host, holder bool) {
	if h.write != nil {
		return
	}
	if w, ok := h.allotter.Plan(f.conditions(holder)); ok {
		h.write = &w
	}
}

func (f *randomFleet) planTopUp(h *host, budget string, op int) {
	if h.write != nil {
		return
	}
	request := &messenger.TopUpRequest{OperationId: fmt.Sprint("op-", op), Budget: budget, Tokens: int64(100 * (1 + op))}
	plan := h.allotter.PlanTopUp(request, f.clock.Now())
	if plan.Reply.Repeated {
		return
	}
	h.write = &plan.Write
	if f.submittedTopUps[budget] == nil {
		f.submittedTopUps[budget] = map[string]int64{}
	}
	f.submittedTopUps[budget][request.OperationId] = request.Tokens
}

// send sends the planned write to the platform, with faults; deliverAnswer delivers
// the answer later.
func (f *randomFleet) send(h *host, faults platform.Faults) {
	if h.write == nil || h.answer != nil {
		return
	}
	f.store.SetFaults(faults)
	defer f.store.SetFaults(platform.Faults{})
	w := *h.write
	value, err := proto.Marshal(w.Value)
	if err != nil {
		panic(err)
	}
	var o storer.Object
	if w.Version == 0 {
		o, err = f.store.Create(context.Background(), shardKey, value)
	} else {
		o, err = f.store.Update(context.Background(), shardKey, w.Version, value)
	}
	h.answer = func() {
		switch {
		case err == nil:
			h.allotter.Confirm(w, o.Version, f.clock.Now())
		case storer.IsErrOutcomeUnknown(err):
			h.allotter.OutcomeUnknown(w)
		default:
			h.allotter.Rejected(w)
		}
	}
}

// deliverAnswer reports the answer to a write to the host, or an unknown outcome if
// the answer is lost.
func (f *randomFleet) deliverAnswer(h *host, lost bool) {
	if h.answer == nil {
		return
	}
	if lost {
		h.allotter.OutcomeUnknown(*h.write)
	} else {
		h.answer()
	}
	h.write, h.answer = nil, nil
}

func (f *randomFleet) reserve(h *host, budget string, tokens int64, rank int) bool {
	id, ok := h.allotter.Reserve(budget, tokens, rank, f.clock.Now())
	if ok {
		h.open = append(h.open, reservation{budget: budget, id: id, tokens: tokens})
		f.consumed[budget] += tokens
	}
	return ok
}

func (f *randomFleet) settle(h *host, i int, used int64) {
	r := h.open[i]
	h.open = append(h.open[:i], h.open[i+1:]...)
	h.settled = append(h.settled, r)
	used = min(used, r.tokens)
	f.consumed[r.budget] -= r.tokens - used
	h.allotter.Settle(r.budget, r.id, used, f.clock.Now())
}

func (f *randomFleet) transfer(from, to *host, ask *messenger.TransferAsk) {
	total := from.allotter.TransferTo(to.incarnation, ask, f.clock.Now())
	f.messages = append(f.messages, message{from: from.incarnation, to: to.incarnation, total: total})
}

// balance transfers what balances the headroom of two hosts, by what the receiver told.
func (f *randomFleet) balance(from, to *host) {
	for _, ask := range to.allotter.BalanceAsks(f.clock.Now()) {
		total := from.allotter.BalanceTo(to.incarnation, ask, f.clock.Now())
		f.messages = append(f.messages, message{from: from.incarnation, to: to.incarnation, total: total})
	}
}

func (f *randomFleet) returnFragments(from, to *host) {
	for _, total := range from.allotter.ReturnFragments(to.incarnation) {
		f.messages = append(f.messages, message{from: from.incarnation, to: to.incarnation, total: total})
	}
}

func (f *randomFleet) returnSurplus(h *host) {
	for _, r := range h.allotter.ReturnSurplus(f.conditions(false)) {
		f.messages = append(f.messages, message{from: h.incarnation, to: r.To, total: r.Total})
	}
}

func (f *randomFleet) deliver(i int, keepMessage bool) {
	msg := f.messages[i]
	if !keepMessage {
		f.messages = append(f.messages[:i], f.messages[i+1:]...)
	}
	for _, h := range f.hosts {
		if h.incarnation == msg.to {
			h.allotter.Receive(msg.from, msg.total)
		}
	}
}

func (f *randomFleet) crash(i int) {
	f.mayLoseTokens = true
	f.crashed = append(f.crashed, f.hosts[i])
	f.hosts = append(f.hosts[:i], f.hosts[i+1:]...)
	f.injectFaults(f.startHostAt(f.crashed[len(f.crashed)-1].address))
}

// check verifies the invariants of all budgets.
func (f *randomFleet) check() error {
	_, object := f.storedObject()
	for _, b := range object.Budgets {
		var submitted int64
		for _, tokens := range f.submittedTopUps[b.Name] {
			submitted += tokens
		}
		if b.Granted > submitted {
			return fmt.Errorf("%s: granted %d of %d topped up", b.Name, b.Granted, submitted)
		}
		if allotter.Assigned(b) > b.Granted {
			return fmt.Errorf("%s: assigned %d of %d granted", b.Name, allotter.Assigned(b), b.Granted)
		}
		usable := f.consumed[b.Name]
		for _, h := range slices.Concat(f.crashed, f.hosts) {
			usable += h.allotter.Headroom(b.Name)
		}
		if usable > allotter.Assigned(b) {
			return fmt.Errorf("%s: served and usable %d of %d assigned", b.Name, usable, allotter.Assigned(b))
		}
	}
	return nil
}

// shutDown settles all reservations, delivers all messages and closes all hosts.
func (f *randomFleet) shutDown() error {
	f.store.ReleaseDelayed()
	for _, h := range f.hosts {
		f.deliverAnswer(h, false)
		h.write = nil
		for len(h.open) > 0 {
			f.settle(h, 0, h.open[0].tokens/2)
		}
		h.allotter.StartClosing()
	}
	for range f.hosts {
		f.deliverAll()
		for _, h := range f.hosts {
			f.returnSurplus(h)
		}
	}
	f.deliverAll()
	for _, h := range f.hosts {
		for range 3 {
			f.read(h)
			f.plan(h, false)
			f.send(h, platform.Faults{})
			f.deliverAnswer(h, false)
		}
		if !h.allotter.Closed() {
			return fmt.Errorf("%s is not closed", h.incarnation)
		}
	}
	return f.check()
}

func (f *randomFleet) deliverAll() {
	for len(f.messages) > 0 {
		f.deliver(0, false)
	}
}

// checkCharges verifies, after shutDown, that the charges equal the served tokens.
func (f *randomFleet) checkCharges() error {
	if f.mayLoseTokens {
		return nil
	}
	for _, h := range f.hosts {
		if h.allotter.LateTokens() > 0 {
			return nil
		}
	}
	_, object := f.storedObject()
	for _, b := range object.Budgets {
		if allotter.Assigned(b) != f.consumed[b.Name] {
			return fmt.Errorf("%s: charged %d, served %d", b.Name, allotter.Assigned(b), f.consumed[b.Name])
		}
	}
	return nil
}
