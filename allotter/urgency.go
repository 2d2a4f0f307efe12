package allotter

import (
	"math"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// urgentRefreshInterval is the time between two sums of the urgent demand in the entries, in milliseconds.
const urgentRefreshInterval = 250 * clocker.Millis(1)

// rankState is the demand of the requests of one rank. Rank 0 is the most urgent.
type rankState struct {
	rank int
	// demand estimates the tokens that requests of the rank reserve.
	demand demand
}

// SetPlatformUnreachable sets whether the platform is believed to be unreachable at
// the moment.
func (a *Allotter) SetPlatformUnreachable(platformUnreachable bool) {
	a.platformUnreachable = platformUnreachable
}

// rankState returns the state of a rank, which it adds if necessary. There are few
// ranks, so they are searched linearly.
func (b *budgetState) rankState(rank int) *rankState {
	i := 0
	for ; i < len(b.byRank) && b.byRank[i].rank <= rank; i++ {
		if b.byRank[i].rank == rank {
			return &b.byRank[i]
		}
	}
	b.byRank = append(b.byRank, rankState{})
	copy(b.byRank[i+1:], b.byRank[i:])
	b.byRank[i] = rankState{rank: rank, demand: demand{timeConstant: b.demand.timeConstant}}
	return &b.byRank[i]
}

// urgentReserve returns the tokens that a request of a rank must leave for more
// urgent ones: their expected demand in UrgentReserveHorizon. It applies while the
// platform is unreachable, or if the request would reduce the unassigned tokens
// below the urgent reserve of the fleet.
func (a *Allotter) urgentReserve(b *budgetState, rank int, tokens int64, now clocker.Millis) int64 {
	if rank == 0 || a.cfg.UrgentReserveHorizon == 0 || !a.platformUnreachable && Unassigned(a.knownOrDeclaredBudget(b)) >= tokens+a.fleetUrgentReserve(b) {
		return 0
	}
	return int64((b.moreUrgentRate(rank, now) + b.peerUrgentRate(now)) * float64(a.cfg.UrgentReserveHorizon))
}

// fleetUrgentReserve returns the unassigned tokens that are reserved for urgent
// requests of all hosts, according to the open entries of the budget.
func (a *Allotter) fleetUrgentReserve(b *budgetState) int64 {
	return b.fleetUrgentPerSecond * int64(a.cfg.UrgentReserveHorizon) / int64(clocker.Second)
}

// refreshUrgent sums up the urgent demand in the open entries again, since that of dead hosts fades.
func (a *Allotter) refreshUrgent(now clocker.Millis) {
	if a.cfg.UrgentReserveHorizon == 0 || now-a.urgentRefreshedAt < urgentRefreshInterval {
		return
	}
	a.urgentRefreshedAt = now
	open := map[string]bool{}
	for _, b := range a.ordered {
		stored := a.knownBudgets[b.name]
		for _, h := range stored.GetHolders() {
			open[h.Incarnation] = open[h.Incarnation] || !h.Closed
		}
		b.fleetUrgentPerSecond = a.sumUrgent(stored)
	}
	for incarnation := range a.deadSince {
		if !open[incarnation] || a.guard.conditions.IsLive(incarnation) {
			delete(a.deadSince, incarnation)
		}
	}
}

// sumUrgent returns the sum of the urgent demand in the open entries of a budget. The callers of a dead host
// reconnect to others, whose entries tell their demand as these measure it. So its own entry counts less by the time
// constant of that measurement; with its full demand the same callers would count twice, and after the
// death of all hosts less urgent requests would be refused although enough is unassigned.
func (a *Allotter) sumUrgent(stored *messenger.Budget) int64 {
	var sum float64
	for _, h := range stored.GetHolders() {
		if !h.Closed {
			sum += float64(h.UrgentPerSecond) * a.urgentWeight(h.Incarnation)
		}
	}
	return int64(sum)
}

// urgentWeight returns the share of the urgent demand in an incarnation's entry that counts.
func (a *Allotter) urgentWeight(incarnation string) float64 {
	c := a.guard.conditions
	if c.IsLive == nil || incarnation == a.cfg.Incarnation || c.IsLive(incarnation) {
		return 1
	}
	since, known := a.deadSince[incarnation]
	if !known {
		if a.deadSince == nil {
			a.deadSince = map[string]clocker.Millis{}
		}
		since = c.Now
		a.deadSince[incarnation] = since
	}
	timeConstant := (&demand{timeConstant: a.cfg.DemandTimeConstant}).fastTimeConstant()
	return math.Exp(-float64(max(0, c.Now-since)) / timeConstant)
}

// shortfallTokens returns the tokens that the waiting requests which can be covered lack beyond the headroom with the guarded tokens;
// it is negative if headroom remains. If the unassigned tokens are reserved for
// urgent requests, requests of the least urgent rank are not counted.
func (a *Allotter) shortfallTokens(b *budgetState, unassigned int64) int64 {
	waiting, leastUrgent := a.coverable(b)
	if last := len(b.byRank) - 1; last > 0 && unassigned < waiting+a.fleetUrgentReserve(b) {
		waiting -= leastUrgent
	}
	return waiting - b.heldHeadroom()
}

// UnassignedCovers reports whether the unassigned tokens, according to the known
// content, cover a request. For the least urgent rank, the waiting requests of this
// host and the reserve for urgent requests are deducted first.
func (a *Allotter) UnassignedCovers(name string, tokens int64, rank int) bool {
	b := a.getOrAddBudget(name)
	stored := a.knownOrDeclaredBudget(b)
	if stored == nil {
		return true // the budget has not been read yet
	}
	unassigned := Unassigned(stored)
	if last := len(b.byRank) - 1; last > 0 && rank >= b.byRank[last].rank {
		unassigned -= a.coverableTokens(b) + a.fleetUrgentReserve(b)
	}
	return unassigned >= tokens
}

// peerUrgentRate returns the urgent demand of the hosts that get their tokens from
// this one, in tokens per millisecond. What a host told fades as its own average would: it asks
// when a request has just raised that average, so that the value of that moment is too high later.
func (b *budgetState) peerUrgentRate(now clocker.Millis) float64 {
	rate := 0.0
	for _, d := range b.peerDemands {
		if age := now - d.at; age < peerDemandExpiry {
			rate += d.rate * math.Exp(-float64(max(0, age))/b.demand.fastTimeConstant())
		}
	}
	return rate
}

// moreUrgentRate returns the demand of requests on this host with a lower (more
// urgent) rank, in tokens per millisecond.
func (b *budgetState) moreUrgentRate(rank int, now clocker.Millis) float64 {
	rate := 0.0
	for i := range b.byRank {
		if b.byRank[i].rank < rank {
			rate += b.byRank[i].demand.rate(now)
		}
	}
	return rate
}

// urgentPerSecond returns the demand of all but the least urgent rank on this host,
// in tokens per second.
func (b *budgetState) urgentPerSecond(now clocker.Millis) int64 {
	if len(b.byRank) == 0 {
		return 0
	}
	return int64(b.moreUrgentRate(b.byRank[len(b.byRank)-1].rank, now) * float64(clocker.Second))
}

// peerDemand is the urgent demand of a host that gets its tokens from this one, in
// tokens per millisecond.
type peerDemand struct {
	rate float64
	at   clocker.Millis
}

// peerDemandExpiry is how long the demand reported by a peer stays valid, in
// milliseconds. Hosts that are not holders request tokens about once a second.
const peerDemandExpiry = 10 * clocker.Second

// observePeerDemand records the urgent demand of a host that requests tokens. The
// demand is divided among the holders of the availability zone.
func (b *budgetState) observePeerDemand(to string, ask *messenger.TransferAsk, now clocker.Millis) {
	if ask.Loan {
		return
	}
	if b.peerDemands == nil {
		b.peerDemands = map[string]peerDemand{}
	}
	for incarnation, d := range b.peerDemands {
		if now-d.at >= peerDemandExpiry {
			delete(b.peerDemands, incarnation)
		}
	}
	b.peerDemands[to] = peerDemand{rate: float64(ask.UrgentPerSecond) / float64(clocker.Second) / HoldersPerZone, at: now}
}

// shortfall is the number of tokens that waiting requests of one rank lack.
type shortfall struct {
	rank   int
	tokens int64
}

// shortfalls returns the tokens that waiting requests lack by rank, the most urgent
// rank first, as far as other hosts may help.
func (a *Allotter) shortfalls(b *budgetState, c Conditions) []shortfall {
	var shortfalls []shortfall
	free := b.headroom()
	for i := range b.byRank {
		rank := b.byRank[i].rank
		need := a.askable(b, rank, c)
		if need <= 0 {
			continue
		}
		usable := free - a.urgentReserve(b, rank, need, c.Now)
		if short := need - usable; short > 0 {
			shortfalls = append(shortfalls, shortfall{rank: rank, tokens: short})
		}
		free -= need
	}
	return shortfalls
}
