// Package flooder guards a `route` process against clients that make it hold too much: it starts the real
// program on loopback, sends it many hostile clients of one kind, and checks that the process lives, that its
// peak resident memory stays within MemoryMb, that its descriptors are bounded and that an ordinary request
// is answered afterwards. No check depends on the speed of the machine. The program is built without the race
// detector, whose memory use differs, and the tests must not run beside others.
package flooder

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/objects"
)

const (
	// pollPause is the time between two looks at the process, in milliseconds, and maxPolls the number of
	// looks after which the test goes on or fails.
	pollPause = 100 * clocker.Millis(1)
	maxPolls  = 300
	// ioTimeout ends a write or read of a client that the process neither serves nor refuses, in
	// milliseconds.
	ioTimeout = 30 * clocker.Second
	// hostName is the host of all routes.
	hostName = "flood.example"
	// routerKey is the RouterKey of the processes.
	routerKey = "flood"
	// largeAnswerBytes is the length of the body below /large/.
	largeAnswerBytes = 7 << 20
	// openEventBytes is the length of the data of the event below /event/.
	openEventBytes = 120 << 10
)

var (
	// program is the built program.
	program string
	// largeAnswer is shared by all answers, so that the test itself takes little memory.
	largeAnswer = make([]byte, largeAnswerBytes)
	// openEvent is the start of an event, a little shorter than what a stream may hold of one.
	openEvent = []byte("id: 2\ndata: " + strings.Repeat("d", openEventBytes))
)

// TestMain builds the program once.
func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "flooder")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program = filepath.Join(folder, "cowsliphinge")
	if out, err := exec.Command("go", "build", "-o", program, "cowsliphinge").CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, err, string(out))
		return 1
	}
	return m.Run()
}

// processConfig are the limits of a process under test.
type processConfig struct {
	memoryMb, maxBodyBytes int64
	// maxDescriptors is the setting of that name; 0 leaves it out.
	maxDescriptors int
	// callerStall is the setting CallerStallMs, in milliseconds; 0 leaves it out.
	callerStall clocker.Millis
	// respondRaw responds on a connection of the backend server to requests below /raw/, before their bodies are read. The
	// connection is closed afterwards.
	respondRaw func(c *net.TCPConn, r *http.Request)
}

// process is a running `route` process with its store and one backend server.
type process struct {
	t        *testing.T
	cfg      processConfig
	clock    *clocker.Clock
	command  *exec.Cmd
	exited   chan struct{}
	callers  string
	exchange string
	server   string
	log      string
	requests atomic.Int64
	// eventsSent counts the events without an end that the backend server has sent.
	eventsSent atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

// startProcess starts a process and waits until it answers an ordinary request.
func startProcess(t *testing.T, cfg processConfig) *process {
	folder := t.TempDir()
	p := &process{t: t, cfg: cfg, clock: clocker.NewWall(), exited: make(chan struct{}), log: filepath.Join(folder, "log")}
	store := objects.New(p.clock)
	p.server = serve(t, http.HandlerFunc(p.answer))
	assert.NilError(t, store.Put("config", "main", map[string]any{
		"version":  1,
		"tenants":  []map[string]any{{"name": "one", "api_keys": []string{"key-one"}, "prepaid": 100_000_000}},
		"routes":   []map[string]any{route("/order/", "safe"), route("/large/", "safe"), route("/stream/", "streaming"), route("/event/", "streaming"), route("/raw/", "unsafe")},
		"services": []map[string]any{{"name": "s"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": cfg.maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}))
	assert.NilError(t, store.Put("servers", "i-1", map[string]any{
		"service": "s", "address": p.server, "zone": "a", "slots": 4096, "state": "ready", "born": int64(p.clock.Now()),
	}))
	addresses := freeAddresses(t, 3)
	p.callers, p.exchange = addresses[0], addresses[2]
	settings := map[string]any{
		"Host": "h0", "AvailabilityZone": "a", "CallerAddress": addresses[0], "ReadyAddress": addresses[1], "ExchangeAddress": addresses[2],
		"StoreAddress": serve(t, store), "RouterKey": routerKey, "MemoryMb": cfg.memoryMb, "LinkMbps": 10_000, "StopBoundMs": 6000,
		"ConfigurationMs": 2000, "LeaveMs": 2000, "SteadyMs": 1500, "RetryRatio": 0.2, "RetryExtra": 40, "RetryWindowMs": 10_000,
	}
	if cfg.maxDescriptors > 0 {
		settings["MaxDescriptors"] = cfg.maxDescriptors
	}
	if cfg.callerStall > 0 {
		settings["CallerStallMs"] = cfg.callerStall
	}
	content, err := json.Marshal(settings)
	assert.NilError(t, err)
	file := filepath.Join(folder, "settings.json")
	assert.NilError(t, os.WriteFile(file, content, 0o600))
	output, err := os.Create(p.log)
	assert.NilError(t, err)
	p.command = exec.Command(program, "route", "-settings", file)
	p.command.Stdout, p.command.Stderr = output, output
	assert.NilError(t, p.command.Start())
	assert.NilError(t, output.Close()) // the process has its own
	go func() {
		_ = p.command.Wait() // a killed process has a bad status
		close(p.exited)
	}()
	t.Cleanup(p.stop)
	p.assertServes()
	return p
}

func route(prefix, kind string) map[string]any {
	return map[string]any{
		"name": strings.Trim(prefix, "/"), "host": hostName, "path_prefix": prefix, "kind": kind, "timeout_ms": 600_000,
		"target_latency_ms": 500, "target_gap_ms": 300, "max_attempts": 2, "service": "s",
	}
}

// serve serves h on a loopback address until the test ends.
func serve(t *testing.T, h http.Handler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = s.Serve(l) }() // ends by Close
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// freeAddresses returns loopback addresses on which nothing listens now.
func freeAddresses(t *testing.T, n int) []string {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// answer is the handler of the backend server. It answers /order/ shortly, /large/ with largeAnswerBytes,
// /stream/ with events without end and /event/ with a short event and a large one that does not end.
func (p *process) answer(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/raw/") {
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			p.cfg.respondRaw(c.(*net.TCPConn), r)
			_ = c.Close()
		}
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the router has closed the connection
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Server-Signature", "s")
	switch {
	case strings.HasPrefix(r.URL.Path, "/large/"):
		w.Header().Set("Content-Length", strconv.Itoa(largeAnswerBytes))
		_, _ = w.Write(largeAnswer) // the router may have closed the connection
	case strings.HasPrefix(r.URL.Path, "/stream/"):
		w.Header().Set("Content-Type", "text/event-stream")
		data := strings.Repeat("d", 4<<10)
		for n := 1; ; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data); err != nil {
				return
			}
		}
	case strings.HasPrefix(r.URL.Path, "/event/"):
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: first\n\n") // the router may have closed the connection
		_ = http.NewResponseController(w).Flush()          // likewise
		_, _ = w.Write(openEvent)                          // likewise
		_ = http.NewResponseController(w).Flush()          // likewise
		p.eventsSent.Add(1)
		<-r.Context().Done()
	default:
		_, _ = io.WriteString(w, "ok") // the router may have closed the connection
	}
}

// stop ends the process and the connections of all clients.
func (p *process) stop() {
	_ = p.command.Process.Kill() // it may have ended
	<-p.exited
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	if p.t.Failed() {
		content, _ := os.ReadFile(p.log) // a missing log adds nothing
		p.t.Logf("end of the log of the process:\n%s", content[max(0, len(content)-4096):])
	}
}

// dial opens a connection for a caller that stays open until the test ends, with a deadline for all its reads and
// writes.
func (p *process) dial() (net.Conn, error) {
	return p.dialTo(p.callers)
}

func (p *process) dialTo(address string) (net.Conn, error) {
	c, err := net.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	return c, c.SetDeadline(clocker.FromNow(ioTimeout))
}

// crowd runs n hostile clients at once. It returns when each has sent all that it sends or was refused, and
// the process has read it. The connections stay open.
func (p *process) crowd(n int, client func(c net.Conn) error) {
	p.crowdAt(p.callers, n, client)
}

// crowdAt is crowd for clients of one address of the process.
func (p *process) crowdAt(address string, n int, client func(c net.Conn) error) {
	var clients sync.WaitGroup
	var refused atomic.Int64
	for range n {
		clients.Go(func() {
			c, err := p.dialTo(address)
			if err == nil {
				err = client(c)
			}
			if err != nil {
				refused.Add(1)
			}
		})
	}
	clients.Wait()
	p.awaitRead()
	p.t.Logf("%d clients, %d of them refused or cut off", n, refused.Load())
}

// awaitRead waits until the process has read what its callers have sent, as far as it reads it.
func (p *process) awaitRead() {
	for range maxPolls {
		if p.unreadBytes() == 0 {
			return
		}
		p.clock.SleepUncancellable(pollPause)
	}
}

// requestHead returns the head of a request without its blank line and body headers.
func (p *process) requestHead(path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %016x\r\nX-Deadline-Ms: 600000\r\nAuthorization: Bearer key-one\r\n", path, hostName, p.requests.Add(1))
}

// send sends a request with a body of so many bytes on a new connection and returns the status, or 0 if the
// answer is not whole.
func (p *process) send(bodyBytes int64) int {
	c, err := net.Dial("tcp4", p.callers)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(clocker.FromNow(ioTimeout)) // fails only if c is closed
	message := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", p.requestHead("/order/x"), bodyBytes, make([]byte, bodyBytes))
	if _, err := io.WriteString(c, message); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode == http.StatusOK && string(body) != "ok" {
		return 0
	}
	return resp.StatusCode
}

// eventually repeats f until it succeeds, within maxPolls attempts, and returns its last error.
func (p *process) eventually(f func() error) error {
	var err error
	for range maxPolls {
		if err = f(); err == nil || !p.alive() {
			break
		}
		p.clock.SleepUncancellable(pollPause)
	}
	return err
}

// assertServes asserts that an ordinary request is answered, within maxPolls attempts.
func (p *process) assertServes() {
	status := 0
	for range maxPolls {
		if !p.alive() {
			break
		}
		if status = p.send(100); status == http.StatusOK {
			return
		}
		p.clock.SleepUncancellable(pollPause)
	}
	p.t.Errorf("no ordinary request is answered, last status %d", status)
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// assertBounded asserts that the process lives, stays within its memory and descriptors, and serves.
func (p *process) assertBounded(maxDescriptors int) {
	descriptors := p.descriptors()
	p.assertServes()
	if !p.alive() {
		p.t.Fatal("the process has ended")
	}
	descriptors = max(descriptors, p.descriptors())
	peak := p.peakMemory()
	p.t.Logf("VmHWM %d kB of %d kB, %d descriptors of %d", peak, p.cfg.memoryMb<<10, descriptors, maxDescriptors)
	assert.Check(p.t, peak <= p.cfg.memoryMb<<10, "peak resident memory is %d kB, MemoryMb is %d kB", peak, p.cfg.memoryMb<<10)
	assert.Check(p.t, descriptors <= maxDescriptors, "%d open descriptors", descriptors)
}

// peakMemory returns VmHWM in kB.
func (p *process) peakMemory() int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	assert.NilError(p.t, err)
	_, rest, found := bytes.Cut(content, []byte("VmHWM:"))
	assert.Assert(p.t, found, "the status of the process has no VmHWM")
	peak, err := strconv.ParseInt(strings.Fields(string(rest))[0], 10, 64)
	assert.NilError(p.t, err)
	return peak
}

// descriptors returns the number of open descriptors, 0 if the process has ended.
func (p *process) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	return len(entries)
}
