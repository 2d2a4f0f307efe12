package soaker

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"cowsliphinge/clocker"
)

const (
	// readyBound is how long routers get at the start until they are ready, and readyPause the time
	// between two questions, in milliseconds.
	readyBound = 10 * clocker.Second
	readyPause = 50 * clocker.Millis(1)
)

// start starts the process, its log appended to a file of the run's folder.
func (r *router) start(program, folder string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(folder, fmt.Sprintf("router-%d.log", r.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own
	r.process = exec.Command(program, "route", "-settings", r.file)
	r.process.Stdout, r.process.Stderr = log, log
	r.incarnation++
	r.stopping = false
	return r.process.Start()
}

// signal sends a signal to the process that was started last, if it lives.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = r.stopping || s == syscall.SIGTERM
	if r.process != nil && r.process.Process != nil {
		_ = r.process.Process.Signal(s) // it may have ended
	}
}

// kill ends the process at once and waits for its end.
func (r *router) kill() {
	r.signal(syscall.SIGKILL)
	r.wait()
}

// wait returns once the process has ended.
func (r *router) wait() {
	r.mu.Lock()
	process := r.process
	r.mu.Unlock()
	_ = process.Wait() // a killed process has a bad status
}

// unready waits for all routers to say that they are ready, and returns those that did not within
// readyBound.
func (w *world) unready(ctx context.Context) []int {
	ctx, cancel := w.cfg.Clock.WithTimeout(ctx, readyBound)
	defer cancel()
	var numbers []int
	for _, r := range w.routers {
		for !r.ready(w.cfg.ReadyPath) {
			if w.cfg.Clock.Sleep(ctx, readyPause) != nil {
				numbers = append(numbers, r.number)
				break
			}
		}
	}
	return numbers
}

// ready reports whether a router answers probes at path with success.
func (r *router) ready(path string) bool {
	client := http.Client{Timeout: clocker.Second.Duration()}
	resp, err := client.Get("http://" + r.settings.ReadyAddress + path)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *router) life() (incarnation int, stopping bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation, r.stopping
}
