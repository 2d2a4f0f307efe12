// Package refuser provides addresses on loopback at which connections are refused. A
// port that is merely closed may be given to another process at once.
package refuser

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// Listener is a listener whose port stays taken after Close, so that connections are
// refused there.
type Listener struct {
	net.Listener
	holder int
}

// Listen returns a Listener on a free port.
func Listen() (*Listener, error) {
	holder, address, err := hold()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	cfg := net.ListenConfig{Control: sharePort}
	l, err := cfg.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, trace.NewAggregate(err, unix.Close(holder))
	}
	return &Listener{Listener: l, holder: holder}, nil
}

// Listen listens again at the address after Close.
func (l *Listener) Listen() error {
	cfg := net.ListenConfig{Control: sharePort}
	again, err := cfg.Listen(context.Background(), "tcp4", l.Addr().String())
	if err != nil {
		return trace.Wrap(err)
	}
	l.Listener = again
	return nil
}

// Release closes the listener and gives its port back.
func (l *Listener) Release() error {
	err := l.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	return trace.NewAggregate(err, unix.Close(l.holder))
}

// hold binds a socket that does not listen.
func hold() (int, string, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, "", os.NewSyscallError("socket", err)
	}
	err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	var name unix.Sockaddr
	if err == nil {
		name, err = unix.Getsockname(fd)
	}
	if err != nil {
		return 0, "", trace.NewAggregate(os.NewSyscallError("bind", err), unix.Close(fd))
	}
	bound := name.(*unix.SockaddrInet4)
	return fd, (&net.TCPAddr{IP: bound.Addr[:], Port: bound.Port}).String(), nil
}

func sharePort(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, failed)
}
