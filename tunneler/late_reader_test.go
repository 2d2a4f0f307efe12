package tunneler

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/prober"
)

// Guards against tunnels that are cut because an end reads later than sent bytes may wait for acknowledgements: a near
// host whose caller is slow, or a server that reads a long body late.
func TestTunnelToAnEndThatReadsLateIsNotCut(t *testing.T) {
	const size = 12 << 20 // more than the buffers of both connections
	for _, towards := range []string{"near host", "server"} {
		t.Run(towards, func(t *testing.T) {
			t.Parallel()
			h := newFarHost(t)
			reader, writer := h.open(t)
			if towards == "server" {
				reader, writer = writer, reader
			}
			written := make(chan error, 1)
			go func() {
				_, err := writer.Write(make([]byte, size))
				written <- err
			}()
			clocker.NewWall().SleepUncancellable(2 * prober.Timeout)
			n, err := io.CopyN(io.Discard, reader, size)
			assert.NilError(t, err, "%d bytes", n)
			assert.NilError(t, <-written)
		})
	}
}
