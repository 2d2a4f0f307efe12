package admitter

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// firstChunkBytes, secondChunkBytes and chunkBytes are the sizes of the chunks of a body. The first ones
	// are smaller, since most bodies are. Only those of chunkBytes are pooled.
	firstChunkBytes  = 4 << 10
	secondChunkBytes = 16 << 10
	chunkBytes       = 64 << 10
)

// chunks is a pool of chunks of chunkBytes.
var chunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// Body is a request body in chunks that are charged to a Holding. It is held until each user has released
// it; ReadBody returns it with one user.
type Body struct {
	holding *Holding
	parts   [][]byte
	// charged is the sum of the sizes of the chunks.
	charged int64
	length  int64
	users   atomic.Int32
}

// ReadBody reads r to its end, charging each chunk before it is read. announced is the length that the client
// announced, or negative: it makes the last chunk no larger than needed, but is not trusted. The error is an
// ErrMemoryFull if a charge was refused or the request was evicted, else that of r.
func ReadBody(r io.Reader, announced int64, h *Holding) (*Body, error) {
	b := &Body{holding: h}
	b.users.Store(1)
	for {
		size := b.nextSize(announced)
		if size == 0 {
			size, announced = 1, -1 // r is at its end, unless it exceeds what was announced
		}
		done, err := b.readChunk(r, size)
		if err != nil {
			if h.Evicted() {
				err = ErrMemoryFull{Reason: ReasonEvicted}
			}
			b.Release()
			return nil, err
		}
		if done {
			return b, nil
		}
	}
}

// nextSize returns the size of the next chunk.
func (b *Body) nextSize(announced int64) int {
	size := chunkBytes
	switch len(b.parts) {
	case 0:
		size = firstChunkBytes
	case 1:
		size = secondChunkBytes
	}
	if announced >= 0 {
		return int(min(int64(size), max(0, announced-b.length)))
	}
	return size
}

// readChunk reads until the chunk is full or r ends, and reports whether it has ended.
func (b *Body) readChunk(r io.Reader, size int) (bool, error) {
	if err := b.holding.charge(int64(size), int64(size)); err != nil {
		return false, err
	}
	chunk := newChunk(size)
	n, err := readFull(r, chunk)
	if n == 0 {
		freeChunk(chunk)
		b.holding.release(int64(size), int64(size))
	} else {
		b.parts = append(b.parts, chunk[:n])
		b.charged += int64(size)
		b.length += int64(n)
	}
	if errors.Is(err, io.EOF) {
		return true, nil
	}
	return false, err
}

// readFull fills p unless r ends or fails before, and returns the error of r unchanged.
func readFull(r io.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		got, err := r.Read(p[n:])
		n += got
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func newChunk(size int) []byte {
	if size == chunkBytes {
		return chunks.Get().(*[chunkBytes]byte)[:]
	}
	return make([]byte, size)
}

func freeChunk(chunk []byte) {
	if cap(chunk) == chunkBytes {
		chunks.Put((*[chunkBytes]byte)(chunk[:chunkBytes]))
	}
}

// Len returns the length of the body.
func (b *Body) Len() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

// Parts returns the content in order. It is valid until the caller's use is released.
func (b *Body) Parts() [][]byte {
	if b == nil {
		return nil
	}
	return b.parts
}

// Retain adds a user. It returns false if the body has been released.
func (b *Body) Retain() bool {
	for {
		users := b.users.Load()
		if users == 0 {
			return false
		}
		if b.users.CompareAndSwap(users, users+1) {
			return true
		}
	}
}

// Release ends one use. The last one frees the chunks and their charge.
func (b *Body) Release() {
	if b == nil || b.users.Add(-1) > 0 {
		return
	}
	for _, part := range b.parts {
		freeChunk(part)
	}
	b.parts = nil
	b.holding.release(b.charged, b.charged)
}
