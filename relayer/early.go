package relayer

import (
	"errors"
	"io"

	"cowsliphinge/carrier"
	"cowsliphinge/concluder"
)

// maxEarlyBytes limits what is read of a stream before its attempt is the current one.
const maxEarlyBytes = streamReadBytes

// earlyRead is the beginning of a stream, read while another server still had the request.
type earlyRead struct {
	bytes []byte
	// err is how the response ended; nil if it goes on.
	err error
	// shown tells what the bytes mean for the caller.
	shown concluder.Shown
}

// readEarly reads a stream until it brings what the caller with a position lacks, or ends.
func readEarly(response *carrier.Response, position streamPosition) earlyRead {
	var e earlyRead
	var events eventBuffer
	position.switchServer()
	buffer := make([]byte, maxEarlyBytes)
	for e.shown == concluder.Nothing {
		n, err := response.Read(buffer[:maxEarlyBytes-len(e.bytes)])
		e.bytes = append(e.bytes, buffer[:n]...)
		e.err = err
		fresh, orderErr := position.accept(splitEvents(events.add(buffer[:n])))
		end := concluder.StreamEnd{Complete: errors.Is(err, io.EOF), Partial: events.hasPartial(), CaughtUp: position.complete()}
		switch {
		case len(fresh) > 0, end.Whole(), len(e.bytes) == maxEarlyBytes:
			e.shown = concluder.Progress
		case err != nil, orderErr != nil:
			e.shown = concluder.Failure
		}
	}
	return e
}

// read reads what was read early, and then the rest of the response.
func (e *earlyRead) read(b []byte, response *carrier.Response) (int, error) {
	if len(e.bytes) > 0 {
		n := copy(b, e.bytes)
		e.bytes = e.bytes[n:]
		return n, nil
	}
	if e.err != nil {
		return 0, e.err
	}
	return response.Read(b)
}
