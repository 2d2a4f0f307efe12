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

// Pattern: one tenant's callers all arrive at one host behind a narrow link, whose
// neighbours idle. It turns new connections away until its link has room again.
func TestHotHostTurnsNewConnectionsAway(t *testing.T) {
	var o overload
	now := clocker.Millis(0)
	play := func(share float64, can bool, d clocker.Millis) bool {
		high := false
		for end := now + d; now < end; now += loadPause {
			high = o.note(share, can, now)
		}
		return high
	}
	assert.Assert(t, !play(0.5, true, 5*clocker.Second))
	assert.Assert(t, !play(0.9, true, 2*loadPause), "a short burst")
	assert.Assert(t, play(0.9, true, 2*clocker.Second))
	assert.Assert(t, play(0.1, true, clocker.Second), "ceased before the balancer noticed")
	assert.Assert(t, !play(0.1, true, 4*clocker.Second))
}

// Pattern: a surge at all hosts. Nobody turns callers away: they have no better place.
func TestSurgeEverywhereMovesNobody(t *testing.T) {
	var o overload
	for now := clocker.Millis(0); now < 10*clocker.Second; now += loadPause {
		assert.Assert(t, !o.note(0.95, false, now))
	}
	zone := []heartbeater.Peer{{InFlight: 40}, {InFlight: 60}}
	assert.Assert(t, !othersCan(60, zone))
	assert.Assert(t, othersCan(120, zone))
	assert.Assert(t, !othersCan(120, nil))
}

// Both directions are counted apart: a body passed on takes each of them once.
func TestTrafficIsTheBusierDirection(t *testing.T) {
	var c traffic
	c.Received(1000)
	c.Sent(400)
	c.Sent(400)
	assert.Equal(t, c.take(), int64(1000+packetBytes))
	assert.Equal(t, c.take(), int64(0))
}

// Guards against a broken answer of HTTP/1.0 that looks complete: the connections of
// callers have to be resettable through the type that counts their bytes.
func TestCountedConnectionCanBeReset(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = inner.Close() }()
	far, err := net.Dial("tcp4", inner.Addr().String())
	assert.NilError(t, err)
	near, err := countingListener{Listener: inner, traffic: &traffic{}}.Accept()
	assert.NilError(t, err)
	assert.NilError(t, near.(interface{ SetLinger(int) error }).SetLinger(0))
	assert.NilError(t, near.Close())
	_, err = far.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}
