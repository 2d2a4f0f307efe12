package claimer

import (
	"context"
	"fmt"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

const (
	// defaultSweepEvery is the time between two clean-ups, in milliseconds.
	defaultSweepInterval = clocker.Minute
	// sweepParts is the number of parts that claims are cleaned up in.
	sweepParts = 256
	// sweepPage is the number of claims that one read returns.
	sweepPageSize = 50
	// sweepPause is the time between its calls, so that claims go before it, in
	// milliseconds.
	sweepDelay = 200 * clocker.Millis(1)
	// sweepDeletes bounds the claims that one clean-up deletes.
	maxSweepDeletes = 200
	// sweepMargin is added to the retention, for clocks that differ between
	// hosts, in milliseconds.
	clockSkewMargin = clocker.Hour
)

var deletedClaims = metrics.GetOrCreateCounter(`cowsliphinge_claims_deleted_total`)

// sweep deletes the expired claims of one part, and expired ticket records.
// Hosts need not agree who sweeps what: a delete is conditional on the version.
func (c *Claimer) sweep(ctx context.Context, part int) {
	c.sweepPrefix(ctx, fmt.Sprintf("claim/%02x/", part%sweepParts))
	if part%sweepParts == 0 {
		c.sweepPrefix(ctx, ticketRecordPrefix)
	}
}

func (c *Claimer) sweepPrefix(ctx context.Context, prefix string) {
	now := c.cfg.Clock.Now()
	maxAge := c.retention() + clockSkewMargin
	after := ""
	for deleted := 0; deleted < maxSweepDeletes && ctx.Err() == nil; {
		page, err := c.cfg.Store.List(ctx, prefix, after, sweepPageSize)
		if err != nil {
			return
		}
		for _, o := range page {
			after = o.Key
			if created := createdAt(o); created == 0 || now-created < maxAge {
				continue
			}
			if err := c.cfg.Store.Delete(ctx, o.Key, o.Version); err == nil {
				deletedClaims.Inc()
			}
			deleted++
			_ = c.cfg.Clock.Sleep(ctx, sweepDelay)
		}
		if len(page) < sweepPageSize {
			return
		}
		_ = c.cfg.Clock.Sleep(ctx, sweepDelay)
	}
}

// bornAt returns when an object was first written, by the clock of its writer,
// or 0 if it cannot be told.
func createdAt(o storer.Object) clocker.Millis {
	if !strings.HasPrefix(o.Key, ticketRecordPrefix) {
		claim := &messenger.Claim{}
		if proto.Unmarshal(o.Value, claim) != nil {
			return 0
		}
		return clocker.Millis(claim.ClaimedAtMs)
	}
	if strings.Count(o.Key, "/") == 1 {
		head := &messenger.TicketRecord{}
		if proto.Unmarshal(o.Value, head) != nil {
			return 0
		}
		return clocker.Millis(head.ClosedAtMs)
	}
	shard := &messenger.ClaimShard{}
	if proto.Unmarshal(o.Value, shard) != nil {
		return 0
	}
	return clocker.Millis(shard.ClosedAtMs)
}
