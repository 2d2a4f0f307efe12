package tunneler

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// loseHost closes the far ends of all tunnels as the kernel does when the process dies: by a FIN.
func (h *farHost) loseHost() {
	h.tunnels.mu.Lock()
	defer h.tunnels.mu.Unlock()
	for c := range h.tunnels.open {
		_ = c.Close()
	}
}

// Guards against an answer without a length that is taken for whole because the host in between died
// or ended a planned stop: both close their connections by a FIN, like a server after its answer.
func TestTunnelThatIsCutDoesNotEndLikeAnAnswer(t *testing.T) {
	for name, cut := range map[string]func(*farHost){
		"death":        (*farHost).loseHost,
		"planned stop": func(h *farHost) { h.tunnels.Close() },
	} {
		h := newFarHost(t)
		near, server := h.open(t)
		_, err := io.WriteString(server, "part")
		assert.NilError(t, err)
		_, err = io.ReadFull(near, make([]byte, 4))
		assert.NilError(t, err)
		cut(h)
		_, err = near.Read(make([]byte, 1))
		assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%s: %v", name, err)
	}
}

// oldNearHost opens a tunnel as hosts of older versions do, which know no mark.
func (h *farHost) oldNearHost(t *testing.T) (near, server net.Conn) {
	near, err := dialTCP(context.Background(), h.http.Listener.Addr().String(), testTimeout)
	assert.NilError(t, err)
	address := h.backend.Addr().String()
	_, err = fmt.Fprintf(near, "CONNECT %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer k\r\n\r\n", address, address)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReaderSize(near, 16), &http.Request{Method: http.MethodConnect})
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get(endMarkHeader), "")
	server, err = h.backend.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = near.Close()
		_ = server.Close()
	})
	return near, server
}

// Guards against bytes that a host of an older version does not understand, and against its taking the
// death or a planned stop of the far host for the end of an answer.
func TestOldNearHostGetsPlainBytesAndAReset(t *testing.T) {
	h := newFarHost(t)
	near, server := h.oldNearHost(t)
	_, err := io.WriteString(server, "answer")
	assert.NilError(t, err)
	got := make([]byte, 6)
	_, err = io.ReadFull(near, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "answer")
	_ = server.Close()
	_, err = near.Read(got)
	assert.ErrorIs(t, err, io.EOF)

	for _, cut := range []func(){h.loseHost, h.tunnels.Close} {
		near, _ = h.oldNearHost(t)
		cut()
		_, err = near.Read(got)
		assert.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// Guards against an answer without a length that is taken for whole behind a far host of an older version,
// which ends a tunnel alike when the server has ended and when it dies itself.
func TestNoEndBehindAnOldFarHostIsClean(t *testing.T) {
	near, far := net.Pipe()
	go func() {
		_, _ = http.ReadRequest(bufio.NewReader(far))
		_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\n\r\n")
		_, _ = io.WriteString(far, "answer")
		_ = far.Close()
	}()
	d := Dialer{Dial: func(context.Context, string, clocker.Millis) (net.Conn, error) { return near, nil }}
	c, err := d.DialServer(context.Background(), "h", "s", testTimeout)
	assert.NilError(t, err)
	got, err := io.ReadAll(c)
	assert.Equal(t, string(got), "answer")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// blocks returns the parts as a far host sends them, without the mark of a clean end.
func blocks(parts ...string) string {
	var b strings.Builder
	for _, p := range parts {
		_ = binary.Write(&b, binary.BigEndian, uint16(len(p)))
		b.WriteString(p)
	}
	return b.String()
}

// readerConn is a connection on which the bytes of a reader arrive.
type readerConn struct {
	net.Conn
	io.Reader
}

func (c readerConn) Read(b []byte) (int, error) { return c.Reader.Read(b) }

// Blocks may arrive in parts of any size, and each cut before the mark is told from a clean end.
func TestBlocksArriveInAnyParts(t *testing.T) {
	const mark = "\x00\x00"
	sent := blocks("a", strings.Repeat("b", 300), "c") + mark
	for name, wrap := range map[string]func(io.Reader) io.Reader{
		"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "halves": iotest.HalfReader, "end with data": iotest.DataErrReader,
	} {
		for n := range len(sent) + 1 {
			c := &nearConn{Conn: readerConn{Reader: wrap(strings.NewReader(sent[:n]))}, reply: reply{marksEnds: true}}
			got, err := io.ReadAll(c)
			if n < len(sent) {
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "%s: cut after %d bytes", name, n)
				continue
			}
			assert.NilError(t, err)
			assert.Equal(t, string(got), "a"+strings.Repeat("b", 300)+"c")
		}
	}
}

// Guards against a request on a connection that the server has closed: the FIN may arrive after the mark.
func TestTunnelIsNotUsableAfterTheMark(t *testing.T) {
	near, server := newFarHost(t).open(t)
	_, err := near.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	_ = server.Close()
	_, err = near.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	_, err = near.(syscall.Conn).SyscallConn()
	assert.ErrorIs(t, err, errEnded)
}

// BenchmarkTunnel passes events of 100 bytes, and an answer of 8 KB, from the server to the near host.
func BenchmarkTunnel(b *testing.B) {
	for _, size := range []int{100, bufferBytes} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			h := newFarHost(b)
			near, server := h.open(b)
			b.SetBytes(int64(size))
			payload, got := make([]byte, size), make([]byte, size)
			b.ResetTimer()
			for range b.N {
				_, err := server.Write(payload)
				assert.NilError(b, err)
				_, err = io.ReadFull(near, got)
				assert.NilError(b, err)
			}
		})
	}
}
