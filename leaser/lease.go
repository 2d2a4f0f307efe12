// Package leaser holds a lease in the Object API. The lease carries a fencing
// number that grows with each holder. No two clocks are compared: a host takes
// a lease over once the object has not changed for its time to live on the
// host's own clock, and a holder counts from before it sent its write.
package leaser

import (
	"context"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

const (
	// keyPrefix starts the keys of leases in the Object API.
	keyPrefix = "lease/"
	// defaultTimeToLiveMs is how long a lease lasts without a renewal.
	defaultTimeToLiveMs = 10 * clocker.Second
	// callMs bounds a call to the platform.
	callMs = 2 * clocker.Second
	// releasePause is the time between two tries to give a lease up, in
	// milliseconds: a rate bound frees up within it.
	releasePause = 50 * clocker.Millis(1)
)

// Store is what a lease needs of the Object API.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (storer.Object, error)
	Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error)
}

// Config configures a Lease.
type Config struct {
	// Name of the lease; its object is lease/<Name>.
	Name string
	// Holder is the incarnation that wants the lease.
	Holder string
	// TimeToLive in milliseconds; 0 means ten seconds.
	TimeToLive clocker.Millis
	Clock      *clocker.Clock
	Store      Store
}

// Lease is the view that one incarnation has of a lease. All methods may be
// called from many goroutines.
type Lease struct {
	cfg Config

	mu sync.Mutex
	// seen is the object as last read or written, at version.
	seen    *messenger.Lease
	version int64
	// unchangedSince is when the present version was first seen.
	unchangedSince clocker.Millis
	// validUntil is when this holder stops trusting its lease.
	validUntil clocker.Millis
}

// New returns a lease that is not held.
func New(cfg Config) *Lease {
	if cfg.TimeToLive == 0 {
		cfg.TimeToLive = defaultTimeToLiveMs
	}
	return &Lease{cfg: cfg, seen: &messenger.Lease{Name: cfg.Name}}
}

// Held returns the fencing number and whether the lease is held now. It is to
// be asked right before each act under the lease.
func (l *Lease) Held() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen.Holder != l.cfg.Holder || l.cfg.Clock.Now() >= l.validUntil {
		return 0, false
	}
	return l.seen.Fencing, true
}

// Try renews the lease if it is held, and else takes it if it is free. It is to
// be called a few times in each time to live.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen.Holder != l.cfg.Holder {
		if err := l.read(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	next := l.next()
	if next == nil {
		return nil
	}
	err := l.write(ctx, next)
	if err == nil {
		return nil
	}
	count(l.cfg.Name, "write_failed")
	// The write may have taken effect or another one may have come first.
	if readErr := l.read(ctx); readErr != nil {
		return trace.Wrap(readErr)
	}
	return trace.Wrap(err)
}

// Release gives the lease up, so that another host need not wait. It tries until
// the platform says that this host holds it no more, for as long as one call may
// take, and returns the last error after that: the lease then ends by its time.
func (l *Lease) Release(ctx context.Context) error {
	ctx, cancel := l.cfg.Clock.WithTimeout(ctx, callMs)
	defer cancel()
	for {
		err := l.release(ctx)
		if err == nil || l.cfg.Clock.Sleep(ctx, releasePause) != nil {
			return err
		}
	}
}

// release writes once that nobody holds the lease, if this host does.
func (l *Lease) release(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen.Holder != l.cfg.Holder {
		return nil
	}
	l.validUntil = 0
	next := proto.CloneOf(l.seen)
	next.Holder = ""
	err := l.write(ctx, next)
	if err == nil || storer.IsErrRateLimited(err) {
		return err
	}
	// The write may have taken effect or another one may have come first.
	if readErr := l.read(ctx); readErr != nil {
		return readErr
	}
	if l.seen.Holder != l.cfg.Holder {
		return nil
	}
	return err
}

// next returns the lease to write, or nil if another incarnation holds it.
func (l *Lease) next() *messenger.Lease {
	next := proto.CloneOf(l.seen)
	next.Renewals++
	next.TimeToLiveMs = int64(l.cfg.TimeToLive)
	if l.seen.Holder == l.cfg.Holder {
		return next
	}
	if l.seen.Holder != "" && l.cfg.Clock.Now()-l.unchangedSince < clocker.Millis(l.seen.TimeToLiveMs) {
		return nil
	}
	next.Holder = l.cfg.Holder
	next.Fencing++
	return next
}

func (l *Lease) key() string {
	return keyPrefix + l.cfg.Name
}

func (l *Lease) read(ctx context.Context) error {
	ctx, cancel := l.cfg.Clock.WithTimeout(ctx, callMs)
	defer cancel()
	o, err := l.cfg.Store.Get(ctx, l.key())
	if storer.IsErrNotFound(err) {
		o, err = storer.Object{}, nil
	}
	if err != nil {
		return trace.Wrap(err)
	}
	lease := &messenger.Lease{Name: l.cfg.Name}
	if err := proto.Unmarshal(o.Value, lease); err != nil {
		return trace.Wrap(err)
	}
	l.keep(lease, o.Version)
	return nil
}

// keep takes a newer version in; a stale read changes nothing.
func (l *Lease) keep(lease *messenger.Lease, version int64) {
	if version <= l.version {
		return
	}
	l.seen, l.version, l.unchangedSince = lease, version, l.cfg.Clock.Now()
}

// write sends the lease under the condition that nothing changed. Only an
// answered write extends the time for which the holder trusts it.
func (l *Lease) write(ctx context.Context, next *messenger.Lease) error {
	ctx, cancel := l.cfg.Clock.WithTimeout(ctx, callMs)
	defer cancel()
	value, err := proto.Marshal(next)
	if err != nil {
		return trace.Wrap(err)
	}
	sent := l.cfg.Clock.Now()
	var o storer.Object
	if l.version == 0 {
		o, err = l.cfg.Store.Create(ctx, l.key(), value)
	} else {
		o, err = l.cfg.Store.Update(ctx, l.key(), l.version, value)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	if next.Fencing != l.seen.Fencing {
		count(l.cfg.Name, "taken")
	}
	l.keep(next, o.Version)
	if next.Holder == l.cfg.Holder {
		l.validUntil = sent + trusted(l.cfg.TimeToLive)
	}
	return nil
}

// trusted is the part of the time to live that a holder uses, so that clocks
// may differ in rate by a tenth.
func trusted(timeToLive clocker.Millis) clocker.Millis {
	return timeToLive * 9 / 10
}

func count(name, outcome string) {
	metrics.GetOrCreateCounter(`cowsliphinge_lease_total{lease="` + name + `",outcome="` + outcome + `"}`).Inc()
}
