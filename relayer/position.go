package relayer

import "errors"

var errEventOrder = errors.New("events of a stream are out of order")

// position is how far a caller has got in a stream that may come from several
// servers one after the other.
type position struct {
	// events counts those that were passed to the caller.
	events int64
	// last is the number of the last of them, or unnumbered.
	last int64
	// fixed is true once an event without a number was passed: no other server can
	// tell where to go on.
	fixed bool
	// shown counts the events of the present server, those that the caller had included.
	shown int64
	// reached is the number of the last event of the present server, or unnumbered.
	reached int64
}

// positionAfter is that of a caller that has the events up to a number; unnumbered is
// the start of a stream.
func positionAfter(last int64) position {
	return position{last: last, reached: unnumbered}
}

// restart notes that the next events come from another server.
func (p *position) restart() {
	p.shown = 0
	p.reached = unnumbered
}

// take returns the bytes of the events that come next, without those that the caller
// has, and errEventOrder if the one after them is missing or can't be placed.
func (p *position) take(events []event) ([]byte, error) {
	var out []byte
	for _, e := range events {
		if e.ignored() {
			if p.placed() {
				out = append(out, e.bytes...)
			}
			continue
		}
		if !p.follows(e) {
			return out, errEventOrder
		}
		p.shown++
		p.reached = max(p.reached, e.id)
		if p.reached < p.last || e.id != unnumbered && e.id == p.last {
			continue // the caller has it
		}
		p.last = p.reached
		p.fixed = p.fixed || e.id == unnumbered
		p.events++
		out = append(out, e.bytes...)
	}
	return out, nil
}

// follows reports whether the place of an event is certain: next to the
// present server's event before it, and with no gap after what the caller has.
func (p *position) follows(e event) bool {
	switch {
	case e.id == unnumbered:
		return p.reached != unnumbered || p.last == unnumbered
	case p.reached != unnumbered:
		return e.id == p.reached+1
	}
	return p.last == unnumbered || e.id <= p.last+1
}

// placed reports whether the present server has got to the last event that the caller
// has.
func (p *position) placed() bool {
	return p.reached == p.last
}

// ended reports whether the end of the present server's answer ends the stream: it has
// shown the last event that the caller has. An answer without events proves nothing: a
// server that has nothing left to send can't be told from one that lost the rest, and a
// false end costs a caller more than a break.
func (p *position) ended() bool {
	return p.shown > 0 && p.placed()
}
