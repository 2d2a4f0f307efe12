package drainer_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"runtime"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/drainer"
)

// fakeDispatcher reports inFlight requests; the tests close drained when the requests
// have ended.
type fakeDispatcher struct {
	inFlight int64
	draining bool
	drained  chan struct{}
}

func (d *fakeDispatcher) Drain()                   { d.draining = true }
func (d *fakeDispatcher) Drained() <-chan struct{} { return d.drained }
func (d *fakeDispatcher) InFlight() int64          { return d.inFlight }

type fixture struct {
	clock      *clocker.Clock
	dispatcher *fakeDispatcher
	closed     []string
	ready      bool
}

func newFixture(inFlight int64) *fixture {
	return &fixture{clock: clocker.NewManual(0), dispatcher: &fakeDispatcher{inFlight: inFlight, drained: make(chan struct{})}, ready: true}
}

// startDrain runs Drain in the background and sends its report on the channel.
func (s *fixture) startDrain(ctx context.Context, failing string) <-chan drainer.Report {
	component := func(name string) drainer.Component {
		return drainer.Component{Name: name, Close: func(context.Context) error {
			s.closed = append(s.closed, name)
			if name == failing {
				return errors.New("not closed")
			}
			return nil
		}}
	}
	report := make(chan drainer.Report, 1)
	go func() {
		report <- drainer.Drain(ctx, drainer.Config{
			Clock: s.clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			BalancerDelay: 3000, Timeout: 10000, Dispatcher: s.dispatcher,
			MarkNotReady: func() { s.ready = false },
			Components:   []drainer.Component{component("callers"), component("bills")},
		})
	}()
	// Wait until the timeout and the balancer delay have started their timers.
	for s.clock.WaiterCount() < 2 {
		runtime.Gosched()
	}
	return report
}

func TestRequestsAreAcceptedDuringTheBalancerDelay(t *testing.T) {
	s := newFixture(2)
	report := s.startDrain(context.Background(), "")
	assert.Assert(t, !s.ready)
	assert.Assert(t, !s.dispatcher.draining)
	s.dispatcher.inFlight = 0
	close(s.dispatcher.drained)
	s.clock.Advance(3000)
	assert.Assert(t, (<-report).Clean())
	assert.Assert(t, s.dispatcher.draining)
	assert.Assert(t, slices.Equal(s.closed, []string{"callers", "bills"}))
}

func TestTimeoutEndsTheDrainWithAReport(t *testing.T) {
	s := newFixture(2)
	report := s.startDrain(context.Background(), "")
	s.clock.Advance(10000)
	got := <-report
	assert.Equal(t, got.RequestsCut, int64(2))
	assert.Assert(t, !got.Clean())
	assert.Equal(t, len(s.closed), 2)
}

func TestCancelledContextEndsTheDrain(t *testing.T) {
	s := newFixture(1)
	ctx, cancel := context.WithCancel(context.Background())
	report := s.startDrain(ctx, "bills")
	cancel()
	got := <-report
	assert.Equal(t, got.RequestsCut, int64(1))
	assert.Assert(t, slices.Equal(got.NotClosed, []string{"bills"}))
}
