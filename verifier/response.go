package verifier

import "net/http"

type responsePart uint8

const (
	// noResponse is the state before a request and after the end of its response. Bytes that arrive then belong to none.
	noResponse responsePart = iota
	headPart
	// sizedPart is a body with a length.
	sizedPart
	chunkSizePart
	chunkExtensionPart
	chunkPart
	chunkEndPart
	trailerPart
	// uncheckedPart is what nothing can be told of: a body that ends with its connection, or chunks that the parser
	// refuses.
	uncheckedPart
)

// maxChunkDigits bounds the length of a chunk, so that its value fits into an int64.
const maxChunkDigits = 15

// Response checks the bytes of a response as they arrive. It follows them to the end of the response, so that heads and
// the trailer are checked and the body is not. The zero value is a response that has ended.
type Response struct {
	part responsePart
	head head
	// toHead is true for the response to a HEAD request, which has no body.
	toHead bool
	// left is the number of bytes that are left of the body or of the chunk, or the length of the chunk so far.
	left   int64
	digits int
}

func (r *Response) ended() bool {
	return r.part == noResponse
}

// Begin starts to check the response to a request with the method.
func (r *Response) Begin(method string) {
	*r = Response{part: headPart, toHead: method == http.MethodHead}
	r.head.begin()
}

// Scan checks the next bytes. It returns their number, or an ErrBrokenResponse and the number of those before what breaks
// a rule.
func (r *Response) Scan(b []byte) (int, error) {
	for i := 0; i < len(b); {
		switch r.part {
		case noResponse, uncheckedPart:
			return len(b), nil
		case headPart, trailerPart:
			n, err := r.head.scan(b[i:])
			i += n
			if err != nil {
				return i, err
			}
			if r.head.ended() {
				r.endHead()
			}
		case sizedPart, chunkPart:
			n := min(r.left, int64(len(b)-i))
			i += int(n)
			r.left -= n
			if r.left == 0 {
				r.endData()
			}
		default:
			r.stepChunkLine(b[i])
			i++
		}
	}
	return len(b), nil
}

// endHead finds out what follows a head or a trailer.
func (r *Response) endHead() {
	h := &r.head
	switch {
	case r.part == trailerPart:
		r.part = noResponse
	case h.status < http.StatusOK:
		h.begin()
	case r.toHead || h.status == http.StatusNoContent || h.status == http.StatusNotModified || !h.chunked && h.length == 0:
		r.part = noResponse
	case h.chunked:
		r.beginChunk()
	case h.length > 0:
		r.part, r.left = sizedPart, h.length
	default:
		r.part = uncheckedPart
	}
}

func (r *Response) endData() {
	r.part = noResponse
	if r.head.chunked {
		r.part = chunkEndPart
	}
}

func (r *Response) beginChunk() {
	r.part, r.left, r.digits = chunkSizePart, 0, 0
}

// stepChunkLine takes a byte of the line before a chunk or of the line end behind it.
func (r *Response) stepChunkLine(c byte) {
	switch {
	case r.part == chunkSizePart:
		r.stepChunkSize(c)
	case r.part == chunkExtensionPart && c == '\n':
		r.endChunkSize()
	case r.part == chunkEndPart && c == '\n':
		r.beginChunk()
	case r.part == chunkEndPart && c != '\r':
		r.part = uncheckedPart
	}
}

func (r *Response) stepChunkSize(c byte) {
	digit, ok := hexDigit(c)
	switch {
	case ok && r.digits < maxChunkDigits:
		r.left = r.left<<4 | digit
		r.digits++
	case ok || r.digits == 0:
		r.part = uncheckedPart
	case c == '\n':
		r.endChunkSize()
	default:
		r.part = chunkExtensionPart
	}
}

// endChunkSize begins a chunk, or the trailer behind the last one.
func (r *Response) endChunkSize() {
	r.part = chunkPart
	if r.left == 0 {
		r.part = trailerPart
		r.head.beginTrailer()
	}
}

func hexDigit(c byte) (int64, bool) {
	switch {
	case isDigit(c):
		return int64(c - '0'), true
	case c >= 'a' && c <= 'f':
		return int64(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return int64(c-'A') + 10, true
	}
	return 0, false
}
