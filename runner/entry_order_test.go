package runner

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/carrier"
	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/storer"
	"cowsliphinge/versioner"
)

// incarnationEntry is the entry of an incarnation of a test server.
type incarnationEntry struct {
	StartedAt clocker.Millis
	Software  string
	Draining  bool
}

// at returns the entry of server one as of a revision of the store.
func (e incarnationEntry) at(t *testing.T, version int64) storer.Object {
	value, err := json.Marshal(e)
	assert.NilError(t, err)
	return storer.Object{Key: "servers/one", Version: version, Value: value}
}

// newIncarnationPool returns a pool that decodes incarnationEntry.
func newIncarnationPool() *backendPool {
	b := newTestBackendPool(clocker.NewManual(1000))
	b.decode = func(o storer.Object) (chooser.Server, error) {
		var e incarnationEntry
		if err := json.Unmarshal(o.Value, &e); err != nil {
			return chooser.Server{}, err
		}
		return chooser.Server{ID: "one", Service: "s", Slots: 1, StartedAt: e.StartedAt, Software: e.Software, Draining: e.Draining}, nil
	}
	return b
}

var (
	firstIncarnation  = incarnationEntry{StartedAt: 100, Software: "v1"}
	secondIncarnation = incarnationEntry{StartedAt: 900, Software: "v2"}
)

// Guards against a host that goes back to the incarnation before: a list of several pages may hold a later
// entry than its revision, and the watch from there tells of the earlier ones again.
func TestEarlierEntryDoesNotReplaceALaterOne(t *testing.T) {
	b := newIncarnationPool()
	b.Replace([]storer.Object{secondIncarnation.at(t, 15)}, 0)
	b.RecordActivity("one", chooser.StatusReport{Leaving: true})
	b.Apply([]storer.Change{{Object: firstIncarnation.at(t, 12)}}, 0)
	s, _ := b.chooser.Server("one")
	assert.Equal(t, s.Software, "v2")
	b.Apply([]storer.Change{{Object: firstIncarnation.at(t, 13), Deleted: true}}, 0)
	assert.Assert(t, b.known("one"), "the entry that was deleted is an earlier one")
	b.Apply([]storer.Change{{Object: secondIncarnation.at(t, 15)}}, 0)
	assert.Assert(t, b.Leaving("one"), "what the server said of itself holds for its incarnation")
	b.Apply([]storer.Change{{Object: secondIncarnation.at(t, 15), Deleted: true}}, 0)
	assert.Assert(t, !b.known("one"))
}

// An entry of a later era of the store counts, whatever its revision, and so does an entry after a server whose
// clock was set back has started again.
func TestLaterEntryReplacesAnEarlierOne(t *testing.T) {
	b := newIncarnationPool()
	b.Replace([]storer.Object{firstIncarnation.at(t, versioner.New(1, 90))}, 0)
	b.Replace([]storer.Object{secondIncarnation.at(t, versioner.New(2, 40))}, 0)
	s, _ := b.chooser.Server("one")
	assert.Equal(t, s.Software, "v2")
	b.Apply([]storer.Change{{Object: firstIncarnation.at(t, versioner.New(2, 41))}}, 0)
	s, _ = b.chooser.Server("one")
	assert.Equal(t, s.Software, "v1")
}

// An entry that can't be read names no server to use, and hides none that is read later.
func TestUnusableEntryRemovesAnEarlierServerOnly(t *testing.T) {
	odd := func(version int64) storer.Change {
		return storer.Change{Object: storer.Object{Key: "servers/one", Version: version, Value: []byte("bad")}}
	}
	b := newIncarnationPool()
	b.Replace([]storer.Object{secondIncarnation.at(t, 15)}, 0)
	b.Apply([]storer.Change{odd(12)}, 0)
	assert.Assert(t, b.known("one"))
	b.Apply([]storer.Change{odd(16)}, 0)
	assert.Assert(t, !b.known("one"))
	b.Apply([]storer.Change{{Object: secondIncarnation.at(t, 17)}, odd(0)}, 0)
	assert.Assert(t, !b.known("one"), "an entry without a revision")
}

// A server is replaced once its ID belongs to another incarnation, not by a new entry of its own.
func TestReplacedServersAreThoseOfAnotherIncarnation(t *testing.T) {
	b := newIncarnationPool()
	b.Replace([]storer.Object{firstIncarnation.at(t, 12)}, 0)
	first, _ := b.chooser.Server("one")
	leaving := firstIncarnation
	leaving.Draining = true
	b.Apply([]storer.Change{{Object: leaving.at(t, 13)}}, 0)
	assert.Assert(t, !b.Replaced(first))
	b.Apply([]storer.Change{{Object: secondIncarnation.at(t, 15)}}, 0)
	assert.Assert(t, b.Replaced(first))
	second, _ := b.chooser.Server("one")
	assert.Assert(t, !b.Replaced(second))

	b.restarted(carrier.Target{ID: "one", StartedAt: second.StartedAt}, second.StartedAt+1)
	assert.Assert(t, b.Replaced(second))
	third := b.Choose(chooser.Request{Service: "s"}).Server
	assert.Equal(t, third.StartedAt, second.StartedAt+1)
	assert.Assert(t, !b.Replaced(third))
}

// Guards against a server that is taken for an earlier incarnation for as long as it lives: it had restarted twice,
// and told of the first time on a connection that was opened by the entry before, after its last entry was read.
func TestWordOnAnEarlierEntryDoesNotCount(t *testing.T) {
	b := newIncarnationPool()
	b.Replace([]storer.Object{firstIncarnation.at(t, 12)}, 0)
	b.Apply([]storer.Change{{Object: secondIncarnation.at(t, 15)}}, 0)
	b.restarted(carrier.Target{ID: "one", StartedAt: firstIncarnation.StartedAt}, 500)
	choice := b.Choose(chooser.Request{Service: "s", Resumable: true})
	assert.Assert(t, choice.Found)
	assert.Equal(t, choice.Server.StartedAt, secondIncarnation.StartedAt)
}
