package server

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"cowsliphinge/clocker"
)

// Kind says what a server does wrong.
type Kind int

// Kinds of faults. A request that is not a stream is cut off within its body where a
// stream would be cut off.
const (
	// None answers as asked.
	None Kind = iota
	// Abort closes the connection between two events, or without an answer.
	Abort
	// Truncate closes the connection within an event and within a chunk.
	Truncate
	// Reset does the same, and resets the connection.
	Reset
	// Fail answers with a status of the server's own once it has run the request.
	Fail
	// Shed refuses the request and says that it did not run.
	Shed
	// EndEmpty ends a resumed stream as complete, without an event.
	EndEmpty
	// SkipAhead leaves out the next event of a resumed stream.
	SkipAhead
	// StartOver begins a resumed stream with its first event.
	StartOver
	// Double sends an event of a stream twice.
	Double
	// EndLate is silent between the last event of a stream and its end, for lateEnd. It does nothing wrong.
	EndLate
)

// lateEnd is how long a stream stays open behind its last event with EndLate, in milliseconds.
const lateEnd = 1300 * clocker.Millis(1)

// cuts are the kinds that cut an answer off.
var cuts = []Kind{Abort, Truncate, Reset}

// Fault is what a server does wrong with a part of its requests.
type Fault struct {
	Kind Kind
	// Every is how many requests there are for one that the fault hits.
	Every int
	// Resumed is true if only resumed streams are hit, as with kinds that concern these.
	Resumed bool
	// Status of Fail, and whether it comes with a body.
	Status int
	Body   bool
	// After is how many events of a run come before a stream is cut off, or before
	// the event that is sent twice.
	After int
}

// Begin lets a fault hit requests until the returned function is called. Of several
// faults the one that began first hits a request.
func (s *Server) Begin(f Fault) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	begun := &f
	s.faults = append(s.faults, begun)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults = slices.DeleteFunc(s.faults, func(f *Fault) bool { return f == begun })
	}
}

// applies reports whether a fault can hit a request to a stream or not, resumed or not.
func (f Fault) applies(streams, resumed bool) bool {
	switch f.Kind {
	case EndEmpty, SkipAhead, StartOver:
		return streams && resumed
	case Double, EndLate:
		return streams && (resumed || !f.Resumed)
	default:
		return !f.Resumed || streams && resumed
	}
}

// FailureBody returns the body of a server's own failure.
func FailureBody(status int, requestID string) string {
	return fmt.Sprintf("status %d for %s", status, requestID)
}

func (f Fault) fail(w http.ResponseWriter, requestID string) {
	body := ""
	if f.Body && f.Status != http.StatusNoContent {
		body = FailureBody(f.Status, requestID)
	}
	if f.Status != http.StatusNoContent {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(f.Status)
	_, _ = w.Write([]byte(body)) // a router that has left needs no answer
}

// cut sends a part of what is due and ends the connection.
func (f Fault) cut(w http.ResponseWriter, part string) {
	control := http.NewResponseController(w)
	if f.Kind == Abort || control.Flush() != nil {
		panic(http.ErrAbortHandler)
	}
	conn, buffered, err := control.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if w.Header().Get("Content-Length") == "" {
		part = fmt.Sprintf("%x\r\n%s", len(part)+1, part) // a byte of the chunk is missing
	}
	_, _ = buffered.WriteString(part) // a router that has left needs no answer
	_ = buffered.Flush()
	if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok && f.Kind == Reset {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// String names the kind.
func (k Kind) String() string {
	return [...]string{"none", "abort", "truncate", "reset", "fail", "shed", "end empty", "skip ahead", "start over", "double", "end late"}[k]
}
