package allotter_test

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/maphash"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	modelBudget = "mason"
	// modelNow is the only time of the model: no decision about tokens waits for one.
	modelNow = clocker.Hour
	// maxLives bounds the lives of all hosts of a model.
	maxLives = 4
)

var modelPolicy = &messenger.Policy{MaxShareOfRestMilli: 1000}

// plant is a fault of what surrounds the allotters, which the search has to find.
type plant string

const (
	noPlant              plant = ""
	lostAnswerIsSuccess  plant = "a lost answer is taken for success"
	writesIgnoreVersions plant = "the store ignores the version that a write names"
	totalsAreAdded       plant = "a total that comes again is added"
	deadAreReclaimed     plant = "entries of dead hosts are taken back"
	topUpsAreRenamed     plant = "a top-up is repeated under another name"
	totalsAreDropped     plant = "a total that was lost is never told again"
)

// bounds say how much of each kind happens in a model.
type bounds struct {
	hosts, tokens                                     int
	deaths, restarts, lost, writes, gives, uses, tops int
	closes                                            int
	plant                                             plant
}

// content is an object of the store and what it says in short.
type content struct {
	value *messenger.BudgetShard
	brief string
}

// flight is a write on its way to the store, or the answer on its way back.
type flight struct {
	// life waits for the answer; -1 once it waits no more.
	life    int
	write   allotter.Write
	brief   string
	top     int // which top-up it counts, 0 for none
	arrived bool
	version int64 // the new one, 0 after a conflict
}

// life is one process life of a host.
type life struct {
	name     string
	allotter *allotter.Allotter
	dead     bool
	closing  bool
	served   int64
	// open are reservations, all of one token; done is one that was settled.
	open []int64
	done int64
	// openAtClose is how many were open when the closing write was planned.
	openAtClose int64
}

// model is a fleet, its store and the network between them.
type model struct {
	left    bounds
	lives   []*life
	history []content // by version
	flights []*flight
	// sent is a set of the totals that were told from one life to another.
	sent [maxLives][maxLives]uint32
	// exposed is what was served, open reservations counted in full.
	exposed int64
	// asked and confirmed are sets of top-ups.
	asked, confirmed uint32
}

// action is one step of a model. One that changes nothing leads to a known state.
type action struct {
	format string
	args   []any
	do     func(*model)
}

func (a action) String() string {
	return fmt.Sprintf(a.format, a.args...)
}

func newModel(b bounds) *model {
	m := &model{left: b}
	m.history = []content{{}, brief(&messenger.BudgetShard{Budgets: []*messenger.Budget{{Name: modelBudget, Granted: int64(b.tokens)}}})}
	for range b.hosts {
		m.start()
	}
	for i := range m.lives {
		m.read(i, 1)
	}
	return m
}

func brief(value *messenger.BudgetShard) content {
	c := content{value: value}
	for _, b := range value.Budgets {
		c.brief += fmt.Sprint(b.Granted, b.FoldedCharge, len(b.TopUps))
		for _, t := range b.TopUps {
			c.brief += t.OperationId
		}
		for _, h := range b.Holders {
			c.brief += fmt.Sprint(h.Incarnation, h.Limit, h.Charge, h.Closed, ",")
		}
	}
	return c
}

func (m *model) start() {
	l := &life{name: fmt.Sprint("h", len(m.lives))}
	l.allotter = allotter.New(allotter.Config{Incarnation: l.name})
	l.allotter.Headroom(modelBudget)
	m.lives = append(m.lives, l)
}

func (m *model) clone() *model {
	c := *m
	c.lives = make([]*life, len(m.lives))
	translate := make([]func(allotter.Write) allotter.Write, len(m.lives))
	for i, l := range m.lives {
		copied := *l
		copied.allotter, translate[i] = l.allotter.Clone()
		copied.open = slices.Clone(l.open)
		c.lives[i] = &copied
	}
	c.flights = make([]*flight, len(m.flights))
	for i, f := range m.flights {
		copied := *f
		if f.life >= 0 {
			copied.write = translate[f.life](f.write)
		}
		c.flights[i] = &copied
	}
	c.history = slices.Clip(m.history)
	return &c
}

// key returns a hash of all that decides what can happen from here on.
func (m *model) key() [2]uint64 {
	to := make([]byte, 0, 512)
	number := func(all ...int64) {
		for _, n := range all {
			to = binary.AppendVarint(to, n)
		}
	}
	least := m.version()
	for _, l := range m.lives {
		if l.dead {
			number(1)
		} else {
			number(0)
			least = min(least, l.allotter.Version())
		}
		number(int64(len(l.open)), min(l.done, 1), l.openAtClose, l.served)
		to = l.allotter.Print(to)
	}
	for _, c := range m.history[least:] {
		to = append(append(to, c.brief...), ';')
	}
	flights := slices.SortedFunc(slices.Values(m.flights), compareFlights)
	for _, f := range flights {
		arrived := int64(0)
		if f.arrived {
			arrived = 1
		}
		number(int64(f.life), f.write.Version, int64(f.top), arrived, f.version)
		to = append(append(to, f.brief...), ';')
	}
	for _, sent := range m.sent {
		for _, totals := range sent {
			number(int64(totals))
		}
	}
	left := m.left
	number(m.exposed, int64(m.asked), int64(m.confirmed), int64(left.deaths), int64(left.restarts), int64(left.lost),
		int64(left.writes), int64(left.gives), int64(left.uses), int64(left.closes))
	return [2]uint64{xxhash.Sum64(to), maphash.Bytes(searchSeed, to)}
}

// searchSeed makes keys of one process comparable.
var searchSeed = maphash.MakeSeed()

func compareFlights(a, b *flight) int {
	return cmp.Or(cmp.Compare(a.life, b.life), cmp.Compare(a.write.Version, b.write.Version), cmp.Compare(a.version, b.version),
		cmp.Compare(a.top, b.top), cmp.Compare(a.brief, b.brief))
}

func (m *model) version() int64 {
	return int64(len(m.history) - 1)
}

func (m *model) circumstances() allotter.Conditions {
	return allotter.Conditions{Now: modelNow, Policy: modelPolicy, IsLive: m.live}
}

func (m *model) live(name string) bool {
	return slices.ContainsFunc(m.lives, func(l *life) bool { return l.name == name && !l.dead })
}

// waits returns the write whose answer a life waits for, or nil.
func (m *model) waits(i int) *flight {
	for _, f := range m.flights {
		if f.life == i {
			return f
		}
	}
	return nil
}

func (m *model) read(i int, version int64) {
	m.lives[i].allotter.Merge(version, m.history[version].value, modelNow)
}

// plan plans what a life lacks, all that is free as a return with none. The write is on
// its way from then on.
func (m *model) plan(i int, lacks int64) {
	l := m.lives[i]
	if m.left.writes == 0 || m.waits(i) != nil {
		return
	}
	if lacks > 0 {
		lacks += l.allotter.Headroom(modelBudget)
	}
	l.allotter.AddWaiting(modelBudget, lacks, 0)
	w, ok := l.allotter.Plan(m.circumstances())
	l.allotter.AddWaiting(modelBudget, -lacks, 0)
	if !ok {
		return
	}
	if m.left.plant == deadAreReclaimed {
		for _, b := range w.Value.Budgets {
			b.Holders = slices.DeleteFunc(b.Holders, func(h *messenger.Holder) bool { return !m.live(h.Incarnation) })
		}
	}
	if l.closing && l.openAtClose == 0 {
		l.openAtClose = int64(len(l.open))
	}
	m.left.writes--
	m.send(&flight{life: i, write: w})
}

func (m *model) planTopUp(i, top int) {
	if m.left.writes == 0 || m.waits(i) != nil {
		return
	}
	operation := fmt.Sprint("op-", top)
	if m.left.plant == topUpsAreRenamed {
		operation += fmt.Sprint("-", i)
	}
	plan := m.lives[i].allotter.PlanTopUp(&messenger.TopUpRequest{OperationId: operation, Budget: modelBudget, Tokens: 1}, modelNow)
	m.asked |= 1 << top
	if plan.Reply.Repeated {
		m.confirmed |= 1 << top
		return
	}
	m.left.writes--
	m.send(&flight{life: i, write: plan.Write, top: top})
}

func (m *model) send(f *flight) {
	f.brief = brief(f.write.Value).brief
	m.flights = append(m.flights, f)
}

// arrive makes a write take effect, or meet another version.
func (m *model) arrive(n int) {
	f := m.flights[n]
	if f.arrived {
		return
	}
	f.arrived = true
	if f.write.Version == m.version() || m.left.plant == writesIgnoreVersions {
		m.history = append(m.history, content{value: f.write.Value, brief: f.brief})
		f.version = m.version()
	}
	m.sweep()
}

// sweep drops writes that can do nothing any more.
func (m *model) sweep() {
	m.flights = slices.DeleteFunc(m.flights, func(f *flight) bool {
		return f.life < 0 && (f.arrived || f.write.Version < m.version() && m.left.plant != writesIgnoreVersions)
	})
}

// tell tells a life the answer to its write.
func (m *model) tell(i int) {
	f := m.waits(i)
	if f == nil || !f.arrived {
		return
	}
	if f.version != 0 {
		m.lives[i].allotter.Confirm(f.write, f.version, modelNow)
		if f.top != 0 {
			m.confirmed |= 1 << f.top
		}
	} else {
		m.lives[i].allotter.Conflict(f.write)
	}
	f.life = -1
	m.sweep()
}

// lose makes a life give its write up, which may take effect later.
func (m *model) lose(i int) {
	f := m.waits(i)
	if f == nil || m.left.lost == 0 {
		return
	}
	m.left.lost--
	if m.left.plant == lostAnswerIsSuccess {
		m.lives[i].allotter.Confirm(f.write, f.write.Version+1, modelNow)
	} else {
		m.lives[i].allotter.OutcomeUnknown(f.write)
	}
	f.life = -1
	m.sweep()
}

func (m *model) reserve(i int) {
	if m.left.uses == 0 {
		return
	}
	l := m.lives[i]
	if id, ok := l.allotter.Reserve(modelBudget, 1, 0, modelNow); ok {
		l.open = append(l.open, id)
		m.exposed++
		m.left.uses--
	}
}

func (m *model) settle(i int, used int64) {
	l := m.lives[i]
	if len(l.open) == 0 {
		return
	}
	l.done, l.open = l.open[0], l.open[1:]
	m.exposed -= 1 - used
	l.served += used
	l.allotter.Settle(modelBudget, l.done, used, modelNow)
}

func (m *model) settleAgain(i int) {
	if l := m.lives[i]; l.done != 0 {
		l.allotter.Settle(modelBudget, l.done, 0, modelNow)
	}
}

func (m *model) give(from, to int) {
	if m.left.gives == 0 {
		return
	}
	giver, taker := m.lives[from], m.lives[to].name
	before := giver.allotter.TransferTotalTo(taker, modelBudget).Given
	total := giver.allotter.TransferTo(taker, &messenger.TransferAsk{Budget: modelBudget, Tokens: 1, Needed: 1}, modelNow).Given
	if total > before {
		m.left.gives--
		m.sent[from][to] |= 1 << total
	}
}

func (m *model) giveBack(i int) {
	for _, r := range m.lives[i].allotter.ReturnSurplus(m.circumstances()) {
		for to, l := range m.lives {
			if l.name == r.To {
				m.sent[i][to] |= 1 << r.Total.Given
			}
		}
	}
}

func (m *model) deliver(from, to int, total int64) {
	taker := m.lives[to].allotter
	if m.left.plant == totalsAreAdded {
		total += taker.ReceivedFrom(m.lives[from].name, modelBudget)
	}
	taker.Receive(m.lives[from].name, &messenger.TransferTotal{Budget: modelBudget, Given: total})
	if m.left.plant == totalsAreDropped {
		m.sent[from][to] = 0
	}
}

func (m *model) startClosing(i int) {
	if m.left.closes > 0 {
		m.left.closes--
		m.lives[i].closing = true
		m.lives[i].allotter.StartClosing()
	}
}

func (m *model) die(i int) {
	m.left.deaths--
	m.lives[i].dead = true
	if f := m.waits(i); f != nil {
		f.life = -1
		m.sweep()
	}
	if m.left.restarts > 0 && len(m.lives) < maxLives {
		m.left.restarts--
		m.start()
	}
}

// actions lists what may happen next, in the same order for the same state.
func (m *model) actions() []action {
	var all []action
	add := func(do func(*model), format string, args ...any) {
		all = append(all, action{format: format, args: args, do: do})
	}
	for n, f := range m.flights {
		if !f.arrived {
			add(func(m *model) { m.arrive(n) }, "write of %d on %d arrives", f.life, f.write.Version)
		}
	}
	for i, l := range m.lives {
		if l.dead {
			continue
		}
		for v := l.allotter.Version() + 1; v <= m.version(); v++ {
			add(func(m *model) { m.read(i, v) }, "%s reads version %d", l.name, v)
		}
		switch f := m.waits(i); {
		case f == nil && m.left.writes > 0:
			for lacks := range int64(3) {
				add(func(m *model) { m.plan(i, lacks) }, "%s plans for %d", l.name, lacks)
			}
			for top := 1; top <= m.left.tops; top++ {
				add(func(m *model) { m.planTopUp(i, top) }, "%s plans top-up %d", l.name, top)
			}
		case f != nil && f.arrived:
			add(func(m *model) { m.tell(i) }, "%s hears the answer", l.name)
			fallthrough
		case f != nil && m.left.lost > 0:
			add(func(m *model) { m.lose(i) }, "%s loses the answer", l.name)
		}
		if m.left.uses > 0 {
			add(func(m *model) { m.reserve(i) }, "%s reserves", l.name)
		}
		if len(l.open) > 0 {
			add(func(m *model) { m.settle(i, 0) }, "%s settles unused", l.name)
			add(func(m *model) { m.settle(i, 1) }, "%s settles", l.name)
		}
		if l.done != 0 {
			add(func(m *model) { m.settleAgain(i) }, "%s settles again", l.name)
		}
		add(func(m *model) { m.giveBack(i) }, "%s gives back", l.name)
		if m.left.closes > 0 && !l.closing {
			add(func(m *model) { m.startClosing(i) }, "%s starts to close", l.name)
		}
		if m.left.deaths > 0 {
			add(func(m *model) { m.die(i) }, "%s dies", l.name)
		}
		for j, other := range m.lives {
			if i == j {
				continue
			}
			if m.left.gives > 0 && l.allotter.Headroom(modelBudget) > 0 {
				add(func(m *model) { m.give(i, j) }, "%s gives to %s", l.name, other.name)
			}
			for total := int64(1); m.sent[j][i]>>total != 0; total++ {
				if m.sent[j][i]>>total&1 == 1 {
					add(func(m *model) { m.deliver(j, i, total) }, "%s hears total %d of %s", l.name, total, other.name)
				}
			}
		}
	}
	return all
}
