package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Figures of a small deployment (sites/tastatur-samlet.toml).
const (
	graceMs  = 8000
	drainMs  = 2000
	configMs = 2000
)

// record is the file to which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Duration
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, begin: now()}, nil
}

// line writes a line with the time since the start of the case.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", (now() - r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// verdict is how a case ended; its values are exit codes.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	failed verdict = 2
)

// world is the surroundings of a case: the platform's store and the routers.
type world struct {
	record  *record
	trouble bool
	folder  string
	store   *store
	routers []*router
}

func newWorld(r *record, trouble bool) (*world, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &world{record: r, trouble: trouble, folder: folder, store: s}, nil
}

// close ends all processes that the case started.
func (w *world) close() {
	for _, r := range w.routers {
		r.signal(syscall.SIGKILL)
		r.wait()
	}
	w.store.close()
	_ = os.RemoveAll(w.folder)
}

// router is one process of the program under test.
type router struct {
	world    *world
	host     string
	zone     string
	caller   string
	ready    string
	exchange string
	file     string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// freeAddress returns a loopback address with a port that is free now, below those that the system gives to
// outgoing connections.
func freeAddress() (string, error) {
	for range 100 {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000)))
		if err == nil {
			_ = l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", errors.New("no free port was found")
}

// startRouter starts a host, as the deploy file does, and waits until it is ready.
func (w *world) startRouter(host, zone string) (*router, error) {
	r := &router{world: w, host: host, zone: zone}
	for _, a := range []*string{&r.caller, &r.ready, &r.exchange} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	r.file = filepath.Join(w.folder, host+".json")
	if err := r.writeSettings(); err != nil {
		return nil, err
	}
	w.routers = append(w.routers, r)
	return r, r.start()
}

// writeSettings writes the settings file with the keys of deploy/settings.json.
func (r *router) writeSettings() error {
	content, err := json.MarshalIndent(map[string]any{
		"Host": r.host, "AvailabilityZone": r.zone, "CallerAddress": r.caller, "ReadyAddress": r.ready, "ExchangeAddress": r.exchange,
		"StoreAddress": r.world.store.address, "RouterKey": "cowsliphinge-between-hosts", "MemoryMb": 284, "MaxDescriptors": 4100, "LinkMbps": 1000.0,
		"ProcessorShare": 0.4, "ProcessorSpeed": 1, "StopBoundMs": graceMs, "ConfigurationMs": configMs, "LeaveMs": drainMs, "SteadyMs": 3000,
		"RetryRatio": 0.2, "RetryExtra": 56, "RetryWindowMs": 10000, "LogLevel": "Info",
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(r.file, content, 0o600)
}

// log returns the file with the output of the process.
func (r *router) log() string { return filepath.Join(r.world.folder, r.host+".log") }

// start starts the process.
func (r *router) start() error {
	log, err := os.OpenFile(r.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own
	command := exec.Command("target/cowsliphinge", "route")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COWSLIPHINGE_NODE_FILE=" + r.file}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.mu.Lock()
	r.command, r.ended = command, ended
	r.mu.Unlock()
	r.world.record.line("host %s in zone %s starts, callers at %s, other hosts at %s", r.host, r.zone, r.caller, r.exchange)
	go func() {
		_ = command.Wait() // a killed process has a bad status
		close(ended)
		r.world.record.line("the process of host %s has ended", r.host)
	}()
	return nil
}

// signal sends a signal to the process if it lives.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.command != nil {
		_ = r.command.Process.Signal(s) // it may have ended
	}
}

// wait returns once the process has ended.
func (r *router) wait() {
	r.mu.Lock()
	ended := r.ended
	r.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// isReady asks as the platform's balancer does.
func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var errNotReady = errors.New("a host does not become ready")

// awaitReady waits until all the hosts are ready.
func awaitReady(limit time.Duration, routers ...*router) error {
	deadline := now() + limit
	for _, r := range routers {
		for !r.isReady() {
			if now() > deadline {
				return errNotReady
			}
			sleep(50 * time.Millisecond)
		}
	}
	return nil
}
