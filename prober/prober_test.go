package prober

import (
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// play runs a watch over samples, one for each look, the last of them again and again. It returns the time limits
// that the kernel got, and when the connection was closed, 0 for never.
func play(t *testing.T, samples ...sample) (limits []clocker.Millis, closedAfter clocker.Millis) {
	t.Helper()
	clock := clocker.NewManual(clocker.Hour)
	started, looks := clock.Now(), 0
	w := &Watch{
		clock:      clock,
		setTimeout: func(d clocker.Millis) { limits = append(limits, d) },
		close:      func() { closedAfter = clock.Now() - started },
		look: func() sample {
			s := samples[min(looks, len(samples)-1)]
			looks++
			return s
		},
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.run()
	}()
	for {
		select {
		case <-ended:
			return limits, closedAfter
		default:
			if clock.WaiterCount() > 0 {
				clock.Advance(checkInterval)
			}
		}
	}
}

// full is a peer without room that answers probes, and silent one that has not answered the latest.
var (
	full   = sample{waiting: 100, known: true}
	silent = sample{waiting: 100, unanswered: 1, known: true}
	over   = sample{known: true}
)

// Guards against sound connections that are closed because their peer reads later.
func TestPeerWithoutRoomIsNotClosed(t *testing.T) {
	samples := make([]sample, 100)
	for i := range samples {
		samples[i] = full
	}
	limits, closedAfter := play(t, append(samples, over)...)
	assert.DeepEqual(t, limits, []clocker.Millis{0, Timeout})
	assert.Equal(t, closedAfter, clocker.Millis(0))
}

// A single probe that is on its way is no silence.
func TestProbeOnItsWayIsNoSilence(t *testing.T) {
	limits, closedAfter := play(t, full, full, silent, full, silent, full, silent, full, over)
	assert.DeepEqual(t, limits, []clocker.Millis{0, Timeout})
	assert.Equal(t, closedAfter, clocker.Millis(0))
}

// Guards against silent peers that are found late because they had no room before.
func TestPeerThatFallsSilentIsClosed(t *testing.T) {
	_, closedAfter := play(t, full, full, silent)
	assert.Equal(t, closedAfter, checkInterval+Timeout)
}

// The kernel closes the connection to a peer that was silent from the start, by its own limit.
func TestKernelDecidesAboutAPeerThatIsSilentFromTheStart(t *testing.T) {
	limits, closedAfter := play(t, silent, silent, silent, silent, sample{closed: true})
	assert.Equal(t, len(limits), 0)
	assert.Equal(t, closedAfter, clocker.Millis(0))
}

// Without TCP_INFO the kernel decides: silent peers must be found as fast as ever.
func TestKernelDecidesIfNothingIsKnown(t *testing.T) {
	unknown := sample{waiting: 100}
	limits, closedAfter := play(t, unknown, unknown, unknown, unknown, unknown, unknown, unknown, unknown, unknown, over)
	assert.Equal(t, len(limits), 0)
	assert.Equal(t, closedAfter, clocker.Millis(0))
}

// The kernel of this machine tells a full window from an empty one.
func TestSampleOfAFullWindow(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	c, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	peer := <-accepted
	defer func() { _ = peer.Close() }()
	raw, err := c.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	assert.Equal(t, sampleOf(raw), sample{})
	_ = c.SetWriteDeadline(clocker.FromNow(100))
	for err == nil {
		_, err = c.Write(make([]byte, 64<<10))
	}
	s := sampleOf(raw)
	assert.Assert(t, s.waiting > 0 && s.known && !s.closed, "%+v", s)
	go func() { _, _ = io.Copy(io.Discard, peer) }()
	for sampleOf(raw).waiting > 0 { // until the peer has read and acknowledged all
		runtime.Gosched()
	}
	_ = c.Close()
	assert.Assert(t, sampleOf(raw).closed)
}
