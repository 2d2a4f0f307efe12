// Package prober closes connections whose peer sends no acknowledgements. The kernel's own limit for that,
// TCP_USER_TIMEOUT, also ends a connection whose peer acknowledges and only has no room, because its process reads
// later. While sent bytes wait for long, the package takes the decision from the kernel: TCP_INFO tells unanswered
// retransmissions and window probes from a window that is full.
package prober

import (
	"net"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"cowsliphinge/clocker"
)

const (
	// Timeout is how long a peer may leave sent bytes unacknowledged, in milliseconds.
	Timeout = 1500 * clocker.Millis(1)
	// firstCheck is how long bytes may wait until the package looks why, in milliseconds. It is well within
	// Timeout, so that the kernel has not decided yet.
	firstCheck = 500 * clocker.Millis(1)
	// checkInterval is the time between further looks, in milliseconds.
	checkInterval = 250 * clocker.Millis(1)
)

var (
	fullWindows = metrics.NewCounter(`cowsliphinge_connection_waits_total{cause="no_room"}`)
	silentPeers = metrics.NewCounter(`cowsliphinge_connection_waits_total{cause="no_answer"}`)
)

// SetTimeout makes the kernel close a connection whose peer leaves sent bytes unacknowledged for timeout
// milliseconds; 0 means never.
func SetTimeout(fd uintptr, timeout clocker.Millis) error {
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout))
}

// sample is what the kernel tells of a connection.
type sample struct {
	// waiting is the number of bytes that were written and are not acknowledged, sent or not.
	waiting int
	// unanswered is the number of retransmissions and window probes that the peer has not answered. A peer without
	// room answers them, but acknowledges no more bytes.
	unanswered int
	closed     bool
	// known is false if the kernel does not tell why bytes wait.
	known bool
}

// Watch decides for one connection until its sent bytes are acknowledged.
type Watch struct {
	clock      *clocker.Clock
	look       func() sample
	setTimeout func(clocker.Millis)
	close      func()
}

// Start watches a connection on which a long write begins. The watch ends with the connection, or when all bytes are
// acknowledged.
func Start(clock *clocker.Clock, conn net.Conn) {
	w := newWatch(clock, conn)
	if w == nil {
		return
	}
	go func() {
		clock.SleepUncancellable(firstCheck)
		w.run()
	}()
}

// Keep watches a connection until done is closed: writes may begin at any time.
func Keep(clock *clocker.Clock, conn net.Conn, done <-chan struct{}) {
	w := newWatch(clock, conn)
	if w == nil {
		return
	}
	go func() {
		for {
			clock.SleepUncancellable(firstCheck)
			select {
			case <-done:
				return
			default:
				w.run()
			}
		}
	}()
}

// newWatch returns a watch, or nil for a connection that is closed or is none of the kernel's.
func newWatch(clock *clocker.Clock, conn net.Conn) *Watch {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return &Watch{
		clock: clock,
		look:  func() sample { return sampleOf(raw) },
		setTimeout: func(timeout clocker.Millis) {
			_ = raw.Control(func(fd uintptr) { _ = SetTimeout(fd, timeout) }) // fails only if the connection is closed
		},
		close: func() { _ = conn.Close() },
	}
}

// run decides until no bytes wait or the connection is closed.
func (w *Watch) run() {
	decides := false // else the kernel does
	answered := w.clock.Now()
	for {
		s, now := w.look(), w.clock.Now()
		switch {
		case s.closed:
			return
		case s.waiting == 0:
			if decides {
				w.setTimeout(Timeout)
			}
			return
		case !s.known: // the kernel's limit stays, as for silent peers
		case s.unanswered == 0:
			answered = now
			if !decides {
				fullWindows.Inc()
				decides = true
				w.setTimeout(0)
			}
		case decides && now-answered >= Timeout:
			silentPeers.Inc()
			w.close()
			return
		}
		w.clock.SleepUncancellable(checkInterval)
	}
}

// sampleOf returns a sample of a connection. Without SIOCOUTQ and TCP_INFO no bytes wait, so that the kernel decides.
func sampleOf(raw syscall.RawConn) sample {
	s := sample{closed: true}
	_ = raw.Control(func(fd uintptr) {
		s.closed = false
		waiting, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if err != nil || waiting == 0 {
			return
		}
		s.waiting = waiting
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		s.known = info.Segs_out > 0 // else only some fields are set
		s.closed = info.State != unix.BPF_TCP_ESTABLISHED && info.State != unix.BPF_TCP_CLOSE_WAIT
		s.unanswered = int(info.Retransmits) + int(info.Probes)
	})
	return s
}
