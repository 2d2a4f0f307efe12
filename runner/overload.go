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
	// loadInterval is the time between two measurements of the link's load, in
	// milliseconds.
	loadInterval = 250 * clocker.Millis(1)
	// loadSmoothing is the weight of the newest measurement in the moving averages, which
	// follow the load within two seconds.
	loadSmoothing = 0.15
	// highLoad and lowLoad are the shares of the link's bandwidth at which a host starts
	// and stops refusing new connections. The remaining bandwidth is for bursts of large
	// bodies.
	highLoad = 0.65
	lowLoad  = 0.4
	// highDelay and lowDelay are the average delays of timers at which a host starts and stops
	// refusing new connections for want of processor time, in milliseconds. Requests wait for the
	// processor as long at each of the steps that they take.
	highDelay = 30 * clocker.Millis(1)
	lowDelay  = 10 * clocker.Millis(1)
	// maxDelay bounds a measured delay, so that a single pause of the host is no lack of processor
	// time, in milliseconds.
	maxDelay = 150 * clocker.Millis(1)
	// minDelayedInFlight is the number of requests in flight from which callers may be the cause of
	// delays. With fewer of them other programs on the machine are.
	minDelayedInFlight = 16
	// minOverloadDuration is the minimum time that a host refuses new connections, in
	// milliseconds. The balancer needs two probes, a second apart, to detect it.
	minOverloadDuration = 3 * clocker.Second
	// peerLoadShare is the highest average number of requests in flight of the other
	// hosts of the zone, as a share of this host's, at which moving callers to them
	// helps.
	peerLoadShare = 0.5
	// packetHeaderBytes is the size of a packet's headers on the link: Ethernet, IPv4 and
	// TCP with a timestamp. It is added once per read or write, which is an estimate: one
	// call may span several packets.
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

// takeMax resets both counters and returns the larger one, in bytes.
func (t *traffic) takeMax() int64 {
	return max(t.sent.Swap(0), t.received.Swap(0))
}

// meteredListener counts the traffic of the connections that it accepts.
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

// SetLinger sets the linger option of a TCP connection and returns
// errors.ErrUnsupported for others.
func (c meteredConn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.SetLinger(seconds)
}

// overloadDetector detects that the link of this host is close to its bandwidth, or that the host lacks
// processor time.
type overloadDetector struct {
	load float64
	// delay is by how much timers fire late on average, in milliseconds.
	delay           float64
	overloaded      bool
	overloadedSince clocker.Millis
}

// loadSample is one measurement of this host's load.
type loadSample struct {
	// linkShare is the share of the link's bandwidth that was used.
	linkShare float64
	// delay is by how much a timer fired late, in milliseconds.
	delay clocker.Millis
	// inFlight is the number of requests in flight.
	inFlight int64
	// peersHaveRoom is true if other hosts could take callers of this one.
	peersHaveRoom bool
}

// observe records a measurement. It reports whether this host must refuse new connections.
func (o *overloadDetector) observe(s loadSample, now clocker.Millis) bool {
	o.load += loadSmoothing * (s.linkShare - o.load)
	o.delay += loadSmoothing * (float64(min(s.delay, maxDelay)) - o.delay)
	high := o.load > highLoad || o.delay > float64(highDelay) && s.inFlight >= minDelayedInFlight
	low := o.load < lowLoad && o.delay < float64(lowDelay)
	switch {
	case !o.overloaded && high && s.peersHaveRoom:
		o.overloaded, o.overloadedSince = true, now
	case o.overloaded && now-o.overloadedSince >= minOverloadDuration && (low || !s.peersHaveRoom):
		o.overloaded = false
	}
	return o.overloaded
}

// peersHaveRoom reports whether the other hosts of the availability zone have far fewer
// requests in flight than this one.
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

// monitorLoad measures the load of the link and the delay of timers, and sets whether this host is
// overloaded, in which case it refuses new connections.
func (r *Runner) monitorLoad(ctx context.Context) {
	var o overloadDetector
	bytesPerMs := float64(r.cfg.Settings.LinkMbps) * 1e6 / 8 / float64(clocker.Second)
	previous := r.cfg.Clock.Now()
	for r.cfg.Clock.Sleep(ctx, loadInterval) == nil {
		now := r.cfg.Clock.Now()
		linkShare := float64(r.traffic.takeMax()) / bytesPerMs / float64(max(1, now-previous))
		delay := now - previous - loadInterval
		previous = now
		inFlight := r.relayer.Load().InFlight()
		overloaded := o.observe(loadSample{linkShare: linkShare, delay: delay, inFlight: inFlight, peersHaveRoom: peersHaveRoom(inFlight, r.zonePeers())}, now)
		if overloaded == r.overloaded.Swap(overloaded) {
			continue
		}
		if overloaded {
			overloads.Inc()
		}
		r.cfg.Log.Info("load changed", "overloaded", overloaded, "link_share", o.load, "delay_ms", int64(o.delay), "in_flight", inFlight)
	}
}

// zonePeers returns the live hosts of the same availability zone that aren't draining.
func (r *Runner) zonePeers() []heartbeater.Peer {
	var zone []heartbeater.Peer
	for _, p := range r.livePeers() {
		if p.AvailabilityZone == r.cfg.Settings.AvailabilityZone && !p.Draining {
			zone = append(zone, p)
		}
	}
	return zone
}
