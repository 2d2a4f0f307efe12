package allotter

import "slices"

// Requests wait for tokens that their host lacks. Tokens that don't cover a request serve none: drawn for it, they are
// missing where smaller requests come, and lost with their host. So only requests that can be covered count where tokens
// are drawn, lent, borrowed or left unguarded.

// wait is a request that waits for tokens.
type wait struct {
	tokens int64
	rank   int
}

// AddWaiting adds the tokens that a request of a rank started to wait for; a
// negative number removes them when the wait ends.
func (a *Allotter) AddWaiting(name string, tokens int64, rank int) {
	b := a.getOrAddBudget(name)
	b.waiting += tokens
	b.rankState(rank) // known from now on
	if tokens >= 0 {
		b.waits = append(b.waits, wait{tokens, rank})
		return
	}
	b.endWait(-tokens, rank)
}

// endWait removes the wait of a request. A part of one that is left goes on waiting.
func (b *budgetState) endWait(tokens int64, rank int) {
	if i := slices.Index(b.waits, wait{tokens, rank}); i >= 0 {
		b.waits = slices.Delete(b.waits, i, i+1)
		return
	}
	for i := len(b.waits) - 1; i >= 0 && tokens > 0; i-- {
		if b.waits[i].rank == rank {
			ended := min(tokens, b.waits[i].tokens)
			b.waits[i].tokens -= ended
			tokens -= ended
		}
	}
	b.waits = slices.DeleteFunc(b.waits, func(w wait) bool { return w.tokens == 0 })
}

// coverable returns the tokens of the waiting requests that the headroom and the unassigned tokens cover together,
// more urgent and earlier ones first, and the part of the least urgent rank.
func (a *Allotter) coverable(b *budgetState) (total, leastUrgent int64) {
	room := int64(MaxGranted)
	if stored := a.knownOrDeclaredBudget(b); stored != nil {
		room = b.heldHeadroom() + max(0, Unassigned(stored))
	}
	for i := range b.byRank {
		leastUrgent = 0
		for _, w := range b.waits {
			if w.rank == b.byRank[i].rank && w.tokens <= room {
				room -= w.tokens
				leastUrgent += w.tokens
			}
		}
		total += leastUrgent
	}
	return total, leastUrgent
}

// coverableTokens returns the tokens of the waiting requests that can be covered.
func (a *Allotter) coverableTokens(b *budgetState) int64 {
	if len(b.waits) == 0 {
		return 0
	}
	total, _ := a.coverable(b)
	return total
}

// MostUnspent returns the most tokens of a budget that may be unspent according to the known content: what other
// incarnations hold counts as unspent. It is MaxGranted if the budget has not been read yet.
func (a *Allotter) MostUnspent(name string) int64 {
	b := a.getOrAddBudget(name)
	stored := a.knownOrDeclaredBudget(b)
	if stored == nil {
		return MaxGranted
	}
	unspent := max(stored.Granted, b.declaredGrant) - stored.FoldedCharge
	for _, h := range stored.Holders {
		if h.Closed {
			unspent -= h.Charge
		}
	}
	// What was received is charged to its sender.
	return unspent - max(0, b.spent-b.received.sum-b.foldedLimit)
}

// askable returns the tokens of the waiting requests of a rank that other hosts may help to cover. While the platform
// can be reached, a holder gets little from others: what they don't guard.
func (a *Allotter) askable(b *budgetState, rank int, c Conditions) int64 {
	most := a.MostUnspent(b.name)
	if stored := a.knownOrDeclaredBudget(b); stored != nil && c.KeepsHeadroom && !a.platformUnreachable && a.cfg.Guard != nil {
		most = min(most, b.heldHeadroom()+max(0, Unassigned(stored))+int64(c.DrawShare*float64(a.remaining(b, stored, c))))
	}
	var sum int64
	for _, w := range b.waits {
		if w.rank == rank && w.tokens <= most {
			sum += w.tokens
		}
	}
	return sum
}
