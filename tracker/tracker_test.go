package tracker_test

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/tracker"
)

const (
	originLife = "h1-64-aaaaaaaa"
	laterLife  = "h1-c8-bbbbbbbb"
	deadline   = 60 * clocker.Second
)

// world is what a tracker sees of others.
type world struct {
	mu       sync.Mutex
	peers    []heartbeater.Peer
	heard    *heartbeater.Members
	sent     []*messenger.TrackRequest
	cutOff   bool
	bills    []*messenger.Bill
	silent   bool
	cancels  int
	received chan struct{}
}

func (w *world) Peers() []heartbeater.Peer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peers
}

func (w *world) Replaced(incarnation string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.heard != nil && w.heard.Replaced(incarnation)
}

func (w *world) TrackStreams(_ context.Context, _ string, q *messenger.TrackRequest) (*messenger.TrackReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cutOff {
		return nil, errors.New("cut off")
	}
	w.sent = append(w.sent, q)
	select {
	case w.received <- struct{}{}:
	default:
	}
	return &messenger.TrackReply{}, nil
}

func (w *world) Record(_ context.Context, bill *messenger.Bill) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bills = append(w.bills, bill)
	return nil
}

// billed returns the bills so far.
func (w *world) billed() []*messenger.Bill {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bills
}

func (w *world) Cancel(string, string) (int64, int64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels++
	return 10, 7, !w.silent
}

func start(t *testing.T, w *world) (*tracker.Tracker, *clocker.Clock) {
	t.Helper()
	clock := clocker.NewManual(1000)
	w.received = make(chan struct{}, 64)
	tr := tracker.New(context.Background(), tracker.Config{
		Incarnation: "h2-1-cccccccc", Host: "h2", AvailabilityZone: "a", Clock: clock,
		Peers: w.Peers, Replaced: w.Replaced, Exchange: w, Biller: w, Canceller: w,
	})
	t.Cleanup(func() { _ = tr.Close(context.Background()) })
	return tr, clock
}

func hold(t *testing.T, tr *tracker.Tracker) {
	t.Helper()
	_, err := tr.TrackStreams(context.Background(), &messenger.TrackRequest{
		Incarnation: originLife,
		Opened:      []*messenger.OpenStream{{ClientAccount: "m", RequestId: "r", Budget: "b", Bound: 100, DeadlineMs: int64(deadline)}},
	})
	assert.NilError(t, err)
}

func peer(incarnation string, suspect bool) []heartbeater.Peer {
	return []heartbeater.Peer{{Host: "h1", Incarnation: incarnation, AvailabilityZone: "a", ExchangeAddress: "x", Suspect: suspect}}
}

// lives returns members that heard a beat of each life, in this order.
func lives(incarnations ...string) *heartbeater.Members {
	m := heartbeater.NewMembers(heartbeater.MembersConfig{Host: "h2", AvailabilityZone: "a", BeatInterval: clocker.Second})
	for i, incarnation := range incarnations {
		m.Receive(&messenger.Beat{Host: "h1", Incarnation: incarnation, AvailabilityZone: "a", ExchangeAddress: "x", SentAtMs: int64(i + 1)}, 1)
	}
	return m
}

// awaitSweep waits until the tracker's own sweep sleeps, so that it does not run
// beside the test's.
func awaitSweep(clock *clocker.Clock) {
	for clock.Waiting() == 0 {
		runtime.Gosched()
	}
}

// TestStreamIsTakenUpOnlyWhenItsHostIsGone steps time and looks when the stream
// of a host is cancelled and billed. Guards against: lives are ordered by the time of
// day in their names, so that after a step back a living host's streams are cancelled.
func TestStreamIsTakenUpOnlyWhenItsHostIsGone(t *testing.T) {
	for _, c := range []struct {
		name  string
		peers []heartbeater.Peer
		// heard stands for peers where lives of the host replaced each other.
		heard *heartbeater.Members
		// from is the earliest time of a take-up; 0 for never.
		from clocker.Millis
	}{
		{"alive", peer(originLife, false), nil, 0},
		{"silent, perhaps cut off", peer(originLife, true), nil, deadline + 5*clocker.Second},
		{"unknown", nil, nil, deadline + 5*clocker.Second},
		{"replaced", nil, lives(originLife, laterLife), 11 * clocker.Second},
		{"replaced, the time of day stepped back", nil, lives(originLife, "h1-1-dddddddd"), 11 * clocker.Second},
		{"later life not heard, the time of day stepped back", nil, lives(laterLife), deadline + 5*clocker.Second},
		{"an earlier life is no replacement", peer("h1-1-dddddddd", true), nil, deadline + 5*clocker.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := &world{peers: c.peers, heard: c.heard}
			if c.heard != nil {
				w.peers = c.heard.Peers(1)
			}
			tr, clock := start(t, w)
			hold(t, tr)
			var took clocker.Millis
			for clock.Now() < 3*deadline && took == 0 {
				tr.Sweep(context.Background())
				if len(w.billed()) > 0 {
					took = clock.Now()
				}
				awaitSweep(clock)
				clock.Advance(500)
				awaitSweep(clock)
			}
			if c.from == 0 {
				assert.Equal(t, took, clocker.Millis(0))
				return
			}
			assert.Assert(t, took >= c.from && took <= c.from+clocker.Second, "taken up at %d", took)
			assert.Equal(t, w.cancels, 1)
			assert.Equal(t, w.billed()[0].Tokens, int64(17))
			assert.Assert(t, w.billed()[0].Partial)
		})
	}
}

func TestSilentEngineIsBilledByItsBound(t *testing.T) {
	w := &world{silent: true}
	tr, clock := start(t, w)
	hold(t, tr)
	clock.Advance(2 * deadline)
	tr.Sweep(context.Background())
	assert.Equal(t, w.billed()[0].Tokens, int64(100))
}

func TestEndedStreamIsForgotten(t *testing.T) {
	w := &world{}
	tr, clock := start(t, w)
	hold(t, tr)
	assert.Equal(t, tr.Locate("r").GetBudget(), "b")
	_, err := tr.TrackStreams(context.Background(), &messenger.TrackRequest{Incarnation: originLife, Ended: []string{"r"}})
	assert.NilError(t, err)
	assert.Assert(t, tr.Locate("r") == nil)
	clock.Advance(2 * deadline)
	tr.Sweep(context.Background())
	assert.Equal(t, len(w.billed()), 0)
}

func TestNewsReachTheSecondHostInOrder(t *testing.T) {
	w := &world{peers: peer(originLife, false)}
	tr, _ := start(t, w)
	tr.ReportOpened(&messenger.OpenStream{RequestId: "r"})
	tr.ReportEnded("r")
	for {
		w.mu.Lock()
		var opened, ended int
		for _, q := range w.sent {
			opened += len(q.Opened)
			ended += len(q.Ended)
			assert.Assert(t, opened >= ended)
		}
		w.mu.Unlock()
		if opened == 1 && ended == 1 {
			return
		}
		runtime.Gosched()
	}
}

func TestCloseHandsRecordsOn(t *testing.T) {
	w := &world{peers: peer(originLife, false)}
	tr, _ := start(t, w)
	hold(t, tr)
	assert.NilError(t, tr.Close(context.Background()))
	assert.Equal(t, w.sent[0].Incarnation, originLife)
	assert.Equal(t, w.sent[0].Opened[0].RequestId, "r")
}
