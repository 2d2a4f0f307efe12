package allotter_test

import (
	"fmt"
	"math/bits"

	"cowsliphinge/allotter"
	"cowsliphinge/messenger"
)

// storedBudget returns the budget as stored.
func (m *model) storedBudget() *messenger.Budget {
	return m.history[m.latestVersion()].value.Budgets[0]
}

// check verifies the safety properties: spent and spendable tokens do not exceed the
// budget, and no token is used or usable twice.
func (m *model) check() error {
	b := m.storedBudget()
	if maxGranted := m.initialGrant() + int64(bits.OnesCount32(m.requestedTopUps)); b.Granted > maxGranted {
		return fmt.Errorf("granted %d of %d topped up", b.Granted, maxGranted)
	}
	if allotter.Assigned(b) > b.Granted {
		return fmt.Errorf("assigned %d of %d granted", allotter.Assigned(b), b.Granted)
	}
	usable := m.consumed
	for _, p := range m.processes { // crashed ones too: they may only be paused
		usable += p.allotter.Headroom(modelBudget)
		if reserved := p.allotter.Reserved(modelBudget); reserved != int64(len(p.openIDs)) {
			return fmt.Errorf("%s has %d reserved in %d reservations", p.name, reserved, len(p.openIDs))
		}
	}
	if usable > allotter.Assigned(b) {
		return fmt.Errorf("served and usable %d of %d assigned", usable, allotter.Assigned(b))
	}
	return nil
}

// initialGrant returns the tokens granted at the start.
func (m *model) initialGrant() int64 {
	return m.history[1].value.Budgets[0].Granted
}

// quiesce ends all pending writes, delivers all transfer totals, makes all live
// processes read the object and lets closing ones close. Pending writes are applied
// if applyPending is set, and dropped otherwise. It modifies m.
func (m *model) quiesce(applyPending bool) error {
	m.remaining.writes, m.remaining.lostAnswers = 1<<10, 1<<10
	m.finishPending(applyPending)
	for i, p := range m.processes {
		if p.crashed {
			continue
		}
		for j := range m.processes {
			for total := int64(1); m.sentTotals[j][i]>>total != 0; total++ {
				if m.sentTotals[j][i]>>total&1 == 1 {
					m.deliver(j, i, total)
				}
			}
		}
		m.read(i, m.latestVersion())
	}
	for i, p := range m.processes {
		if p.crashed || applyPending && !p.closing {
			continue
		}
		m.plan(i, 0)
		if m.awaitedWrite(i) != nil {
			m.applyWrite(len(m.pending) - 1)
			m.deliverAnswer(i)
		}
		if p.closing && !p.allotter.Closed() {
			return fmt.Errorf("%s is not closed", p.name)
		}
		for j, other := range m.processes {
			if !other.crashed {
				m.read(j, m.latestVersion())
			}
		}
	}
	return nil
}

// finishPending ends all pending writes.
func (m *model) finishPending(applyPending bool) {
	for n := 0; applyPending && n < len(m.pending); {
		before := len(m.pending)
		m.applyWrite(n)
		if len(m.pending) == before {
			n++
		}
	}
	for i := range m.processes {
		m.deliverAnswer(i)
		m.loseAnswer(i)
	}
	m.pending = nil
}

// checkConservation verifies, after quiesce, that each assigned token is served,
// usable by a live host, or lost with a crashed host. A closed host may lose at most
// the tokens that it received and did not return, those in open reservations when it
// closed, and those returned to it later, which docs/BUDGETS.md counts as late.
func (m *model) checkConservation() error {
	b := m.storedBudget()
	if minGranted := m.initialGrant() + int64(bits.OnesCount32(m.confirmedTopUps)); b.Granted < minGranted {
		return fmt.Errorf("granted %d of %d topped up and confirmed", b.Granted, minGranted)
	}
	unaccounted := allotter.Assigned(b) - m.consumed
	for i, p := range m.processes {
		if !p.crashed && !p.closing {
			unaccounted -= p.allotter.Headroom(modelBudget)
			continue
		}
		lost, received := m.lostWith(i, b)
		late := p.allotter.LateTokens()
		if !p.crashed && (lost < 0 || lost > max(0, received)+p.openAtClose+late) {
			return fmt.Errorf("%s closed and lost %d tokens, with %d received, %d in use and %d late", p.name, lost, received, p.openAtClose, late)
		}
		unaccounted -= lost
	}
	if unaccounted != 0 {
		return fmt.Errorf("%d assigned tokens are neither served nor held by any process", unaccounted)
	}
	return nil
}

// lostWith returns the tokens that were lost with an ended process, and how many of
// them it had received from others.
func (m *model) lostWith(i int, b *messenger.Budget) (lost, received int64) {
	p := m.processes[i]
	for _, h := range b.Holders {
		switch {
		case h.Incarnation != p.name:
		case h.Closed:
			lost += h.Charge
		default:
			lost += h.Limit
		}
	}
	for _, other := range m.processes {
		received += other.allotter.TransferTotalTo(p.name, modelBudget).Given - p.allotter.TransferTotalTo(other.name, modelBudget).Given
	}
	return lost + received - p.served - int64(len(p.openIDs)), received
}
