package main

import (
	"cowsliphinge/clocker"
	"fmt"
	"net/http"
	"os"
	"sync"
)

// recorder writes what was sent, answered and run, and keeps what the checks need.
type recorder struct {
	started clocker.Millis

	mu   sync.Mutex
	file *os.File
	// runs counts the runs of a request, and made is the last event that a server made for it.
	runs map[string]int
	made map[string]int
}

func newRecorder(name string) *recorder {
	file, err := os.Create(name)
	if err != nil {
		fatal("%v", err)
	}
	return &recorder{started: clock.Now(), file: file, runs: map[string]int{}, made: map[string]int{}}
}

// note writes a line with the time since the start.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// write writes a line. The caller holds mu.
func (r *recorder) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", float64(clock.Now()-r.started)/float64(clocker.Second), fmt.Sprintf(format, args...))
}

func (r *recorder) ran(id, server string, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.write("%s runs %s %s, Last-Event-Id %q", server, id, req.URL.Path, req.Header.Get("Last-Event-Id"))
}

// event records that a server sent an event of a request.
func (r *recorder) event(id string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.made[id] = n
}

// left records that a server could not send more of a request.
func (r *recorder) left(id string, n int) {
	r.note("the connection of %s to its server is gone after event %d", id, n)
}

func (r *recorder) eventsMade(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.made[id]
}

func (r *recorder) hasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id] > 0
}
