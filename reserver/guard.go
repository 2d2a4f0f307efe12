package reserver

import (
	"context"
	"slices"
	"sync"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// promiseTimeout bounds the wait for the promises of other holders before a write, in milliseconds.
const promiseTimeout = 100 * clocker.Millis(1)

// maxUnguardedLenders is how many peers are asked for tokens that they don't guard before this host writes
// the object to use its own guarded ones.
const maxUnguardedLenders = 4

// promiseGuard promises a host that is about to renew the leases of a budget's shard not to spend guarded
// tokens. It returns the start of the promised lease, 0 without a promise: a host that does not reach the
// store is about to need these tokens.
func (r *Reserver) promiseGuard(budget string) clocker.Millis {
	if r.cfg.Guard == nil || r.platformUnreachable() || r.closing.Load() {
		return 0
	}
	s := r.shard(budget)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allotter.PromiseGuard(r.cfg.Clock.Now())
}

// requestPromises requests the promises that the next write of the shard should carry, by
// incarnation.
func (r *Reserver) requestPromises(ctx context.Context, s *shard, v *fleetView) map[string]clocker.Millis {
	budget, wanted := s.promisesWanted(r.cfg.Clock.Now())
	if len(wanted) == 0 || r.cfg.Exchange == nil {
		return nil
	}
	ctx, cancel := r.cfg.Clock.WithTimeout(ctx, promiseTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	promises := map[string]clocker.Millis{}
	for _, p := range v.peers {
		if !slices.Contains(wanted, p.Incarnation) {
			continue
		}
		calls.Go(func() {
			reply, err := r.cfg.Exchange.Transfer(ctx, p.ExchangeAddress, &messenger.TransferRequest{From: r.cfg.Incarnation, To: p.Incarnation, RenewsGuardOf: budget})
			if err != nil || reply.GuardPromisedAtMs <= 0 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			promises[p.Incarnation] = clocker.Millis(reply.GuardPromisedAtMs)
		})
	}
	calls.Wait()
	return promises
}

// promisesWanted returns the incarnations whose promises the next write should carry, and the name of a
// budget of the shard.
func (s *shard) promisesWanted(now clocker.Millis) (string, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allotter.AnyBudget(), s.allotter.PromisesWanted(now)
}

// requestUnguarded requests the tokens that waiting requests lack from other holders, if this host holds
// enough but guards it. A loan costs no call of the store.
func (r *Reserver) requestUnguarded(ctx context.Context, s *shard, v *fleetView, progress *refillProgress) {
	if r.cfg.Guard == nil || !s.lacksGuardedOnly() {
		return
	}
	lenders := r.lenders(s, v)
	for _, p := range lenders[:min(maxUnguardedLenders, len(lenders))] {
		if !s.lacksGuardedOnly() {
			return
		}
		asks := s.asks(r.conditions(s, v), true)
		for _, ask := range asks {
			ask.Tokens = ask.Needed
		}
		r.requestTransfer(ctx, s, p, asks, progress)
	}
}

// lacksGuardedOnly reports whether requests wait, and all of them for tokens that this host guards.
func (s *shard) lacksGuardedOnly() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allotter.LacksGuardedOnly()
}
