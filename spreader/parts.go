package spreader

import (
	"context"
	"slices"

	"github.com/gravitational/trace"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

const (
	// partRetention is how long retired parts are kept for hosts that read an
	// earlier head.
	partRetention = 10 * clocker.Minute
	// maxRetiredParts bounds the number of retired parts that are kept.
	maxRetiredParts = 64
	// rateLimitDelay is the wait after a call that was rate limited, in milliseconds.
	rateLimitDelay = 50
	// maxDeletesPerChange bounds the number of parts that one change deletes.
	maxDeletesPerChange = 8
)

// writePart writes a part that the current head does not list. An existing part
// is written again: this changes its object version, so a concurrent delete that
// was decided under an earlier head fails.
func (s *Spreader) writePart(ctx context.Context, p *messenger.ConfigurationPart) error {
	ctx, cancel := s.cfg.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.retryRateLimited(ctx, func() error {
		_, err := s.cfg.Store.Create(ctx, p.Key, p.Value)
		return err
	})
	if !storer.IsErrConflict(err) {
		return err
	}
	return s.retryRateLimited(ctx, func() error {
		o, err := s.cfg.Store.Get(ctx, p.Key)
		if err != nil {
			return trace.Wrap(err)
		}
		_, err = s.cfg.Store.Update(ctx, p.Key, o.Version, p.Value)
		return err
	})
}

// retryRateLimited retries a call while it is rejected by the rate limit of this
// process. A configuration of many parts then takes longer, but is completed.
func (s *Spreader) retryRateLimited(ctx context.Context, call func() error) error {
	for {
		err := call()
		if !storer.IsErrRateLimited(err) || s.cfg.Clock.Sleep(ctx, rateLimitDelay) != nil {
			return err
		}
	}
}

// retiredParts returns the parts of earlier versions that the next version does
// not use, with the time at which each was retired.
func retiredParts(previous *messenger.ConfigurationHead, nextKeys []string, now clocker.Millis) []*messenger.RetiredPart {
	retired := slices.DeleteFunc(slices.Clone(previous.Retired), func(r *messenger.RetiredPart) bool {
		return slices.Contains(nextKeys, r.Key)
	})
	for _, key := range previous.PartKeys {
		if !slices.Contains(nextKeys, key) {
			retired = append(retired, &messenger.RetiredPart{Key: key, RetiredAtMs: int64(now)})
		}
	}
	return retired
}

// removeExpired removes expired retired parts from the next head and returns
// them with their current object versions. They may be deleted once that head is
// written: a later change that needs one of them writes it again.
func (s *Spreader) removeExpired(ctx context.Context, next *messenger.ConfigurationHead) []storer.Object {
	var expired []storer.Object
	remaining := next.Retired[:0:0]
	for i, r := range next.Retired {
		expirable := int64(s.cfg.Clock.Now())-r.RetiredAtMs > int64(partRetention) || len(next.Retired)-i > maxRetiredParts
		if !expirable || len(expired) == maxDeletesPerChange {
			remaining = append(remaining, r)
			continue
		}
		o, err := s.cfg.Store.Get(ctx, r.Key)
		switch {
		case storer.IsErrNotFound(err):
		case err != nil:
			remaining = append(remaining, r)
		default:
			expired = append(expired, o)
		}
	}
	next.Retired = remaining
	return expired
}

// deleteExpired deletes parts at the object versions that removeExpired read.
func (s *Spreader) deleteExpired(ctx context.Context, expired []storer.Object) {
	for _, o := range expired {
		if err := s.cfg.Store.Delete(ctx, o.Key, o.Version); err != nil {
			countOutcome("part_delete_failed", "self")
		}
	}
}
