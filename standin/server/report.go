package server

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// ReportPath is where a server says of itself what it runs and when it started.
const ReportPath = "/v1/report"

// kvTokens is the size of the memory that a server reports, in tokens.
const kvTokens = 1000

// report is what a server says of itself.
type report struct {
	Stage    string  `json:"stage"`
	Models   []model `json:"models"`
	Busy     bool    `json:"busy"`
	Sequence int     `json:"sequence"`
	Queued   int     `json:"queued"`
	Running  int     `json:"running"`
	KVUsed   int     `json:"kv_used"`
	KVTotal  int     `json:"kv_total"`
	Handles  int     `json:"handles"`
	Born     int64   `json:"born"`
}

type model struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// writeReport answers without a slot and without the ID of a request.
func (s *Server) writeReport(w http.ResponseWriter) {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	body, err := json.Marshal(report{
		Stage: "both", Models: []model{{Name: "m", Version: 1, Adapters: []string{}}},
		Running: running, KVTotal: kvTokens, Born: s.cfg.Born,
	})
	if err != nil {
		panic(err) // a report always encodes
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // a router that has left needs no answer
}

// answersUnframed reports whether the next answer has no length and ends with its connection.
func (s *Server) answersUnframed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.UnframedShare > 0 && s.rng.Float64() < s.cfg.UnframedShare
}

// writeInTwo sends a body in two parts with the server's pause between them.
func (s *Server) writeInTwo(w http.ResponseWriter, body string) {
	_, _ = w.Write([]byte(body[:len(body)/2])) // a router that has left needs no answer
	_ = http.NewResponseController(w).Flush()
	s.cfg.Clock.SleepUncancellable(s.cfg.Pause)
	_, _ = w.Write([]byte(body[len(body)/2:]))
}
