// Package server stands in for a backend server on the operators' platform: it
// checks who is meant, counts the runs of each request, signs its answers, and
// streams numbered events. Faults can be begun and ended while it runs.
package server

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"cowsliphinge/clocker"
)

// Run is one request that the server began to work on.
type Run struct {
	RequestID string
	Account   string
	Path      string
	// LastEvent is the event behind which a stream was asked to go on.
	LastEvent int
	At        clocker.Millis
	// Fault is what the server does wrong with the run.
	Fault Kind
}

// Config configures a Server.
type Config struct {
	ID    string
	Clock *clocker.Clock
	// Version is that of the server's software, and Born when it started, in Unix milliseconds.
	Version string
	Born    int64
	// Seed decides which answers have no length, and UnframedShare how many of them.
	Seed          uint64
	UnframedShare float64
	// Events of a whole stream, and the pause between two, in milliseconds.
	Events int
	Pause  clocker.Millis
	// Ran is called at the start of each run.
	Ran func(Run)
}

// Server is an http.Handler.
type Server struct {
	cfg Config

	mu       sync.Mutex
	running  int
	faults   []*Fault
	requests int
	rng      *rand.Rand
	// limit is what the server names as its limit; "" without one.
	limit string
}

// New returns a server.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Born)))}
}

// Body returns the answer to a request that is no stream.
func Body(requestID string) string {
	return "answer to " + requestID
}

// Event returns an event of a stream as a server of a software version writes it.
func Event(n int, requestID, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, requestID, version)
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == ReportPath {
		s.writeReport(w)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.cfg.ID {
		w.Header().Set("X-Instance-Id", s.cfg.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // unread bytes would turn the end of the process into a reset
	id := r.Header.Get("X-Request-Id")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent means from the start
	streams := strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/once/")
	running, fault := s.begin(streams, last > 0)
	defer s.end()
	h := w.Header()
	h.Set("X-Request-Id", id)
	if limit := s.namedLimit(); limit != "" {
		h.Set("Server-Limit", limit)
	}
	if fault.Kind == Shed {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.cfg.Ran(Run{RequestID: id, Account: r.Header.Get("X-Tenant"), Path: r.URL.Path, LastEvent: last, At: s.cfg.Clock.Now(), Fault: fault.Kind})
	h.Set("X-Server-Signature", s.cfg.ID+"."+id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,64", running))
	unframed := fault.Kind == None && s.answersUnframed()
	if unframed {
		h.Set("Transfer-Encoding", "identity") // net/http sends no length and closes the connection
	}
	if streams && fault.Kind != Fail {
		s.stream(w, r, last, fault)
		return
	}
	if s.cfg.Clock.Sleep(r.Context(), s.cfg.Pause) != nil {
		panic(http.ErrAbortHandler)
	}
	body := Body(id)
	switch {
	case unframed:
		s.writeInTwo(w, body)
	case fault.Kind == Fail:
		fault.fail(w, id)
	case slices.Contains(cuts, fault.Kind):
		h.Set("Content-Length", strconv.Itoa(len(body)))
		fault.cut(w, body[:len(body)/2])
	default:
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write([]byte(body)) // a router that has left needs no answer
	}
}

// BeginLimit makes the server name a limit in its answers until EndLimit. It returns false if
// it names one already.
func (s *Server) BeginLimit(perSecond float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit != "" {
		return false
	}
	s.limit = strconv.FormatFloat(perSecond, 'f', -1, 64)
	return true
}

// EndLimit ends the limit.
func (s *Server) EndLimit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = ""
}

func (s *Server) namedLimit() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit
}

// begin counts a request and returns how many go on, and the fault that hits this one.
func (s *Server) begin(streams, resumed bool) (running int, fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.requests++
	for _, f := range s.faults {
		if f.applies(streams, resumed) && s.requests%f.Every == 0 {
			return s.running, *f
		}
	}
	return s.running, Fault{}
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// stream sends the events behind the last one that the caller has.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, last int, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	id := r.Header.Get("X-Request-Id")
	switch fault.Kind {
	case EndEmpty:
		_ = control.Flush() // a stream has begun; it ends as chunks do
		return
	case SkipAhead:
		last++
	case StartOver:
		last = 0
	}
	for i := last + 1; ; i++ {
		event := Event(i, id, s.cfg.Version)
		if i > s.cfg.Events {
			event = ""
		}
		if event != "" && s.cfg.Clock.Sleep(r.Context(), s.cfg.Pause) != nil {
			panic(http.ErrAbortHandler)
		}
		if i == last+fault.After+1 {
			switch fault.Kind {
			case Abort, Truncate, Reset:
				fault.cut(w, event[:len(event)/2])
				return
			case Double:
				event += event
			}
		}
		if event == "" {
			if fault.Kind == EndLate && s.cfg.Clock.Sleep(r.Context(), lateEnd) != nil {
				panic(http.ErrAbortHandler)
			}
			return
		}
		if _, err := w.Write([]byte(event)); err != nil {
			return
		}
		_ = control.Flush() // the next write tells of a router that has left
	}
}
