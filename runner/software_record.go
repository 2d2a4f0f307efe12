package runner

import (
	"context"
	"maps"
	"slices"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
	"cowsliphinge/versioner"
)

const (
	// softwareKey is the key of the store object that holds a SoftwareRecord.
	softwareKey = "software/record"
	// softwareCheckInterval is the interval of the checks whether the record has to be read or
	// written, in milliseconds.
	softwareCheckInterval = 50 * clocker.Millis(1)
	// softwareWritePatience is how long a host that is not the first one waits for others to
	// write, in milliseconds.
	softwareWritePatience = 500 * clocker.Millis(1)
)

// keepOrigins keeps the origins of streams for other hosts and in the store, and the record of the versions,
// until ctx ends.
func (r *Runner) keepOrigins(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error {
		r.keepSoftwareRecord(ctx)
		return nil
	})
	for _, keep := range []func(context.Context){r.origins.share, r.origins.keepArchive, r.origins.writeArchive} {
		group.Go(func() error {
			keep(ctx)
			return nil
		})
	}
	return group.Wait()
}

// isFirstLive reports whether no live host sorts before this one.
func (r *Runner) isFirstLive() bool {
	return !slices.ContainsFunc(r.origins.peers(), func(p heartbeater.Peer) bool { return p.Host < r.cfg.Settings.Host })
}

// keepSoftwareRecord keeps the record of the software versions in use. It is written before the first
// request to a new version, so that a host which starts after the death of all others knows whether a
// stream may have begun at another version than the servers of today have.
func (r *Runner) keepSoftwareRecord(ctx context.Context) {
	for !r.readSoftwareRecord(ctx) {
		if r.cfg.Clock.Sleep(ctx, softwareCheckInterval) != nil {
			return
		}
	}
	era := r.storeEra()
	for r.cfg.Clock.Sleep(ctx, softwareCheckInterval) == nil {
		restored := r.storeEra() != era
		since, waiting := r.origins.waiting()
		switch {
		case restored || waiting && (r.isFirstLive() || r.cfg.Clock.Now()-since >= softwareWritePatience) || r.origins.outdated() && r.isFirstLive():
			if r.writeSoftwareRecord(ctx) {
				era = r.storeEra()
			}
		case waiting:
			r.readSoftwareRecord(ctx)
		}
	}
}

// readSoftwareRecord applies the record in the store. It reports whether it could be read.
func (r *Runner) readSoftwareRecord(ctx context.Context) bool {
	_, record, err := r.softwareRecord(ctx)
	if err != nil {
		return false
	}
	r.origins.applyRecord(record)
	return true
}

// softwareRecord returns the version and the content of the record in the store; both are zero if there
// is none.
func (r *Runner) softwareRecord(ctx context.Context) (int64, map[string][]string, error) {
	o, err := r.cfg.Platform.Store.Get(ctx, softwareKey)
	if storer.IsErrNotFound(err) {
		return 0, nil, nil
	}
	if err != nil {
		r.cfg.Log.Warn("software versions in use can't be read from the store", "cause", err.Error())
		return 0, nil, err
	}
	message := &messenger.SoftwareRecord{}
	if err := proto.Unmarshal(o.Value, message); err != nil {
		r.cfg.Log.Error("record of software versions is not usable", versioner.Attr(o.Version), "cause", err.Error())
	}
	record := map[string][]string{}
	for _, s := range message.Services {
		record[s.Service] = s.Versions
	}
	return o.Version, record, nil
}

// writeSoftwareRecord writes the versions in use. It reports whether the store has them.
func (r *Runner) writeSoftwareRecord(ctx context.Context) bool {
	version, existing, err := r.softwareRecord(ctx)
	if err != nil {
		return false
	}
	r.origins.applyRecord(existing)
	record := r.origins.record()
	if maps.EqualFunc(record, existing, slices.Equal) {
		return true
	}
	message := &messenger.SoftwareRecord{}
	for _, service := range slices.Sorted(maps.Keys(record)) {
		message.Services = append(message.Services, &messenger.ServiceSoftware{Service: service, Versions: record[service]})
	}
	value, err := proto.Marshal(message)
	if err != nil {
		r.cfg.Log.Error("software versions in use can't be encoded", "cause", err.Error())
		return false
	}
	if version == 0 {
		_, err = r.cfg.Platform.Store.Create(ctx, softwareKey, value)
	} else {
		_, err = r.cfg.Platform.Store.Update(ctx, softwareKey, version, value)
	}
	if err != nil {
		r.cfg.Log.Info("software versions in use can't be written to the store", "cause", err.Error())
		return false
	}
	r.cfg.Log.Info("software versions in use", "versions", record, "before", existing)
	r.origins.applyRecord(record)
	return true
}

// waiting returns since when servers of a new version wait for the record, and whether any do.
func (o *streamOrigins) waiting() (clocker.Millis, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.Waiting(o.clock.Now())
}

// outdated reports whether the record names a version that is not in use any more.
func (o *streamOrigins) outdated() bool {
	lifetime := o.lifetime()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.Outdated(lifetime, o.clock.Now())
}

func (o *streamOrigins) applyRecord(record map[string][]string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.ApplyRecord(record, o.clock.Now())
}

func (o *streamOrigins) record() map[string][]string {
	lifetime := o.lifetime()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.Record(lifetime, o.clock.Now())
}
