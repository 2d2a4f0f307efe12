package biller

import (
	"context"
	"slices"
	"strings"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
)

// copyLoop copies new bills to a peer. Each call copies all that wait, up to the size
// of a batch.
func (b *Biller) copyLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.copyWake:
		}
		for ctx.Err() == nil && !b.copyPending(ctx) {
			wake(b.writeWake)
			sleepOrWake(ctx, b.cfg.Clock, retryInterval, b.copyWake)
		}
	}
}

// copyPending copies until all bills are copied or no peer accepts them. It reports
// whether all are copied.
func (b *Biller) copyPending(ctx context.Context) bool {
	for {
		b.mu.Lock()
		batch := b.buffer.nextCopyBatch()
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
		return b.avoidUntil[address] > now
	})
	for _, address := range candidates[:min(maxCopyAttempts, len(candidates))] {
		if !b.sendBatch(ctx, address, batch) {
			copyFailures.Inc()
			b.mu.Lock()
			b.avoidUntil[address] = now + failedPeerBackoff
			b.mu.Unlock()
			continue
		}
		billsCopied.Add(len(batch.Bills))
		b.mu.Lock()
		b.holders[address] = true
		b.buffer.markCopied(batch)
		b.signalProgress()
		b.mu.Unlock()
		return true
	}
	return false
}

func (b *Biller) sendBatch(ctx context.Context, address string, batch *messenger.BillBatch) bool {
	ctx, cancel := b.cfg.Clock.WithTimeout(ctx, copyTimeout)
	defer cancel()
	reply, err := b.cfg.Exchange.CopyBills(ctx, address, batch)
	return err == nil && reply.GetCount() == int64(len(batch.Bills))
}

// reportWritten reports to the holders of copies which bills are written, so that
// they delete the copies. A holder that misses the report writes its copies itself
// later.
func (b *Biller) reportWritten(ctx context.Context) {
	b.mu.Lock()
	through := b.buffer.writtenThrough
	allWritten := b.buffer.unwrittenCount() == 0
	var addresses []string
	for address := range b.holders {
		addresses = append(addresses, address)
	}
	if allWritten {
		clear(b.holders)
	}
	b.mu.Unlock()
	slices.Sort(addresses)
	for _, address := range addresses {
		if b.sendBatch(ctx, address, &messenger.BillBatch{Incarnation: b.cfg.Incarnation, WrittenThrough: through}) {
			continue
		}
		b.mu.Lock()
		delete(b.holders, address)
		b.mu.Unlock()
	}
}

// RankPeers returns the addresses of the peers that may hold copies, best first:
// peers of the own zone, then other zones, draining ones last. Equal ones follow the
// ring of host names, so that copies are spread evenly. Peers that failed recently
// are excluded: the platform is tried before them.
func RankPeers(peers []heartbeater.Peer, host, zone string, avoid func(address string) bool) []string {
	usable := slices.DeleteFunc(slices.Clone(peers), func(p heartbeater.Peer) bool {
		return p.Suspect || p.Incarnation == "" || p.ExchangeAddress == "" || avoid(p.ExchangeAddress)
	})
	rank := func(p heartbeater.Peer) int {
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
		if ca, cb := rank(a), rank(b); ca != cb {
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

// sleepOrWake waits for d, until c receives, or until ctx ends.
func sleepOrWake(ctx context.Context, clock *clocker.Clock, d clocker.Millis, c <-chan struct{}) {
	ctx, cancel := clock.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-c:
	}
}
