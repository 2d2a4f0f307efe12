package tunneler

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/responder"
)

const earlyResponse = "HTTP/1.1 200 OK\r\n\r\nbody"

// openToEarlyServer opens a tunnel to a server that responds before it has read a body, without a length.
func openToEarlyServer(t *testing.T, end func(*net.TCPConn)) net.Conn {
	s, err := responder.Start(responder.Config{Respond: func(*http.Request) string { return earlyResponse }, Early: true, End: end})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	h := newFarHost(t)
	h.tunnels.cfg.IsServer = func(address string) bool { return address == s.Address() }
	near, err := h.dial(s.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = near.Close() })
	return near
}

// sendAndRead sends a request and reads to the end of its response.
func sendAndRead(near net.Conn, size int) (string, error) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = fmt.Fprintf(near, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
		_, _ = io.WriteString(near, strings.Repeat("b", size)) // fails if the server has ended the connection
	}()
	got, err := io.ReadAll(near)
	_ = near.Close()
	<-written
	return string(got), err
}

// Guards against a part of a response that looks whole: the kernel tells of a reset either by the far host's read from
// the server or by its write, while the near host's own write may have succeeded.
func TestResetDuringAnUploadIsNoCleanEnd(t *testing.T) {
	const rounds = 30
	for _, size := range []int{0, 1 << 10, 300 << 10, 1 << 20, 5 << 20, 8 << 20} {
		for name, end := range map[string]func(*net.TCPConn){"at once": responder.Reset, "400 ms later": responder.ResetAfter(400 * clocker.Millis(1))} {
			t.Run(fmt.Sprintf("%d bytes, %s", size, name), func(t *testing.T) {
				t.Parallel()
				clean := 0
				for range rounds {
					if _, err := sendAndRead(openToEarlyServer(t, end), size); err == nil {
						clean++
					}
				}
				assert.Equal(t, clean, 0, "clean ends of %d", rounds)
			})
		}
	}
}

// A server may respond before it has read a long body, end its side of the connection and read on, at its own pace.
func TestEarlyEndDuringAnUploadIsClean(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"reads on": responder.CloseWrite,
		"reads on later": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			clocker.NewWall().SleepUncancellable(clocker.Second)
			_, _ = io.Copy(io.Discard, c)
		},
	} {
		for _, size := range []int{0, 1 << 10, 300 << 10, 5 << 20} {
			t.Run(fmt.Sprintf("%d bytes, %s", size, name), func(t *testing.T) {
				t.Parallel()
				got, err := sendAndRead(openToEarlyServer(t, end), size)
				assert.Assert(t, err == nil || errors.Is(err, io.EOF), "%v", err)
				assert.Equal(t, got, earlyResponse)
			})
		}
	}
}

// Guards against a part of a response that looks whole through a far host of a version that marks resets of which a write
// told it. After requests that it writes at once its mark is believed.
func TestEndBehindAnOldFarHostIsNotCleanDuringAnUpload(t *testing.T) {
	for size, want := range map[int]error{100: nil, bufferBytes: nil, bufferBytes + 1: io.ErrUnexpectedEOF, 1 << 20: io.ErrUnexpectedEOF} {
		near, far := net.Pipe()
		go func() {
			r := bufio.NewReader(far)
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\n"+endMarkHeader+": "+endMarkValue+"\r\n\r\n")
			_, _ = io.CopyN(io.Discard, r, int64(size))
			_, _ = io.WriteString(far, blocks("part")+"\x00\x00")
			_ = far.Close()
		}()
		d := Dialer{Dial: func(context.Context, string, clocker.Millis) (net.Conn, error) { return near, nil }}
		c, err := d.DialServer(context.Background(), "h", "s", testTimeout)
		assert.NilError(t, err)
		_, err = c.Write(make([]byte, size))
		assert.NilError(t, err)
		got, err := io.ReadAll(c)
		assert.Equal(t, string(got), "part")
		assert.Equal(t, err, want, "%d bytes", size)
	}
}
