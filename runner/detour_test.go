package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/carrier"
	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/exchanger"
	"cowsliphinge/heartbeater"
	"cowsliphinge/standin/refuser"
	"cowsliphinge/tunneler"
)

// howCut is how connections from a host that is cut off to servers fail.
type howCut int32

const (
	notCut howCut = iota
	refusing
	hanging
)

// detourFleet is a fleet of hosts with real tunnels between them, in front of real servers.
type detourFleet struct {
	hosts   []*detourHost
	servers []*refuser.Listener
}

type detourHost struct {
	*detour
	fleet   *detourFleet
	name    string
	zone    string
	tunnels *tunneler.Server
	http    *httptest.Server
	cutHow  atomic.Int32
	// stopping is true while the host accepts no tunnels.
	stopping atomic.Bool
	// beforeTunnel, if not nil, is called before the host connects to a server for another host.
	beforeTunnel func()
	// dials counts the direct connections to servers, samples the choices of servers for a verification or a
	// probe, and changes those of the path.
	dials   atomic.Int64
	samples atomic.Int64
	changes atomic.Int64
}

const (
	detourServers = 4
	// hangTime is how long a direct connection of a host that is cut off takes to fail, in milliseconds.
	hangTime = 50 * clocker.Millis(1)
	// detourTimeout is out of reach, also on a busy machine.
	detourTimeout = 20 * clocker.Second
)

func newDetourFleet(t *testing.T, zones, perZone int) *detourFleet {
	f := &detourFleet{}
	for range detourServers {
		l, err := refuser.Listen()
		assert.NilError(t, err)
		f.servers = append(f.servers, l)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					_, _ = io.Copy(c, c)
					_ = c.Close()
				}()
			}
		}()
		t.Cleanup(func() { _ = l.Release() })
	}
	for z := range zones {
		for n := range perZone {
			f.hosts = append(f.hosts, f.newHost(t, fmt.Sprintf("%c", 'a'+z), n))
		}
	}
	return f
}

func (f *detourFleet) newHost(t *testing.T, zone string, n int) *detourHost {
	h := &detourHost{fleet: f, name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone}
	h.detour = newDetour(t.Context(), detourConfig{
		Clock: clocker.NewWall(), Log: slog.New(slog.DiscardHandler), AvailabilityZone: zone, RouterKey: "k",
		Peers: h.peers, Servers: h.targets, Changed: func(bool) { h.changes.Add(1) }, DialTimeout: detourTimeout, DialServer: h.dialServer, DialHost: carrier.DialDirect,
	})
	h.tunnels = tunneler.NewServer(tunneler.ServerConfig{
		Dial: func(ctx context.Context, address string, timeout clocker.Millis) (net.Conn, error) {
			if h.beforeTunnel != nil {
				h.beforeTunnel()
			}
			return h.dialForOthers(ctx, address, timeout)
		},
		IsServer: func(string) bool { return true },
		Accepts:  func() bool { return !h.stopping.Load() && !h.cut() },
	})
	h.http = httptest.NewServer(h.tunnels)
	t.Cleanup(func() {
		h.tunnels.Close()
		h.http.Close()
	})
	return h
}

// peers returns the other hosts as heartbeats tell of them, but not yet whether they are cut off.
func (h *detourHost) peers() []heartbeater.Peer {
	var peers []heartbeater.Peer
	for _, p := range h.fleet.hosts {
		if p != h {
			peers = append(peers, heartbeater.Peer{Host: p.name, Incarnation: p.name + "-1", AvailabilityZone: p.zone, ExchangeAddress: p.http.Listener.Addr().String(), Draining: p.stopping.Load()})
		}
	}
	return peers
}

func (h *detourHost) targets() []carrier.Target {
	h.samples.Add(1)
	var targets []carrier.Target
	for i, s := range h.fleet.servers {
		targets = append(targets, carrier.Target{ID: fmt.Sprint("s", i), Address: s.Addr().String()})
	}
	return targets
}

// dialServer connects to a server unless the host is cut off.
func (h *detourHost) dialServer(ctx context.Context, address string, timeout clocker.Millis) (net.Conn, error) {
	h.dials.Add(1)
	switch howCut(h.cutHow.Load()) {
	case refusing:
		return nil, fmt.Errorf("cut off: %w", syscall.ECONNREFUSED)
	case hanging:
		ctx, cancel := clocker.NewWall().WithTimeout(ctx, hangTime)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return carrier.DialDirect(ctx, address, timeout)
}

// exchange sends a byte to a server and reads it back. It returns the host in between. A connection that
// fails is tried once more, as by a request.
func (h *detourHost) exchange(t *testing.T, server int) string {
	t.Helper()
	address := h.fleet.servers[server].Addr().String()
	c, via, err := h.Dial(t.Context(), address, detourTimeout)
	if err != nil {
		c, via, err = h.Dial(t.Context(), address, detourTimeout)
	}
	assert.NilError(t, err, h.name)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = io.ReadFull(c, make([]byte, 1))
	assert.NilError(t, err)
	return via
}

// Guards against callers of a host that is cut off from all servers being refused: its connections go
// through other hosts, from the first failure on, where half of the hosts, most of a zone, a whole zone or
// two zones are cut off and nobody has told so yet. At 8, 90 and 195 hosts.
func TestHostsCutOffFromServersReachThemThroughOthers(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ zones, perZone int }{{4, 2}, {5, 18}, {5, 39}} {
		for name, isCut := range map[string]func(zone string, n int) bool{
			"one host":       func(zone string, n int) bool { return zone == "a" && n == 0 },
			"half":           func(_ string, n int) bool { return n%2 == 0 },
			"most of a zone": func(zone string, n int) bool { return zone == "a" && n%3 != 1 },
			"a zone":         func(zone string, _ int) bool { return zone == "a" },
			"two zones":      func(zone string, _ int) bool { return zone <= "b" },
		} {
			for how, cutHow := range map[string]howCut{"refusing": refusing, "hanging": hanging} {
				t.Run(fmt.Sprintf("%d hosts/%s/%s", size.zones*size.perZone, name, how), func(t *testing.T) {
					f := newDetourFleet(t, size.zones, size.perZone)
					var group sync.WaitGroup
					for i, h := range f.hosts {
						if isCut(h.zone, i%size.perZone) {
							h.cutHow.Store(int32(cutHow))
						}
					}
					for _, h := range f.hosts {
						group.Go(func() {
							for server := range detourServers {
								via := h.exchange(t, server)
								assert.Check(t, (via != "") == (howCut(h.cutHow.Load()) != notCut), "%s went through %q", h.name, via)
							}
						})
					}
					group.Wait()
				})
			}
		}
	}
}

// Guards against a verification that gives up after one host of each other zone: callers of hosts that are
// cut off together with half of the fleet are refused where there are few availability zones.
func TestHalfOfTheHostsOfFewZonesReachServersThroughOthers(t *testing.T) {
	t.Parallel()
	for _, zones := range []int{1, 2, 3} {
		for how, cutHow := range map[string]howCut{"refusing": refusing, "hanging": hanging} {
			t.Run(fmt.Sprintf("%d zones/%s", zones, how), func(t *testing.T) {
				f := newDetourFleet(t, zones, 60/zones)
				var group sync.WaitGroup
				for i, h := range f.hosts {
					if i%2 == 0 {
						h.cutHow.Store(int32(cutHow))
					}
				}
				for _, h := range f.hosts {
					group.Go(func() {
						via := h.exchange(t, 0)
						assert.Check(t, (via != "") == (howCut(h.cutHow.Load()) != notCut), "%s went through %q", h.name, via)
					})
				}
				group.Wait()
			})
		}
	}
}

// Guards against a crash being taken for a cut: a server refuses connections while others accept them,
// and all servers are down.
func TestServersThatAreDownAreReportedAsDown(t *testing.T) {
	f := newDetourFleet(t, 2, 2)
	h := f.hosts[0]
	down := f.servers[0].Addr().String()
	assert.NilError(t, f.servers[0].Close())
	_, _, err := h.Dial(t.Context(), down, detourTimeout)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.Assert(t, !h.cut())
	assert.Equal(t, h.exchange(t, 1), "")
	for _, s := range f.servers[1:] {
		assert.NilError(t, s.Close())
	}
	_, _, err = f.hosts[1].Dial(t.Context(), down, detourTimeout)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.Assert(t, !f.hosts[1].cut())
}

// Guards against the end of an outage of all servers being taken for a cut: they accept connections again
// after the direct ones of a verification have failed, and before other hosts are asked.
func TestServersThatComeBackDuringAVerificationAreNoCut(t *testing.T) {
	for how, cutHow := range map[string]howCut{"refusing": refusing, "hanging": hanging} {
		t.Run(how, func(t *testing.T) {
			f := newDetourFleet(t, 2, 2)
			h := f.hosts[0]
			setAll := func(how howCut) {
				for _, p := range f.hosts {
					p.cutHow.Store(int32(how))
				}
			}
			setAll(cutHow)
			for _, p := range f.hosts {
				p.beforeTunnel = func() { setAll(notCut) }
			}
			c, _, err := h.Dial(t.Context(), f.servers[0].Addr().String(), detourTimeout)
			if err == nil {
				_ = c.Close()
			}
			assert.Assert(t, !h.cut())
			assert.Equal(t, h.changes.Load(), int64(0))
			assert.Equal(t, h.exchange(t, 0), "")
		})
	}
}

// Guards against requests held against a server that a cut makes look crashed: the server is down in
// fact, or sound, while the host is cut off.
func TestCrashIsToldFromACutWhileTheHostIsCutOff(t *testing.T) {
	f := newDetourFleet(t, 2, 2)
	h := f.hosts[0]
	h.cutHow.Store(int32(refusing))
	assert.NilError(t, f.servers[0].Close())
	assert.Assert(t, h.exchange(t, 1) != "")
	c := carrier.New(carrier.Config{Clock: clocker.NewWall(), Dialer: h})
	assert.Assert(t, c.Ended(t.Context(), carrier.Target{Address: f.servers[0].Addr().String()}, detourTimeout))
	assert.Assert(t, !c.Ended(t.Context(), carrier.Target{Address: f.servers[1].Addr().String()}, detourTimeout))
}

// Guards against many dials for one cut: requests that fail at once share one verification.
func TestFailuresShareOneVerification(t *testing.T) {
	f := newDetourFleet(t, 2, 2)
	h := f.hosts[0]
	h.cutHow.Store(int32(hanging))
	const requests = 50
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() { assert.Check(t, h.exchange(t, i%detourServers) != "") })
	}
	group.Wait()
	assert.Equal(t, h.samples.Load(), int64(1))
	assert.Assert(t, h.dials.Load() <= requests+2*verifiedServers, "%d", h.dials.Load())
	assert.Equal(t, h.changes.Load(), int64(1))
}

// The path is restored: new connections are direct again, and idle ones through other hosts are not used
// any more. A host that stops, or that is cut off itself, gets no further request.
func TestPathIsUsedAgainOnceItIsRestored(t *testing.T) {
	f := newDetourFleet(t, 2, 2)
	h := f.hosts[0]
	h.cutHow.Store(int32(refusing))
	via := h.exchange(t, 0)
	assert.Assert(t, !h.Usable("") && h.Usable(via))
	for _, p := range f.hosts {
		p.stopping.Store(p.name == via)
	}
	assert.Assert(t, !h.Usable(via))
	other := h.exchange(t, 0)
	assert.Assert(t, other != "" && other != via)
	h.cutHow.Store(int32(notCut))
	for h.cut() {
		h.probe()
		_ = h.cfg.Clock.Sleep(t.Context(), 1)
	}
	assert.Equal(t, h.exchange(t, 0), "")
	assert.Assert(t, h.Usable("") && !h.Usable(other))
	assert.Equal(t, h.changes.Load(), int64(2))
}

// No other host can be reached: the failure of the server stays what it was.
func TestCutWithoutOtherHostsEndsWithTheDirectFailure(t *testing.T) {
	f := newDetourFleet(t, 1, 1)
	f.hosts[0].cutHow.Store(int32(refusing))
	_, _, err := f.hosts[0].Dial(t.Context(), f.servers[0].Addr().String(), detourTimeout)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.Assert(t, !f.hosts[0].cut())
}

// Guards against hosts used as open proxies: tunnels need the routers' key and lead to known servers.
func TestTunnelsNeedTheRoutersKey(t *testing.T) {
	f := newDetourFleet(t, 1, 1)
	pool := newTestBackendPool(clocker.NewWall())
	server := f.servers[0].Addr().String()
	pool.chooser.Set(chooser.Server{ID: "s0", Service: "s", Address: server})
	tunnels := tunneler.NewServer(tunneler.ServerConfig{Dial: carrier.DialDirect, IsServer: pool.isServerAddress, Accepts: func() bool { return true }})
	t.Cleanup(tunnels.Close)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	peer := exchanger.NewServer(exchanger.ServerConfig{RouterKey: "k", Tunnels: tunnels, Ready: func() bool { return true }})
	served := make(chan error, 1)
	go func() { served <- peer.Serve(l) }()
	for _, c := range []struct {
		key, address string
		opens        bool
	}{{"k", server, true}, {"", server, false}, {"wrong", server, false}, {"k", f.servers[1].Addr().String(), false}} {
		d := tunneler.Dialer{RouterKey: c.key, Dial: carrier.DialDirect}
		conn, err := d.DialServer(t.Context(), l.Addr().String(), c.address, detourTimeout)
		assert.Equal(t, err == nil, c.opens, "key %q: %v", c.key, err)
		if err == nil {
			_ = conn.Close()
		}
	}
	assert.NilError(t, peer.Close())
	err = <-served
	assert.Assert(t, err == nil || errors.Is(err, http.ErrServerClosed))
}
