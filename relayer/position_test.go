package relayer

import (
	"testing"

	"gotest.tools/v3/assert"
)

func numberedEvents(ids ...int64) []event {
	var events []event
	for _, id := range ids {
		events = append(events, event{number: id, hasData: true, bytes: []byte{'0' + byte(max(id, 0))}})
	}
	return events
}

// Guards against missing, repeated or reordered events in a stream of several servers,
// and against a stream that counts as complete although the last server has not sent the
// caller's last event.
func TestPositionOrdersEventsOfSeveralServers(t *testing.T) {
	const u = unnumbered
	for _, c := range []struct {
		name              string
		first, second     []int64
		want              string
		wantErr, complete bool
	}{
		{"continues", []int64{1, 2}, []int64{3, 4}, "1234", false, true},
		{"from the start", []int64{1, 2}, []int64{1, 2, 3}, "123", false, true},
		{"from the middle", []int64{1, 2, 3}, []int64{2, 3, 4}, "1234", false, true},
		{"numbered from 0", []int64{0, 1}, []int64{2}, "012", false, true},
		{"only known events", []int64{1, 2}, []int64{1, 2}, "12", false, true},
		{"fewer than the known events", []int64{1, 2}, []int64{1}, "12", false, false},
		{"no events", []int64{1, 2}, nil, "12", false, false},
		{"gap", []int64{1, 2}, []int64{4}, "12", true, false},
		{"gap in known events", []int64{1, 2, 3}, []int64{1, 3}, "123", true, false},
		{"repeated event", []int64{1, 2}, []int64{3, 3}, "123", true, true},
		{"unnumbered first", []int64{1, 2}, []int64{u}, "12", true, false},
		{"unnumbered last", []int64{1, 2}, []int64{3, u}, "1230", false, true},
		{"unnumbered among known events", []int64{1, 2}, []int64{1, u, 2, 3}, "123", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := positionAfter(unnumbered)
			got, err := p.accept(numberedEvents(c.first...))
			assert.NilError(t, err)
			p.switchServer()
			more, err := p.accept(numberedEvents(c.second...))
			assert.Equal(t, string(got)+string(more), c.want)
			assert.Equal(t, err != nil, c.wantErr)
			assert.Equal(t, p.complete(), c.complete)
		})
	}
}
