package runner

import (
	"context"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
	"cowsliphinge/versioner"
)

const (
	// quarantineKey is the key of the store object that holds a QuarantineRecord.
	quarantineKey = "quarantine/record"
	// quarantineRetryInterval is the time between two attempts to read it at the start, in
	// milliseconds, and quarantineLoadTimeout how long prompts wait for that.
	quarantineRetryInterval = 200 * clocker.Millis(1)
	quarantineLoadTimeout   = 2 * clocker.Second
	// quarantineSaveInterval is the interval of the checks whether to write it, in milliseconds.
	quarantineSaveInterval = 300 * clocker.Millis(1)
)

// keepQuarantine reads the quarantines from the store, for a host that starts after the death of
// all others, and writes them when they change. The first of the live hosts writes for all.
func (r *Runner) keepQuarantine(ctx context.Context) {
	for !r.loadQuarantine(ctx) {
		if r.cfg.Clock.Sleep(ctx, quarantineRetryInterval) != nil {
			return
		}
	}
	era := r.storeEra()
	for r.cfg.Clock.Sleep(ctx, quarantineSaveInterval) == nil {
		if current := r.storeEra(); current != era {
			era = current
			r.quarantine.markUnsaved()
		}
		if r.quarantine.unsaved() && r.isFirstHost() {
			r.saveQuarantine(ctx)
		}
	}
}

// isFirstHost reports whether no live host sorts before this one.
func (r *Runner) isFirstHost() bool {
	return r.fleetPosition() == 0
}

func (r *Runner) loadQuarantine(ctx context.Context) bool {
	o, err := r.cfg.Platform.Store.Get(ctx, quarantineKey)
	if err != nil && !storer.IsErrNotFound(err) {
		r.cfg.Log.Warn("quarantined prompt parts can't be read from the store", "cause", err.Error())
		return false
	}
	record := &messenger.QuarantineRecord{}
	if err := proto.Unmarshal(o.Value, record); err != nil {
		r.cfg.Log.Error("record of quarantined prompt parts is not usable", versioner.Attr(o.Version), "cause", err.Error())
	}
	r.quarantine.load(record)
	return true
}

// saveQuarantine writes the crashes under the parts in quarantine. A failed write is repeated after
// the next check.
func (r *Runner) saveQuarantine(ctx context.Context) {
	existing, err := r.cfg.Platform.Store.Get(ctx, quarantineKey)
	if err != nil && !storer.IsErrNotFound(err) {
		r.cfg.Log.Warn("quarantined prompt parts can't be read from the store", "cause", err.Error())
		return
	}
	value, changes, err := r.quarantine.record()
	if err != nil {
		r.cfg.Log.Error("quarantined prompt parts can't be encoded", "cause", err.Error())
		return
	}
	if existing.Version == 0 {
		_, err = r.cfg.Platform.Store.Create(ctx, quarantineKey, value)
	} else {
		_, err = r.cfg.Platform.Store.Update(ctx, quarantineKey, existing.Version, value)
	}
	if err != nil {
		r.cfg.Log.Warn("quarantined prompt parts can't be written to the store", "cause", err.Error())
		return
	}
	r.quarantine.markSaved(changes)
	r.cfg.Log.Info("quarantined prompt parts written to the store", "bytes", len(value))
}

// load applies the store's record.
func (p *promptQuarantine) load(record *messenger.QuarantineRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.quarantiner.Merge(decodeCrashes(record.Crashes, now), nil, now)
	p.loaded = true
	p.logChanges(now)
	p.savedChanges = p.changes
}

// unsaved reports whether the quarantines have changed since this host read or wrote them. The
// host that wrote a change for all may be dead when this one becomes the first.
func (p *promptQuarantine) unsaved() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logChanges(p.clock.Now())
	return p.changes != p.savedChanges
}

// record returns the encoded QuarantineRecord and the number of changes that it includes.
func (p *promptQuarantine) record() ([]byte, int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	value, err := proto.Marshal(&messenger.QuarantineRecord{Crashes: encodeCrashes(p.quarantiner.Held(now), now)})
	return value, p.changes, err
}

// markUnsaved makes the first host write the record again: the store came back from a copy.
func (p *promptQuarantine) markUnsaved() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes++
}

func (p *promptQuarantine) markSaved(changes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.savedChanges = changes
}
