package router_test

import (
	"context"
	"fmt"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cowsliphinge/checker"
	"cowsliphinge/clocker"
	"cowsliphinge/loader"
	"cowsliphinge/messenger"
)

// TestRestartOfEachHostCutsNothing restarts the hosts one after another under
// load. No request may be aborted; afterwards each request is billed once and
// the limits of all hosts are returned.
func TestRestartOfEachHostCutsNothing(t *testing.T) {
	const granted = 1_000_000
	f := startFleet(t, granted)
	ctx := context.Background()
	recorder := checker.NewRecorder(nil)
	recorder.Record(checker.Entry{TopUp: &checker.TopUp{OperationID: "first", Budget: "mason", Tokens: granted, Confirmed: true}})
	var loadGroup errgroup.Group
	loadGroup.Go(func() error {
		_, err := loader.Run(ctx, loader.Config{
			Clock:    clocker.NewWall(),
			Recorder: recorder,
			Route: func(address string) string {
				ready := f.Listed()
				if len(ready) == 0 {
					return address
				}
				return ready[len(address)%len(ready)]
			},
			Plan: loader.Plan{
				Name: "restarts", DurationMs: 4 * clocker.Second, RequestsPerSecond: 40, Arrivals: loader.Poisson, Seed: 1,
				Callers:  []string{f.CallerAddress("host-a"), f.CallerAddress("host-b")},
				Accounts: []loader.Account{{Name: "mason", Key: masonKey, Budget: "mason"}},
				Mix: []loader.Kind{
					{Service: "drafts", Model: "draft-1", MaxTokens: 100, Stream: true, PromptBytes: 50, Share: 3},
					{Service: "orders", Path: "/place", CallTokens: 5, NonIdempotent: true, RepeatPercent: 20, RepeatAfterMs: 200},
				},
				BackendServers: backendServers(f.Declarations),
			},
		})
		return err
	})
	for _, name := range []string{"host-a", "host-b"} {
		stop := checker.Stop{Host: name, Address: f.CallerAddress(name), From: clocker.NewWall().Now()}
		assert.Assert(t, f.DrainHost(ctx, name), name)
		stop.Until = clocker.NewWall().Now()
		recorder.Record(checker.Entry{Stop: &stop})
		assert.NilError(t, f.StartHost(ctx, name))
		assert.NilError(t, f.AwaitReady(ctx))
	}
	assert.NilError(t, loadGroup.Wait())
	for _, name := range []string{"host-a", "host-b"} {
		assert.Assert(t, f.DrainHost(ctx, name), name)
	}
	assert.NilError(t, loader.CollectBills(ctx, f.Platform, recorder))
	assert.NilError(t, loader.CollectBudgets(ctx, f.Platform, recorder))
	history, err := recorder.History()
	assert.NilError(t, err)
	verdict := checker.Check(history)
	assert.Assert(t, verdict.Holds(), fmt.Sprintf("%+v", verdict))
	assert.Assert(t, verdict.Answered > 50)
}

func backendServers(d *messenger.Declarations) []loader.BackendServer {
	var servers []loader.BackendServer
	for _, b := range d.BackendServers {
		servers = append(servers, loader.BackendServer{Name: b.Name, Address: b.Address})
	}
	return servers
}
