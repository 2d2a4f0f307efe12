package tracker_test

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/tracker"
)

// FuzzTrack records arbitrary reports of another router and sweeps them.
func FuzzTrack(f *testing.F) {
	for _, q := range []*messenger.TrackRequest{
		{Incarnation: servingIncarnation, Opened: []*messenger.OpenStream{{RequestId: "r", DeadlineMs: -1 << 63, Bound: -5}, {}}, Ended: []string{"", "r"}},
		{Incarnation: "-", Opened: []*messenger.OpenStream{{RequestId: "r", DeadlineMs: 1<<63 - 1, Bound: 1<<63 - 1}}},
		{},
	} {
		content, err := proto.Marshal(q)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(_ *testing.T, content []byte) {
		q := &messenger.TrackRequest{}
		if proto.Unmarshal(content, q) != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		w := &fakeEnvironment{members: membersOf(servingIncarnation, laterIncarnation), received: make(chan struct{}, 64)}
		tr := tracker.New(ctx, tracker.Config{
			Incarnation: "h2-1-cccccccc", Host: "h2", AvailabilityZone: "a", Clock: clocker.NewManual(1000),
			Peers: w.Peers, Replaced: w.Replaced, Exchange: w, Biller: w, Canceller: w,
		})
		defer func() { _ = tr.Close(ctx) }() // there is no peer to send the records to
		defer cancel()
		_, _ = tr.TrackStreams(ctx, q) // an error means that the request is rejected
		tr.Sweep(ctx)
		tr.Locate("r")
	})
}
