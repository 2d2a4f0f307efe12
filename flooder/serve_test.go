package flooder

// This file does for the product's own listener, which `serve` runs, what the other files do for `route`.

import (
	"bufio"
	"bytes"
	"context"
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

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/exchanger"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/platform"
)

const (
	// serveMemoryMb is the MemoryMb of the processes under test, and the bound of their VmHWM.
	serveMemoryMb = 128
	// serveMaxBody is their MaxBodyBytes, serveMaxConnections their MaxConnections.
	serveMaxBody        = 2 << 20
	serveMaxConnections = 300
	// serveMaxDescriptors bounds their open descriptors: one a caller, and those towards backend servers,
	// the store and other hosts.
	serveMaxDescriptors = 2*serveMaxConnections + 64
	// serveCrowd is the number of clients of most kinds.
	serveCrowd = 100
	// serveExchangeCrowd is the number of clients of the exchange listener, serveExchangeBody the bytes that
	// each sends.
	serveExchangeCrowd = 24
	serveExchangeBody  = 8 << 20
	// serveAnswerBytes is the length of the answer below /calls/large.
	serveAnswerBytes = 4 << 20
	// serveIOTimeout ends a write or read of a client that the process neither serves nor refuses, in
	// milliseconds.
	serveIOTimeout = 20 * clocker.Second
	// servePause is the time between two attempts, in milliseconds, serveAttempts their number.
	servePause    = 100 * clocker.Millis(1)
	serveAttempts = 400

	serveCallerKey   = "key-of-the-caller"
	serveOperatorKey = "operator-key-of-the-flood"
	serveRouterKey   = "router-key-of-the-flood"
	// serveClaimed is the service whose requests with a key run at most once.
	serveClaimed = "orders"
)

// serveProgram builds the program once, without the race detector.
var serveProgram = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "flooder-serve")
	if err != nil {
		return "", err
	}
	name := filepath.Join(folder, "cowsliphinge")
	out, err := exec.Command("go", "build", "-o", name, "cowsliphinge").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return name, nil
})

// serveProcess is a running `serve` process with its platform and one backend server.
type serveProcess struct {
	t         *testing.T
	clock     *clocker.Clock
	command   *exec.Cmd
	exited    chan struct{}
	callers   string
	exchange  string
	commander messenger.Commander
	log       string

	mu    sync.Mutex
	conns []net.Conn
}

// startServeProcess starts a process and waits until it answers an ordinary request.
func startServeProcess(t *testing.T) *serveProcess {
	name, err := serveProgram()
	assert.NilError(t, err)
	folder := t.TempDir()
	p := &serveProcess{t: t, clock: clocker.NewWall(), exited: make(chan struct{}), log: filepath.Join(folder, "log")}
	store := &fasthttp.Server{Handler: platform.New(p.clock).Handler, NoDefaultServerHeader: true}
	storeListener := serveListen(t)
	go func() { _ = store.Serve(storeListener) }() // ends as its listener closes
	backend := &http.Server{Handler: http.HandlerFunc(serveBackend), ErrorLog: log.New(io.Discard, "", 0)}
	backendListener := serveListen(t)
	go func() { _ = backend.Serve(backendListener) }() // ends by Close
	t.Cleanup(func() { _ = backend.Close() })
	addresses := freeAddresses(t, 2) // behind the other listeners, which could get one of them
	p.callers, p.exchange = addresses[0], addresses[1]
	settings, err := json.Marshal(map[string]any{
		"Host": "h0", "AvailabilityZone": "a", "CallerAddress": p.callers, "ExchangeAddress": p.exchange,
		"PlatformUrl": "http://" + storeListener.Addr().String(), "OperatorKey": serveOperatorKey, "RouterKey": serveRouterKey,
		"MaxBodyBytes": serveMaxBody, "MaxConnections": serveMaxConnections, "MemoryMb": serveMemoryMb,
	})
	assert.NilError(t, err)
	file := filepath.Join(folder, "settings.json")
	assert.NilError(t, os.WriteFile(file, settings, 0o600))
	output, err := os.Create(p.log)
	assert.NilError(t, err)
	p.command = exec.Command(name, "serve", "-settings", file)
	p.command.Stdout, p.command.Stderr = output, output
	assert.NilError(t, p.command.Start())
	assert.NilError(t, output.Close()) // the process has its own
	go func() {
		_ = p.command.Wait() // a killed process has a bad status
		close(p.exited)
	}()
	t.Cleanup(p.stop)
	p.commander = messenger.NewCommanderProtobufClient("http://"+p.exchange, exchanger.NewHTTPClient(serveOperatorKey, nil))
	p.configure(backendListener.Addr().String())
	p.assertAnswered()
	return p
}

// configure puts one client account with a budget, and three services of one server each, in force.
func (p *serveProcess) configure(server string) {
	service := func(name string, kind messenger.ServiceKind, maxOutputTokens int64) *messenger.Service {
		return &messenger.Service{
			Name: name, Kind: kind, Idempotent: name != serveClaimed, MaxOutputTokens: maxOutputTokens, QueueLimit: 4096, ProgressTimeoutMs: 60_000, DefaultDeadlineMs: 600_000,
		}
	}
	declarations := &messenger.Declarations{
		Deployment:     "flood",
		ClientAccounts: []*messenger.ClientAccount{{Name: "one", KeySha256: indexer.HashKey(serveCallerKey), Budget: "one", Weight: 1}},
		Services:       []*messenger.Service{service("drafts", messenger.ServiceKind_LANGUAGE, 1024), service("calls", messenger.ServiceKind_APPLICATION, 0), service(serveClaimed, messenger.ServiceKind_APPLICATION, 0)},
		Models:         []*messenger.Model{{Name: "draft-1", Version: "1", SizeMb: 100}},
		BackendServers: []*messenger.BackendServer{
			{Name: "e", Address: server, AvailabilityZone: "a", Service: "drafts", Models: []string{"draft-1"}, Slots: 1024},
			{Name: "c", Address: serveAlias(server, 2), AvailabilityZone: "a", Service: "calls", Slots: 1024},
			{Name: "o", Address: serveAlias(server, 3), AvailabilityZone: "a", Service: serveClaimed, Slots: 1024},
		},
		Hosts: []*messenger.Host{{Name: "h0", AvailabilityZone: "a", CallerAddress: p.callers, ExchangeAddress: p.exchange}},
		Policy: &messenger.Policy{
			HeadroomMs: 10_000, OfflineReserveMs: 21_600_000, MaxShareOfRestMilli: 200, PatienceMs: 5000, RetryPercent: 10,
			PlatformCallsPerSecond: 20, WeightStoreMbPerSecond: 200, BalancerDelayMs: 100, StopBoundMs: 10_000,
			AnswerRetentionMs: 60_000, FloorTokens: 16_384,
		},
	}
	p.eventually("apply", func() error {
		reply, err := p.commander.Apply(context.Background(), &messenger.ApplyRequest{OperationId: "flood", Declarations: declarations, By: "flood"})
		if err == nil && len(reply.Findings) > 0 {
			err = fmt.Errorf("findings: %v", reply.Findings)
		}
		return err
	})
	p.eventually("top up", func() error {
		_, err := p.commander.TopUp(context.Background(), &messenger.TopUpRequest{OperationId: "flood", Budget: "one", Tokens: 1 << 40, By: "flood"})
		return err
	})
}

// serveAlias returns the same port at another loopback address, since no two servers may have the same one.
func serveAlias(address string, last int) string {
	_, port, _ := net.SplitHostPort(address)
	return fmt.Sprintf("127.0.0.%d:%s", last, port)
}

func serveListen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp4", "0.0.0.0:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	_, port, err := net.SplitHostPort(l.Addr().String())
	assert.NilError(t, err)
	return serveNamedListener{Listener: l, address: "127.0.0.1:" + port}
}

// serveNamedListener listens on all loopback addresses and is called by the first one.
type serveNamedListener struct {
	net.Listener
	address string
}

// Addr implements net.Listener.
func (l serveNamedListener) Addr() net.Addr {
	a, _ := net.ResolveTCPAddr("tcp4", l.address)
	return a
}

// serveBackend answers load reports, calls and completions, and calls below /raw/ with a broken response. A completion is a stream without end, unless its prompt
// contains serveFinitePrompt.
func serveBackend(w http.ResponseWriter, r *http.Request) {
	if text, ok := brokenResponses[strings.TrimPrefix(r.URL.Path, "/raw/")]; ok {
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			writeBroken(c, text, r)
		}
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	switch r.URL.Path {
	case "/load":
		_, _ = io.WriteString(w, `{"Running":0,"Queued":0,"Slots":1024,"SampledAtMs":1}`)
	case "/cache-events":
		_, _ = io.WriteString(w, `[]`)
	case "/large":
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", strconv.Itoa(serveAnswerBytes))
		_, _ = w.Write(make([]byte, serveAnswerBytes)) // fails if the process has ended
	case "/stored":
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, serveStoredBytes)) // fails if the process has ended
	case "/v1/chat/completions":
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		text := strings.Repeat("x", 4096)
		for n := 1; ; n++ {
			if n > serveFiniteEvents && bytes.Contains(body, []byte(serveFinitePrompt)) {
				_, _ = io.WriteString(w, "data: [DONE]\n\n") // fails if the process has ended
				return
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", n, text); err != nil {
				return
			}
		}
	default:
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "ok")
	}
}

// stop ends the process and the connections of all clients.
func (p *serveProcess) stop() {
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

func (p *serveProcess) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// eventually repeats f until it succeeds or the process ends.
func (p *serveProcess) eventually(what string, f func() error) {
	var err error
	for range serveAttempts {
		if !p.alive() {
			break
		}
		if err = f(); err == nil {
			return
		}
		p.clock.SleepUncancellable(servePause)
	}
	p.t.Fatalf("%s: %v, process alive: %t", what, err, p.alive())
}

// crowd runs n clients of an address at once and returns when each has sent what it sends, or was refused, and
// the process has read what it reads of it. The connections stay open until the test ends.
func (p *serveProcess) crowd(address string, n int, client func(c net.Conn) error) {
	var clients sync.WaitGroup
	var refused atomic.Int64
	for range n {
		clients.Go(func() {
			c, err := net.Dial("tcp4", address)
			if err != nil {
				refused.Add(1)
				return
			}
			p.mu.Lock()
			p.conns = append(p.conns, c)
			p.mu.Unlock()
			_ = c.SetDeadline(clocker.FromNow(serveIOTimeout)) // fails only if c is closed
			if err := client(c); err != nil {
				refused.Add(1)
			}
		})
	}
	clients.Wait()
	for range serveAttempts / 10 {
		if p.unread(address) == 0 {
			break
		}
		p.clock.SleepUncancellable(servePause)
	}
	p.t.Logf("%d clients, %d of them refused or cut off", n, refused.Load())
}

// unread returns the number of bytes that the kernel holds for the process from clients of address.
func (p *serveProcess) unread(address string) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", p.command.Process.Pid))
	if err != nil {
		return 0 // the process has ended, which assertBounded finds
	}
	_, port, err := net.SplitHostPort(address)
	assert.NilError(p.t, err)
	number, err := strconv.Atoi(port)
	assert.NilError(p.t, err)
	sum := int64(0)
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		const established = "01"
		if len(fields) < 5 || !strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", number)) || fields[3] != established {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		unread, err := strconv.ParseInt(queue, 16, 64)
		assert.NilError(p.t, err)
		sum += unread
	}
	return sum
}

// serveHead returns the head of a caller's request without its body headers and blank line.
func serveHead(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Deadline-Ms: 600000\r\nAuthorization: Bearer " + serveCallerKey + "\r\n"
}

// send sends a call with a body of so many bytes and returns an error unless it is answered.
func (p *serveProcess) send(bodyBytes int) error {
	c, err := net.Dial("tcp4", p.callers)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(clocker.FromNow(serveIOTimeout)) // fails only if c is closed
	message := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", serveHead("/calls/x"), bodyBytes, make([]byte, bodyBytes))
	if _, err := io.WriteString(c, message); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || string(body) != "ok" {
		return fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return nil
}

// assertAnswered asserts that an ordinary request is answered.
func (p *serveProcess) assertAnswered() {
	p.eventually("an ordinary request", func() error { return p.send(100) })
}

// assertBounded asserts that the process lives, stays within its memory and descriptors, and serves.
func (p *serveProcess) assertBounded() {
	descriptors := p.descriptors()
	p.assertAnswered()
	descriptors = max(descriptors, p.descriptors())
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	assert.NilError(p.t, err)
	_, rest, found := bytes.Cut(content, []byte("VmHWM:"))
	assert.Assert(p.t, found, "the status of the process has no VmHWM")
	peak, err := strconv.ParseInt(strings.Fields(string(rest))[0], 10, 64)
	assert.NilError(p.t, err)
	p.t.Logf("VmHWM %d kB of %d kB, %d descriptors of %d", peak, serveMemoryMb<<10, descriptors, serveMaxDescriptors)
	assert.Check(p.t, peak <= serveMemoryMb<<10, "peak resident memory is %d kB, MemoryMb is %d kB", peak, serveMemoryMb<<10)
	assert.Check(p.t, descriptors <= serveMaxDescriptors, "%d open descriptors", descriptors)
}

func (p *serveProcess) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)) // 0 if the process has ended
	return len(entries)
}

// serveWriteChunks writes a chunked body of so many bytes, without the last chunk.
func serveWriteChunks(c net.Conn, head string, bodyBytes, chunkBytes int) error {
	if _, err := io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, make([]byte, chunkBytes))
	for sent := 0; sent < bodyBytes; sent += chunkBytes {
		if _, err := io.WriteString(c, chunk); err != nil {
			return err
		}
	}
	return nil
}

// Guards against bodies held whole for callers that never send the last byte.
func TestServeBoundsBodiesWithoutTheirLastByte(t *testing.T) {
	p := startServeProcess(t)
	message := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", serveHead("/calls/x"), serveMaxBody, make([]byte, serveMaxBody-1))
	p.crowd(p.callers, serveCrowd, func(c net.Conn) error {
		_, err := io.WriteString(c, message)
		return err
	})
	p.assertBounded()
}

// Guards against chunked bodies held whole for callers that never send the last chunk.
func TestServeBoundsChunkedBodiesWithoutEnd(t *testing.T) {
	p := startServeProcess(t)
	p.crowd(p.callers, serveCrowd, func(c net.Conn) error {
		return serveWriteChunks(c, serveHead("/calls/x"), serveMaxBody-(64<<10), 64<<10)
	})
	p.assertBounded()
}

// Guards against whole bodies at the limit that many callers send at once, again and again: each is held several
// times while it is parsed and passed on.
func TestServeBoundsWholeBodies(t *testing.T) {
	p := startServeProcess(t)
	completion := fmt.Sprintf(`{"model":"draft-1","max_tokens":10,"messages":[{"role":"user","content":"%s"}]}`, strings.Repeat("x", serveMaxBody-1024))
	message := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", serveHead("/v1/chat/completions"), len(completion), completion)
	call := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", serveHead("/calls/x"), serveMaxBody, make([]byte, serveMaxBody))
	p.crowd(p.callers, serveCrowd, func(c net.Conn) error {
		for _, m := range []string{call, call, message} {
			if _, err := io.WriteString(c, m); err != nil {
				return err
			}
		}
		return nil
	})
	p.assertBounded()
}

// Guards against bodies far over the limit, announced or chunked, that are read on after they are refused.
func TestServeBoundsBodiesFarOverTheLimit(t *testing.T) {
	p := startServeProcess(t)
	announced := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", serveHead("/calls/x"), 64<<20, make([]byte, 4*serveMaxBody))
	p.crowd(p.callers, serveCrowd/2, func(c net.Conn) error {
		_, err := io.WriteString(c, announced)
		return err
	})
	p.crowd(p.callers, serveCrowd/2, func(c net.Conn) error {
		return serveWriteChunks(c, serveHead("/calls/x"), 4*serveMaxBody, 64<<10)
	})
	p.assertBounded()
}

// Guards against callers that take all connections with heads that never end.
func TestServeBoundsConnections(t *testing.T) {
	p := startServeProcess(t)
	head := serveHead("/calls/x") + strings.Repeat("X-Filler: f\r\n", 1000)
	p.crowd(p.callers, 4*serveMaxConnections, func(c net.Conn) error {
		_, err := io.WriteString(c, head)
		return err
	})
	p.assertBounded()
}

// Guards against streams and answers held for callers that do not read them.
func TestServeBoundsCallersThatDoNotRead(t *testing.T) {
	p := startServeProcess(t)
	completion := `{"model":"draft-1","max_tokens":1000,"stream":true,"messages":[{"role":"user","content":"x"}]}`
	message := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", serveHead("/v1/chat/completions"), len(completion), completion)
	send := func(message string) func(c net.Conn) error {
		return func(c net.Conn) error {
			if _, err := io.WriteString(c, message); err != nil {
				return err
			}
			_, err := io.ReadFull(c, make([]byte, 1024))
			return err
		}
	}
	p.crowd(p.callers, serveCrowd/2, send(message))
	p.crowd(p.callers, serveCrowd/2, send(serveHead("/calls/large")+"Content-Length: 0\r\n\r\n"))
	p.assertBounded()
}

// Guards against a body at the limit that an idle process refuses.
func TestServeTakesOneBodyAtTheLimit(t *testing.T) {
	p := startServeProcess(t)
	assert.NilError(t, p.send(serveMaxBody))
	p.assertBounded()
}

// serveCall returns the head of a call of the exchange listener and the first bytes of its body, without the last.
func serveCall(method, key string) string {
	head := "POST /twirp/cowsliphinge." + method + " HTTP/1.1\r\nHost: h\r\nContent-Type: application/protobuf\r\n"
	if key != "" {
		head += "Authorization: Bearer " + key + "\r\n"
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, serveExchangeBody+1, make([]byte, serveExchangeBody))
}

// assertExchanges asserts that heartbeats and transfers of other hosts are answered.
func (p *serveProcess) assertExchanges() {
	client := exchanger.NewClient(exchanger.ClientConfig{RouterKey: serveRouterKey})
	defer client.Close()
	beat := &messenger.Beat{Incarnation: "h1-1", Host: "h1", AvailabilityZone: "a", ExchangeAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2"}
	incarnation := ""
	p.eventually("a heartbeat", func() error {
		reply, err := client.SendBeat(context.Background(), p.exchange, beat)
		incarnation = reply.GetBeat().GetIncarnation()
		return err
	})
	p.eventually("a transfer", func() error {
		_, err := client.Transfer(context.Background(), p.exchange, &messenger.TransferRequest{From: beat.Incarnation, To: incarnation})
		return err
	})
}

// Guards against bodies of callers without a key that are read.
func TestServeBoundsUnauthenticatedExchangeBodies(t *testing.T) {
	p := startServeProcess(t)
	p.crowd(p.exchange, 4*serveExchangeCrowd, func(c net.Conn) error {
		_, err := io.WriteString(c, serveCall("Exchange/SendBeat", ""))
		return err
	})
	p.assertExchanges()
	p.assertBounded()
}

// Guards against large bodies of operators' calls that stall: they are held without a bound on their sum.
func TestServeBoundsStalledOperatorCalls(t *testing.T) {
	p := startServeProcess(t)
	p.crowd(p.exchange, serveExchangeCrowd, func(c net.Conn) error {
		_, err := io.WriteString(c, serveCall("Commander/Apply", serveOperatorKey))
		return err
	})
	p.assertExchanges()
	p.assertBounded()
}

// Guards against large bodies of hosts' calls that stall, in the same way.
func TestServeBoundsStalledHostCalls(t *testing.T) {
	p := startServeProcess(t)
	p.crowd(p.exchange, serveExchangeCrowd, func(c net.Conn) error {
		_, err := io.WriteString(c, serveCall("Exchange/CopyBills", serveRouterKey))
		return err
	})
	p.assertExchanges()
	p.assertBounded()
}
