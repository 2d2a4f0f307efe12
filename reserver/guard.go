package reserver

import (
	"context"
	"slices"
	"sync"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
)

// promiseTimeout bounds the wait for the promises of other holders before a write, in milliseconds, and
// promiseTimeoutWaiting the same while requests wait for the write: one slow holder kept all of them waiting.
const (
	promiseTimeout        = 100 * clocker.Millis(1)
	promiseTimeoutWaiting = 20 * clocker.Millis(1)
)

const (
	// maxUnguardedLenders is how many peers are asked for tokens that they don't guard before this host
	// writes the object to use its own guarded ones.
	maxUnguardedLenders = 4
	// unguardedLoanWait bounds the wait for each of them, in milliseconds, and no further one is asked after
	// it. A peer that takes longer is not asked again for slowLenderPause: the requests would give up before the write.
	unguardedLoanWait = 20 * clocker.Millis(1)
	slowLenderPause   = clocker.Second
)

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
	timeout := promiseTimeout
	if s.hasPendingWork() {
		timeout = promiseTimeoutWaiting
	}
	ctx, cancel := r.cfg.Clock.WithTimeout(ctx, timeout)
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
// enough but guards it. A loan costs no call of the store. It stops at the first peer that is slow to answer.
func (r *Reserver) requestUnguarded(ctx context.Context, s *shard, v *fleetView, progress *refillProgress) {
	if r.cfg.Guard == nil || !s.lacksGuardedOnly() {
		return
	}
	lenders := slices.DeleteFunc(r.lenders(s, v), func(p heartbeater.Peer) bool { return r.slowLenders.silent(p.Incarnation, v.now) })
	started := r.cfg.Clock.Now()
	for _, p := range lenders[:min(maxUnguardedLenders, len(lenders))] {
		if !s.lacksGuardedOnly() || r.cfg.Clock.Now()-started >= unguardedLoanWait {
			return
		}
		if !r.requestUnguardedFrom(ctx, s, v, p, progress) {
			r.slowLenders.set(p.Incarnation, slowLenderPause, r.cfg.Clock.Now())
			return
		}
	}
}

// requestUnguardedFrom requests them from one peer and waits for the answer. It returns false if the peer takes
// too long; the tokens that it sends are merged when they arrive.
func (r *Reserver) requestUnguardedFrom(ctx context.Context, s *shard, v *fleetView, p heartbeater.Peer, progress *refillProgress) bool {
	asks := s.asks(r.conditions(s, v), true)
	for _, ask := range asks {
		ask.Tokens = ask.Needed
	}
	results := make(chan askResult, 1)
	r.tasks.Go(func() error {
		results <- r.requestTransfer(ctx, s, p, asks)
		return nil
	})
	result, ok := r.awaitAnswer(ctx, results, unguardedLoanWait)
	if ok {
		progress.add(result)
	}
	return ok
}

// lacksGuardedOnly reports whether requests wait, and all of them for tokens that this host guards.
func (s *shard) lacksGuardedOnly() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allotter.LacksGuardedOnly()
}
