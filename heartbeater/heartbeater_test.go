package heartbeater_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/platform"
	"cowsliphinge/storer"
)

// network carries beats between heartbeaters of one process.
type network struct {
	mu    sync.Mutex
	hosts map[string]*heartbeater.Heartbeater
	cut   map[string]bool
}

func (n *network) SendBeat(ctx context.Context, address string, beat *messenger.Beat) (*messenger.BeatReply, error) {
	n.mu.Lock()
	h := n.hosts[address]
	cut := n.cut[address] || n.cut[beat.ExchangeAddress]
	n.mu.Unlock()
	if h == nil || cut {
		return nil, errors.New("no route")
	}
	return h.SendBeat(ctx, beat)
}

func (n *network) set(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

// until advances the clock whenever everything waits, until done. It is called
// inside a bubble of package synctest.
func until(t *testing.T, clock *clocker.Clock, done func() bool) {
	t.Helper()
	for range 400 {
		synctest.Wait()
		if done() {
			return
		}
		clock.Advance(250)
	}
	t.Fatal("never came true")
}

func TestHostsFindAndSuspectEachOther(t *testing.T) {
	synctest.Test(t, findAndSuspect)
}

func findAndSuspect(t *testing.T) {
	clock := clocker.NewManual(clocker.Hour)
	store := platform.New(clock)
	n := &network{hosts: map[string]*heartbeater.Heartbeater{}, cut: map[string]bool{}}
	names := []string{"a1", "a2", "b1"}
	var listed []storer.ListedHost
	for _, name := range names {
		listed = append(listed, storer.ListedHost{Name: name, Address: name})
	}
	store.SetHosts(listed)
	for _, name := range names {
		h := heartbeater.New(t.Context(), heartbeater.Config{
			OwnBeat: func() *messenger.Beat {
				return &messenger.Beat{Host: name, Incarnation: name + "-10-1", AvailabilityZone: name[:1], ExchangeAddress: name}
			},
			Clock: clock, HostList: store, Exchange: n,
		})
		defer func() { assert.NilError(t, h.Close(context.Background())) }()
		n.mu.Lock()
		n.hosts[name] = h
		n.mu.Unlock()
	}
	suspects := func(name string) (suspect int) {
		for _, p := range n.hosts[name].Peers() {
			if p.Suspect {
				suspect++
			}
		}
		return suspect
	}
	until(t, clock, func() bool {
		return len(n.hosts["a1"].Peers()) == 2 && suspects("a1")+suspects("a2")+suspects("b1") == 0
	})
	n.set("b1", true)
	until(t, clock, func() bool { return suspects("a1") == 1 && suspects("a2") == 1 && suspects("b1") == 2 })
	n.set("b1", false)
	until(t, clock, func() bool { return suspects("a1")+suspects("a2")+suspects("b1") == 0 })
}

func TestSeedIsAskedWhileNobodyIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clocker.NewManual(clocker.Hour)
		n := &network{hosts: map[string]*heartbeater.Heartbeater{}, cut: map[string]bool{}}
		start := func(name string, seeds ...string) *heartbeater.Heartbeater {
			return heartbeater.New(t.Context(), heartbeater.Config{
				OwnBeat: func() *messenger.Beat {
					return &messenger.Beat{Host: name, Incarnation: name + "-10-1", AvailabilityZone: "a", ExchangeAddress: name}
				},
				DeclaredHosts: func() []*messenger.Host { return []*messenger.Host{{Name: "gone", ExchangeAddress: "gone"}} },
				Clock:         clock, Exchange: n, SeedAddresses: seeds,
			})
		}
		a, b := start("a"), start("b", "lost", "a")
		n.mu.Lock()
		n.hosts["a"], n.hosts["b"] = a, b
		n.mu.Unlock()
		until(t, clock, func() bool { return len(a.Peers()) == 2 && len(b.Peers()) == 2 && !b.Peers()[0].Suspect })
	})
}
