package runner

import (
	"context"
	"errors"
	"net"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
)

const (
	// loadPause is the time between two looks at the load of the link, in milliseconds.
	loadInterval = 250 * clocker.Millis(1)
	// loadWeight is the share of the newest look in the mean: it follows within two
	// seconds.
	loadSmoothing = 0.15
	// highLoad and lowLoad are the shares of the link at which a host begins and ceases
	// to turn new connections away: the rest of the link is room for bursts of large
	// bodies.
	highLoad = 0.65
	lowLoad  = 0.4
	// overloadFor is the least time that a host turns new connections away, in
	// milliseconds: the balancer takes two of its looks, a second apart, to notice.
	minOverloadDuration = 3 * clocker.Second
	// othersShare is the most that the other hosts of the zone may carry on average,
	// as a share of the own requests in flight, for a move to help.
	peerLoadShare = 0.5
	// packetBytes is the head of a packet on the link: Ethernet, IPv4 and TCP with a
	// timestamp.
	packetHeaderBytes = 66
)

var overloads = metrics.NewCounter("cowsliphinge_overloads_total")

// traffic counts bytes on the link, in each direction.
type traffic struct {
	sent, received atomic.Int64
}

// Sent implements carrier.Traffic.
func (t *traffic) Sent(n int) {
	t.sent.Add(int64(n) + packetHeaderBytes)
}

// Received implements carrier.Traffic.
func (t *traffic) Received(n int) {
	t.received.Add(int64(n) + packetHeaderBytes)
}

// take returns the larger of both directions since the last call, in bytes.
func (t *traffic) takeMax() int64 {
	return max(t.sent.Swap(0), t.received.Swap(0))
}

// countingListener counts what goes over the connections that it accepts.
type meteredListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{Conn: c, traffic: l.traffic}, nil
}

type meteredConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received(n)
	return n, err
}

// Write implements net.Conn.
func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent(n)
	return n, err
}

// SetLinger passes on how the connection is closed, or returns errors.ErrUnsupported.
func (c meteredConn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.SetLinger(seconds)
}

// overload tells whether the link of this host carries nearly what it can.
type overloadDetector struct {
	load            float64
	overloaded      bool
	overloadedSince clocker.Millis
}

// note takes in the share of the link that was used, and whether other hosts could
// carry more. It reports whether new connections are to go elsewhere.
func (o *overloadDetector) observe(linkShare float64, peersHaveRoom bool, now clocker.Millis) bool {
	o.load += loadSmoothing * (linkShare - o.load)
	switch {
	case !o.overloaded && o.load > highLoad && peersHaveRoom:
		o.overloaded, o.overloadedSince = true, now
	case o.overloaded && now-o.overloadedSince >= minOverloadDuration && (o.load < lowLoad || !peersHaveRoom):
		o.overloaded = false
	}
	return o.overloaded
}

// othersCan reports whether the hosts of the own availability zone carry much less
// than this one.
func peersHaveRoom(own int64, zone []heartbeater.Peer) bool {
	if len(zone) == 0 {
		return false
	}
	var sum int64
	for _, p := range zone {
		sum += p.InFlight
	}
	return float64(sum) < peerLoadShare*float64(own)*float64(len(zone))
}

// watchLoad turns new connections away while this host is overloaded.
func (r *Runner) monitorLoad(ctx context.Context) {
	var o overloadDetector
	bytesPerMs := float64(r.cfg.Settings.LinkMbps) * 1e6 / 8 / float64(clocker.Second)
	previous := r.cfg.Clock.Now()
	for r.cfg.Clock.Sleep(ctx, loadInterval) == nil {
		now := r.cfg.Clock.Now()
		linkShare := float64(r.traffic.takeMax()) / bytesPerMs / float64(max(1, now-previous))
		previous = now
		overloaded := o.observe(linkShare, peersHaveRoom(r.relayer.Load().InFlight(), r.zonePeers()), now)
		if overloaded == r.overloaded.Swap(overloaded) {
			continue
		}
		if overloaded {
			overloads.Inc()
		}
		r.cfg.Log.Info("load changed", "overloaded", overloaded, "link_share", o.load, "in_flight", r.relayer.Load().InFlight())
	}
}

// zonePeers returns the hosts of the own availability zone that are heard.
func (r *Runner) zonePeers() []heartbeater.Peer {
	var zone []heartbeater.Peer
	for _, p := range r.livePeers() {
		if p.AvailabilityZone == r.cfg.Settings.AvailabilityZone && !p.Draining {
			zone = append(zone, p)
		}
	}
	return zone
}
