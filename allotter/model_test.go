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
	// modelNow is the constant time of the model: no decision about tokens depends on
	// the passage of time.
	modelNow = clocker.Hour
	// maxProcesses bounds the processes of a model, restarts included.
	maxProcesses = 4
)

var modelPolicy = &messenger.Policy{MaxShareOfRestMilli: 1000}

// injectedFault is a fault in the environment of the allotters, which the search has
// to detect.
type injectedFault string

const (
	noFault                 injectedFault = ""
	lostAnswerIsSuccess     injectedFault = "a lost answer is treated as success"
	writesIgnoreVersions    injectedFault = "the store ignores the version that a write names"
	totalsAreAdded          injectedFault = "a repeated total is added"
	deadEntriesAreReclaimed injectedFault = "entries of dead hosts are removed"
	topUpsAreRenamed        injectedFault = "a top-up is retried with another operation ID"
	totalsAreDropped        injectedFault = "a lost total is never sent again"
)

// bounds limit how many events of each kind happen in a model.
type bounds struct {
	hosts, tokens                                                           int
	crashes, restarts, lostAnswers, writes, transfers, reservations, topUps int
	closes                                                                  int
	fault                                                                   injectedFault
}

// shardVersion is a version of the stored object, with a summary for state keys.
type shardVersion struct {
	value   *messenger.BudgetShard
	summary string
}

// pendingWrite is a write in flight to the store, or its answer in flight back.
type pendingWrite struct {
	// process is the index of the process that waits for the answer, or -1 if it no
	// longer waits.
	process int
	write   allotter.Write
	summary string
	topUp   int // number of the counted top-up, 0 for none
	arrived bool
	version int64 // the new version, 0 after a conflict
}

// process is one incarnation of a host.
type process struct {
	name     string
	allotter *allotter.Allotter
	crashed  bool
	closing  bool
	served   int64
	// openIDs are the open reservations, each of one token; settledID is the last one
	// that was settled.
	openIDs   []int64
	settledID int64
	// openAtClose is the number of open reservations when the closing write was
	// planned.
	openAtClose int64
}

// model is a fleet with its store and network.
type model struct {
	remaining bounds
	processes []*process
	history   []shardVersion // by version
	pending   []*pendingWrite
	// sentTotals holds a bit set of the totals sent, by sender and receiver.
	sentTotals [maxProcesses][maxProcesses]uint32
	// consumed is the number of served tokens; open reservations count in full.
	consumed int64
	// requestedTopUps and confirmedTopUps are bit sets of top-up numbers.
	requestedTopUps, confirmedTopUps uint32
}

// action is one step of a model. An action without effect leads to a known state,
// which the search skips.
type action struct {
	format string
	args   []any
	do     func(*model)
}

func (a action) String() string {
	return fmt.Sprintf(a.format, a.args...)
}

func newModel(b bounds) *model {
	m := &model{remaining: b}
	m.history = []shardVersion{{}, summarize(&messenger.BudgetShard{Budgets: []*messenger.Budget{{Name: modelBudget, Granted: int64(b.tokens)}}})}
	for range b.hosts {
		m.startProcess()
	}
	for i := range m.processes {
		m.read(i, 1)
	}
	return m
}

func summarize(value *messenger.BudgetShard) shardVersion {
	c := shardVersion{value: value}
	for _, b := range value.Budgets {
		c.summary += fmt.Sprint(b.Granted, b.FoldedCharge, len(b.TopUps))
		for _, t := range b.TopUps {
			c.summary += t.OperationId
		}
		for _, h := range b.Holders {
			c.summary += fmt.Sprint(h.Incarnation, h.Limit, h.Charge, h.Closed, ",")
		}
	}
	return c
}

func (m *model) startProcess() {
	p := &process{name: fmt.Sprint("h", len(m.processes))}
	p.allotter = allotter.New(allotter.Config{Incarnation: p.name})
	p.allotter.Headroom(modelBudget)
	m.processes = append(m.processes, p)
}

func (m *model) clone() *model {
	c := *m
	c.processes = make([]*process, len(m.processes))
	translate := make([]func(allotter.Write) allotter.Write, len(m.processes))
	for i, p := range m.processes {
		copied := *p
		copied.allotter, translate[i] = p.allotter.Clone()
		copied.openIDs = slices.Clone(p.openIDs)
		c.processes[i] = &copied
	}
	c.pending = make([]*pendingWrite, len(m.pending))
	for i, w := range m.pending {
		copied := *w
		if w.process >= 0 {
			copied.write = translate[w.process](w.write)
		}
		c.pending[i] = &copied
	}
	c.history = slices.Clip(m.history)
	return &c
}

// stateKey returns a hash of all state that decides what can happen next.
func (m *model) stateKey() [2]uint64 {
	buf := make([]byte, 0, 512)
	appendInts := func(all ...int64) {
		for _, n := range all {
			buf = binary.AppendVarint(buf, n)
		}
	}
	oldest := m.latestVersion()
	for _, p := range m.processes {
		if p.crashed {
			appendInts(1)
		} else {
			appendInts(0)
			oldest = min(oldest, p.allotter.Version())
		}
		appendInts(int64(len(p.openIDs)), min(p.settledID, 1), p.openAtClose, p.served)
		buf = p.allotter.AppendState(buf)
	}
	for _, c := range m.history[oldest:] {
		buf = append(append(buf, c.summary...), ';')
	}
	pending := slices.SortedFunc(slices.Values(m.pending), comparePending)
	for _, w := range pending {
		arrived := int64(0)
		if w.arrived {
			arrived = 1
		}
		appendInts(int64(w.process), w.write.Version, int64(w.topUp), arrived, w.version)
		buf = append(append(buf, w.summary...), ';')
	}
	for _, sent := range m.sentTotals {
		for _, totals := range sent {
			appendInts(int64(totals))
		}
	}
	remaining := m.remaining
	appendInts(m.consumed, int64(m.requestedTopUps), int64(m.confirmedTopUps), int64(remaining.crashes), int64(remaining.restarts), int64(remaining.lostAnswers),
		int64(remaining.writes), int64(remaining.transfers), int64(remaining.reservations), int64(remaining.closes))
	return [2]uint64{xxhash.Sum64(buf), maphash.Bytes(searchSeed, buf)}
}

// searchSeed is shared by all state keys, so that they can be compared.
var searchSeed = maphash.MakeSeed()

func comparePending(a, b *pendingWrite) int {
	return cmp.Or(cmp.Compare(a.process, b.process), cmp.Compare(a.write.Version, b.write.Version), cmp.Compare(a.version, b.version),
		cmp.Compare(a.topUp, b.topUp), cmp.Compare(a.summary, b.summary))
}

func (m *model) latestVersion() int64 {
	return int64(len(m.history) - 1)
}

func (m *model) conditions() allotter.Conditions {
	return allotter.Conditions{Now: modelNow, Policy: modelPolicy, IsLive: m.isLive}
}

func (m *model) isLive(name string) bool {
	return slices.ContainsFunc(m.processes, func(p *process) bool { return p.name == name && !p.crashed })
}

// awaitedWrite returns the write whose answer a process waits for, or nil.
func (m *model) awaitedWrite(i int) *pendingWrite {
	for _, w := range m.pending {
		if w.process == i {
			return w
		}
	}
	return nil
}

func (m *model) read(i int, version int64) {
	m.processes[i].allotter.Merge(version, m.history[version].value, modelNow)
}

// plan plans and sends a write that raises the limit by the shortfall, or returns
// all free tokens if there is none.
func (m *model) plan(i int, shortfall int64) {
	p := m.processes[i]
	if m.remaining.writes == 0 || m.awaitedWrite(i) != nil {
		return
	}
	if shortfall > 0 {
		shortfall += p.allotter.Headroom(modelBudget)
	}
	p.allotter.AddWaiting(modelBudget, shortfall, 0)
	w, ok := p.allotter.Plan(m.conditions())
	p.allotter.AddWaiting(modelBudget, -shortfall, 0)
	if !ok {
		return
	}
	if m.remaining.fault == deadEntriesAreReclaimed {
		for _, b := range w.Value.Budgets {
			b.Holders = slices.DeleteFunc(b.Holders, func(h *messenger.Holder) bool { return !m.isLive(h.Incarnation) })
		}
	}
	if p.closing && p.openAtClose == 0 {
		p.openAtClose = int64(len(p.openIDs))
	}
	m.remaining.writes--
	m.send(&pendingWrite{process: i, write: w})
}

func (m *model) planTopUp(i, topUp int) {
	if m.remaining.writes == 0 || m.awaitedWrite(i) != nil {
		return
	}
	operation := fmt.Sprint("op-", topUp)
	if m.remaining.fault == topUpsAreRenamed {
		operation += fmt.Sprint("-", i)
	}
	plan := m.processes[i].allotter.PlanTopUp(&messenger.TopUpRequest{OperationId: operation, Budget: modelBudget, Tokens: 1}, modelNow)
	m.requestedTopUps |= 1 << topUp
	if plan.Reply.Repeated {
		m.confirmedTopUps |= 1 << topUp
		return
	}
	m.remaining.writes--
	m.send(&pendingWrite{process: i, write: plan.Write, topUp: topUp})
}

func (m *model) send(w *pendingWrite) {
	w.summary = summarize(w.write.Value).summary
	m.pending = append(m.pending, w)
}

// applyWrite makes a write reach the store, where it takes effect or conflicts with
// another version.
func (m *model) applyWrite(n int) {
	w := m.pending[n]
	if w.arrived {
		return
	}
	w.arrived = true
	if w.write.Version == m.latestVersion() || m.remaining.fault == writesIgnoreVersions {
		m.history = append(m.history, shardVersion{value: w.write.Value, summary: w.summary})
		w.version = m.latestVersion()
	}
	m.dropFinished()
}

// dropFinished removes writes that can no longer have any effect.
func (m *model) dropFinished() {
	m.pending = slices.DeleteFunc(m.pending, func(w *pendingWrite) bool {
		return w.process < 0 && (w.arrived || w.write.Version < m.latestVersion() && m.remaining.fault != writesIgnoreVersions)
	})
}

// deliverAnswer reports the answer to a write to its process.
func (m *model) deliverAnswer(i int) {
	w := m.awaitedWrite(i)
	if w == nil || !w.arrived {
		return
	}
	if w.version != 0 {
		m.processes[i].allotter.Confirm(w.write, w.version, modelNow)
		if w.topUp != 0 {
			m.confirmedTopUps |= 1 << w.topUp
		}
	} else {
		m.processes[i].allotter.Rejected(w.write)
	}
	w.process = -1
	m.dropFinished()
}

// loseAnswer makes a process stop waiting for its write, which may take effect later.
func (m *model) loseAnswer(i int) {
	w := m.awaitedWrite(i)
	if w == nil || m.remaining.lostAnswers == 0 {
		return
	}
	m.remaining.lostAnswers--
	if m.remaining.fault == lostAnswerIsSuccess {
		m.processes[i].allotter.Confirm(w.write, w.write.Version+1, modelNow)
	} else {
		m.processes[i].allotter.OutcomeUnknown(w.write)
	}
	w.process = -1
	m.dropFinished()
}

func (m *model) reserve(i int) {
	if m.remaining.reservations == 0 {
		return
	}
	p := m.processes[i]
	if id, ok := p.allotter.Reserve(modelBudget, 1, 0, modelNow); ok {
		p.openIDs = append(p.openIDs, id)
		m.consumed++
		m.remaining.reservations--
	}
}

func (m *model) settle(i int, used int64) {
	p := m.processes[i]
	if len(p.openIDs) == 0 {
		return
	}
	p.settledID, p.openIDs = p.openIDs[0], p.openIDs[1:]
	m.consumed -= 1 - used
	p.served += used
	p.allotter.Settle(modelBudget, p.settledID, used, modelNow)
}

func (m *model) settleAgain(i int) {
	if p := m.processes[i]; p.settledID != 0 {
		p.allotter.Settle(modelBudget, p.settledID, 0, modelNow)
	}
}

func (m *model) transfer(from, to int) {
	if m.remaining.transfers == 0 {
		return
	}
	sender, receiver := m.processes[from], m.processes[to].name
	before := sender.allotter.TransferTotalTo(receiver, modelBudget).Given
	total := sender.allotter.TransferTo(receiver, &messenger.TransferAsk{Budget: modelBudget, Tokens: 1, Needed: 1}, modelNow).Given
	if total > before {
		m.remaining.transfers--
		m.sentTotals[from][to] |= 1 << total
	}
}

func (m *model) returnSurplus(i int) {
	for _, r := range m.processes[i].allotter.ReturnSurplus(m.conditions()) {
		for to, p := range m.processes {
			if p.name == r.To {
				m.sentTotals[i][to] |= 1 << r.Total.Given
			}
		}
	}
}

func (m *model) deliver(from, to int, total int64) {
	receiver := m.processes[to].allotter
	if m.remaining.fault == totalsAreAdded {
		total += receiver.ReceivedFrom(m.processes[from].name, modelBudget)
	}
	receiver.Receive(m.processes[from].name, &messenger.TransferTotal{Budget: modelBudget, Given: total})
	if m.remaining.fault == totalsAreDropped {
		m.sentTotals[from][to] = 0
	}
}

func (m *model) startClosing(i int) {
	if m.remaining.closes > 0 {
		m.remaining.closes--
		m.processes[i].closing = true
		m.processes[i].allotter.StartClosing()
	}
}

func (m *model) crash(i int) {
	m.remaining.crashes--
	m.processes[i].crashed = true
	if w := m.awaitedWrite(i); w != nil {
		w.process = -1
		m.dropFinished()
	}
	if m.remaining.restarts > 0 && len(m.processes) < maxProcesses {
		m.remaining.restarts--
		m.startProcess()
	}
}

// actions returns the possible next actions. The order is the same for equal states.
func (m *model) actions() []action {
	var all []action
	add := func(do func(*model), format string, args ...any) {
		all = append(all, action{format: format, args: args, do: do})
	}
	for n, w := range m.pending {
		if !w.arrived {
			add(func(m *model) { m.applyWrite(n) }, "write of process %d on version %d reaches the store", w.process, w.write.Version)
		}
	}
	for i, p := range m.processes {
		if p.crashed {
			continue
		}
		for v := p.allotter.Version() + 1; v <= m.latestVersion(); v++ {
			add(func(m *model) { m.read(i, v) }, "%s reads version %d", p.name, v)
		}
		switch w := m.awaitedWrite(i); {
		case w == nil && m.remaining.writes > 0:
			for shortfall := range int64(3) {
				add(func(m *model) { m.plan(i, shortfall) }, "%s plans for a shortfall of %d", p.name, shortfall)
			}
			for topUp := 1; topUp <= m.remaining.topUps; topUp++ {
				add(func(m *model) { m.planTopUp(i, topUp) }, "%s plans top-up %d", p.name, topUp)
			}
		case w != nil && w.arrived:
			add(func(m *model) { m.deliverAnswer(i) }, "%s receives the answer", p.name)
			fallthrough
		case w != nil && m.remaining.lostAnswers > 0:
			add(func(m *model) { m.loseAnswer(i) }, "%s loses the answer", p.name)
		}
		if m.remaining.reservations > 0 {
			add(func(m *model) { m.reserve(i) }, "%s reserves", p.name)
		}
		if len(p.openIDs) > 0 {
			add(func(m *model) { m.settle(i, 0) }, "%s settles unused", p.name)
			add(func(m *model) { m.settle(i, 1) }, "%s settles", p.name)
		}
		if p.settledID != 0 {
			add(func(m *model) { m.settleAgain(i) }, "%s settles again", p.name)
		}
		add(func(m *model) { m.returnSurplus(i) }, "%s returns surplus", p.name)
		if m.remaining.closes > 0 && !p.closing {
			add(func(m *model) { m.startClosing(i) }, "%s starts to close", p.name)
		}
		if m.remaining.crashes > 0 {
			add(func(m *model) { m.crash(i) }, "%s crashes", p.name)
		}
		for j, other := range m.processes {
			if i == j {
				continue
			}
			if m.remaining.transfers > 0 && p.allotter.Headroom(modelBudget) > 0 {
				add(func(m *model) { m.transfer(i, j) }, "%s transfers to %s", p.name, other.name)
			}
			for total := int64(1); m.sentTotals[j][i]>>total != 0; total++ {
				if m.sentTotals[j][i]>>total&1 == 1 {
					add(func(m *model) { m.deliver(j, i, total) }, "%s receives total %d from %s", p.name, total, other.name)
				}
			}
		}
	}
	return all
}
