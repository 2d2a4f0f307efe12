// Package streamer reads server-sent events, as model engines send them.
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
	// MaxLineBytes bounds one line of a stream.
	MaxLineBytes = 256 << 10
	// bufferBytes is how much is read ahead.
	bufferBytes = 8 << 10
)

// ErrTruncated says that the stream ended within an event.
var ErrTruncated = errors.New("stream ended within an event")

// ErrLineTooLong says that a line is above MaxLineBytes.
var ErrLineTooLong = errors.New("line of a stream is too long")

// Event is one event. Its bytes are valid until the next one is read.
type Event struct {
	// ID is the event number, or 0 if the event names none.
	ID int64
	// Name is the event type; empty for a plain message.
	Name []byte
	Data []byte
}

// DoneData is the data of the event that closes a stream.
const DoneData = "[DONE]"

// Done reports whether the event closes the stream.
func (e Event) Done() bool {
	return string(e.Data) == DoneData
}

// Reader reads events.
type Reader struct {
	buffered *bufio.Reader
	line     []byte
	data     []byte
	name     []byte
}

var buffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}

// NewReader returns a reader of r. Close gives its buffer back.
func NewReader(r io.Reader) *Reader {
	buffered := buffers.Get().(*bufio.Reader)
	buffered.Reset(r)
	return &Reader{buffered: buffered}
}

// Close gives the buffer back; the Reader must not be used afterwards.
func (r *Reader) Close() {
	if r.buffered == nil {
		return
	}
	r.buffered.Reset(nil)
	buffers.Put(r.buffered)
	r.buffered = nil
}

// Buffered returns how many bytes are read ahead.
func (r *Reader) Buffered() int {
	return r.buffered.Buffered()
}

// Next returns the next event, or io.EOF behind the last, ErrTruncated within
// one, ErrLineTooLong, or the error of the underlying reader.
func (r *Reader) Next() (Event, error) {
	event := Event{}
	started := false
	r.data = r.data[:0]
	r.name = r.name[:0]
	for {
		line, err := r.next()
		if err == io.EOF && started {
			return Event{}, ErrTruncated
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) > 0 {
			started = r.field(line, &event) || started
			continue
		}
		if started {
			event.Data = r.data
			event.Name = r.name
			return event, nil
		}
	}
}

// next returns the next line without its end.
func (r *Reader) next() ([]byte, error) {
	line, err := r.buffered.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = r.long(line)
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

// long completes a line that is larger than the buffer.
func (r *Reader) long(start []byte) ([]byte, error) {
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

// field takes one line in and reports whether it belongs to an event.
func (r *Reader) field(line []byte, event *Event) bool {
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
		event.ID, _ = strconv.ParseInt(string(value), 10, 64)
	default:
		return false
	}
	return true
}
