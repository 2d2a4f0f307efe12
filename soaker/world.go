// Package soaker runs the real program as separate processes on loopback, harms
// them from outside by a seed, and checks the promises from what callers and
// backend servers see.
package soaker

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"cowsliphinge/clocker"
	"cowsliphinge/runner"
	"cowsliphinge/standin/objects"
)

const (
	// streamEvents and eventPause are the length of a stream and its pace.
	streamEvents = 12
	eventPause   = 15 * clocker.Millis(1)
	// stopBound is the time from SIGTERM to SIGKILL, in milliseconds.
	stopBound = 6 * clocker.Second
	host      = "soak.example"
	// slots of a backend server.
	slots = 64
)

// routes are the paths of the run by what may be repeated.
var routes = []map[string]any{
	route("/order/", "unsafe", false),
	route("/read/", "safe", false),
	route("/stream/", "streaming", true),
	route("/once/", "streaming", false),
}

func route(prefix, kind string, resumable bool) map[string]any {
	return map[string]any{
		"name": strings.Trim(prefix, "/"), "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 4000,
		"target_latency_ms": 200, "target_gap_ms": 200, "max_attempts": 2, "resumable": resumable, "service": "s",
	}
}

func repeatable(path string) bool {
	return strings.HasPrefix(path, "/read/") || strings.HasPrefix(path, "/stream/") || versionOf(path) > 0
}

func streams(path string) bool {
	return strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/once/")
}

func measured(path string) bool {
	return streams(path)
}

// versionOf returns the version whose route a path names; 0 for none.
func versionOf(path string) int {
	version := 0
	_, _ = fmt.Sscanf(path, "/version-%d/", &version) // other paths name none
	return version
}

// world is everything of a run.
type world struct {
	cfg     Config
	store   *objects.Store
	record  *recorder
	routers []*router
	folder  string
	stops   []func()

	mu      sync.Mutex
	servers []*backend
	// entries are what backend servers wrote of themselves, by ID.
	entries map[string]map[string]any
	started int
	version int
	// routes are those of the newest version.
	routes []map[string]any
}

// router is one router process and the proxy between it and the store. With Config.Cuts other routers reach it by
// the proxy peers.
type router struct {
	number      int
	settings    runner.Settings
	file        string
	store       *proxy
	peers       *proxy
	mu          sync.Mutex
	process     *exec.Cmd
	incarnation int
	// stopping is true from a SIGTERM until the process is gone.
	stopping bool
}

func newWorld(cfg Config) (*world, error) {
	w := &world{cfg: cfg, store: objects.New(cfg.Clock), record: newRecorder(cfg.prepaid()), routes: routes, entries: map[string]map[string]any{}}
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	w.folder = folder
	address, err := w.serve(w.store)
	if err != nil {
		return nil, err
	}
	w.configure()
	for range cfg.Servers {
		if err := w.addServer(); err != nil {
			return nil, err
		}
	}
	for i := range cfg.Routers {
		if err := w.addRouter(i, address); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ErrorLog: quiet}
	go func() { _ = s.Serve(l) }() // ends by Close
	w.stops = append(w.stops, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// configure writes the declarations as a new version.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.writeConfiguration()
}

// writeConfiguration writes the newest version. The caller holds mu.
func (w *world) writeConfiguration() {
	accounts := []map[string]any{}
	for name, tokens := range w.cfg.prepaid() {
		accounts = append(accounts, map[string]any{"name": name, "api_keys": []string{"key-" + name}, "prepaid": tokens})
	}
	bodyBytes := 65536
	if w.cfg.Hostile > 0 {
		bodyBytes = hostileBodyBytes
	}
	err := w.store.Put("config", "main", map[string]any{
		"version": w.version, "routes": w.routes, "tenants": accounts,
		"services": []map[string]any{{"name": "s", "engine": map[string]any{"stride": 1, "kv_cache_tokens": 1000}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": bodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err) // the content is made here and always encodes
	}
}

// addVersion adds a route that only the new version has.
func (w *world) addVersion() {
	w.mu.Lock()
	w.routes = append(w.routes[:len(w.routes):len(w.routes)], route(fmt.Sprintf("/version-%d/", w.version+1), "safe", false))
	w.mu.Unlock()
	w.configure()
}

func (w *world) newestVersion() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// list writes the entry of a backend server.
func (w *world) list(id string, entry map[string]any) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries[id] = maps.Clone(entry)
	return w.store.Put("servers", id, entry)
}

// unlist removes the entry of a backend server.
func (w *world) unlist(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.entries, id)
	w.store.Delete("servers", id)
}

func (w *world) addRouter(number int, store string) error {
	p, err := newProxy(store, w.cfg.Clock)
	if err != nil {
		return err
	}
	w.stops = append(w.stops, p.close)
	ports, err := freePorts(3)
	if err != nil {
		return err
	}
	r := &router{number: number, store: p, file: filepath.Join(w.folder, fmt.Sprintf("router-%d.json", number)), settings: runner.Settings{
		Host: fmt.Sprint("router-", number), AvailabilityZone: fmt.Sprint("z", number%2),
		CallerAddress: ports[0], ReadyAddress: ports[1], ExchangeAddress: ports[2], StoreAddress: p.address(),
		RouterKey: "soak", MemoryMb: 256, LinkMbps: 10_000, StopBoundMs: stopBound, ConfigurationMs: 2000, LeaveMs: 2000, SteadyMs: 1500,
		RetryRatio: 0.2, RetryExtra: 40, RetryWindowMs: 10000,
	}}
	if w.cfg.Hostile > 0 {
		r.settings.MemoryMb = hostileMemoryMb
	}
	if w.cfg.Cuts {
		if r.peers, err = newProxy(ports[2], w.cfg.Clock); err != nil {
			return err
		}
		w.stops = append(w.stops, r.peers.close)
		r.settings.ExchangeAddress, r.settings.ExchangeListenAddress = r.peers.address(), ports[2]
	}
	content, err := json.Marshal(r.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.file, content, 0o600); err != nil {
		return err
	}
	w.routers = append(w.routers, r)
	return r.start(w.cfg.Program, w.folder)
}

// freePorts returns loopback addresses on which nothing listens now.
func freePorts(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// close ends everything that the run started, by its ID.
func (w *world) close() {
	for _, r := range w.routers {
		r.kill()
	}
	w.mu.Lock()
	for _, b := range w.servers {
		b.die(byFin)
	}
	w.mu.Unlock()
	for _, stop := range w.stops {
		stop()
	}
	if !w.cfg.Keep {
		_ = os.RemoveAll(w.folder)
	}
}
