// Package server stands in for a backend server on the operators' platform: it
// checks who is meant, counts the runs of each request, signs its answers, and
// streams numbered events.
package server

import (
	"fmt"
	"net/http"
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
}

// Config configures a Server.
type Config struct {
	ID    string
	Clock *clocker.Clock
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
	breaking int
	requests int
}

// New returns a server.
func New(cfg Config) *Server {
	return &Server{cfg: cfg}
}

// BreakEvery makes every n-th request end without its answer after it ran; 0 heals.
func (s *Server) BreakEvery(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaking = n
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.cfg.ID {
		w.Header().Set("X-Instance-Id", s.cfg.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent means from the start
	s.cfg.Ran(Run{RequestID: r.Header.Get("X-Request-Id"), Account: r.Header.Get("X-Tenant"), Path: r.URL.Path, LastEvent: last, At: s.cfg.Clock.Now()})
	running, broken := s.begin()
	defer s.end()
	h := w.Header()
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	h.Set("X-Server-Signature", s.cfg.ID+"."+r.Header.Get("X-Request-Id"))
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,64", running))
	if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/once/") {
		s.stream(w, r, last, broken)
		return
	}
	if s.cfg.Clock.Sleep(r.Context(), s.cfg.Pause) != nil || broken {
		panic(http.ErrAbortHandler)
	}
	body := "answer to " + r.Header.Get("X-Request-Id")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body)) // a router that has left needs no answer
}

// begin counts a run and returns how many go on, and whether this one breaks off.
func (s *Server) begin() (running int, broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.requests++
	return s.running, s.breaking > 0 && s.requests%s.breaking == 0
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, last int, broken bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := last + 1; i <= s.cfg.Events; i++ {
		if s.cfg.Clock.Sleep(r.Context(), s.cfg.Pause) != nil || broken && i > s.cfg.Events/2 {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, r.Header.Get("X-Request-Id")); err != nil {
			return
		}
		_ = control.Flush() // the next write tells of a router that has left
	}
}
