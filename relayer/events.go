package relayer

import (
	"bytes"
	"strconv"
)

// maxEventBytes bounds one event of a stream, which is kept until it is whole.
const maxEventBytes = 128 << 10

// eventCutter cuts the bytes of a stream behind whole events, so that a stream
// that breaks off can go on with the next event elsewhere.
type eventBuffer struct {
	pending []byte
}

// add takes bytes and returns those that end the events begun so far. The result
// is valid until the next call.
func (c *eventBuffer) add(b []byte) []byte {
	c.pending = append(c.pending, b...)
	end := lastEventEnd(c.pending)
	if end == 0 {
		return nil
	}
	complete := bytes.Clone(c.pending[:end])
	c.pending = append(c.pending[:0], c.pending[end:]...)
	return complete
}

// open reports whether an event has begun and not ended.
func (c *eventBuffer) hasPartial() bool {
	return len(bytes.TrimSpace(c.pending)) > 0
}

func (c *eventBuffer) tooLong() bool {
	return len(c.pending) > maxEventBytes
}

// lastEventEnd returns the length up to and with the last blank line.
func lastEventEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\n\r\n")); i >= 0 {
		end = max(end, i+3)
	}
	return end
}

// unnumbered is the ID of an event that has no number, after which no stream can be
// resumed.
const unnumbered = -1

// event is one whole event with its blank line.
type event struct {
	bytes []byte
	// id is unnumbered if the event names no number.
	id int64
	// hasData is false for comments and other blocks that callers ignore.
	hasData bool
}

// ignored reports whether callers pass over the block, as over a comment.
func (e event) ignored() bool {
	return e.id == unnumbered && !e.hasData
}

// split returns the single events of whole ones.
func splitEvents(complete []byte) []event {
	var events []event
	for len(complete) > 0 {
		end := firstEventEnd(complete)
		e := event{bytes: complete[:end], id: unnumbered}
		for _, line := range bytes.Split(e.bytes, []byte("\n")) {
			if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				e.id = parseEventNumber(value)
			}
			e.hasData = e.hasData || bytes.HasPrefix(line, []byte("data"))
		}
		events = append(events, e)
		complete = complete[end:]
	}
	return events
}

func firstEventEnd(b []byte) int {
	end := len(b)
	if i := bytes.Index(b, []byte("\n\n")); i >= 0 {
		end = min(end, i+2)
	}
	if i := bytes.Index(b, []byte("\n\r\n")); i >= 0 {
		end = min(end, i+3)
	}
	return end
}

// number returns the event number, or unnumbered for an ID that is none.
func parseEventNumber(value []byte) int64 {
	n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil || n < 0 {
		return unnumbered
	}
	return n
}
