package withholder

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
	// recordKey is the key of the store object that holds a QuarantineRecord.
	recordKey = "quarantine/record"
	// retryInterval is the time between two attempts to read it at the start, in
	// milliseconds, and loadTimeout how long requests wait for that.
	retryInterval = 200 * clocker.Millis(1)
	loadTimeout   = 2 * clocker.Second
	// saveInterval is the interval of the checks whether to write it, in milliseconds.
	saveInterval = 300 * clocker.Millis(1)
	// readInterval is the interval at which a host reads it that does not hear of others
	// which may serve on the other side of a cut, in milliseconds.
	readInterval = clocker.Second
	// silentPeerPeriod is how long a silent host counts as one that may be cut off, in
	// milliseconds.
	silentPeerPeriod = 2 * clocker.Minute
)

// Keep reads the evidence from the store, for a host that starts after the death of all
// others, and writes it when it changes. The first of the live hosts writes for all, so the sides of a
// cut learn from each other through the store.
func (w *Withholder) Keep(ctx context.Context) {
	for !w.readOnce(ctx) {
		if w.cfg.Clock.Sleep(ctx, retryInterval) != nil {
			return
		}
	}
	era, readAt := w.storeEra(), w.cfg.Clock.Now()
	for w.cfg.Clock.Sleep(ctx, saveInterval) == nil {
		if current := w.storeEra(); current != era {
			era = current
			w.markUnsaved()
		}
		if w.unsaved() && w.isFirstHost() {
			w.save(ctx)
		}
		if now := w.cfg.Clock.Now(); now-readAt >= readInterval && w.hasSilentPeers() {
			readAt = now
			w.readOnce(ctx)
		}
	}
}

// storeEra returns the latest era that the store named, 0 for a store without eras.
func (w *Withholder) storeEra() int64 {
	if w.cfg.StoreEra == nil {
		return 0
	}
	return w.cfg.StoreEra()
}

// isFirstHost reports whether no live host sorts before this one.
func (w *Withholder) isFirstHost() bool {
	return !slices.ContainsFunc(w.cfg.Peers(), func(p heartbeater.Peer) bool {
		return !p.Suspect && p.Incarnation != "" && p.Host < w.cfg.Host
	})
}

// hasSilentPeers reports whether a host fell silent lately that may still serve: hosts that are dead
// for longer no longer count.
func (w *Withholder) hasSilentPeers() bool {
	now := w.cfg.Clock.Now()
	return slices.ContainsFunc(w.cfg.Peers(), func(p heartbeater.Peer) bool {
		return p.Suspect && now-p.LastHeard < silentPeerPeriod
	})
}

// read returns the version and the content of the record in the store; both are zero if there
// is none, or if it can't be decoded.
func (w *Withholder) read(ctx context.Context) (int64, *messenger.QuarantineRecord, error) {
	record := &messenger.QuarantineRecord{}
	o, err := w.cfg.Store.Get(ctx, recordKey)
	if storer.IsErrNotFound(err) {
		return 0, record, nil
	}
	if err != nil {
		w.cfg.Log.Warn("evidence of crashes can't be read from the store", "cause", err.Error())
		return 0, nil, err
	}
	if err := proto.Unmarshal(o.Value, record); err != nil {
		w.cfg.Log.Error("record of crashes is not usable", versioner.Attr(o.Version), "cause", err.Error())
	}
	return o.Version, record, nil
}

// readOnce applies the record in the store. It reports whether it could be read.
func (w *Withholder) readOnce(ctx context.Context) bool {
	_, record, err := w.read(ctx)
	if err != nil {
		return false
	}
	w.load(record)
	return true
}

// save adds the evidence of this host to the record in the store. A failed write is repeated
// after the next check.
func (w *Withholder) save(ctx context.Context) {
	version, existing, err := w.read(ctx)
	if err != nil {
		return
	}
	w.load(existing)
	value, evidence, err := w.record()
	if err != nil {
		w.cfg.Log.Error("evidence of crashes can't be encoded", "cause", err.Error())
		return
	}
	if version == 0 {
		_, err = w.cfg.Store.Create(ctx, recordKey, value)
	} else {
		_, err = w.cfg.Store.Update(ctx, recordKey, version, value)
	}
	if err != nil {
		w.cfg.Log.Warn("evidence of crashes can't be written to the store", "cause", err.Error())
		return
	}
	w.markSaved(evidence)
	w.cfg.Log.Info("evidence of crashes written to the store", "bytes", len(value))
}

// load applies the store's record.
func (w *Withholder) load(record *messenger.QuarantineRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.cfg.Clock.Now()
	first := !w.loaded
	w.loaded = true
	if w.quarantiner.Merge(decodeCrashes(record.Crashes, now), nil, now) {
		w.announceNews()
	}
	w.logChanges(now)
	if first {
		w.saved = evidenceHash(w.quarantiner.Held(now))
	}
}

// unsaved reports whether the evidence to keep has changed since this host read or wrote it. The host
// that wrote a change for all may be dead when this one becomes the first.
func (w *Withholder) unsaved() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.cfg.Clock.Now()
	w.logChanges(now)
	return evidenceHash(w.quarantiner.Held(now)) != w.saved
}

// record returns the encoded QuarantineRecord and the hash of its evidence.
func (w *Withholder) record() ([]byte, uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.cfg.Clock.Now()
	held := w.quarantiner.Held(now)
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
func (w *Withholder) markUnsaved() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.saved = 0
}

func (w *Withholder) markSaved(evidence uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.saved = evidence
}
