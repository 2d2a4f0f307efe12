package tunneler

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
)

// The kernel closes the connections of a process that dies by a FIN, as at a clean end. So a far host
// sends the server's bytes in blocks, each after its length in two bytes, and marks the server's clean
// end by a length of 0. A tunnel that ends without this mark was cut. Near hosts of older versions get
// plain bytes on a connection that resets on close until the server has ended.
const (
	blockHeaderBytes = 2
	// endMarkHeader asks for blocks in a CONNECT request and announces them in the reply. Hosts of
	// older versions neither ask for them nor send them.
	endMarkHeader = "X-Tunnel-End-Mark"
	endMarkValue  = "1"
	// resetCheckHeader announces in the reply that no reset is marked as a clean end. Hosts of older versions mark one of
	// which a write to the server told.
	resetCheckHeader = "X-Tunnel-Reset-Check"
	resetCheckValue  = "1"
)

var errEnded = errors.New("the server has closed the connection")

// nearConn is the near end of a tunnel. Read returns io.EOF only after the server's clean end, and
// io.ErrUnexpectedEOF if the tunnel was cut. Through a far host that does not mark ends, a clean one can't
// be told from a cut, so that each counts as a cut; so does one behind a long write through a host that does not
// check for resets. Only one goroutine may read at a time.
type nearConn struct {
	net.Conn
	reply  reply
	blocks blockDecoder
	// wroteLong is true once a write was longer than what the far host writes to the server at once.
	wroteLong atomic.Bool
}

// Write implements net.Conn.
func (c *nearConn) Write(b []byte) (int, error) {
	if len(b) > bufferBytes {
		c.wroteLong.Store(true)
	}
	return c.Conn.Write(b)
}

// reply is what the far host announces in its reply.
type reply struct {
	// marksEnds is true if it marks the server's clean end.
	marksEnds bool
	// checksResets is true if it tells a reset during a write from a clean end.
	checksResets bool
}

func readReply(h http.Header) reply {
	return reply{marksEnds: h.Get(endMarkHeader) == endMarkValue, checksResets: h.Get(resetCheckHeader) == resetCheckValue}
}

// end returns the error of a read behind the mark.
func (c *nearConn) end() error {
	if c.wroteLong.Load() && !c.reply.checksResets {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// Read implements net.Conn.
func (c *nearConn) Read(b []byte) (int, error) {
	for {
		if c.blocks.ended {
			return 0, c.end()
		}
		n, err := c.Conn.Read(b)
		if c.reply.marksEnds {
			n = c.blocks.decode(b[:n])
		}
		if errors.Is(err, io.EOF) && !c.blocks.ended {
			err = io.ErrUnexpectedEOF
		}
		if n > 0 || err != nil || len(b) == 0 {
			return n, err
		}
	}
}

// SyscallConn implements syscall.Conn. It fails once the server has ended, so that the connection is not
// taken for one that can be used again.
func (c *nearConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok || c.blocks.ended {
		return nil, errEnded
	}
	return raw.SyscallConn()
}

// blockDecoder turns blocks back into the server's bytes.
type blockDecoder struct {
	// left is the number of bytes to come of the current block.
	left int
	// header is the beginning of a length, of headerBytes bytes.
	header      [blockHeaderBytes]byte
	headerBytes int
	// ended is true after the mark of a clean end.
	ended bool
}

// decode removes the lengths from b, moves the server's bytes to its start, and returns their number.
func (d *blockDecoder) decode(b []byte) int {
	kept := 0
	for i := 0; i < len(b) && !d.ended; {
		if d.left == 0 {
			d.addLengthByte(b[i])
			i++
			continue
		}
		n := copy(b[kept:], b[i:min(len(b), i+d.left)])
		d.left -= n
		kept += n
		i += n
	}
	return kept
}

func (d *blockDecoder) addLengthByte(b byte) {
	d.header[d.headerBytes] = b
	d.headerBytes++
	if d.headerBytes < blockHeaderBytes {
		return
	}
	d.headerBytes = 0
	d.left = int(binary.BigEndian.Uint16(d.header[:]))
	d.ended = d.left == 0
}
