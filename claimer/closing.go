package claimer

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

// partBytes is the size that one part of a ticket record is to have at most.
const maxPartBytes = 512 << 10

// recordPrefix starts the keys of ticket records and their parts.
const ticketRecordPrefix = "ticket/"

// record returns the claims of all used tickets, in as many parts as their
// size needs. A claim that did not end has an unknown outcome.
func (t *tickets) recordParts(now clocker.Millis) []*messenger.ClaimShard {
	claims := make([]*messenger.Claim, 0, len(t.used))
	size := 0
	for _, used := range t.used {
		if used.claim.State == messenger.ClaimState_RELEASED {
			continue
		}
		claim := proto.CloneOf(used.claim)
		if claim.State <= messenger.ClaimState_DISPATCHED {
			claim.State = messenger.ClaimState_LOST
		}
		claims = append(claims, claim)
		size += proto.Size(claim)
	}
	parts := make([]*messenger.ClaimShard, size/maxPartBytes+1)
	for i := range parts {
		parts[i] = &messenger.ClaimShard{ClosedAtMs: int64(now)}
	}
	for _, claim := range claims {
		part := parts[partIndex(claim.ClientAccount, claim.IdempotencyKey, int64(len(parts)))]
		part.Claims = append(part.Claims, claim)
	}
	return parts
}

// stop ends the use of tickets that were not yet used.
func (t *tickets) refuseUnused() {
	t.stopped = true
}

// writeRecord writes the parts of the ticket record and then its head. Each is
// written by this incarnation alone and only once.
func (c *Claimer) writeTicketRecord(ctx context.Context) error {
	c.mu.Lock()
	c.tickets.refuseUnused()
	if c.tickets.issued == 0 {
		c.mu.Unlock()
		return nil
	}
	parts := c.tickets.recordParts(c.cfg.Clock.Now())
	c.mu.Unlock()
	for i, part := range parts {
		if err := c.createOnce(ctx, partKey(c.cfg.Incarnation, int64(i)), part); err != nil {
			return trace.Wrap(err)
		}
	}
	return c.createOnce(ctx, ticketRecordPrefix+c.cfg.Incarnation, &messenger.TicketRecord{
		Incarnation: c.cfg.Incarnation,
		ClosedAtMs:  int64(c.cfg.Clock.Now()),
		Parts:       int64(len(parts)),
	})
}

// writeOnce creates an object that only this incarnation writes, until it is
// known to be there or ctx ends. What is there already was written by an
// earlier try: no ticket was used for the first time in between.
func (c *Claimer) createOnce(ctx context.Context, key string, message proto.Message) error {
	value, err := proto.Marshal(message)
	if err != nil {
		return trace.Wrap(err)
	}
	for {
		_, err := c.cfg.Store.Create(ctx, key, value)
		if err == nil || storer.IsErrConflict(err) {
			return nil
		}
		if storer.IsErrTooLarge(err) {
			return trace.Wrap(err)
		}
		if err := c.cfg.Clock.Sleep(ctx, c.cfg.RetryInterval); err != nil {
			return trace.Wrap(err, "ticket record %s is not written", key)
		}
	}
}

// claimRecorded decides on a ticket whose issuer no longer runs. Only the
// record of a graceful stop frees an unused ticket, which is then claimed like
// any other key. After its expiry it is never run, so that it cannot outlive
// its claim.
func (c *Claimer) claimFromRecord(ctx context.Context, tk ticket, req Request) Decision {
	stored, err := c.findInRecord(ctx, tk, req)
	switch {
	case storer.IsErrNotFound(err) && c.cfg.MayBeAlive(tk.incarnation):
		return Decision{Verdict: IssuedElsewhere, Incarnation: tk.incarnation}
	case storer.IsErrNotFound(err):
		return Decision{Verdict: OutcomeUnknown}
	case err != nil:
		return Decision{Verdict: Undetermined}
	case stored != nil && !bytes.Equal(stored.BodyHash, req.BodyHash[:]):
		return Decision{Verdict: KeyReused}
	case stored != nil:
		return decideRepeat(stored, false)
	case c.cfg.Clock.Now() < tk.expiry:
		return c.claimKey(ctx, req)
	}
	return c.decideExpired(ctx, req)
}

// claimExpired decides on an expired ticket that was not used at its issuer.
func (c *Claimer) decideExpired(ctx context.Context, req Request) Decision {
	_, stored, err := c.getClaim(ctx, objectKey(req.ClientAccount, req.IdempotencyKey))
	switch {
	case storer.IsErrNotFound(err):
		return Decision{Verdict: OutcomeUnknown}
	case err != nil:
		return Decision{Verdict: Undetermined}
	case !bytes.Equal(stored.BodyHash, req.BodyHash[:]):
		return Decision{Verdict: KeyReused}
	}
	return decideRepeat(stored, c.ownerAlive(stored))
}

// recorded looks a ticket up in the record of its stopped issuer. It returns
// ErrNotFound of package storer if there is no record, and a nil claim if the
// ticket was never used.
func (c *Claimer) findInRecord(ctx context.Context, tk ticket, req Request) (*messenger.Claim, error) {
	head := &messenger.TicketRecord{}
	if err := c.readMessage(ctx, ticketRecordPrefix+tk.incarnation, head); err != nil {
		return nil, err
	}
	part := &messenger.ClaimShard{}
	i := partIndex(req.ClientAccount, req.IdempotencyKey, max(1, head.Parts))
	if err := c.readMessage(ctx, partKey(tk.incarnation, i), part); err != nil {
		return nil, trace.Errorf("part %d of the record of %s: %v", i, tk.incarnation, err)
	}
	for _, claim := range part.Claims {
		if claim.ClientAccount == req.ClientAccount && claim.IdempotencyKey == req.IdempotencyKey {
			return claim, nil
		}
	}
	return nil, nil
}

func (c *Claimer) readMessage(ctx context.Context, key string, message proto.Message) error {
	o, err := c.cfg.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	return trace.Wrap(proto.Unmarshal(o.Value, message))
}

func partKey(incarnation string, part int64) string {
	return fmt.Sprintf("%s%s/%d", ticketRecordPrefix, incarnation, part)
}

func partIndex(clientAccount, idempotencyKey string, parts int64) int64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(objectKey(clientAccount, idempotencyKey)))
	return int64(h.Sum64() % uint64(parts))
}
