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
	// defaultSweepInterval is the time between two sweeps, in milliseconds.
	defaultSweepInterval = clocker.Minute
	// sweepPartitions is the number of partitions that claims are divided into by the
	// prefix of their key; one sweep covers one partition.
	sweepPartitions = 256
	// sweepPageSize is the maximum number of objects that one List call returns.
	sweepPageSize = 50
	// sweepDelay is the time between two platform calls of a sweep, in
	// milliseconds. It leaves the platform's capacity to the writes of claims.
	sweepDelay = 200 * clocker.Millis(1)
	// maxSweepDeletes is the number of deletes after which a sweep of a prefix stops.
	maxSweepDeletes = 200
	// clockSkewMargin is added to the retention to allow for clock differences
	// between hosts, in milliseconds.
	clockSkewMargin = clocker.Hour
)

var deletedClaims = metrics.GetOrCreateCounter(`cowsliphinge_claims_deleted_total`)

// sweep deletes the expired claims of one partition and, with the first partition,
// expired ticket records. Hosts may sweep the same partition at the same time, because
// a delete is conditional on the object version.
func (c *Claimer) sweep(ctx context.Context, partition int) {
	c.sweepPrefix(ctx, fmt.Sprintf("claim/%02x/", partition%sweepPartitions))
	if partition%sweepPartitions == 0 {
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

// createdAt returns the time at which an object was created, by the clock of its
// writer, or 0 if the object cannot be decoded. A ticket record consists of a head,
// which holds the number of parts, and the parts.
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
	part := &messenger.ClaimShard{}
	if proto.Unmarshal(o.Value, part) != nil {
		return 0
	}
	return clocker.Millis(part.ClosedAtMs)
}
