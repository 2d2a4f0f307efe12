package tunneler

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/refuser"
)

const testTimeout = 5 * clocker.Second

func dialTCP(ctx context.Context, address string, timeout clocker.Millis) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout.Duration()}
	return d.DialContext(ctx, "tcp4", address)
}

// farHost is a host with tunnels to one backend server.
type farHost struct {
	tunnels *Server
	http    *httptest.Server
	backend *refuser.Listener
	// accepts is false while the host accepts no tunnel.
	accepts bool
}

func newFarHost(t testing.TB) *farHost {
	backend, err := refuser.Listen()
	assert.NilError(t, err)
	h := &farHost{backend: backend, accepts: true}
	h.tunnels = NewServer(ServerConfig{
		Dial:     dialTCP,
		IsServer: func(address string) bool { return address == backend.Addr().String() },
		Accepts:  func() bool { return h.accepts },
	})
	h.http = httptest.NewServer(h.tunnels)
	t.Cleanup(func() {
		h.tunnels.Close()
		h.http.Close()
		_ = backend.Release()
	})
	return h
}

// open opens a tunnel and returns both of its ends.
func (h *farHost) open(t testing.TB) (near, server net.Conn) {
	near, err := h.dial(h.backend.Addr().String())
	assert.NilError(t, err)
	server, err = h.backend.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = near.Close()
		_ = server.Close()
	})
	return near, server
}

func (h *farHost) dial(address string) (net.Conn, error) {
	return Dialer{RouterKey: "k", Dial: dialTCP}.DialServer(context.Background(), h.http.Listener.Addr().String(), address, testTimeout)
}

func TestTunnelPassesBytesBothWays(t *testing.T) {
	near, server := newFarHost(t).open(t)
	for _, c := range []struct{ from, to net.Conn }{{near, server}, {server, near}} {
		text := strings.Repeat("event", 10_000)
		go func() { _, _ = io.WriteString(c.from, text) }()
		got := make([]byte, len(text))
		_, err := io.ReadFull(c.to, got)
		assert.NilError(t, err)
		assert.Assert(t, string(got) == text)
	}
}

// Guards against an answer without a length that is taken for whole though the server was reset: a
// clean end stays clean, and a reset stays a reset.
func TestEndOfTheServerIsPassedOnAsItCame(t *testing.T) {
	for _, reset := range []bool{false, true} {
		near, server := newFarHost(t).open(t)
		_, err := io.WriteString(server, "part")
		assert.NilError(t, err)
		_, err = io.ReadFull(near, make([]byte, 4))
		assert.NilError(t, err)
		if reset {
			_ = server.(*net.TCPConn).SetLinger(0)
		}
		_ = server.Close()
		_, err = near.Read(make([]byte, 1))
		if reset {
			assert.ErrorIs(t, err, syscall.ECONNRESET)
			continue
		}
		assert.ErrorIs(t, err, io.EOF)
	}
}

// Guards against a server that goes on working for a caller who has left.
func TestServerSeesAtOnceThatTheNearHostHasClosed(t *testing.T) {
	near, server := newFarHost(t).open(t)
	_ = near.Close()
	_, err := server.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against "not run" being said wrongly, and against a crash taken for a broken path: the near
// host learns before its first byte whether the server accepted the connection.
func TestRefusedServerIsReportedAsRefused(t *testing.T) {
	h := newFarHost(t)
	assert.NilError(t, h.backend.Close())
	_, err := h.dial(h.backend.Addr().String())
	assert.Assert(t, IsErrServerUnreachable(err), "%v", err)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
}

func TestHostsThatOfferNoTunnel(t *testing.T) {
	h := newFarHost(t)
	_, err := h.dial("127.0.0.1:1")
	assert.Assert(t, IsErrHostUnavailable(err), "an address that is no server's: %v", err)
	h.accepts = false
	_, err = h.dial(h.backend.Addr().String())
	assert.Assert(t, IsErrHostUnavailable(err), "a host that stops: %v", err)
	h.http.Close()
	_, err = h.dial(h.backend.Addr().String())
	assert.Assert(t, IsErrHostUnavailable(err) && !errors.Is(err, syscall.ECONNREFUSED), "a host that is gone is no server that refuses: %v", err)
}

// The reply of the far host may be anything.
func TestRepliesThatAreNoTunnel(t *testing.T) {
	for _, reply := range []string{"", "x", "HTTP/1.1 200 OK\r\n\r\nearly", "HTTP/1.1 200 OK\r\n" + strings.Repeat("a: b\r\n", 10_000), "HTTP/1.1 302 Found\r\n\r\n"} {
		near, far := net.Pipe()
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(far))
			_, _ = io.WriteString(far, reply)
			_ = far.Close()
		}()
		d := Dialer{Dial: func(context.Context, string, clocker.Millis) (net.Conn, error) { return near, nil }}
		_, err := d.DialServer(context.Background(), "h", "s", testTimeout)
		assert.Assert(t, IsErrHostUnavailable(err), "%q: %v", reply[:min(len(reply), 20)], err)
	}
}

// A caller that leaves while a tunnel is opened does not leave one behind.
func TestCanceledDialLeavesNoTunnel(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	near, far := net.Pipe()
	d := Dialer{Dial: func(context.Context, string, clocker.Millis) (net.Conn, error) { return near, nil }}
	go func() {
		_, _ = http.ReadRequest(bufio.NewReader(far))
		cancel()
	}()
	_, err := d.DialServer(ctx, "h", "s", testTimeout)
	assert.Assert(t, err != nil)
	_, err = far.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}
