package flooder

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

const (
	// floodBodyBytes is max_body_bytes of the tests, and bodyClients the number of clients that send
	// bodies: together they send one and a half times floodMemoryMb.
	floodBodyBytes = 1 << 20
	bodyClients    = 96
	floodMemoryMb  = 64
	// bodyDescriptors bounds the descriptors of a process with bodyClients: two for each, and its own.
	bodyDescriptors = 2*bodyClients + 64
	// pieceBytes is one piece of a body, and largeChunkBytes one large chunk.
	pieceBytes      = 16 << 10
	largeChunkBytes = 64 << 10
	// repeats is how often a client sends a whole body.
	repeats = 8
	// overBytes is what a client sends of a body over the limit, and announcedBytes what it announces.
	overBytes      = 8 * floodBodyBytes
	announcedBytes = 1 << 30
	// headClients send heads of headBytes that don't end.
	headClients     = 512
	headBytes       = 60 << 10
	headDescriptors = headClients + 64
	// connections are opened at a process that has maxDescriptors.
	connections    = 1500
	maxDescriptors = 512
	// readers ask for answers that they don't read.
	readers           = 640
	readerDescriptors = 2*readers + 64
	// receiveBytes is the receive buffer of a caller that doesn't read.
	receiveBytes = 4 << 10
)

func startFloodProcess(t *testing.T) *process {
	return startProcess(t, processConfig{memoryMb: floodMemoryMb, maxBodyBytes: floodBodyBytes})
}

// Bodies that stop short of their end keep all that was read in memory until the deadline of their callers.
func TestBodiesWithoutTheirLastByteStayWithinMemory(t *testing.T) {
	p := startFloodProcess(t)
	body := make([]byte, floodBodyBytes-1)
	p.crowd(bodyClients, func(c net.Conn) error {
		if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", p.requestHead("/order/x"), floodBodyBytes); err != nil {
			return err
		}
		_, err := c.Write(body)
		return err
	})
	p.assertBounded(bodyDescriptors)
}

// The same in pieces: the buffer of a body that grows with each read holds up to twice the body.
func TestBodiesInPiecesWithoutTheirLastByteStayWithinMemory(t *testing.T) {
	p := startFloodProcess(t)
	piece := make([]byte, pieceBytes)
	p.crowd(bodyClients, func(c net.Conn) error {
		if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", p.requestHead("/order/x"), floodBodyBytes); err != nil {
			return err
		}
		for sent := 0; sent < floodBodyBytes-1; sent += pieceBytes {
			if _, err := c.Write(piece[:min(pieceBytes, floodBodyBytes-1-sent)]); err != nil {
				return err
			}
		}
		return nil
	})
	p.assertBounded(bodyDescriptors)
}

// chunkedClient sends a chunked body of so many bytes in chunks of one size, without the last chunk. It writes
// many small chunks at once.
func chunkedClient(p *process, bodyBytes, chunkBytes int) func(c net.Conn) error {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", chunkBytes, make([]byte, chunkBytes))
	perWrite := max(1, largeChunkBytes/len(chunk))
	write := bytes.Repeat(chunk, perWrite)
	return func(c net.Conn) error {
		if _, err := fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n", p.requestHead("/order/x")); err != nil {
			return err
		}
		for sent := 0; sent+perWrite*chunkBytes <= bodyBytes; sent += perWrite * chunkBytes {
			if _, err := c.Write(write); err != nil {
				return err
			}
		}
		return nil
	}
}

// Chunked bodies that never end announce no length that could be refused.
func TestBodiesInLargeChunksWithoutEndStayWithinMemory(t *testing.T) {
	p := startFloodProcess(t)
	p.crowd(bodyClients, chunkedClient(p, floodBodyBytes-1, largeChunkBytes))
	p.assertBounded(bodyDescriptors)
}

// Chunks of one byte arrive in many small reads, none of which may take a buffer of its own.
func TestBodiesInOneByteChunksWithoutEndStayWithinMemory(t *testing.T) {
	p := startFloodProcess(t)
	p.crowd(bodyClients, chunkedClient(p, floodBodyBytes-1, 1))
	p.assertBounded(bodyDescriptors)
}

// Whole bodies are held until a server has them, with a copy for each attempt.
func TestWholeBodiesAgainAndAgainStayWithinMemory(t *testing.T) {
	p := startFloodProcess(t)
	body := make([]byte, floodBodyBytes)
	p.crowd(bodyClients, func(c net.Conn) error {
		reader := bufio.NewReader(c)
		for range repeats {
			if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", p.requestHead("/order/x"), floodBodyBytes); err != nil {
				return err
			}
			if _, err := c.Write(body); err != nil {
				return err
			}
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return err
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return err
			}
			if resp.Close {
				if c, err = p.dial(); err != nil {
					return err
				}
				reader.Reset(c)
			}
		}
		return nil
	})
	p.assertBounded(bodyDescriptors)
}

// A body that announces too much is refused, whatever of it is sent.
func TestBodiesAnnouncedFarOverTheLimitStayWithinMemory(t *testing.T) {
	p := startFloodProcess(t)
	body := make([]byte, overBytes)
	p.crowd(bodyClients, func(c net.Conn) error {
		if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", p.requestHead("/order/x"), announcedBytes); err != nil {
			return err
		}
		_, err := c.Write(body)
		return err
	})
	p.assertBounded(bodyDescriptors)
}

// A body over the limit that announces no length is read up to the limit.
func TestBodiesFarOverTheLimitStayWithinMemory(t *testing.T) {
	p := startFloodProcess(t)
	p.crowd(bodyClients, chunkedClient(p, overBytes, largeChunkBytes))
	p.assertBounded(bodyDescriptors)
}

// A head that doesn't end takes its bytes, and far more for each of its lines once these are parsed.
func TestHeadsThatStallStayWithinMemory(t *testing.T) {
	for name, line := range map[string]func(n int) string{
		"one large line": func(int) string { return "large: " + strings.Repeat("l", headBytes) },
		"many lines":     func(n int) string { return fmt.Sprintf("%x:\r\n", n) },
	} {
		t.Run(name, func(t *testing.T) {
			p := startFloodProcess(t)
			var head strings.Builder
			for n := 0; head.Len() < headBytes; n++ {
				head.WriteString(line(n))
			}
			p.crowd(headClients, func(c net.Conn) error {
				_, err := io.WriteString(c, p.requestHead("/order/x")+head.String())
				return err
			})
			p.assertBounded(headDescriptors)
		})
	}
}

// Connections without a request take descriptors that servers, the store and other hosts need.
func TestManyConnectionsLeaveDescriptors(t *testing.T) {
	p := startProcess(t, processConfig{memoryMb: floodMemoryMb, maxBodyBytes: floodBodyBytes, maxDescriptors: maxDescriptors})
	p.crowd(connections, func(c net.Conn) error {
		_, err := io.WriteString(c, "POST ")
		return err
	})
	p.assertBounded(maxDescriptors)
}

// Callers that don't read keep what their servers sent in memory.
func TestCallersThatDoNotReadStayWithinMemory(t *testing.T) {
	for _, path := range []string{"/large/x", "/stream/x"} {
		t.Run(strings.Trim(path, "/x"), func(t *testing.T) {
			p := startFloodProcess(t)
			p.crowd(readers, func(c net.Conn) error {
				if err := c.(*net.TCPConn).SetReadBuffer(receiveBytes); err != nil {
					return err
				}
				if _, err := fmt.Fprintf(c, "%sContent-Length: 0\r\n\r\n", p.requestHead(path)); err != nil {
					return err
				}
				_, err := c.Read(make([]byte, 1)) // the answer has begun
				return err
			})
			p.assertBounded(readerDescriptors)
		})
	}
}

// A limit that refuses a single body of legal size would refuse an ordinary caller. MemoryMb is that of the
// smallest machines.
func TestOneBodyAtTheLimitIsServed(t *testing.T) {
	const bodyBytes = 4 << 20
	p := startProcess(t, processConfig{memoryMb: 144, maxBodyBytes: bodyBytes})
	assert.Equal(t, p.send(bodyBytes), http.StatusOK)
	c, err := p.dial()
	assert.NilError(t, err)
	assert.NilError(t, chunkedClient(p, bodyBytes, largeChunkBytes-16)(c))
	rest := bodyBytes - bodyBytes/(largeChunkBytes-16)*(largeChunkBytes-16)
	_, err = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", rest, make([]byte, rest))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(clocker.FromNow(ioTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	p.assertBounded(bodyDescriptors)
}
