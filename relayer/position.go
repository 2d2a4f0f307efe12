package relayer

import "errors"

var errEventOrder = errors.New("events of a stream are out of order")

// position is how far a caller has got in a stream that may come from several
// servers one after the other.
type streamPosition struct {
	// events counts those that were passed to the caller.
	forwarded int64
	// last is the number of the last of them, or unnumbered.
	callerLast int64
	// fixed is true once an event without a number was passed: no other server can
	// tell where to go on.
	unresumable bool
	// shown counts the events of the present server, those that the caller had included.
	serverEvents int64
	// reached is the number of the last event of the present server, or unnumbered.
	serverLast int64
}

// positionAfter is that of a caller that has the events up to a number; unnumbered is
// the start of a stream.
func positionAfter(last int64) streamPosition {
	return streamPosition{callerLast: last, serverLast: unnumbered}
}

// restart notes that the next events come from another server.
func (p *streamPosition) switchServer() {
	p.serverEvents = 0
	p.serverLast = unnumbered
}

// take returns the bytes of the events that come next, without those that the caller
// has, and errEventOrder if the one after them is missing or can't be placed.
func (p *streamPosition) accept(events []event) ([]byte, error) {
	var out []byte
	for _, e := range events {
		if e.ignored() {
			if p.caughtUp() {
				out = append(out, e.bytes...)
			}
			continue
		}
		if !p.inOrder(e) {
			return out, errEventOrder
		}
		p.serverEvents++
		p.serverLast = max(p.serverLast, e.id)
		if p.serverLast < p.callerLast || e.id != unnumbered && e.id == p.callerLast {
			continue // the caller has it
		}
		p.callerLast = p.serverLast
		p.unresumable = p.unresumable || e.id == unnumbered
		p.forwarded++
		out = append(out, e.bytes...)
	}
	return out, nil
}

// follows reports whether the place of an event is certain: next to the
// present server's event before it, and with no gap after what the caller has.
func (p *streamPosition) inOrder(e event) bool {
	switch {
	case e.id == unnumbered:
		return p.serverLast != unnumbered || p.callerLast == unnumbered
	case p.serverLast != unnumbered:
		return e.id == p.serverLast+1
	}
	return p.callerLast == unnumbered || e.id <= p.callerLast+1
}

// placed reports whether the present server has got to the last event that the caller
// has.
func (p *streamPosition) caughtUp() bool {
	return p.serverLast == p.callerLast
}

// ended reports whether the end of the present server's answer ends the stream: it has
// shown the last event that the caller has. An answer without events proves nothing: a
// server that has nothing left to send can't be told from one that lost the rest, and a
// false end costs a caller more than a break.
func (p *streamPosition) complete() bool {
	return p.serverEvents > 0 && p.caughtUp()
}
