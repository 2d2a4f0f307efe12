// Package platform stands in for the platform's Object API and host list, in
// memory, with faults on demand. Store may be used directly by tests, or
// through Handler over HTTP.
package platform

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"

	"cowsliphinge/clocker"
	"cowsliphinge/storer"
)

// Faults are what the stand-in does wrong. The zero value does nothing wrong.
type Faults struct {
	// Outage answers no call at all.
	Outage bool
	// LoseAnswers is how many of the next writes take effect without an answer.
	LoseAnswers int
	// DropWrites is how many of the next writes get no answer and no effect.
	DropWrites int
	// DelayWrites is how many of the next writes get no answer and take effect
	// only when ReleaseDelayed is called, if their version still matches.
	DelayWrites int
	// AnswerDelay slows each answer, in milliseconds.
	AnswerDelay clocker.Millis
	// StallWatches lets watches wait without ever seeing a change.
	StallWatches bool
	// FreezeHosts keeps the host list as it was.
	FreezeHosts bool
}

// Counts are the calls that arrived, by kind.
type Counts struct {
	Reads, Writes, Watches, Bytes int64
}

// Store is the platform.
type Store struct {
	clock *clocker.Clock

	mu       sync.Mutex
	revision int64
	objects  map[string]storer.Object
	faults   Faults
	counts   Counts
	changed  chan struct{}
	delayed  []func()
	hosts    []storer.ListedHost
	listed   []storer.ListedHost
}

// New returns an empty platform.
func New(clock *clocker.Clock) *Store {
	return &Store{clock: clock, objects: map[string]storer.Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Counts returns the calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ReleaseDelayed lets the delayed writes arrive, late.
func (s *Store) ReleaseDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range s.delayed {
		write()
	}
	s.delayed = nil
}

// SetHosts replaces the true host list.
func (s *Store) SetHosts(hosts []storer.ListedHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = slices.Clone(hosts)
}

// Hosts returns the host list as it is told, perhaps late.
func (s *Store) Hosts(ctx context.Context) ([]storer.ListedHost, error) {
	if err := s.enter(ctx, "hosts", &s.counts.Reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.FreezeHosts {
		s.listed = slices.Clone(s.hosts)
	}
	return slices.Clone(s.listed), nil
}

// Get returns the object of the key.
func (s *Store) Get(ctx context.Context, key string) (storer.Object, error) {
	if err := s.enter(ctx, key, &s.counts.Reads); err != nil {
		return storer.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return storer.Object{}, storer.ErrNotFound{Key: key}
	}
	s.counts.Bytes += int64(len(o.Value))
	return clone(o), nil
}

// List returns up to limit objects under prefix behind after, by key.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]storer.Object, error) {
	if err := s.enter(ctx, prefix, &s.counts.Reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.matching(prefix, func(o storer.Object) bool { return o.Key > after })
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found[:min(limit, len(found))], nil
}

// Watch waits for objects under prefix with versions above since.
func (s *Store) Watch(ctx context.Context, prefix string, since int64) ([]storer.Object, error) {
	if err := s.enter(ctx, prefix, &s.counts.Watches); err != nil {
		return nil, err
	}
	for {
		found, changed, err := s.newer(prefix, since)
		if err != nil || len(found) > 0 {
			return found, err
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-changed:
		}
	}
}

func (s *Store) newer(prefix string, since int64) ([]storer.Object, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return nil, nil, storer.ErrOutcomeUnknown{Key: prefix, Cause: "outage"}
	}
	if s.faults.StallWatches {
		return nil, s.changed, nil
	}
	found := s.matching(prefix, func(o storer.Object) bool { return o.Version > since })
	sort.Slice(found, func(i, j int) bool { return found[i].Version < found[j].Version })
	return found, s.changed, nil
}

// Create writes a new object.
func (s *Store) Create(ctx context.Context, key string, value []byte) (storer.Object, error) {
	return s.write(ctx, key, 0, value)
}

// Update replaces the object at the given version, which must not be 0.
func (s *Store) Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error) {
	if version == 0 {
		return storer.Object{}, storer.ErrConflict{Key: key}
	}
	return s.write(ctx, key, version, value)
}

// Delete removes the object at the given version.
func (s *Store) Delete(ctx context.Context, key string, version int64) error {
	_, err := s.write(ctx, key, version, nil)
	return err
}

func (s *Store) write(ctx context.Context, key string, version int64, value []byte) (storer.Object, error) {
	if err := s.enter(ctx, key, &s.counts.Writes); err != nil {
		return storer.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := storer.ErrOutcomeUnknown{Key: key, Cause: "answer lost"}
	if s.faults.DropWrites > 0 {
		s.faults.DropWrites--
		return storer.Object{}, lost
	}
	if s.faults.DelayWrites > 0 {
		s.faults.DelayWrites--
		s.delayed = append(s.delayed, func() { _, _ = s.put(key, version, value) })
		return storer.Object{}, lost
	}
	o, err := s.put(key, version, value)
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return storer.Object{}, lost
	}
	return o, err
}

// put applies a conditional write; a nil value deletes. The caller holds mu.
func (s *Store) put(key string, version int64, value []byte) (storer.Object, error) {
	if len(value) > storer.MaxValueBytes {
		return storer.Object{}, storer.ErrTooLarge{Key: key, Bytes: len(value)}
	}
	if s.objects[key].Version != version {
		return storer.Object{}, storer.ErrConflict{Key: key, Version: s.objects[key].Version}
	}
	s.revision++
	s.counts.Bytes += int64(len(value))
	if value == nil {
		delete(s.objects, key)
	} else {
		s.objects[key] = clone(storer.Object{Key: key, Version: s.revision, Value: value})
	}
	s.wake()
	return clone(s.objects[key]), nil
}

func (s *Store) enter(ctx context.Context, key string, counter *int64) error {
	s.mu.Lock()
	*counter++
	outage := s.faults.Outage
	delay := s.faults.AnswerDelay
	s.mu.Unlock()
	if outage {
		return storer.ErrOutcomeUnknown{Key: key, Cause: "outage"}
	}
	if delay == 0 {
		return nil
	}
	if err := s.clock.Sleep(ctx, delay); err != nil {
		return storer.ErrOutcomeUnknown{Key: key, Cause: err.Error()}
	}
	return nil
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) matching(prefix string, keep func(storer.Object) bool) []storer.Object {
	var found []storer.Object
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) && keep(o) {
			found = append(found, clone(o))
		}
	}
	return found
}

func clone(o storer.Object) storer.Object {
	o.Value = slices.Clone(o.Value)
	return o
}
