package relayer

import "errors"

var (
	errEventOrder     = errors.New("events of a stream are out of order")
	errMalformedEvent = errors.New("a stream holds bytes that are no event")
)

// streamPosition tracks the events of a stream that the caller has received, while
// several servers may provide the stream one after the other.
type streamPosition struct {
	// forwarded counts the events forwarded to the caller.
	forwarded int64
	// callerLast is the number of the last event that the caller has, or unnumbered.
	callerLast int64
	// unresumable is true once an event without a number was forwarded: another
	// server can't know where to continue.
	unresumable bool
	// serverEvents counts the events of the current server, including those that the
	// caller already had.
	serverEvents int64
	// serverLast is the number of the last event of the current server, or
	// unnumbered.
	serverLast int64
}

// positionAfter returns the position of a caller that has the events up to callerLast;
// unnumbered means the start of a stream.
func positionAfter(callerLast int64) streamPosition {
	return streamPosition{callerLast: callerLast, serverLast: unnumbered}
}

// switchServer records that the next events come from another server.
func (p *streamPosition) switchServer() {
	p.serverEvents = 0
	p.serverLast = unnumbered
}

// accept returns the bytes of the events to forward, without those that the caller
// already has. It returns errEventOrder at the first event that is out of order or
// whose place in the stream is unknown, and errMalformedEvent at bytes that are no event.
func (p *streamPosition) accept(events []event) ([]byte, error) {
	var out []byte
	for _, e := range events {
		if e.malformed {
			return out, errMalformedEvent
		}
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
		p.serverLast = max(p.serverLast, e.number)
		if p.serverLast < p.callerLast || e.number != unnumbered && e.number == p.callerLast {
			continue // the caller already has it
		}
		p.callerLast = p.serverLast
		p.unresumable = p.unresumable || e.number == unnumbered
		p.forwarded++
		out = append(out, e.bytes...)
	}
	return out, nil
}

// inOrder reports whether the place of an event in the stream is certain: it directly
// follows the current server's previous event and leaves no gap after the caller's last
// event.
func (p *streamPosition) inOrder(e event) bool {
	switch {
	case e.number == unnumbered:
		return p.serverLast != unnumbered || p.callerLast == unnumbered
	case p.serverLast != unnumbered:
		return e.number == p.serverLast+1
	}
	return p.callerLast == unnumbered || e.number <= p.callerLast+1
}

// caughtUp reports whether the current server has sent the last event that the caller
// has.
func (p *streamPosition) caughtUp() bool {
	return p.serverLast == p.callerLast
}

// complete reports whether the end of the current server's response is the end of the
// stream: the server has sent the last event that the caller has. A false end harms the
// caller more than an aborted stream, see package concluder.
func (p *streamPosition) complete() bool {
	return p.serverEvents > 0 && p.caughtUp()
}
