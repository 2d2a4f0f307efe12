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

// machine is a small fleet whose every step, message and write is drawn, with
// an independent tally of what was served.
type machine struct {
	clock    *clocker.Clock
	store    *platform.Store
	hosts    []*host
	gone     []*host
	history  []storer.Object
	messages []message
	// exposed is what was served, open reservations counted in full.
	exposed   map[string]int64
	submitted map[string]map[string]int64
	mistake   allotter.Mistake
	// reclaims plants that entries of others are taken back after a time.
	reclaims bool
	seen     map[string]clocker.Millis
	// lossy is true once a host crashed, or closed before it gave back.
	lossy bool
}

type host struct {
	incarnation string
	allotter    *allotter.Allotter
	write       *allotter.Write
	// answer is the platform's answer to write, once that was sent.
	answer func()
	open   []reservation
	done   []reservation
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
		clock: clock, store: platform.New(clock), exposed: map[string]int64{},
		submitted: map[string]map[string]int64{}, seen: map[string]clocker.Millis{},
	}
	for range hosts {
		m.start()
	}
	for i, budget := range budgetNames {
		h := m.hosts[i%hosts]
		m.read(h)
		m.planTopUp(h, budget, 5)
		m.send(h, platform.Faults{})
		m.tell(h, false)
	}
	return m
}

func (m *machine) start() *host {
	h := &host{incarnation: fmt.Sprintf("host-%d", len(m.hosts)+len(m.gone))}
	h.allotter = allotter.New(allotter.Config{Incarnation: h.incarnation, UrgentReserve: clocker.Second})
	m.hosts = append(m.hosts, h)
	return h
}

// plant makes all hosts err.
func (m *machine) plant(h *host) {
	h.allotter.Plant(m.mistake)
	if m.reclaims {
		h.allotter.Tamper(func(s *messenger.BudgetShard) { m.reclaim(h, s) })
	}
}

// reclaim drops entries of others that have not changed for a minute.
func (m *machine) reclaim(h *host, s *messenger.BudgetShard) {
	for _, b := range s.Budgets {
		kept := b.Holders[:0]
		for _, e := range b.Holders {
			key := fmt.Sprint(b.Name, e.Incarnation, e.Limit)
			if _, ok := m.seen[key]; !ok {
				m.seen[key] = m.clock.Now()
			}
			if e.Incarnation == h.incarnation || m.clock.Now()-m.seen[key] < clocker.Minute {
				kept = append(kept, e)
			}
		}
		b.Holders = kept
	}
}

func (m *machine) circumstances(holder bool) allotter.Conditions {
	return allotter.Conditions{Now: m.clock.Now(), Policy: tightPolicy, Holder: holder, IsLive: m.live}
}

func (m *machine) live(incarnation string) bool {
	for _, h := range m.hosts {
		if h.incarnation == incarnation {
			return true
		}
	}
	return false
}

func (m *machine) object() (storer.Object, *messenger.BudgetShard) {
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
	o, object := m.object()
	m.history = append(m.history, o)
	h.allotter.Merge(o.Version, object, m.clock.Now())
}

// readStale takes in an object as it was at an earlier read.
func (m *machine) readStale(h *host, i int) {
	o := m.history[i]
	h.allotter.Merge(o.Version, decodeShard(o), m.clock.Now())
}

func (m *machine) plan(h *host, holder bool) {
	if h.write != nil {
		return
	}
	if w, ok := h.allotter.Plan(m.circumstances(holder)); ok {
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
	if m.submitted[budget] == nil {
		m.submitted[budget] = map[string]int64{}
	}
	m.submitted[budget][request.OperationId] = request.Tokens
}

// send hands the planned write to the platform, with faults; the answer is told later.
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
			h.allotter.Conflict(w)
		}
	}
}

// tell tells the host the answer to its write, if lost is false.
func (m *machine) tell(h *host, lost bool) {
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
		m.exposed[budget] += tokens
	}
	return ok
}

func (m *machine) settle(h *host, i int, used int64) {
	r := h.open[i]
	h.open = append(h.open[:i], h.open[i+1:]...)
	h.done = append(h.done, r)
	used = min(used, r.tokens)
	m.exposed[r.budget] -= r.tokens - used
	h.allotter.Settle(r.budget, r.id, used, m.clock.Now())
}

func (m *machine) give(from, to *host, ask *messenger.TransferAsk) {
	total := from.allotter.TransferTo(to.incarnation, ask, m.clock.Now())
	m.messages = append(m.messages, message{from: from.incarnation, to: to.incarnation, total: total})
}

func (m *machine) giveBack(h *host) {
	for _, r := range h.allotter.ReturnSurplus(m.circumstances(false)) {
		m.messages = append(m.messages, message{from: h.incarnation, to: r.To, total: r.Total})
	}
}

func (m *machine) deliver(i int, keep bool) {
	msg := m.messages[i]
	if !keep {
		m.messages = append(m.messages[:i], m.messages[i+1:]...)
	}
	for _, h := range m.hosts {
		if h.incarnation == msg.to {
			h.allotter.Receive(msg.from, msg.total)
		}
	}
}

func (m *machine) crash(i int) {
	m.lossy = true
	m.gone = append(m.gone, m.hosts[i])
	m.hosts = append(m.hosts[:i], m.hosts[i+1:]...)
	m.plant(m.start())
}

// check verifies every promise about budgets at this moment.
func (m *machine) check() error {
	_, object := m.object()
	for _, b := range object.Budgets {
		var submitted int64
		for _, tokens := range m.submitted[b.Name] {
			submitted += tokens
		}
		if b.Granted > submitted {
			return fmt.Errorf("%s: granted %d of %d topped up", b.Name, b.Granted, submitted)
		}
		if allotter.Assigned(b) > b.Granted {
			return fmt.Errorf("%s: assigned %d of %d granted", b.Name, allotter.Assigned(b), b.Granted)
		}
		usable := m.exposed[b.Name]
		for _, h := range slices.Concat(m.gone, m.hosts) {
			usable += h.allotter.Headroom(b.Name)
		}
		if usable > allotter.Assigned(b) {
			return fmt.Errorf("%s: served and usable %d of %d assigned", b.Name, usable, allotter.Assigned(b))
		}
	}
	return nil
}

// wind settles everything, delivers everything and closes all hosts.
func (m *machine) wind() error {
	m.store.ReleaseDelayed()
	for _, h := range m.hosts {
		m.tell(h, false)
		h.write = nil
		for len(h.open) > 0 {
			m.settle(h, 0, h.open[0].tokens/2)
		}
		h.allotter.StartClosing()
	}
	for range m.hosts {
		m.deliverAll()
		for _, h := range m.hosts {
			m.giveBack(h)
		}
	}
	m.deliverAll()
	for _, h := range m.hosts {
		for range 3 {
			m.read(h)
			m.plan(h, false)
			m.send(h, platform.Faults{})
			m.tell(h, false)
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

// settled verifies that charges equal what was served once all are closed.
func (m *machine) settled() error {
	if m.lossy {
		return nil
	}
	for _, h := range m.hosts {
		if h.allotter.LateTokens() > 0 {
			return nil
		}
	}
	_, object := m.object()
	for _, b := range object.Budgets {
		if allotter.Assigned(b) != m.exposed[b.Name] {
			return fmt.Errorf("%s: charged %d, served %d", b.Name, allotter.Assigned(b), m.exposed[b.Name])
		}
	}
	return nil
}
