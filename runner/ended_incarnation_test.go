package runner

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/carrier"
	"cowsliphinge/clocker"
	"cowsliphinge/quarantiner"
	"cowsliphinge/storer"
	"cowsliphinge/withholder"
)

// Guards against a deadly request that is sent again: the process of a server died under it in the middle of an
// answer that ends with its connection, and the next incarnation listened so soon that no host saw the crash.
// That answer cleared the request of the crashes before.
func TestAnswerOfAnEndedIncarnationDoesNotLiftAQuarantine(t *testing.T) {
	b := newIncarnationPool()
	w := withholder.New(withholder.Config{Clock: b.clock, Log: b.log})
	b.ended = w.Ended
	deadly := promptOf("one", "deadly", "own")
	refused := func() bool { return w.Refused(deadly) > 0 }
	b.clock.Advance(clocker.Minute) // without the record of the store all are refused at first
	assert.Assert(t, !refused())
	for _, id := range []string{"a", "b", "c"} {
		w.Crashed(quarantiner.Server{ID: id, StartedAt: 1}, deadly)
		b.clock.Advance(clocker.Second)
	}
	assert.Assert(t, refused())
	b.Replace([]storer.Object{firstIncarnation.at(t, 12)}, 0)
	w.Answered(quarantiner.Server{ID: "one", StartedAt: firstIncarnation.StartedAt}, deadly, false)
	b.Apply([]storer.Change{{Object: secondIncarnation.at(t, 15)}}, 0)
	b.clock.Advance(10 * clocker.Second)
	assert.Assert(t, refused(), "the server did not live on")
	w.Answered(quarantiner.Server{ID: "one", StartedAt: secondIncarnation.StartedAt}, deadly, false)
	leaving := secondIncarnation
	leaving.Draining = true
	b.Apply([]storer.Change{{Object: leaving.at(t, 16)}}, 0)
	b.clock.Advance(10 * clocker.Second)
	assert.Assert(t, !refused(), "the server lived on")
}

// The same before the entry of the next incarnation is read, which told of itself on a connection. Its first entry
// ends nothing.
func TestAnswerOfAnIncarnationThatAnotherOneEndedDoesNotLiftAQuarantine(t *testing.T) {
	b := newIncarnationPool()
	var ended []quarantiner.Server
	b.ended = func(s quarantiner.Server) { ended = append(ended, s) }
	b.Replace([]storer.Object{firstIncarnation.at(t, 12)}, 0)
	told := carrier.Target{ID: "one", StartedAt: firstIncarnation.StartedAt}
	b.restarted(told, secondIncarnation.StartedAt)
	b.restarted(told, secondIncarnation.StartedAt)
	b.Apply([]storer.Change{{Object: firstIncarnation.at(t, 13)}, {Object: secondIncarnation.at(t, 15)}}, 0)
	assert.DeepEqual(t, ended, []quarantiner.Server{{ID: "one", StartedAt: firstIncarnation.StartedAt}})
}

// An incarnation ends as well when its successor tells of itself before its entry is read; that entry then ends
// nothing more.
func TestIncarnationEndsOnceItsSuccessorTellsOfItself(t *testing.T) {
	b := newIncarnationPool()
	var ended []quarantiner.Server
	b.ended = func(s quarantiner.Server) { ended = append(ended, s) }
	b.Replace([]storer.Object{firstIncarnation.at(t, 12)}, 0)
	first, _ := b.chooser.Server("one")
	assert.Assert(t, !b.Replaced(first))
	b.restarted(carrier.Target{ID: "one", StartedAt: firstIncarnation.StartedAt}, secondIncarnation.StartedAt)
	assert.Assert(t, b.Replaced(first))
	running, _ := b.chooser.Running("one")
	assert.Assert(t, !b.Replaced(running))
	b.Apply([]storer.Change{{Object: secondIncarnation.at(t, 15)}}, 0)
	assert.Assert(t, !b.Replaced(running))
	assert.DeepEqual(t, ended, []quarantiner.Server{{ID: "one", StartedAt: firstIncarnation.StartedAt}})
}
