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

// maxPartBytes is the target maximum size of one part of a ticket record. The
// number of parts follows from it; a part can be larger, since claims are assigned
// to parts by hash.
const maxPartBytes = 512 << 10

// ticketRecordPrefix is the key prefix of ticket records and their parts.
const ticketRecordPrefix = "ticket/"

// recordParts returns the claims of all used tickets, divided into as many parts
// as their total size requires. A claim without a final state is recorded as LOST,
// since its outcome is unknown.
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

// refuseUnused makes claim refuse tickets that are unused or released.
func (t *tickets) refuseUnused() {
	t.stopped = true
}

// writeTicketRecord writes the parts of the ticket record and then its head. Only
// this incarnation writes these objects, each of them once.
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

// createOnce creates an object that only this incarnation writes. It retries until
// the object is known to exist or ctx ends. An object that already exists was
// written by an earlier call and lists the same tickets, since no ticket is used
// for the first time after refuseUnused.
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
			return trace.Wrap(err, "object %s of the ticket record is not written", key)
		}
	}
}

// claimFromRecord decides on a ticket whose issuer no longer runs. An unused ticket
// can be claimed like any other key, but only if the issuer stopped gracefully and
// wrote a ticket record. After its expiry a ticket is never run: its claim may have
// been deleted by then.
func (c *Claimer) claimFromRecord(ctx context.Context, tk ticket, req Request) Decision {
	stored, err := c.findInRecord(ctx, tk, req)
	switch {
	case storer.IsErrNotFound(err) && c.cfg.MayBeAlive(tk.incarnation):
		return Decision{Verdict: IssuedElsewhere, Incarnation: tk.incarnation}
	case storer.IsErrNotFound(err):
		return Decision{Verdict: PermanentlyUnknown}
	case err != nil:
		return Decision{Verdict: UnknownForNow}
	case stored != nil && !bytes.Equal(stored.BodyHash, req.RequestHash[:]):
		return Decision{Verdict: KeyReused}
	case stored != nil:
		return decideRetry(stored, false)
	case c.cfg.Clock.Now() < tk.expiry:
		return c.claimKey(ctx, req)
	}
	return c.decideExpired(ctx, req)
}

// decideExpired decides on an expired ticket for which the record of its issuer
// has no claim.
func (c *Claimer) decideExpired(ctx context.Context, req Request) Decision {
	_, stored, err := c.getClaim(ctx, objectKey(req.ClientAccount, req.IdempotencyKey))
	switch {
	case storer.IsErrNotFound(err):
		return Decision{Verdict: PermanentlyUnknown}
	case err != nil:
		return Decision{Verdict: UnknownForNow}
	case !bytes.Equal(stored.BodyHash, req.RequestHash[:]):
		return Decision{Verdict: KeyReused}
	}
	return decideRetry(stored, c.ownerAlive(stored))
}

// findInRecord looks up a ticket in the ticket record of its stopped issuer. It
// returns storer.ErrNotFound if there is no record, and a nil claim if the record
// has none for the ticket.
func (c *Claimer) findInRecord(ctx context.Context, tk ticket, req Request) (*messenger.Claim, error) {
	head := &messenger.TicketRecord{}
	if err := c.readMessage(ctx, ticketRecordPrefix+tk.incarnation, head); err != nil {
		return nil, err
	}
	part := &messenger.ClaimShard{}
	i := partIndex(req.ClientAccount, req.IdempotencyKey, max(1, head.Parts))
	if err := c.readMessage(ctx, partKey(tk.incarnation, i), part); err != nil {
		return nil, trace.Errorf("part %d of the ticket record of %s: %v", i, tk.incarnation, err)
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
