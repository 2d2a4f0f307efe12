package heartbeater_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
)

// FuzzBeat merges arbitrary beats of a peer.
func FuzzBeat(f *testing.F) {
	b := beat("a", "a-1-1", 1)
	b.Heard = []*messenger.Beat{beat("c", "c-1-1", 2), {Incarnation: "-", AgeMs: -1 << 62}, {}}
	seed, err := proto.Marshal(b)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(_ *testing.T, content []byte) {
		b := &messenger.Beat{}
		if proto.Unmarshal(content, b) != nil {
			return
		}
		m := heartbeater.NewMembers(heartbeater.MembersConfig{Host: "self", AvailabilityZone: "a", BeatInterval: clocker.Second})
		for now := range 3 {
			m.Receive(b, clocker.Millis(now))
			m.SampleBeats(clocker.Millis(now))
			m.Targets()
			m.Peers(clocker.Millis(now))
		}
	})
}
