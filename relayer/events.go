package relayer

import (
	"bytes"
	"slices"
	"strconv"

	"cowsliphinge/admitter"
)

// maxEventBytes limits one event of a stream, which is buffered until it is complete.
const maxEventBytes = 128 << 10

const (
	// freeEventBytes is the part of an incomplete event that the charge of a stream covers.
	freeEventBytes = 4 << 10
	// eventCopies is the charge for a byte of the buffer of an event: complete events are copied to be sent.
	eventCopies = 2
)

// eventBuffer collects the bytes of a stream and releases complete events only. A
// truncated stream can then continue with the next event on another server.
type eventBuffer struct {
	pending []byte
	// memory is charged for the buffer beyond freeEventBytes; it may be nil. charged is the charge.
	memory  *admitter.Holding
	charged int64
}

// reserve makes room for n more bytes. It returns an admitter.ErrMemoryFull if the memory budget has none.
func (c *eventBuffer) reserve(n int) error {
	need := len(c.pending) + n
	if need <= max(cap(c.pending), freeEventBytes) {
		return nil
	}
	size := max(need, min(2*cap(c.pending), maxEventBytes+streamReadBytes))
	charge := int64(eventCopies * size)
	if err := c.memory.Charge(charge - c.charged); err != nil {
		return err
	}
	c.charged = charge
	grown := make([]byte, len(c.pending), size)
	copy(grown, c.pending)
	c.pending = grown
	return nil
}

// shrink gives a large buffer back that holds little.
func (c *eventBuffer) shrink() {
	if c.charged > 0 && len(c.pending) <= freeEventBytes {
		c.pending = bytes.Clone(c.pending)
		c.release()
	}
}

// release ends the charge of the buffer.
func (c *eventBuffer) release() {
	c.memory.Release(c.charged)
	c.charged = 0
}

// add appends bytes and returns all events that are complete now, or nil.
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

// hasPartial reports whether the buffer holds the start of an event.
func (c *eventBuffer) hasPartial() bool {
	return len(bytes.TrimSpace(c.pending)) > 0
}

func (c *eventBuffer) tooLong() bool {
	return len(c.pending) > maxEventBytes
}

// lastEventEnd returns the length up to and including the last blank line.
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

// unnumbered is the number of an event without one; 0 is a valid number. A stream can't be
// resumed after such an event.
const unnumbered = -1

// event is one complete event including its blank line.
type event struct {
	bytes []byte
	// number is the event number from the id field, or unnumbered.
	number int64
	// hasData is false for comments and other blocks without a data field.
	hasData bool
	// malformed is true if a line can't be one of an event, such as the header of a response.
	malformed bool
}

// ignored reports whether callers ignore the block, as they do with a comment.
func (e event) ignored() bool {
	return e.number == unnumbered && !e.hasData
}

// splitEvents splits a sequence of complete events.
func splitEvents(complete []byte) []event {
	var events []event
	for len(complete) > 0 {
		end := firstEventEnd(complete)
		e := event{bytes: complete[:end], number: unnumbered}
		for _, line := range bytes.Split(e.bytes, []byte("\n")) {
			if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				e.number = parseEventNumber(value)
			}
			e.hasData = e.hasData || bytes.HasPrefix(line, []byte("data"))
			e.malformed = e.malformed || !isEventLine(bytes.TrimSuffix(line, []byte("\r")))
		}
		events = append(events, e)
		complete = complete[end:]
	}
	return events
}

// isEventLine reports whether a line may stand in an event: it is empty, a comment or a field with a name
// in lower case. The standard lets readers ignore any other line, but servers that fail write
// responses and texts there.
func isEventLine(line []byte) bool {
	name, _, isField := bytes.Cut(line, []byte(":"))
	if len(name) == 0 {
		return true
	}
	if !isField {
		return slices.Contains([]string{"data", "event", "id", "retry"}, string(name))
	}
	return !bytes.ContainsFunc(name, func(r rune) bool { return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '_' })
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

// parseEventNumber parses an event number. It returns unnumbered if the value is not a
// number of at least 0.
func parseEventNumber(value []byte) int64 {
	n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil || n < 0 {
		return unnumbered
	}
	return n
}
