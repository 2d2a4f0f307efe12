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
	servingIncarnation = "h1-64-aaaaaaaa"
	laterIncarnation   = "h1-c8-bbbbbbbb"
	deadline           = 60 * clocker.Second
)

// fakeEnvironment fakes all dependencies of a Tracker.
type fakeEnvironment struct {
	mu           sync.Mutex
	peers        []heartbeater.Peer
	members      *heartbeater.Members
	sent         []*messenger.TrackRequest
	unreachable  bool
	bills        []*messenger.Bill
	engineSilent bool
	cancels      int
	received     chan struct{}
}

func (w *fakeEnvironment) Peers() []heartbeater.Peer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peers
}

func (w *fakeEnvironment) Replaced(incarnation string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.members != nil && w.members.Replaced(incarnation)
}

func (w *fakeEnvironment) TrackStreams(_ context.Context, _ string, q *messenger.TrackRequest) (*messenger.TrackReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unreachable {
		return nil, errors.New("peer unreachable")
	}
	w.sent = append(w.sent, q)
	select {
	case w.received <- struct{}{}:
	default:
	}
	return &messenger.TrackReply{}, nil
}

func (w *fakeEnvironment) Record(_ context.Context, bill *messenger.Bill) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bills = append(w.bills, bill)
	return nil
}

// billed returns the bills recorded so far.
func (w *fakeEnvironment) billed() []*messenger.Bill {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bills
}

func (w *fakeEnvironment) Cancel(string, string) (int64, int64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels++
	return 10, 7, !w.engineSilent
}

func newTracker(t *testing.T, w *fakeEnvironment) (*tracker.Tracker, *clocker.Clock) {
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

func trackStream(t *testing.T, tr *tracker.Tracker) {
	t.Helper()
	_, err := tr.TrackStreams(context.Background(), &messenger.TrackRequest{
		Incarnation: servingIncarnation,
		Opened:      []*messenger.OpenStream{{ClientAccount: "m", RequestId: "r", Budget: "b", Bound: 100, DeadlineMs: int64(deadline)}},
	})
	assert.NilError(t, err)
}

func servingPeer(incarnation string, suspect bool) []heartbeater.Peer {
	return []heartbeater.Peer{{Host: "h1", Incarnation: incarnation, AvailabilityZone: "a", ExchangeAddress: "x", Suspect: suspect}}
}

// membersOf returns Members that received a beat of each incarnation, in this order.
func membersOf(incarnations ...string) *heartbeater.Members {
	m := heartbeater.NewMembers(heartbeater.MembersConfig{Host: "h2", AvailabilityZone: "a", BeatInterval: clocker.Second})
	for i, incarnation := range incarnations {
		m.Receive(&messenger.Beat{Host: "h1", Incarnation: incarnation, AvailabilityZone: "a", ExchangeAddress: "x", SentAtMs: int64(i + 1)}, 1)
	}
	return m
}

// awaitSweep waits until the tracker's own sweep sleeps, because it must not run concurrently
// with that of the test.
func awaitSweep(clock *clocker.Clock) {
	for clock.WaiterCount() == 0 {
		runtime.Gosched()
	}
}

// Guards against: a stream is cancelled too early or too late. Incarnations that are ordered
// by the start times in their names are one cause: after the clock of a host stepped back, the
// streams of its live incarnation are cancelled.
func TestStreamIsCancelledOnlyAfterItsHostFailed(t *testing.T) {
	for _, c := range []struct {
		name  string
		peers []heartbeater.Peer
		// members replaces peers in the cases with several incarnations.
		members *heartbeater.Members
		// earliest is the earliest time at which the stream is cancelled; 0 for never.
		earliest clocker.Millis
	}{
		{"alive", servingPeer(servingIncarnation, false), nil, 0},
		{"silent, may be unreachable only from here", servingPeer(servingIncarnation, true), nil, deadline + 5*clocker.Second},
		{"unknown", nil, nil, deadline + 5*clocker.Second},
		{"replaced", nil, membersOf(servingIncarnation, laterIncarnation), 11 * clocker.Second},
		{"replaced, its clock stepped back", nil, membersOf(servingIncarnation, "h1-1-dddddddd"), 11 * clocker.Second},
		{"only the other incarnation known, its clock stepped back", nil, membersOf(laterIncarnation), deadline + 5*clocker.Second},
		{"an earlier incarnation is no replacement", servingPeer("h1-1-dddddddd", true), nil, deadline + 5*clocker.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := &fakeEnvironment{peers: c.peers, members: c.members}
			if c.members != nil {
				w.peers = c.members.Peers(1)
			}
			tr, clock := newTracker(t, w)
			trackStream(t, tr)
			var cancelledAt clocker.Millis
			for clock.Now() < 3*deadline && cancelledAt == 0 {
				tr.Sweep(context.Background())
				if len(w.billed()) > 0 {
					cancelledAt = clock.Now()
				}
				awaitSweep(clock)
				clock.Advance(500)
				awaitSweep(clock)
			}
			if c.earliest == 0 {
				assert.Equal(t, cancelledAt, clocker.Millis(0))
				return
			}
			assert.Assert(t, cancelledAt >= c.earliest && cancelledAt <= c.earliest+clocker.Second, "cancelled at %d", cancelledAt)
			assert.Equal(t, w.cancels, 1)
			assert.Equal(t, w.billed()[0].Tokens, int64(17))
			assert.Assert(t, w.billed()[0].Partial)
		})
	}
}

func TestStreamIsBilledByItsBoundIfTheEngineReportsNoTokens(t *testing.T) {
	w := &fakeEnvironment{engineSilent: true}
	tr, clock := newTracker(t, w)
	trackStream(t, tr)
	clock.Advance(2 * deadline)
	tr.Sweep(context.Background())
	assert.Equal(t, w.billed()[0].Tokens, int64(100))
}

func TestEndedStreamIsRemoved(t *testing.T) {
	w := &fakeEnvironment{}
	tr, clock := newTracker(t, w)
	trackStream(t, tr)
	assert.Equal(t, tr.Locate("r").GetBudget(), "b")
	_, err := tr.TrackStreams(context.Background(), &messenger.TrackRequest{Incarnation: servingIncarnation, Ended: []string{"r"}})
	assert.NilError(t, err)
	assert.Assert(t, tr.Locate("r") == nil)
	clock.Advance(2 * deadline)
	tr.Sweep(context.Background())
	assert.Equal(t, len(w.billed()), 0)
}

func TestUpdatesReachTheSecondHostInOrder(t *testing.T) {
	w := &fakeEnvironment{peers: servingPeer(servingIncarnation, false)}
	tr, _ := newTracker(t, w)
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

func TestCloseForwardsRecordsOfOtherHosts(t *testing.T) {
	w := &fakeEnvironment{peers: servingPeer(servingIncarnation, false)}
	tr, _ := newTracker(t, w)
	trackStream(t, tr)
	assert.NilError(t, tr.Close(context.Background()))
	assert.Equal(t, w.sent[0].Incarnation, servingIncarnation)
	assert.Equal(t, w.sent[0].Opened[0].RequestId, "r")
}
