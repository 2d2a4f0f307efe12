package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/runner"
	"cowsliphinge/standin/objects"
	"cowsliphinge/standin/refuser"
)

const (
	// promptSteady is the time after a disruption from which the bounds hold, in
	// milliseconds.
	promptSteady = 1500 * clocker.Millis(1)
	// promptPrefill is the time before the first event, in milliseconds, and promptEvents
	// the length of a stream whose events are promptPause apart.
	promptPrefill = 30 * clocker.Millis(1)
	promptEvents  = 5
	promptPause   = 5 * clocker.Millis(1)
	// promptRestart is the time after which a crashed server is back, in milliseconds.
	promptRestart = 600 * clocker.Millis(1)
	// deadlyPart crashes each server that begins an answer on it, and deadlyBody does as the
	// body of a request.
	deadlyPart = "deadbeef"
	deadlyBody = "deadly body"
	// promptCallTime is how long a plain call runs, in milliseconds.
	promptCallTime = 20 * clocker.Millis(1)
)

// promptFleet runs routers and model servers on loopback. The servers crash on deadlyPart.
type promptFleet struct {
	t       *testing.T
	clock   *clocker.Clock
	store   *objects.Store
	address string
	hosts   []*promptHost
	// version is that of the configuration.
	version, churned int
	// prepaid are the tokens of each client account.
	prepaid  int64
	accounts [2]string

	mu      sync.Mutex
	started int
	// servers are the IDs of those that are up.
	servers map[string]*promptServer
	// crashes are the times of the crashes, and deadly those at which a server read a request
	// with deadlyPart or deadlyBody.
	crashes, deadly []clocker.Millis
	restarts        sync.WaitGroup
}

type promptHost struct {
	*runner.Runner
	settings runner.Settings
}

type promptServer struct {
	id       string
	listener *refuser.Listener
	http     *http.Server
	born     clocker.Millis
}

// newPromptFleet starts hosts and servers, and waits until each host serves requests.
func newPromptFleet(t *testing.T, hosts, servers int) *promptFleet {
	f := &promptFleet{t: t, clock: clocker.NewWall(), servers: map[string]*promptServer{}, version: 1, prepaid: 100_000_000, accounts: [2]string{"one", "two"}}
	f.store = objects.New(f.clock)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	f.address = l.Addr().String()
	platform := &http.Server{Handler: f.store, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = platform.Serve(l) }() // ends by Close
	t.Cleanup(f.close)
	t.Cleanup(func() { _ = platform.Close() })
	f.configure()
	for range servers {
		f.startServer()
	}
	for i := range hosts {
		f.startHost(fmt.Sprint("h", i))
	}
	for _, h := range f.hosts {
		for n := 0; f.send(h, "one", fmt.Sprint("warm", n)) != http.StatusOK; n++ {
			assert.Assert(t, n < 100, "%s serves nothing", h.settings.Host)
			f.clock.SleepUncancellable(100)
		}
	}
	return f
}

func (f *promptFleet) configure() {
	accounts := []map[string]any{}
	for _, name := range f.accounts {
		accounts = append(accounts, map[string]any{"name": name, "api_keys": []string{"key-" + name}, "prepaid": f.prepaid})
	}
	order := promptRoute("/order/")
	order["kind"], order["resumable"] = "safe", false
	routes := []map[string]any{promptRoute("/draft/"), order}
	for version := 2; version <= f.version; version++ {
		routes = append(routes, promptRoute(fmt.Sprintf("/version-%d/", version)))
	}
	assert.NilError(f.t, f.store.Put("config", "main", map[string]any{
		"version": f.version, "tenants": accounts, "routes": routes,
		"services": []map[string]any{{"name": "s", "engine": map[string]any{"stride": 1, "kv_cache_tokens": 100_000}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}))
}

func promptRoute(prefix string) map[string]any {
	return map[string]any{
		"name": strings.Trim(prefix, "/"), "host": "h.example", "path_prefix": prefix, "kind": "streaming", "timeout_ms": 4000,
		"target_latency_ms": 500, "target_gap_ms": 300, "max_attempts": 2, "resumable": true, "service": "s",
	}
}

// givenAddresses are the addresses that freeAddress has returned. Fleets of tests that run in parallel
// listen there later, and again after the deaths of their hosts.
var givenAddresses sync.Map

// freeAddress returns a loopback address on which nothing listens, below the ports that outgoing
// connections take. It returns none twice.
func freeAddress() string {
	for {
		l, err := net.Listen("tcp4", fmt.Sprint("127.0.0.1:", 12_000+rand.IntN(18_000)))
		if err != nil {
			continue
		}
		_ = l.Close()
		if _, given := givenAddresses.LoadOrStore(l.Addr().String(), true); !given {
			return l.Addr().String()
		}
	}
}

func (f *promptFleet) startHost(name string) *promptHost {
	s := runner.Settings{
		Host: name, AvailabilityZone: "a", CallerAddress: freeAddress(), ReadyAddress: freeAddress(), ExchangeAddress: freeAddress(),
		StoreAddress: f.address, RouterKey: "test", MemoryMb: 256, LinkMbps: 10_000, StopBoundMs: 6000, ConfigurationMs: 2000,
		LeaveMs: 2000, SteadyMs: promptSteady, RetryRatio: 0.2, RetryExtra: 40, RetryWindowMs: 10_000,
	}
	r, err := runner.New(context.Background(), runner.Config{Settings: s, Platform: adapter(s), Clock: f.clock, Log: slog.New(slog.DiscardHandler)})
	assert.NilError(f.t, err)
	h := &promptHost{Runner: r, settings: s}
	f.hosts = append(f.hosts, h)
	return h
}

func (f *promptFleet) startServer() {
	l, err := refuser.Listen()
	assert.NilError(f.t, err)
	f.mu.Lock()
	f.started++
	s := &promptServer{id: fmt.Sprint("i-", f.started), listener: l}
	f.servers[s.id] = s
	f.mu.Unlock()
	s.http = &http.Server{ErrorLog: log.New(io.Discard, "", 0), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.answer(s, w, r) })}
	go func() { _ = s.http.Serve(l) }() // ends by Close
	s.born = f.clock.Now()
	f.register(s)
}

// register writes the entry of a server.
func (f *promptFleet) register(s *promptServer) {
	assert.NilError(f.t, f.store.Put("servers", s.id, map[string]any{
		"service": "s", "address": s.listener.Addr().String(), "zone": "a", "slots": 64, "state": "ready", "born": int64(s.born),
	}))
}

// answer streams events, or crashes the server once it has begun an answer on deadlyPart.
func (f *promptFleet) answer(s *promptServer, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the host is gone
	}
	deadly := string(body) == deadlyBody || slices.Contains(promptIDs(r.Header.Get("X-Prompt-Prefix")), deadlyPart)
	if deadly {
		f.mu.Lock()
		f.deadly = append(f.deadly, f.clock.Now())
		f.mu.Unlock()
	}
	h := w.Header()
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	h.Set("X-Server-Signature", "s")
	if strings.HasPrefix(r.URL.Path, "/order/") {
		f.answerCall(s, w, r, deadly)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	if f.clock.Sleep(r.Context(), promptPrefill) != nil {
		return
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush() // the caller may have left
	if deadly {
		f.crash(s)
		return
	}
	for n := 1; n <= promptEvents; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: d\n\n", n)
		_ = http.NewResponseController(w).Flush()
		if f.clock.Sleep(r.Context(), promptPause) != nil {
			return
		}
	}
}

// answerCall answers a plain call, or crashes the server while it runs.
func (f *promptFleet) answerCall(s *promptServer, w http.ResponseWriter, r *http.Request, deadly bool) {
	if f.clock.Sleep(r.Context(), promptCallTime) != nil {
		return
	}
	if deadly {
		f.crash(s)
		return
	}
	_, _ = io.WriteString(w, "ok") // the caller may have left
}

// promptIDs returns the IDs of the parts of a prompt.
func promptIDs(header string) []string {
	var ids []string
	for _, field := range strings.Split(header, ",") {
		id, _, _ := strings.Cut(field, ":")
		ids = append(ids, id)
	}
	return ids
}

// crash ends a server at once. Another one starts after promptRestart.
func (f *promptFleet) crash(s *promptServer) {
	f.mu.Lock()
	_, up := f.servers[s.id]
	delete(f.servers, s.id)
	if up {
		f.crashes = append(f.crashes, f.clock.Now())
		f.restarts.Add(1)
	}
	f.mu.Unlock()
	_ = s.http.Close()
	if !up {
		return
	}
	go func() {
		defer f.restarts.Done()
		f.clock.SleepUncancellable(promptRestart)
		f.store.Delete("servers", s.id)
		f.startServer()
		_ = s.listener.Release()
	}()
}

// send sends a request whose prompt has the parts and one of its own, and returns the status, or
// 0 if the response is incomplete.
func (f *promptFleet) send(h *promptHost, account string, parts ...string) int {
	return f.sendTo(h, "/draft/x", account, parts...)
}

// sendTo sends such a request to a path.
func (f *promptFleet) sendTo(h *promptHost, path, account string, parts ...string) int {
	id := fmt.Sprintf("%016x", rand.Uint64())
	return f.sendRequest(h, promptRequest{path: path, account: account, body: "body of " + id, parts: append(slices.Clone(parts), id)})
}

// promptRequest is a request; parts are all parts of its prompt, none for a plain call.
type promptRequest struct {
	path, account, body string
	parts               []string
}

// sendRequest sends a request and returns the status as send does.
func (f *promptFleet) sendRequest(h *promptHost, r promptRequest) int {
	ctx, cancel := f.clock.WithTimeout(context.Background(), 4*clocker.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.settings.CallerAddress+r.path, strings.NewReader(r.body))
	if err != nil {
		return 0
	}
	var prompt []string
	for _, p := range r.parts {
		prompt = append(prompt, p+":100")
	}
	req.Host = "h.example"
	for name, value := range map[string]string{
		"X-Request-Id": fmt.Sprintf("%016x", rand.Uint64()), "X-Deadline-Ms": "4000", "Authorization": "Bearer key-" + r.account,
	} {
		req.Header.Set(name, value)
	}
	if len(prompt) > 0 {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Usage", "300,10")
		req.Header.Set("X-Prompt-Prefix", strings.Join(prompt, ","))
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	complete := string(body) == "ok" || strings.Count(string(body), "id: ") == promptEvents
	if err != nil || resp.StatusCode == http.StatusOK && !complete {
		return 0
	}
	return resp.StatusCode
}

// crashCount returns how many servers have crashed.
func (f *promptFleet) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashes)
}

// deadlyAfterBound returns how many deadly requests reached servers later than promptSteady after
// so many crashes.
func (f *promptFleet) deadlyAfterBound(crashes int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < crashes {
		return 0
	}
	n := 0
	for _, at := range f.deadly {
		if at > f.crashes[crashes-1]+promptSteady {
			n++
		}
	}
	return n
}

// stopHosts stops all hosts.
func (f *promptFleet) stopHosts() {
	var stops sync.WaitGroup
	for _, h := range f.hosts {
		stops.Go(func() { h.Stop(context.Background()) })
	}
	stops.Wait()
	f.hosts = nil
}

func (f *promptFleet) close() {
	f.stopHosts()
	f.restarts.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		_ = s.http.Close()
		if err := s.listener.Release(); err != nil && !errors.Is(err, net.ErrClosed) {
			f.t.Errorf("release: %v", err)
		}
	}
}
