package claimer

import (
	"context"
	"errors"
	"hash/fnv"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

// putClaim updates the object at the given version with a claim. Version 0 creates
// the object.
func (c *Claimer) putClaim(ctx context.Context, key string, version int64, claim *messenger.Claim) (storer.Object, error) {
	value, err := proto.Marshal(claim)
	if err != nil {
		return storer.Object{}, trace.Wrap(err)
	}
	if version == 0 {
		return c.cfg.Store.Create(ctx, key, value)
	}
	return c.cfg.Store.Update(ctx, key, version, value)
}

// getClaim reads the claim that an object stores.
func (c *Claimer) getClaim(ctx context.Context, key string) (storer.Object, *messenger.Claim, error) {
	o, err := c.cfg.Store.Get(ctx, key)
	if err != nil {
		return storer.Object{}, nil, err
	}
	claim := &messenger.Claim{}
	if err := proto.Unmarshal(o.Value, claim); err != nil {
		return storer.Object{}, nil, trace.Wrap(err)
	}
	if claim.Incarnation == "" {
		return storer.Object{}, nil, trace.Wrap(errEmptyClaim)
	}
	return o, claim, nil
}

var errEmptyClaim = errors.New("object does not contain a claim")

// firstSweepPartition returns the partition at which an incarnation starts to delete
// expired claims. It is a hash, so that hosts start at different partitions.
func firstSweepPartition(name string) uint8 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return uint8(h.Sum64())
}
