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

// machine is a small fleet whose steps, messages and writes are drawn at random. It
// counts the served tokens independently of the allotters.
type machine struct {
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
}

type host struct {
	incarnation string
	allotter    *allotter.Allotter
	write       *allotter.Write
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

func newMachine(hosts int) *machine {
	clock := clocker.NewManual(clocker.Hour)
	m := &machine{
		clock: clock, store: platform.New(clock), consumed: map[string]int64{},
		submittedTopUps: map[string]map[string]int64{}, firstSeen: map[string]clocker.Millis{},
	}
	for range hosts {
		m.startHost()
	}
	for i, budget := range budgetNames {
		h := m.hosts[i%hosts]
		m.read(h)
		m.planTopUp(h, budget, 5)
		m.send(h, platform.Faults{})
		m.deliverAnswer(h, false)
	}
	return m
}

func (m *machine) startHost() *host {
	h := &host{incarnation: fmt.Sprintf("host-%d", len(m.hosts)+len(m.crashed))}
	h.allotter = allotter.New(allotter.Config{Incarnation: h.incarnation, UrgentReserveHorizon: clocker.Second})
	m.hosts = append(m.hosts, h)
	return h
}

// injectFaults enables the faults of the run on a host.
func (m *machine) injectFaults(h *host) {
	h.allotter.InjectFault(m.fault)
	if m.reclaimEntries {
		h.allotter.TamperWrites(func(s *messenger.BudgetShard) { m.reclaim(h, s) })
	}
}

// reclaim removes entries of other hosts that have not changed for a minute.
func (m *machine) reclaim(h *host, s *messenger.BudgetShard) {
	for _, b := range s.Budgets {
		remaining := b.Holders[:0]
		for _, e := range b.Holders {
			key := fmt.Sprint(b.Name, e.Incarnation, e.Limit)
			if _, ok := m.firstSeen[key]; !ok {
				m.firstSeen[key] = m.clock.Now()
			}
			if e.Incarnation == h.incarnation || m.clock.Now()-m.firstSeen[key] < clocker.Minute {
				remaining = append(remaining, e)
			}
		}
		b.Holders = remaining
	}
}

func (m *machine) conditions(holder bool) allotter.Conditions {
	return allotter.Conditions{Now: m.clock.Now(), Policy: tightPolicy, KeepsHeadroom: holder, IsLive: m.isLive}
}

func (m *machine) isLive(incarnation string) bool {
	for _, h := range m.hosts {
		if h.incarnation == incarnation {
			return true
		}
	}
	return false
}

func (m *machine) storedObject() (storer.Object, *messenger.BudgetShard) {
	o, err := m.store.Get(context.Background(), shardKey)
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

func (m *machine) read(h *host) {
	o, object := m.storedObject()
	m.history = append(m.history, o)
	h.allotter.Merge(o.Version, object, m.clock.Now())
}

// readStale merges the object as of an earlier read.
func (m *machine) readStale(h *host, i int) {
	o := m.history[i]
	h.allotter.Merge(o.Version, decodeShard(o), m.clock.Now())
}

func (m *machine) plan(h *host, holder bool) {
	if h.write != nil {
		return
	}
	if w, ok := h.allotter.Plan(m.conditions(holder)); ok {
		h.write = &w
	}
}

func (m *machine) planTopUp(h *host, budget string, op int) {
	if h.write != nil {
		return
	}
	request := &messenger.TopUpRequest{OperationId: fmt.Sprint("op-", op), Budget: budget, Tokens: int64(100 * (1 + op))}
	plan := h.allotter.PlanTopUp(request, m.clock.Now())
	if plan.Reply.Repeated {
		return
	}
	h.write = &plan.Write
	if m.submittedTopUps[budget] == nil {
		m.submittedTopUps[budget] = map[string]int64{}
	}
	m.submittedTopUps[budget][request.OperationId] = request.Tokens
}

// send sends the planned write to the platform, with faults; deliverAnswer delivers
// the answer later.
func (m *machine) send(h *host, f platform.Faults) {
	if h.write == nil || h.answer != nil {
		return
	}
	m.store.SetFaults(f)
	defer m.store.SetFaults(platform.Faults{})
	w := *h.write
	value, err := proto.Marshal(w.Value)
	if err != nil {
		panic(err)
	}
	var o storer.Object
	if w.Version == 0 {
		o, err = m.store.Create(context.Background(), shardKey, value)
	} else {
		o, err = m.store.Update(context.Background(), shardKey, w.Version, value)
	}
	h.answer = func() {
		switch {
		case err == nil:
			h.allotter.Confirm(w, o.Version, m.clock.Now())
		case storer.IsErrOutcomeUnknown(err):
			h.allotter.OutcomeUnknown(w)
		default:
			h.allotter.Rejected(w)
		}
	}
}

// deliverAnswer reports the answer to a write to the host, or an unknown outcome if
// the answer is lost.
func (m *machine) deliverAnswer(h *host, lost bool) {
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

func (m *machine) reserve(h *host, budget string, tokens int64, rank int) bool {
	id, ok := h.allotter.Reserve(budget, tokens, rank, m.clock.Now())
	if ok {
		h.open = append(h.open, reservation{budget: budget, id: id, tokens: tokens})
		m.consumed[budget] += tokens
	}
	return ok
}

func (m *machine) settle(h *host, i int, used int64) {
	r := h.open[i]
	h.open = append(h.open[:i], h.open[i+1:]...)
	h.settled = append(h.settled, r)
	used = min(used, r.tokens)
	m.consumed[r.budget] -= r.tokens - used
	h.allotter.Settle(r.budget, r.id, used, m.clock.Now())
}

func (m *machine) transfer(from, to *host, ask *messenger.TransferAsk) {
	total := from.allotter.TransferTo(to.incarnation, ask, m.clock.Now())
	m.messages = append(m.messages, message{from: from.incarnation, to: to.incarnation, total: total})
}

func (m *machine) returnSurplus(h *host) {
	for _, r := range h.allotter.ReturnSurplus(m.conditions(false)) {
		m.messages = append(m.messages, message{from: h.incarnation, to: r.To, total: r.Total})
	}
}

func (m *machine) deliver(i int, keepMessage bool) {
	msg := m.messages[i]
	if !keepMessage {
		m.messages = append(m.messages[:i], m.messages[i+1:]...)
	}
	for _, h := range m.hosts {
		if h.incarnation == msg.to {
			h.allotter.Receive(msg.from, msg.total)
		}
	}
}

func (m *machine) crash(i int) {
	m.mayLoseTokens = true
	m.crashed = append(m.crashed, m.hosts[i])
	m.hosts = append(m.hosts[:i], m.hosts[i+1:]...)
	m.injectFaults(m.startHost())
}

// check verifies the invariants of all budgets.
func (m *machine) check() error {
	_, object := m.storedObject()
	for _, b := range object.Budgets {
		var submitted int64
		for _, tokens := range m.submittedTopUps[b.Name] {
			submitted += tokens
		}
		if b.Granted > submitted {
			return fmt.Errorf("%s: granted %d of %d topped up", b.Name, b.Granted, submitted)
		}
		if allotter.Assigned(b) > b.Granted {
			return fmt.Errorf("%s: assigned %d of %d granted", b.Name, allotter.Assigned(b), b.Granted)
		}
		usable := m.consumed[b.Name]
		for _, h := range slices.Concat(m.crashed, m.hosts) {
			usable += h.allotter.Headroom(b.Name)
		}
		if usable > allotter.Assigned(b) {
			return fmt.Errorf("%s: served and usable %d of %d assigned", b.Name, usable, allotter.Assigned(b))
		}
	}
	return nil
}

// shutDown settles all reservations, delivers all messages and closes all hosts.
func (m *machine) shutDown() error {
	m.store.ReleaseDelayed()
	for _, h := range m.hosts {
		m.deliverAnswer(h, false)
		h.write = nil
		for len(h.open) > 0 {
			m.settle(h, 0, h.open[0].tokens/2)
		}
		h.allotter.StartClosing()
	}
	for range m.hosts {
		m.deliverAll()
		for _, h := range m.hosts {
			m.returnSurplus(h)
		}
	}
	m.deliverAll()
	for _, h := range m.hosts {
		for range 3 {
			m.read(h)
			m.plan(h, false)
			m.send(h, platform.Faults{})
			m.deliverAnswer(h, false)
		}
		if !h.allotter.Closed() {
			return fmt.Errorf("%s is not closed", h.incarnation)
		}
	}
	return m.check()
}

func (m *machine) deliverAll() {
	for len(m.messages) > 0 {
		m.deliver(0, false)
	}
}

// checkCharges verifies, after shutDown, that the charges equal the served tokens.
func (m *machine) checkCharges() error {
	if m.mayLoseTokens {
		return nil
	}
	for _, h := range m.hosts {
		if h.allotter.LateTokens() > 0 {
			return nil
		}
	}
	_, object := m.storedObject()
	for _, b := range object.Budgets {
		if allotter.Assigned(b) != m.consumed[b.Name] {
			return fmt.Errorf("%s: charged %d, served %d", b.Name, allotter.Assigned(b), m.consumed[b.Name])
		}
	}
	return nil
}
