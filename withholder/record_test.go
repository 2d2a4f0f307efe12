package withholder

import (
	"context"
	"fmt"
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/quarantiner"
	"cowsliphinge/storer"
)

// oneObjectStore holds one object.
type oneObjectStore struct {
	object storer.Object
}

func (s *oneObjectStore) Get(context.Context, string) (storer.Object, error) {
	if s.object.Version == 0 {
		return storer.Object{}, storer.ErrNotFound{}
	}
	return s.object, nil
}

func (s *oneObjectStore) Create(_ context.Context, key string, value []byte) (storer.Object, error) {
	s.object = storer.Object{Key: key, Version: 1, Value: value}
	return s.object, nil
}

func (s *oneObjectStore) Update(_ context.Context, key string, version int64, value []byte) (storer.Object, error) {
	if version != s.object.Version {
		return s.object, storer.ErrConflict{}
	}
	s.object = storer.Object{Key: key, Version: version + 1, Value: value}
	return s.object, nil
}

// quarantineHosts returns hosts that share a store and hear nothing of each other.
func quarantineHosts(n int) (*clocker.Clock, []*Withholder) {
	clock := clocker.NewManual(clocker.Hour)
	cfg := Config{Clock: clock, Log: slog.New(slog.DiscardHandler), Store: &oneObjectStore{}}
	var hosts []*Withholder
	for range n {
		w := New(cfg)
		w.load(&messenger.QuarantineRecord{})
		hosts = append(hosts, w)
	}
	return clock, hosts
}

func (w *Withholder) crash(server string, suspect quarantiner.Request) {
	w.Crashed(quarantiner.Server{ID: server}, suspect)
}

// All hosts died after the second crash under a request, again and again: only quarantines were kept,
// and the count began anew each time.
func TestEvidenceBelowAQuarantineOutlivesAllHosts(t *testing.T) {
	clock, hosts := quarantineHosts(3)
	deadly := promptOf("one", "deadly")
	for i := range 2 {
		clock.Advance(clocker.Second)
		hosts[i].crash(fmt.Sprint("i-", i), deadly)
		hosts[0].crash(fmt.Sprint("i-", i), deadly)
	}
	assert.Assert(t, hosts[0].unsaved())
	hosts[0].save(t.Context())
	assert.Assert(t, !hosts[0].unsaved())
	later := hosts[2]
	assert.Assert(t, later.readOnce(t.Context()))
	assert.Equal(t, later.Refused(deadly), clocker.Millis(0))
	clock.Advance(clocker.Second)
	later.crash("i-2", deadly)
	assert.Assert(t, later.Refused(deadly) > 0)
}

// A crash that led to nothing is not written: servers crash for other reasons too.
func TestSingleCrashIsNotWritten(t *testing.T) {
	clock, hosts := quarantineHosts(1)
	for i := range 5 {
		clock.Advance(clocker.Second)
		hosts[0].crash(fmt.Sprint("i-", i), promptOf("one", fmt.Sprint("own", i)))
	}
	assert.Assert(t, !hosts[0].unsaved())
}

// The hosts on one side of a cut wrote over what those on the other side had written.
func TestSidesOfACutShareTheirEvidence(t *testing.T) {
	clock, hosts := quarantineHosts(3)
	for i, h := range hosts[:2] {
		for j := range 2 {
			clock.Advance(clocker.Second)
			h.crash(fmt.Sprint("i-", i, "-", j), promptOf("one", "deadly"))
		}
		h.save(t.Context())
	}
	assert.Assert(t, hosts[1].Refused(promptOf("one", "deadly")) > 0)
	for _, h := range []*Withholder{hosts[0], hosts[2]} {
		assert.Assert(t, h.readOnce(t.Context()))
		assert.Assert(t, h.Refused(promptOf("one", "deadly")) > 0)
	}
}
