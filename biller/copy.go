package biller

import (
	"context"
	"slices"
	"strings"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
)

// copyDuty copies new bills to a peer, all that wait in one batch.
func (b *Biller) copyDuty(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.copyNow:
		}
		for ctx.Err() == nil && !b.copyPending(ctx) {
			wake(b.writeNow)
			sleepOrWake(ctx, b.cfg.Clock, retryEvery, b.copyNow)
		}
	}
}

// copyPending copies until all bills are copied or no peer takes them.
func (b *Biller) copyPending(ctx context.Context) bool {
	for {
		b.mu.Lock()
		batch := b.buffer.uncopied()
		b.mu.Unlock()
		if len(batch.Bills) == 0 {
			return true
		}
		if !b.copyBatch(ctx, batch) {
			return false
		}
	}
}

func (b *Biller) copyBatch(ctx context.Context, batch *messenger.BillBatch) bool {
	now := b.cfg.Clock.Now()
	candidates := RankPeers(b.cfg.Peers(), b.cfg.Host, b.cfg.AvailabilityZone, func(address string) bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.avoid[address] > now
	})
	for _, address := range candidates[:min(copyTries, len(candidates))] {
		if !b.send(ctx, address, batch) {
			copyFailed.Inc()
			b.mu.Lock()
			b.avoid[address] = now + avoidFor
			b.mu.Unlock()
			continue
		}
		billsCopied.Add(len(batch.Bills))
		b.mu.Lock()
		b.holders[address] = true
		b.buffer.copiedTo(batch)
		b.progressed()
		b.mu.Unlock()
		return true
	}
	return false
}

func (b *Biller) send(ctx context.Context, address string, batch *messenger.BillBatch) bool {
	ctx, cancel := b.cfg.Clock.WithTimeout(ctx, copyTimeout)
	defer cancel()
	reply, err := b.cfg.Exchange.CopyBills(ctx, address, batch)
	return err == nil && reply.GetCount() == int64(len(batch.Bills))
}

// tellWritten lets the holders of copies forget what was written. A holder that
// misses it writes the copies itself, later.
func (b *Biller) tellWritten(ctx context.Context) {
	b.mu.Lock()
	through := b.buffer.through
	none := b.buffer.unwritten() == 0
	var addresses []string
	for address := range b.holders {
		addresses = append(addresses, address)
	}
	if none {
		clear(b.holders)
	}
	b.mu.Unlock()
	slices.Sort(addresses)
	for _, address := range addresses {
		if b.send(ctx, address, &messenger.BillBatch{Incarnation: b.cfg.Incarnation, WrittenThrough: through}) {
			continue
		}
		b.mu.Lock()
		delete(b.holders, address)
		b.mu.Unlock()
	}
}

// Successors orders the addresses of the peers that may hold copies: those of the own
// zone first, draining ones last, else along the ring of host names, so that
// copies are spread evenly. Those that failed lately are left out: the platform
// is tried before them.
func RankPeers(peers []heartbeater.Peer, host, zone string, avoid func(address string) bool) []string {
	usable := slices.DeleteFunc(slices.Clone(peers), func(p heartbeater.Peer) bool {
		return p.Suspect || p.Incarnation == "" || p.ExchangeAddress == "" || avoid(p.ExchangeAddress)
	})
	cost := func(p heartbeater.Peer) int {
		c := 0
		if p.AvailabilityZone != zone {
			c++
		}
		if p.Draining {
			c += 2
		}
		return c
	}
	slices.SortStableFunc(usable, func(a, b heartbeater.Peer) int {
		if ca, cb := cost(a), cost(b); ca != cb {
			return ca - cb
		}
		if (a.Host > host) != (b.Host > host) {
			if a.Host > host {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Host, b.Host)
	})
	addresses := make([]string, 0, len(usable))
	for _, p := range usable {
		addresses = append(addresses, p.ExchangeAddress)
	}
	return addresses
}

// sleepOrWake waits for d or until c is woken.
func sleepOrWake(ctx context.Context, clock *clocker.Clock, d clocker.Millis, c <-chan struct{}) {
	ctx, cancel := clock.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-c:
	}
}
