package runner

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/matcher"
	"cowsliphinge/messenger"
)

// unreachableExchange reaches no host.
type unreachableExchange struct{}

func (unreachableExchange) SendBeat(context.Context, string, *messenger.Beat) (*messenger.BeatReply, error) {
	return nil, errors.New("unreachable")
}

// Guards against a host that serves by an earlier configuration, which a store that was restored still has, on the word
// of one that starts beside it: the other hosts have a later one in force, and are heard a moment later.
func TestHostsThatStartTogetherDoNotConfirmAnEarlierConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clocker.NewWall()
		hosts := heartbeater.New(t.Context(), heartbeater.Config{
			OwnBeat: func() *messenger.Beat { return &messenger.Beat{Incarnation: "x-1", Host: "x"} },
			Clock:   clock, Exchange: unreachableExchange{},
			DeclaredHosts: func() []*messenger.Host {
				return []*messenger.Host{{Name: "starting", ExchangeAddress: "starting:1"}, {Name: "running", ExchangeAddress: "running:1"}}
			},
		})
		defer func() { assert.Check(t, hosts.Close(t.Context())) }()
		r := &Runner{cfg: Config{Clock: clock, Log: slog.New(slog.DiscardHandler)}, heartbeater: hosts, startedAt: clock.Now()}
		r.table.Store(matcher.New(matcher.Declaration{Version: 5}))
		beat := func(host string, version int64) {
			_, err := hosts.SendBeat(t.Context(), &messenger.Beat{Incarnation: host + "-1", Host: host, ExchangeAddress: host + ":1", SentAtMs: int64(clock.Now()), ConfigurationVersion: version})
			assert.NilError(t, err)
		}
		assert.Assert(t, r.servingTable() == nil)
		beat("starting", 5)
		served := r.servingTable() != nil
		clock.SleepUncancellable(firstHeartbeatTimeout / 2)
		beat("running", 7)
		assert.Equal(t, hosts.NewestVersion(), int64(7))
		assert.Check(t, !served, "before the running host was heard")
		assert.Check(t, r.servingTable() == nil, "after it was heard")
	})
}
