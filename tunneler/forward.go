package tunneler

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"

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
	// resetGracePeriod is how long after a read from the server a write in progress may fail for the same reset, in
	// milliseconds. The kernel wakes both at once.
	resetGracePeriod = 200 * clocker.Millis(1)
	// uploadGracePeriod is how long the rest of a request may take behind the server's end, in milliseconds. The near host
	// waits for its write for less.
	uploadGracePeriod = 500 * clocker.Millis(1)
)

var uploadResets = metrics.NewCounter("cowsliphinge_tunnel_upload_resets_total")

// wall is the clock of the connections' time limits.
var wall = clocker.NewWall()

var buffers = sync.Pool{New: func() any { return new([blockHeaderBytes + bufferBytes]byte) }}

// forward passes bytes between the near host and the server until either end closes. The end
// of the server's bytes is passed on as it came: a reset stays a reset, also one of which only a write tells, so that an
// answer without a length is not taken for whole. If marked, the server's bytes go in blocks, and its clean end is
// marked; otherwise the connection to the near host resets on close until then. Once the near host has
// closed, the server's connection is closed at once.
func forward(host, server net.Conn, marked bool, forwarded func(int)) {
	watchPeer(host)
	done, ended := make(chan struct{}), make(chan struct{})
	defer close(ended)
	for _, c := range []net.Conn{host, server} { // either may read later than it gets bytes
		prober.Keep(wall, c, ended)
	}
	upload := &uploadConn{Conn: server}
	go func() {
		defer close(done)
		_ = copyBytes(upload, host, forwarded) // the near host knows no half-closed connections
		_ = server.Close()
	}()
	err := copyFromServer(host, server, upload, marked, forwarded)
	setResetOnClose(host, err != nil)
	if err == nil {
		finishUpload(host, done)
	}
	_ = host.Close()
	_ = server.Close()
	<-done
}

// finishUpload gives the near host, which knows that the server's bytes have ended, time for the rest of a request. Bytes
// that arrive on a closed connection would reset it, so that the near host could not tell the end from a cut.
func finishUpload(host net.Conn, done <-chan struct{}) {
	if half, ok := host.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // fails only if the connection is already closed
	}
	ctx, cancel := wall.WithTimeout(context.Background(), uploadGracePeriod)
	defer cancel()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// copyFromServer copies until the server ends and returns nil, or an error.
func copyFromServer(host, server net.Conn, upload *uploadConn, marked bool, forwarded func(int)) error {
	headerBytes := 0
	if marked {
		headerBytes = blockHeaderBytes
	}
	err := copyBlocks(host, server, headerBytes, forwarded)
	if err == nil {
		if err = upload.failure(); err != nil {
			uploadResets.Inc()
		}
	}
	if err != nil || !marked {
		return err
	}
	_, err = host.Write(make([]byte, blockHeaderBytes))
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

// uploadConn is the connection to the server for writes. The kernel gives the error of a reset to one call only: if that is a
// write, the read ends like that of a response which the server has ended.
type uploadConn struct {
	net.Conn

	mu  sync.Mutex // held during a write
	err error
}

// Write implements net.Conn.
func (u *uploadConn) Write(b []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	n, err := u.Conn.Write(b)
	u.err = err
	return n, err
}

// failure returns the error of the last write. One that is still blocked after resetGracePeriod has not failed: the server
// may have ended its response and read on later.
func (u *uploadConn) failure() error {
	failed := make(chan error, 1)
	go func() { // ends at the latest when the connection is closed
		u.mu.Lock()
		defer u.mu.Unlock()
		failed <- u.err
	}()
	ctx, cancel := wall.WithTimeout(context.Background(), resetGracePeriod)
	defer cancel()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
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
