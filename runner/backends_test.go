package runner

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/storer"
)

func newTestBackendPool(clock *clocker.Clock) *backendPool {
	return &backendPool{
		clock: clock,
		log:   slog.New(slog.NewTextHandler(io.Discard, nil)),
		kind:  "servers",

		origins: newStreamOrigins(&Runner{cfg: Config{Clock: clock}}),
		decode: func(o storer.Object) (chooser.Server, error) {
			if string(o.Value) == "bad" {
				return chooser.Server{}, errors.New("bad")
			}
			return chooser.Server{ID: o.Key[len("servers/"):], Service: "s", Slots: 1, Draining: string(o.Value) == "draining"}, nil
		},
		chooser: chooser.New(chooser.Config{}),
	}
}

func serverEntry(id, value string) storer.Object {
	return storer.Object{Key: "servers/" + id, Value: []byte(value)}
}

func TestBackendPoolFollowsEntries(t *testing.T) {
	clock := clocker.NewManual(1000)
	b := newTestBackendPool(clock)
	assert.Assert(t, !b.listedOnce())
	b.Replace([]storer.Object{serverEntry("one", ""), serverEntry("two", ""), serverEntry("odd", "bad")}, 0)
	assert.Assert(t, b.listedOnce() && b.known("one") && b.known("two") && !b.known("odd"))
	b.Apply([]storer.Change{{Object: serverEntry("one", "draining")}, {Object: serverEntry("two", ""), Deleted: true}}, 0)
	ok := b.Choose(chooser.Request{Service: "s"}).Found
	assert.Assert(t, !ok)
	assert.Assert(t, !b.known("two"))
}

// Guards against a log full of one odd entry, which each list returns again.
func TestUnusableEntryIsLoggedOncePerRevision(t *testing.T) {
	var lines bytes.Buffer
	b := newTestBackendPool(clocker.NewManual(1000))
	b.log = slog.New(slog.NewTextHandler(&lines, nil))
	odd := serverEntry("odd", "bad")
	for _, revision := range []int64{4, 4, 5, 5} {
		odd.Version = revision
		b.Replace([]storer.Object{odd}, 0)
	}
	assert.Equal(t, strings.Count(lines.String(), "not usable"), 2)
}

// A server removed during an outage of the store is dropped after the grace period; one
// whose entry comes back is kept.
func TestMissingEntriesExpireAfterGracePeriod(t *testing.T) {
	clock := clocker.NewManual(1000)
	b := newTestBackendPool(clock)
	b.Replace([]storer.Object{serverEntry("one", ""), serverEntry("two", "")}, 0)
	b.Replace(nil, 2000)
	clock.Advance(1000)
	b.Apply([]storer.Change{{Object: serverEntry("one", "")}}, 1000)
	clock.Advance(1000)
	b.expire()
	assert.Assert(t, b.known("one") && !b.known("two"))
}
