package concluder

// StreamEnd is how the response of one server to a stream ended.
type StreamEnd struct {
	// Complete is true if the server ended it as complete: by a length or chunks, or it still ran behind the end of its
	// connection.
	Complete bool
	// Unproven is true if the connection ended regularly and nothing shows that the server still ran.
	Unproven bool
	// Partial is true if the last event is not complete.
	Partial bool
	// CaughtUp is true if the server itself has sent the last event that the caller has.
	CaughtUp bool
	// LeavesWithAllTokens is true if the server was known to stop as planned and its events hold as many tokens as the caller
	// asked for at most, as far as events hold as many as the service tells.
	LeavesWithAllTokens bool
}

// Whole reports whether the caller has the whole stream. A server without anything left to send can't be told from one that
// has lost the rest, so that a response that lacks the last event of the caller is never the end; see ResumeAfter.
func (e StreamEnd) Whole() bool {
	if e.Partial || !e.CaughtUp {
		return false
	}
	return e.Complete || e.Unproven && e.LeavesWithAllTokens
}

// ResumeAfter returns the number of the event behind which a server is asked to go on for a caller whose last one is
// last: the one before it. The server then sends the caller's last event once more, which is dropped, and its end counts
// even if nothing else was left. ok is false if it has to begin with the first event.
func ResumeAfter(last int64) (after int64, ok bool) {
	return last - 1, last > 1
}

// Shown is what a server has shown of its response to a request that another one has, too.
type Shown int

const (
	// Nothing new: no response yet, or its header, or events that the caller has.
	Nothing Shown = iota
	// Progress is an event that the caller does not have, the proven end of its stream, or the header of a response that is
	// no stream.
	Progress
	// Failure is a refusal, an error, or an end that proves nothing.
	Failure
)

// Step is what to do with two servers that have the same request.
type Step int

const (
	// Wait for either of them.
	Wait Step = iota
	// KeepFirst leaves the second one.
	KeepFirst
	// TakeOver leaves the first one.
	TakeOver
	// TryNext sends the request to a further one, while the first one stays.
	TryNext
)

// Overlap is the state of a request whose first server is silent, while a second one has it, too.
type Overlap struct {
	// FirstHasBytes is true if the first one has gone on.
	FirstHasBytes bool
	Second        Shown
	// Over is true if both must not have the request any longer.
	Over bool
}

// Next returns what to do. Silence is no failure: the first server is left only for one that has shown more, or if one of
// them has to be.
func (o Overlap) Next() Step {
	switch {
	case o.FirstHasBytes:
		return KeepFirst
	case o.Second == Failure:
		return TryNext
	case o.Second == Progress, o.Over:
		return TakeOver
	}
	return Wait
}
