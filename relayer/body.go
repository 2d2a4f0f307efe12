package relayer

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"cowsliphinge/admitter"
	"cowsliphinge/carrier"
	"cowsliphinge/clocker"
)

const (
	// refusalReadTimeout bounds the reading of what is left of the body of a refused request, in
	// milliseconds. Without it net/http waits for up to 256 KB more for as long as the caller likes.
	refusalReadTimeout = 500 * clocker.Millis(1)
	// freeResponseBytes is the part of a buffered response that the charge of a request in progress covers.
	freeResponseBytes = 4 << 10
	// streamBytes is the charge for a stream besides admitter.RequestBytes. 480 streams that nobody reads took 60
	// KB each for stacks and buffers, and the process more than its memory.
	streamBytes = 16 << 10
	// passBytes is the buffer for a response that is passed on as it arrives, and scarcePassBytes the same
	// while the memory budget is full.
	passBytes       = 32 << 10
	scarcePassBytes = 4 << 10
)

// readBody reads the complete body, so that retries can send it again. The request can't be evicted for want
// of memory any more afterwards.
func (x *relayedRequest) readBody() (failure, bool) {
	limit := x.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.req.ContentLength > limit {
		return bodyTooLarge, false
	}
	if x.req.ContentLength == 0 {
		return x.finishReading(nil)
	}
	control := http.NewResponseController(x.reply.w)
	_ = control.SetReadDeadline(clocker.FromNow(x.remaining())) // fails only for test writers without deadlines
	body, err := admitter.ReadBody(http.MaxBytesReader(x.reply.w, x.req.Body, limit), x.req.ContentLength, x.memory)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bodyTooLarge, false
	case admitter.IsErrMemoryFull(err):
		return memoryFull, false
	case err != nil:
		x.reply.w.Header().Set("Connection", "close")
		return bodyReadFailed, false
	}
	f, ok := x.finishReading(body)
	if ok {
		_ = control.SetReadDeadline(time.Time{})
	}
	return f, ok
}

// finishReading takes over the body that was read.
func (x *relayedRequest) finishReading(body *admitter.Body) (failure, bool) {
	if err := x.memory.Finish(); err != nil {
		body.Release()
		return memoryFull, false
	}
	x.body, x.bodyRead = body, true
	return failure{}, true
}

// payload returns the body for the carrier, nil if there is none.
func (x *relayedRequest) payload() carrier.Payload {
	if x.body.Len() == 0 {
		return nil
	}
	return x.body
}

// releaseBody frees the body, which no further attempt may need. A write that is still in progress keeps it.
func (x *relayedRequest) releaseBody() {
	x.body.Release()
	x.body = nil
}

// releaseBodyAfterLastAttempt frees the body if no attempt can follow one whose server has answered.
func (x *relayedRequest) releaseBodyAfterLastAttempt() {
	if !x.retryable() || x.sentAttempts >= x.route.MaxAttempts {
		x.releaseBody()
	}
}

// boundRest bounds what is read of the body of a request that is refused before its end. After a refusal that
// closes the connection, the caller gets time to read it: a connection that is closed while bytes arrive is
// reset, and the response may be lost.
func (x *relayedRequest) boundRest(f failure) {
	if x.bodyRead {
		return
	}
	control := http.NewResponseController(x.reply.w)
	_ = control.SetReadDeadline(clocker.FromNow(refusalReadTimeout)) // fails only for test writers without deadlines
	if f == memoryFull || f == bodyTooLarge {
		x.reply.w.Header().Set("Connection", "close")
		// A reader over its limit makes net/http wait for the caller before it closes the connection.
		over := http.MaxBytesReader(x.reply.w, io.NopCloser(strings.NewReader("x")), 0)
		_, _ = over.Read(make([]byte, 1)) // fails for the limit
	}
}

// readResponse reads a response for up to maxBufferedBytes, or less if the memory budget is full. long is
// true if the response has not ended then.
func (x *relayedRequest) readResponse(response *carrier.Response) (body []byte, long bool, err error) {
	size := freeResponseBytes
	if response.ContentLength >= 0 {
		size = int(min(int64(size), response.ContentLength+1)) // the last byte is for the end
	}
	body = make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			if len(body) >= maxBufferedBytes || !x.growResponse(&body, response.ContentLength) {
				return body, true, nil
			}
		}
		n, err := response.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, len(body) >= maxBufferedBytes, nil
		case err != nil:
			return body, false, err
		}
	}
}

// growResponse enlarges the buffer of a response, to its length if that is known. It returns false if the
// memory budget has no room.
func (x *relayedRequest) growResponse(body *[]byte, length int64) bool {
	size := min(max(int64(2*cap(*body)), length+1), maxBufferedBytes)
	if charge := size - max(freeResponseBytes, int64(cap(*body))); charge > 0 {
		if x.memory.Charge(charge) != nil {
			return false
		}
		x.responseCharge += charge
	}
	grown := make([]byte, len(*body), size)
	copy(grown, *body)
	*body = grown
	return true
}

// passOn writes prefix and then the rest of a response as it arrives.
func (x *relayedRequest) passOn(prefix []byte, rest io.Reader) error {
	if _, err := x.reply.w.Write(prefix); err != nil {
		return err
	}
	x.lastFailure = nil
	x.memory.Release(x.responseCharge) // neither is used any more
	x.responseCharge = 0
	size := passBytes
	if x.memory.Charge(passBytes) != nil {
		size = scarcePassBytes
	} else {
		x.responseCharge = passBytes
	}
	_, err := io.CopyBuffer(plainWriter{x.reply.w}, rest, make([]byte, size))
	return err
}

// plainWriter hides io.ReaderFrom, which would take a buffer of its own.
type plainWriter struct {
	io.Writer
}
