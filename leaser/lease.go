// Package leaser implements a lease that is stored in the Object API. The lease
// has a fencing token that increases with each holder. Clocks of different hosts
// are never compared: a host takes over a lease once the object has not changed
// for its time to live on the host's own clock, and a holder measures its time to
// live from before it sent the write.
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
	// keyPrefix is the prefix of the keys of leases in the Object API.
	keyPrefix = "lease/"
	// defaultTimeToLive is how long a lease is valid without a renewal, in
	// milliseconds.
	defaultTimeToLive = 10 * clocker.Second
	// callTimeout is the timeout of a call to the platform, and of all attempts to
	// release a lease together, in milliseconds.
	callTimeout = 2 * clocker.Second
	// releaseRetryDelay is the delay between two attempts to release a lease, in
	// milliseconds. A rate limit permits another call within this time.
	releaseRetryDelay = 50 * clocker.Millis(1)
)

// Store is the part of the Object API that a lease uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (storer.Object, error)
	Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error)
}

// Config configures a Lease.
type Config struct {
	// Name is the name of the lease; its object is lease/<Name>.
	Name string
	// Incarnation is the one that competes for the lease.
	Incarnation string
	// TimeToLive is how long the lease is valid without a renewal, in milliseconds; 0
	// means ten seconds.
	TimeToLive clocker.Millis
	Clock      *clocker.Clock
	Store      Store
}

// Lease is one incarnation's view of a lease. It is safe for concurrent use.
type Lease struct {
	cfg Config

	mu sync.Mutex
	// known is the object at version, as last read or written.
	known   *messenger.Lease
	version int64
	// unchangedSince is when version was first read or written.
	unchangedSince clocker.Millis
	// usableUntil is when this incarnation stops using its lease, before its time to
	// live ends.
	usableUntil clocker.Millis
}

// New returns a Lease that is not held.
func New(cfg Config) *Lease {
	if cfg.TimeToLive == 0 {
		cfg.TimeToLive = defaultTimeToLive
	}
	return &Lease{cfg: cfg, known: &messenger.Lease{Name: cfg.Name}}
}

// Held returns the fencing token and whether the lease is currently held. Call it
// immediately before each operation that requires the lease.
func (l *Lease) Held() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known.Holder != l.cfg.Incarnation || l.cfg.Clock.Now() >= l.usableUntil {
		return 0, false
	}
	return l.known.Fencing, true
}

// AcquireOrRenew renews the lease if it is held, and acquires it if it is free or
// expired. A nil error does not mean that the lease is held; call Held. Call
// AcquireOrRenew several times per time to live.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known.Holder != l.cfg.Incarnation {
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
	countOutcome(l.cfg.Name, "write_failed")
	// The write may have taken effect, or another write may have preceded it.
	if readErr := l.read(ctx); readErr != nil {
		return trace.Wrap(readErr)
	}
	return trace.Wrap(err)
}

// Release releases the lease, so that another host need not wait for it to expire.
// It retries until the platform confirms that this host no longer holds the lease,
// for at most callTimeout, and returns the last error after that; the lease then
// expires.
func (l *Lease) Release(ctx context.Context) error {
	ctx, cancel := l.cfg.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		err := l.tryRelease(ctx)
		if err == nil || l.cfg.Clock.Sleep(ctx, releaseRetryDelay) != nil {
			return err
		}
	}
}

// tryRelease makes one attempt to release the lease if this host holds it.
func (l *Lease) tryRelease(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known.Holder != l.cfg.Incarnation {
		return nil
	}
	l.usableUntil = 0
	next := proto.CloneOf(l.known)
	next.Holder = ""
	err := l.write(ctx, next)
	if err == nil || storer.IsErrRateLimited(err) {
		return err
	}
	// The write may have taken effect, or another write may have preceded it.
	if readErr := l.read(ctx); readErr != nil {
		return readErr
	}
	if l.known.Holder != l.cfg.Incarnation {
		return nil
	}
	return err
}

// next returns the lease to write, or nil if another incarnation holds it and it is
// not expired.
func (l *Lease) next() *messenger.Lease {
	next := proto.CloneOf(l.known)
	next.Renewals++
	next.TimeToLiveMs = int64(l.cfg.TimeToLive)
	if l.known.Holder == l.cfg.Incarnation {
		return next
	}
	if l.known.Holder != "" && l.cfg.Clock.Now()-l.unchangedSince < clocker.Millis(l.known.TimeToLiveMs) {
		return nil
	}
	next.Holder = l.cfg.Incarnation
	next.Fencing++
	return next
}

func (l *Lease) key() string {
	return keyPrefix + l.cfg.Name
}

func (l *Lease) read(ctx context.Context) error {
	ctx, cancel := l.cfg.Clock.WithTimeout(ctx, callTimeout)
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
	l.adoptIfNewer(lease, o.Version)
	return nil
}

// adoptIfNewer stores a newer version; a stale read is ignored.
func (l *Lease) adoptIfNewer(lease *messenger.Lease, version int64) {
	if version <= l.version {
		return
	}
	l.known, l.version, l.unchangedSince = lease, version, l.cfg.Clock.Now()
}

// write writes the lease on condition that the object has not changed. Only a
// confirmed write extends usableUntil.
func (l *Lease) write(ctx context.Context, next *messenger.Lease) error {
	ctx, cancel := l.cfg.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := proto.Marshal(next)
	if err != nil {
		return trace.Wrap(err)
	}
	sentAt := l.cfg.Clock.Now()
	var o storer.Object
	if l.version == 0 {
		o, err = l.cfg.Store.Create(ctx, l.key(), value)
	} else {
		o, err = l.cfg.Store.Update(ctx, l.key(), l.version, value)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	if next.Fencing != l.known.Fencing {
		countOutcome(l.cfg.Name, "taken")
	}
	l.adoptIfNewer(next, o.Version)
	if next.Holder == l.cfg.Incarnation {
		l.usableUntil = sentAt + usablePeriod(l.cfg.TimeToLive)
	}
	return nil
}

// usablePeriod returns the part of the time to live in which a holder uses its lease.
// The margin tolerates clocks whose rates differ by a tenth.
func usablePeriod(timeToLive clocker.Millis) clocker.Millis {
	return timeToLive * 9 / 10
}

func countOutcome(name, outcome string) {
	metrics.GetOrCreateCounter(`cowsliphinge_lease_total{lease="` + name + `",outcome="` + outcome + `"}`).Inc()
}
