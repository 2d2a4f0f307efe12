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

// dispatcher has requests in flight until it is told that they ended.
type dispatcher struct {
	inFlight int64
	draining bool
	idle     chan struct{}
}

func (d *dispatcher) Drain()                   { d.draining = true }
func (d *dispatcher) Drained() <-chan struct{} { return d.idle }
func (d *dispatcher) InFlight() int64          { return d.inFlight }

type stop struct {
	clock  *clocker.Clock
	served *dispatcher
	closed []string
	ready  bool
}

func newStop(inFlight int64) *stop {
	return &stop{clock: clocker.NewManual(0), served: &dispatcher{inFlight: inFlight, idle: make(chan struct{})}, ready: true}
}

// run drains in the background; the report arrives on the channel.
func (s *stop) run(ctx context.Context, failing string) <-chan drainer.Report {
	part := func(name string) drainer.Component {
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
			BalancerDelay: 3000, Timeout: 10000, Dispatcher: s.served,
			MarkNotReady: func() { s.ready = false },
			Components:   []drainer.Component{part("callers"), part("bills")},
		})
	}()
	// The bound and the delay wait on the clock.
	for s.clock.Waiting() < 2 {
		runtime.Gosched()
	}
	return report
}

func TestRequestsAreTakenUntilTheBalancerHadItsDelay(t *testing.T) {
	s := newStop(2)
	report := s.run(context.Background(), "")
	assert.Assert(t, !s.ready)
	assert.Assert(t, !s.served.draining)
	s.served.inFlight = 0
	close(s.served.idle)
	s.clock.Advance(3000)
	assert.Assert(t, (<-report).Clean())
	assert.Assert(t, s.served.draining)
	assert.Assert(t, slices.Equal(s.closed, []string{"callers", "bills"}))
}

func TestBoundEndsAStopWithAReport(t *testing.T) {
	s := newStop(2)
	report := s.run(context.Background(), "")
	s.clock.Advance(10000)
	got := <-report
	assert.Equal(t, got.RequestsCut, int64(2))
	assert.Assert(t, !got.Clean())
	assert.Equal(t, len(s.closed), 2)
}

func TestSecondSignalEndsAStop(t *testing.T) {
	s := newStop(1)
	ctx, cancel := context.WithCancel(context.Background())
	report := s.run(ctx, "bills")
	cancel()
	got := <-report
	assert.Equal(t, got.RequestsCut, int64(1))
	assert.Assert(t, slices.Equal(got.NotClosed, []string{"bills"}))
}
