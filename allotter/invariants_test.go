package allotter_test

import (
	"fmt"
	"math/bits"

	"cowsliphinge/allotter"
	"cowsliphinge/messenger"
)

// budget returns the budget as the store has it.
func (m *model) budget() *messenger.Budget {
	return m.history[m.version()].value.Budgets[0]
}

// check verifies that nothing is spent, or can be spent, past the budget, and that no
// token is in use or usable twice.
func (m *model) check() error {
	b := m.budget()
	if most := m.initial() + int64(bits.OnesCount32(m.asked)); b.Granted > most {
		return fmt.Errorf("granted %d of %d topped up", b.Granted, most)
	}
	if allotter.Assigned(b) > b.Granted {
		return fmt.Errorf("assigned %d of %d granted", allotter.Assigned(b), b.Granted)
	}
	usable := m.exposed
	for _, l := range m.lives { // dead ones too: they may have been frozen
		usable += l.allotter.Headroom(modelBudget)
		if reserved := l.allotter.Reserved(modelBudget); reserved != int64(len(l.open)) {
			return fmt.Errorf("%s has %d reserved in %d reservations", l.name, reserved, len(l.open))
		}
	}
	if usable > allotter.Assigned(b) {
		return fmt.Errorf("served and usable %d of %d assigned", usable, allotter.Assigned(b))
	}
	return nil
}

// initial is what was granted at the start.
func (m *model) initial() int64 {
	return m.history[1].value.Budgets[0].Granted
}

// calm makes the network quiet, all live ones read, and those that close end. Writes on
// their way arrive, or are lost for good. It changes m.
func (m *model) calm(arrive bool) error {
	m.left.writes, m.left.lost = 1<<10, 1<<10
	m.settleFlights(arrive)
	for i, l := range m.lives {
		if l.dead {
			continue
		}
		for j := range m.lives {
			for total := int64(1); m.sent[j][i]>>total != 0; total++ {
				if m.sent[j][i]>>total&1 == 1 {
					m.deliver(j, i, total)
				}
			}
		}
		m.read(i, m.version())
	}
	for i, l := range m.lives {
		if l.dead || arrive && !l.closing {
			continue
		}
		m.plan(i, 0)
		if m.waits(i) != nil {
			m.arrive(len(m.flights) - 1)
			m.tell(i)
		}
		if l.closing && !l.allotter.Closed() {
			return fmt.Errorf("%s is not closed", l.name)
		}
		for j, other := range m.lives {
			if !other.dead {
				m.read(j, m.version())
			}
		}
	}
	return nil
}

// settleFlights ends all writes on their way.
func (m *model) settleFlights(arrive bool) {
	for n := 0; arrive && n < len(m.flights); {
		before := len(m.flights)
		m.arrive(n)
		if len(m.flights) == before {
			n++
		}
	}
	for i := range m.lives {
		m.tell(i)
		m.lose(i)
	}
	m.flights = nil
}

// lost verifies, once all is calm, that each token assigned is served, usable by a live
// host, or gone with a host that died. A host that closed takes along at most what others
// gave it and it did not give back, what was in use as it closed, and what was given back
// to it later, which docs/BUDGETS.md counts as late.
func (m *model) lost() error {
	b := m.budget()
	if least := m.initial() + int64(bits.OnesCount32(m.confirmed)); b.Granted < least {
		return fmt.Errorf("granted %d of %d topped up and confirmed", b.Granted, least)
	}
	rest := allotter.Assigned(b) - m.exposed
	for i, l := range m.lives {
		if !l.dead && !l.closing {
			rest -= l.allotter.Headroom(modelBudget)
			continue
		}
		gone, gifts := m.gone(i, b)
		late := l.allotter.LateTokens()
		if !l.dead && (gone < 0 || gone > max(0, gifts)+l.openAtClose+late) {
			return fmt.Errorf("%s closed and took %d tokens along, with %d given to it, %d in use and %d late", l.name, gone, gifts, l.openAtClose, late)
		}
		rest -= gone
	}
	if rest != 0 {
		return fmt.Errorf("%d tokens are assigned, and neither served nor held by anybody", rest)
	}
	return nil
}

// gone returns the tokens that a life that ended took along, and the gifts among them.
func (m *model) gone(i int, b *messenger.Budget) (gone, gifts int64) {
	l := m.lives[i]
	for _, h := range b.Holders {
		switch {
		case h.Incarnation != l.name:
		case h.Closed:
			gone += h.Charge
		default:
			gone += h.Limit
		}
	}
	for _, other := range m.lives {
		gifts += other.allotter.TransferTotalTo(l.name, modelBudget).Given - l.allotter.TransferTotalTo(other.name, modelBudget).Given
	}
	return gone + gifts - l.served - int64(len(l.open)), gifts
}
