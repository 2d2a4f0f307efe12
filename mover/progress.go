package mover

import (
	"context"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

// readProgress returns the recorded progress of a move and its object version.
// Progress of an earlier start, or of a move with other targets, is discarded.
func (m *Mover) readProgress(ctx context.Context, move *messenger.Move) (*messenger.MoveProgress, int64, error) {
	ctx, cancel := m.cfg.Clock.WithTimeout(ctx, callTimeoutMs)
	defer cancel()
	steps := Steps(m.cfg.Spreader.Index().Configuration.GetDeclarations(), move)
	fresh := &messenger.MoveProgress{Name: move.Name, Steps: steps}
	o, err := m.cfg.Store.Get(ctx, keyPrefix+move.Name)
	if storer.IsErrNotFound(err) {
		return fresh, 0, nil
	}
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	progress := &messenger.MoveProgress{}
	if err := proto.Unmarshal(o.Value, progress); err != nil {
		return nil, 0, trace.Wrap(err)
	}
	if !sameSteps(progress.Steps, steps) || restarted(progress, move) {
		fresh.Fencing = progress.Fencing
		return fresh, o.Version, nil
	}
	return progress, o.Version, nil
}

func sameSteps(a, b []*messenger.MoveStep) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Kind != b[i].Kind || a[i].Target != b[i].Target {
			return false
		}
	}
	return true
}

// restarted reports whether a drain or return was recorded before the present
// drain time: the move was cancelled and started again with later times.
func restarted(progress *messenger.MoveProgress, move *messenger.Move) bool {
	for _, s := range progress.Steps {
		if (s.Kind == Drain || s.Kind == Return) && s.State == Done && s.FinishedAtMs < move.DrainAtMs {
			return true
		}
	}
	return false
}

// writeProgress records progress if it changed. The write fails if another holder
// has written since the read.
func (m *Mover) writeProgress(ctx context.Context, before, next *messenger.MoveProgress, version int64) error {
	if version != 0 && proto.Equal(before, next) {
		return nil
	}
	ctx, cancel := m.cfg.Clock.WithTimeout(ctx, callTimeoutMs)
	defer cancel()
	next.WrittenBy = m.cfg.Incarnation
	next.WrittenAtMs = int64(m.cfg.Clock.Now())
	value, err := proto.Marshal(next)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, held := m.cfg.Lease.Held(); !held {
		return trace.Errorf("the lease ran out before progress was written")
	}
	key := keyPrefix + next.Name
	if version == 0 {
		_, err = m.cfg.Store.Create(ctx, key, value)
	} else {
		_, err = m.cfg.Store.Update(ctx, key, version, value)
	}
	return trace.Wrap(err)
}
