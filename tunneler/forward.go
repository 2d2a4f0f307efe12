package tunneler

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"

	"cowsliphinge/clocker"
	"cowsliphinge/prober"
)

const (
	// bufferBytes is the size of a read: an event of a stream, or a part of a longer answer.
	bufferBytes = 8 << 10
	// probeIdle and probeInterval are the times of the keep-alive probes, in milliseconds. A host that was cut off
	// must not keep a server at work.
	probeIdle     = 500 * clocker.Millis(1)
	probeInterval = 500 * clocker.Millis(1)
	probeCount    = 3
)

// wall is the clock of the connections' time limits.
var wall = clocker.NewWall()

var buffers = sync.Pool{New: func() any { return new([blockHeaderBytes + bufferBytes]byte) }}

// forward passes bytes between the near host and the server until either end closes. The end
// of the server's bytes is passed on as it came: a reset stays a reset, so that an answer without a
// length is not taken for whole. If marked, the server's bytes go in blocks, and its clean end is
// marked; otherwise the connection to the near host resets on close until then. Once the near host has
// closed, the server's connection is closed at once.
func forward(host, server net.Conn, marked bool, forwarded func(int)) {
	watchPeer(host)
	done, ended := make(chan struct{}), make(chan struct{})
	defer close(ended)
	for _, c := range []net.Conn{host, server} { // either may read later than it gets bytes
		prober.Keep(wall, c, ended)
	}
	go func() {
		defer close(done)
		_ = copyBytes(server, host, forwarded) // the near host knows no half-closed connections
		_ = server.Close()
	}()
	err := copyFromServer(host, server, marked, forwarded)
	setResetOnClose(host, err != nil)
	_ = host.Close()
	<-done
	_ = server.Close()
}

// copyFromServer copies until the server ends and returns nil, or an error.
func copyFromServer(host, server net.Conn, marked bool, forwarded func(int)) error {
	if !marked {
		return copyBytes(host, server, forwarded)
	}
	if err := copyBlocks(host, server, blockHeaderBytes, forwarded); err != nil {
		return err
	}
	_, err := host.Write(make([]byte, blockHeaderBytes))
	return err
}

// copyBytes copies until the source ends and returns nil, or an error.
func copyBytes(to, from net.Conn, forwarded func(int)) error {
	return copyBlocks(to, from, 0, forwarded)
}

// copyBlocks copies until the source ends and returns nil, or an error. Each block that was read is
// written after its length in headerBytes bytes, which may be 0. It uses no splice of the kernel, whose
// bytes can't be counted.
func copyBlocks(to, from net.Conn, headerBytes int, forwarded func(int)) error {
	buffer := buffers.Get().(*[blockHeaderBytes + bufferBytes]byte)
	defer buffers.Put(buffer)
	for {
		n, err := from.Read(buffer[blockHeaderBytes:])
		forwarded(n)
		if n > 0 {
			binary.BigEndian.PutUint16(buffer[:], uint16(n))
			block := buffer[blockHeaderBytes-headerBytes : blockHeaderBytes+n]
			if _, err := to.Write(block); err != nil {
				return err
			}
			forwarded(len(block))
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// setResetOnClose sets whether the connection ends by a reset. That holds also if the kernel closes
// it because the process has died.
func setResetOnClose(c net.Conn, on bool) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	linger := -1 // sends what is left in the background, as by default
	if on {
		linger = 0
	}
	_ = tcp.SetLinger(linger) // fails only if the connection is already closed
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
		_ = prober.SetTimeout(fd, prober.Timeout)
	})
}
