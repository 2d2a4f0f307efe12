package withholder

import (
	"fmt"
	"log/slog"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/quarantiner"
)

// promptOf returns a request of an account whose prompt has the parts; its body is the last one.
func promptOf(account string, parts ...string) quarantiner.Request {
	return quarantiner.NewRequest(account, quarantiner.Content{Method: "POST", Target: "/x", Body: []byte(parts[len(parts)-1])}, parts)
}

// evidenceBytes returns the size of the evidence in a heartbeat.
func evidenceBytes(w *Withholder) int {
	beat := &messenger.Beat{}
	w.AddToBeat(beat)
	return proto.Size(beat)
}

// Evidence of many crashes could fill the links of small hosts: each heartbeat repeats it.
func TestEvidenceInHeartbeatsIsBounded(t *testing.T) {
	clock := clocker.NewManual(clocker.Hour)
	w := New(Config{Clock: clock, Log: slog.New(slog.DiscardHandler)})
	assert.Equal(t, evidenceBytes(w), 0)
	for i := range 6 {
		clock.Advance(clocker.Second)
		w.Crashed(quarantiner.Server{ID: fmt.Sprint("i-", i)}, promptOf("one", "a", "deadly", fmt.Sprint(i)))
	}
	clock.Advance(clocker.Minute)
	settled := evidenceBytes(w)
	t.Logf("one part in quarantine: %d bytes", settled)
	assert.Assert(t, settled <= 1<<10)
	for i := range 100 {
		for j := range 50 {
			parts := []string{"b", "c", "d", "e", "f", fmt.Sprint("p", i, j), fmt.Sprint("own", i, j)}
			w.Crashed(quarantiner.Server{ID: fmt.Sprint("other-", i)}, promptOf("one", parts...))
		}
	}
	worst := evidenceBytes(w)
	t.Logf("a hundred crashes at once: %d bytes", worst)
	assert.Assert(t, worst <= 8<<10)
}

// Evidence of another host that is malformed or of the future must not end a process or refuse
// anything.
func TestMalformedEvidenceIsHarmless(t *testing.T) {
	clock := clocker.NewManual(clocker.Hour)
	w := New(Config{Clock: clock, Log: slog.New(slog.DiscardHandler)})
	w.load(&messenger.QuarantineRecord{})
	var crashes []*messenger.ServerCrash
	for i := range 10 {
		crashes = append(crashes, &messenger.ServerCrash{}, &messenger.ServerCrash{Server: uint64(i), AgeMs: -1 << 62, Requests: []*messenger.SuspectRequest{{}}},
			&messenger.ServerCrash{Server: uint64(i), AgeMs: 1 << 62, Requests: []*messenger.SuspectRequest{{Parts: []uint64{1}}}})
	}
	w.ApplyBeat(&messenger.Beat{Crashes: crashes})
	assert.Equal(t, w.Refused(quarantiner.Request{ID: 7}), clocker.Millis(0))
	w.ApplyBeat(&messenger.Beat{Crashes: crashes, Cleared: []*messenger.ClearedSuspect{{}, {AgeMs: -5}, {AgeMs: 1 << 62}}})
	assert.Equal(t, w.Refused(quarantiner.Request{Parts: []uint64{1}}), clocker.Millis(0))
	assert.Equal(t, w.Refused(quarantiner.Request{}), clocker.Millis(0))
}
