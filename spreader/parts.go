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
	// partRetentionMs is how long the parts of earlier versions are kept for
	// hosts that read an earlier head.
	partRetentionMs = 10 * clocker.Minute
	// maxRetired bounds the retired parts that are kept.
	maxRetired = 64
	// ratePauseMs is the wait after a call that the rate bound held back.
	ratePauseMs = 50
	// maxDeletes bounds the parts that one change deletes.
	maxDeletes = 8
)

// writePart writes a part that the present head does not name. One that exists
// is written again, so that a delete on behalf of an earlier head meets another
// object version and fails.
func (s *Spreader) writePart(ctx context.Context, p *messenger.ConfigurationPart) error {
	ctx, cancel := s.cfg.Clock.WithTimeout(ctx, callMs)
	defer cancel()
	err := s.paced(ctx, func() error {
		_, err := s.cfg.Store.Create(ctx, p.Key, p.Value)
		return err
	})
	if !storer.IsErrConflict(err) {
		return err
	}
	return s.paced(ctx, func() error {
		o, err := s.cfg.Store.Get(ctx, p.Key)
		if err != nil {
			return trace.Wrap(err)
		}
		_, err = s.cfg.Store.Update(ctx, p.Key, o.Version, p.Value)
		return err
	})
}

// paced repeats a call that the rate bound of this process held back, so that
// a configuration of many parts takes longer in place of never ending.
func (s *Spreader) paced(ctx context.Context, call func() error) error {
	for {
		err := call()
		if !storer.IsErrRateLimited(err) || s.cfg.Clock.Sleep(ctx, ratePauseMs) != nil {
			return err
		}
	}
}

// retire returns the parts to keep besides those of the next version.
func retire(before *messenger.ConfigurationHead, nextKeys []string, now clocker.Millis) []*messenger.RetiredPart {
	retired := slices.DeleteFunc(slices.Clone(before.Retired), func(r *messenger.RetiredPart) bool {
		return slices.Contains(nextKeys, r.Key)
	})
	for _, key := range before.PartKeys {
		if !slices.Contains(nextKeys, key) {
			retired = append(retired, &messenger.RetiredPart{Key: key, RetiredAtMs: int64(now)})
		}
	}
	return retired
}

// takeExpired removes parts that are retired for long from the next head and
// returns them with their present object versions. They may be deleted once
// that head is written: from then on a change that needs one writes it again.
func (s *Spreader) takeExpired(ctx context.Context, next *messenger.ConfigurationHead) []storer.Object {
	var expired []storer.Object
	kept := next.Retired[:0:0]
	for i, r := range next.Retired {
		old := int64(s.cfg.Clock.Now())-r.RetiredAtMs > int64(partRetentionMs) || len(next.Retired)-i > maxRetired
		if !old || len(expired) == maxDeletes {
			kept = append(kept, r)
			continue
		}
		o, err := s.cfg.Store.Get(ctx, r.Key)
		switch {
		case storer.IsErrNotFound(err):
		case err != nil:
			kept = append(kept, r)
		default:
			expired = append(expired, o)
		}
	}
	next.Retired = kept
	return expired
}

// deleteExpired deletes parts at the versions that takeExpired saw.
func (s *Spreader) deleteExpired(ctx context.Context, expired []storer.Object) {
	for _, o := range expired {
		if err := s.cfg.Store.Delete(ctx, o.Key, o.Version); err != nil {
			count("part_delete_failed", "self")
		}
	}
}
