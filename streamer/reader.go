// Package streamer reads streams of server-sent events from model engines. It parses the
// events for package dispatcher; package relayer forwards events as bytes and has its own
// splitter.
package streamer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"
)

const (
	// MaxLineBytes bounds the length of one line of a stream.
	MaxLineBytes = 256 << 10
	// readBufferBytes is the size of the read buffer.
	readBufferBytes = 8 << 10
)

// ErrTruncated means that the stream ended within an event.
var ErrTruncated = errors.New("stream ended within an event")

// ErrLineTooLong means that a line is longer than MaxLineBytes.
var ErrLineTooLong = errors.New("line of a stream is too long")

// Event is one event. Its byte slices are valid until the next event is read.
type Event struct {
	// Number is the event number from the id field. It is 0 if the field is missing or is
	// not a number, so an event can't have the number 0.
	Number int64
	// Name is the event type, or empty if the event has none.
	Name []byte
	Data []byte
}

// DoneData is the data of the event that terminates a stream.
const DoneData = "[DONE]"

// Done reports whether the event terminates the stream.
func (e Event) Done() bool {
	return string(e.Data) == DoneData
}

// Reader reads events from a stream.
type Reader struct {
	buffered *bufio.Reader
	line     []byte
	data     []byte
	name     []byte
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// NewReader returns a Reader of r. Its buffer comes from a pool; Close returns it.
func NewReader(r io.Reader) *Reader {
	buffered := readerPool.Get().(*bufio.Reader)
	buffered.Reset(r)
	return &Reader{buffered: buffered}
}

// Close returns the buffer to the pool. The Reader must not be used afterwards.
func (r *Reader) Close() {
	if r.buffered == nil {
		return
	}
	r.buffered.Reset(nil)
	readerPool.Put(r.buffered)
	r.buffered = nil
}

// Buffered returns the number of bytes that have been read but not parsed.
func (r *Reader) Buffered() int {
	return r.buffered.Buffered()
}

// Next returns the next event. It returns io.EOF if the stream ends after an
// event, ErrTruncated if it ends within one, ErrLineTooLong, or the error of the
// underlying reader.
func (r *Reader) Next() (Event, error) {
	event := Event{}
	inEvent := false
	r.data = r.data[:0]
	r.name = r.name[:0]
	for {
		line, err := r.readLine()
		if err == io.EOF && inEvent {
			return Event{}, ErrTruncated
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) > 0 {
			inEvent = r.parseField(line, &event) || inEvent
			continue
		}
		if inEvent {
			event.Data = r.data
			event.Name = r.name
			return event, nil
		}
	}
}

// readLine returns the next line without its line terminator.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.buffered.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = r.readLongLine(line)
	}
	switch {
	case err == io.EOF && len(line) > 0:
		return nil, ErrTruncated
	case err != nil:
		return nil, err
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte("\r")), nil
}

// readLongLine reads the rest of a line that is longer than the buffer.
func (r *Reader) readLongLine(start []byte) ([]byte, error) {
	r.line = append(r.line[:0], start...)
	for len(r.line) <= MaxLineBytes {
		part, err := r.buffered.ReadSlice('\n')
		r.line = append(r.line, part...)
		if err != bufio.ErrBufferFull {
			return r.line, err
		}
	}
	return nil, ErrLineTooLong
}

// parseField parses one line into the event and reports whether the line is a
// field of an event.
func (r *Reader) parseField(line []byte, event *Event) bool {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if len(r.data) > 0 {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
	case "event":
		r.name = append(r.name[:0], value...)
	case "id":
		event.Number, _ = strconv.ParseInt(string(value), 10, 64)
	default:
		return false
	}
	return true
}
