package tunneler

import (
	"errors"
	"io"
	"net"
	"sync"

	"golang.org/x/sys/unix"

	"cowsliphinge/clocker"
)

const (
	// bufferBytes is the size of a read: an event of a stream, or a part of a longer answer.
	bufferBytes = 8 << 10
	// ackTimeout is how long bytes sent to the near host may stay unacknowledged, and how long
	// it may leave keep-alive probes unanswered, in milliseconds. A host that was cut off must not
	// keep a server at work.
	ackTimeout = 1500 * clocker.Millis(1)
	// probeIdle and probeInterval are the times of the keep-alive probes, in milliseconds.
	probeIdle     = 500 * clocker.Millis(1)
	probeInterval = 500 * clocker.Millis(1)
	probeCount    = 3
)

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// forward passes bytes between the near host and the server until either end closes. The end
// of the server's bytes is passed on as it came: a reset stays a reset, so that an answer without a
// length is not taken for whole. Once the near host has closed, the server's connection is
// closed at once.
func forward(host, server net.Conn, forwarded func(int)) {
	watchPeer(host)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = copyBytes(server, host, forwarded) // the near host knows no half-closed connections
		_ = server.Close()
	}()
	if err := copyBytes(host, server, forwarded); err != nil {
		reset(host)
	}
	_ = host.Close()
	<-done
	_ = server.Close()
}

// copyBytes copies until the source ends and returns nil, or an error. It uses no splice of the
// kernel, whose bytes can't be counted.
func copyBytes(to, from net.Conn, forwarded func(int)) error {
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	for {
		n, err := from.Read(buffer[:])
		forwarded(n)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return err
			}
			forwarded(n)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// reset makes the close of a connection a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// watchPeer makes the kernel close a connection whose other end is silent.
func watchPeer(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeIdle.Duration(), Interval: probeInterval.Duration(), Count: probeCount})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout))
	})
}
