package runner

import (
	"context"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/quarantiner"
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
	// quarantineReadInterval is the interval at which a host reads it that does not hear of others
	// which may serve on the other side of a cut, in milliseconds.
	quarantineReadInterval = clocker.Second
	// silentPeerPeriod is how long a silent host counts as one that may be cut off, in
	// milliseconds.
	silentPeerPeriod = 2 * clocker.Minute
)

// keepQuarantine reads the evidence from the store, for a host that starts after the death of all
// others, and writes it when it changes. The first of the live hosts writes for all, so the sides of a
// cut learn from each other through the store.
func (r *Runner) keepQuarantine(ctx context.Context) {
	for !r.loadQuarantine(ctx) {
		if r.cfg.Clock.Sleep(ctx, quarantineRetryInterval) != nil {
			return
		}
	}
	era, readAt := r.storeEra(), r.cfg.Clock.Now()
	for r.cfg.Clock.Sleep(ctx, quarantineSaveInterval) == nil {
		if current := r.storeEra(); current != era {
			era = current
			r.quarantine.markUnsaved()
		}
		if r.quarantine.unsaved() && r.isFirstHost() {
			r.saveQuarantine(ctx)
		}
		if now := r.cfg.Clock.Now(); now-readAt >= quarantineReadInterval && r.hasSilentPeers() {
			readAt = now
			r.loadQuarantine(ctx)
		}
	}
}

// isFirstHost reports whether no live host sorts before this one.
func (r *Runner) isFirstHost() bool {
	return r.fleetPosition() == 0
}

// hasSilentPeers reports whether a host fell silent lately that may still serve: hosts that are dead
// for longer no longer count.
func (r *Runner) hasSilentPeers() bool {
	now := r.cfg.Clock.Now()
	return slices.ContainsFunc(r.heartbeater.Peers(), func(p heartbeater.Peer) bool {
		return p.Suspect && now-p.LastHeard < silentPeerPeriod
	})
}

// readQuarantine returns the version and the content of the record in the store; both are zero if there
// is none, or if it can't be decoded.
func (r *Runner) readQuarantine(ctx context.Context) (int64, *messenger.QuarantineRecord, error) {
	record := &messenger.QuarantineRecord{}
	o, err := r.cfg.Platform.Store.Get(ctx, quarantineKey)
	if storer.IsErrNotFound(err) {
		return 0, record, nil
	}
	if err != nil {
		r.cfg.Log.Warn("evidence of crashes can't be read from the store", "cause", err.Error())
		return 0, nil, err
	}
	if err := proto.Unmarshal(o.Value, record); err != nil {
		r.cfg.Log.Error("record of crashes is not usable", versioner.Attr(o.Version), "cause", err.Error())
	}
	return o.Version, record, nil
}

func (r *Runner) loadQuarantine(ctx context.Context) bool {
	_, record, err := r.readQuarantine(ctx)
	if err != nil {
		return false
	}
	r.quarantine.load(record)
	return true
}

// saveQuarantine adds the evidence of this host to the record in the store. A failed write is repeated
// after the next check.
func (r *Runner) saveQuarantine(ctx context.Context) {
	version, existing, err := r.readQuarantine(ctx)
	if err != nil {
		return
	}
	r.quarantine.load(existing)
	value, evidence, err := r.quarantine.record()
	if err != nil {
		r.cfg.Log.Error("evidence of crashes can't be encoded", "cause", err.Error())
		return
	}
	if version == 0 {
		_, err = r.cfg.Platform.Store.Create(ctx, quarantineKey, value)
	} else {
		_, err = r.cfg.Platform.Store.Update(ctx, quarantineKey, version, value)
	}
	if err != nil {
		r.cfg.Log.Warn("evidence of crashes can't be written to the store", "cause", err.Error())
		return
	}
	r.quarantine.markSaved(evidence)
	r.cfg.Log.Info("evidence of crashes written to the store", "bytes", len(value))
}

// load applies the store's record.
func (p *quarantine) load(record *messenger.QuarantineRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	first := !p.loaded
	p.loaded = true
	if p.quarantiner.Merge(decodeCrashes(record.Crashes, now), nil, now) {
		p.announceNews()
	}
	p.logChanges(now)
	if first {
		p.saved = evidenceHash(p.quarantiner.Held(now))
	}
}

// unsaved reports whether the evidence to keep has changed since this host read or wrote it. The host
// that wrote a change for all may be dead when this one becomes the first.
func (p *quarantine) unsaved() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.logChanges(now)
	return evidenceHash(p.quarantiner.Held(now)) != p.saved
}

// record returns the encoded QuarantineRecord and the hash of its evidence.
func (p *quarantine) record() ([]byte, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	held := p.quarantiner.Held(now)
	value, err := proto.Marshal(&messenger.QuarantineRecord{Crashes: encodeCrashes(held, now)})
	return value, evidenceHash(held), err
}

// evidenceHash returns a number that is equal for equal evidence and 0 for none.
func evidenceHash(crashes []quarantiner.Crash) uint64 {
	sum := uint64(0)
	for _, c := range crashes {
		for _, r := range c.Requests {
			h := xxhash.New()
			for _, field := range append([]uint64{c.Server, r.ID}, r.Parts...) {
				_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, field)) // never fails
			}
			sum += h.Sum64() // the order of requests differs between hosts
		}
	}
	return sum
}

// markUnsaved makes the first host write the record again: the store came back from a copy.
func (p *quarantine) markUnsaved() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.saved = 0
}

func (p *quarantine) markSaved(evidence uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.saved = evidence
}
