package runner

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/exchanger"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/relayer"
	"cowsliphinge/reserver"
	"cowsliphinge/tunneler"
)

// Guards against requests that a planned stop accepts and ends before their time limit: it accepted what ended before its
// deadline, and ended all some time before that.
func TestPlannedStopAcceptsNoRequestThatItEnds(t *testing.T) {
	const bound = 8 * clocker.Second
	clock := clocker.NewManual(clocker.Hour)
	r := &Runner{cfg: Config{Clock: clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}, cancel: func() {}, tunnels: tunneler.NewServer(tunneler.ServerConfig{})}
	r.callerConns, r.server, r.readyServer = newConnTracker(), &http.Server{}, &http.Server{}
	r.peerServer = exchanger.NewServer(exchanger.ServerConfig{})
	settings := Settings{StopBoundMs: bound}
	r.settings.Store(&settings)
	r.relayer.Store(relayer.New(relayer.Config{Clock: clock, Log: r.cfg.Log}))
	r.reserver.Store(reserver.New(context.Background(), reserver.Config{Clock: clock, Policy: func() *messenger.Policy { return &messenger.Policy{} }, Peers: func() []heartbeater.Peer { return nil }}))
	_, requestsEnd := stopTimes(clock.Now(), bound)
	for clock.WaiterCount() == 0 { // until the tasks of the budgets wait
		runtime.Gosched()
	}
	before := clock.WaiterCount()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		r.Stop(context.Background())
	}()
	for clock.WaiterCount() == before { // until the stop waits
		runtime.Gosched()
	}
	for r.stopDeadline.Load() == 0 {
		if clock.WaiterCount() > 0 {
			clock.Advance(drainPollInterval)
		}
	}
	assert.Assert(t, clocker.Millis(r.stopDeadline.Load()) <= requestsEnd, "requests are accepted %d ms longer than they last", clocker.Millis(r.stopDeadline.Load())-requestsEnd)
	for {
		select {
		case <-stopped:
			return
		default:
			if clock.WaiterCount() > 0 {
				clock.Advance(drainPollInterval)
			}
		}
	}
}
