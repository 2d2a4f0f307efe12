package runner

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
)

// The callers of one client account all connect to one host behind a narrow link, while
// its peers are idle. The host refuses new connections until its link has room again.
func TestOverloadedHostRefusesNewConnections(t *testing.T) {
	var o overloadDetector
	now := clocker.Millis(0)
	simulate := func(linkShare float64, peersHaveRoom bool, d clocker.Millis) bool {
		overloaded := false
		for end := now + d; now < end; now += loadInterval {
			overloaded = o.observe(loadSample{linkShare: linkShare, peersHaveRoom: peersHaveRoom}, now)
		}
		return overloaded
	}
	assert.Assert(t, !simulate(0.5, true, 5*clocker.Second))
	assert.Assert(t, !simulate(0.9, true, 2*loadInterval), "a short burst")
	assert.Assert(t, simulate(0.9, true, 2*clocker.Second))
	assert.Assert(t, simulate(0.1, true, clocker.Second), "stopped refusing before the balancer detected it")
	assert.Assert(t, !simulate(0.1, true, 4*clocker.Second))
}

// Guards against late configurations and servers that left at a host whose callers take all of its processor
// time: it refuses new connections although its link has room, until its timers fire in time again.
func TestHostWithoutProcessorTimeRefusesNewConnections(t *testing.T) {
	var o overloadDetector
	now := clocker.Millis(0)
	simulate := func(s loadSample, d clocker.Millis) bool {
		overloaded := false
		for end := now + d; now < end; now += loadInterval + s.delay {
			overloaded = o.observe(s, now)
		}
		return overloaded
	}
	busy := loadSample{linkShare: 0.2, inFlight: 100, peersHaveRoom: true}
	delayed := busy
	delayed.delay = 50
	assert.Assert(t, !simulate(busy, 5*clocker.Second))
	assert.Assert(t, simulate(delayed, 4*clocker.Second))
	assert.Assert(t, simulate(busy, 2*clocker.Second), "the balancer needs that long to notice")
	assert.Assert(t, !simulate(busy, 4*clocker.Second))
}

// Guards against hosts that turn callers away in vain: the host was suspended once, other programs take
// the processor while it has few requests, timers fire slightly late, or the other hosts have no room either.
func TestDelaysThatCallersDoNotCauseAreNoOverload(t *testing.T) {
	const pause = 3 * clocker.Second
	for name, sample := range map[string]func(now clocker.Millis) loadSample{
		"suspended": func(now clocker.Millis) loadSample {
			s := loadSample{inFlight: 100, peersHaveRoom: true}
			if now%(10*clocker.Second) == 0 {
				s.delay = pause
			}
			return s
		},
		"few requests": func(clocker.Millis) loadSample { return loadSample{delay: 80, inFlight: 3, peersHaveRoom: true} },
		"slightly late": func(now clocker.Millis) loadSample {
			return loadSample{delay: now / loadInterval % 2 * 40, inFlight: 100, peersHaveRoom: true}
		},
		"no room elsewhere": func(clocker.Millis) loadSample { return loadSample{delay: 80, inFlight: 100} },
	} {
		t.Run(name, func(t *testing.T) {
			var o overloadDetector
			for now := clocker.Millis(0); now < clocker.Minute; now += loadInterval {
				assert.Assert(t, !o.observe(sample(now), now), "at %d ms", now)
			}
		})
	}
}

// In a surge at all hosts no host refuses callers, since no other host could take them.
func TestNoOverloadWhenPeersHaveNoRoom(t *testing.T) {
	var o overloadDetector
	for now := clocker.Millis(0); now < 10*clocker.Second; now += loadInterval {
		assert.Assert(t, !o.observe(loadSample{linkShare: 0.95}, now))
	}
	zone := []heartbeater.Peer{{InFlight: 40}, {InFlight: 60}}
	assert.Assert(t, !peersHaveRoom(60, zone))
	assert.Assert(t, peersHaveRoom(120, zone))
	assert.Assert(t, !peersHaveRoom(120, nil))
}

// Each direction is counted separately: a relayed body uses each of them once.
func TestTrafficCountsBusierDirection(t *testing.T) {
	var c traffic
	c.Received(1000)
	c.Sent(400)
	c.Sent(400)
	assert.Equal(t, c.takeMax(), int64(1000+packetHeaderBytes))
	assert.Equal(t, c.takeMax(), int64(0))
}

// Guards against an aborted HTTP/1.0 response that looks complete: it must be possible to
// reset callers' connections through the type that counts their bytes.
func TestCountedConnectionCanBeReset(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	server, err := meteredListener{Listener: listener, traffic: &traffic{}}.Accept()
	assert.NilError(t, err)
	assert.NilError(t, server.(interface{ SetLinger(int) error }).SetLinger(0))
	assert.NilError(t, server.Close())
	_, err = client.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}
