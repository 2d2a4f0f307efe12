package relayer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/carrier"
	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/matcher"
	"cowsliphinge/reserver"
	"cowsliphinge/standin/refuser"
)

var headerNames = HeaderNames{
	RequestID: "X-Id", Timeout: "X-Time", ServerMark: "X-Sign", Account: "X-Account", ExpectedServerID: "X-Expect",
	NotRun: "X-Not-Run", Leaving: "X-Leaving", Load: "X-Load", Priority: "X-Priority", LastEventID: "Last-Event-Id",
	Tokens: "X-Tokens", PromptParts: "X-Parts", Stripped: []string{"X-Hold"},
	RequestLimit: func(h http.Header) (chooser.RequestLimit, bool) {
		perSecond, err := strconv.ParseFloat(h.Get("X-Limit"), 64)
		return chooser.RequestLimit{Named: err == nil, PerSecond: perSecond}, true
	},
}

// handler responds to one request on a connection of a backend server.
type handler func(w io.Writer, req *http.Request)

// backend is a server that runs one handler for each request; the last one serves all
// further requests.
type backend struct {
	listener *refuser.Listener
	mu       sync.Mutex
	handlers []handler
	requests []*http.Request
	bodies   []string
	conns    []net.Conn
	// ended is true once closeAll was called: a connection that is accepted meanwhile is closed, too.
	ended bool
	// closed receives a value for each closed connection.
	closed chan struct{}
}

func newBackend(t *testing.T, handlers ...handler) *backend {
	listener, err := refuser.Listen()
	assert.NilError(t, err)
	b := &backend{listener: listener, handlers: handlers, closed: make(chan struct{}, 100)}
	t.Cleanup(func() { _ = listener.Release() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns = append(b.conns, c)
			if b.ended {
				_ = c.Close()
			}
			b.mu.Unlock()
			go b.serve(c)
		}
	}()
	return b
}

// closeAll closes the listener and all connections, as the kernel does when a process ends.
func (b *backend) closeAll() {
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	for _, c := range b.conns {
		_ = c.Close()
	}
}

func (b *backend) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		b.closed <- struct{}{}
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		handle := b.nextHandler(req, string(body))
		if handle == nil {
			return
		}
		handle(c, req)
	}
}

func (b *backend) nextHandler(req *http.Request, body string) handler {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, req)
	b.bodies = append(b.bodies, body)
	handle := b.handlers[0]
	if len(b.handlers) > 1 {
		b.handlers = b.handlers[1:]
	}
	return handle
}

func (b *backend) requestCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.requests)
}

// respond sends a complete response.
func respond(status int, body string, headers ...string) handler {
	return func(w io.Writer, req *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 %d X\r\nX-Id: %s\r\nX-Sign: s\r\nContent-Length: %d\r\n", status, req.Header.Get("X-Id"), len(body))
		for _, h := range headers {
			_, _ = fmt.Fprintf(w, "%s\r\n", h)
		}
		_, _ = fmt.Fprintf(w, "\r\n%s", body)
	}
}

// respondRaw writes text, in which %s stands for the ID of the request.
func respondRaw(text string) handler {
	return func(w io.Writer, req *http.Request) {
		_, _ = fmt.Fprintf(w, text, req.Header.Get("X-Id"))
	}
}

// thenClose runs s, if it is not nil, and closes the connection.
func thenClose(s handler) handler {
	return func(w io.Writer, req *http.Request) {
		if s != nil {
			s(w, req)
		}
		_ = w.(net.Conn).Close()
	}
}

// streamEvents streams the events numbered from first to last, and ends the response if
// complete is true.
func streamEvents(first, last int, complete bool) handler {
	return func(w io.Writer, req *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("X-Id"))
		for i := first; i <= last; i++ {
			e := fmt.Sprintf("id: %d\ndata: d\n\n", i)
			_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
		}
		if complete {
			_, _ = io.WriteString(w, "0\r\n\r\n")
		}
	}
}

func noResponse(io.Writer, *http.Request) {}

// fixture is a Relayer with test backends.
type fixture struct {
	relayer  *Relayer
	frontend *httptest.Server
	table    *matcher.Table
	servers  *lockedChooser
	budgets  *fakeBudgets
	logLines logLines
	// stopDeadline is when a planned stop aborts requests; 0 without a planned stop.
	stopDeadline clocker.Millis
}

// logLines receives the log lines of requests, one per value.
type logLines chan string

func (l logLines) Write(b []byte) (int, error) {
	l <- string(b)
	return len(b), nil
}

// lockedChooser serializes access to a Chooser, as package runner does.
type lockedChooser struct {
	mu       sync.Mutex
	chooser  *chooser.Chooser
	clock    *clocker.Clock
	outcomes []chooser.Outcome
}

func (s *lockedChooser) Choose(r chooser.Request) chooser.Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice := s.chooser.Choose(r, s.clock.Now())
	if choice.Found {
		s.chooser.Start(choice.Server.ID, r)
	}
	return choice
}

func (s *lockedChooser) Finish(id string, r chooser.Request, o chooser.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, o)
	s.chooser.Release(id, r)
	s.chooser.Finish(id, o, s.clock.Now())
}

func (s *lockedChooser) MarkDown(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.MarkDown(id, s.clock.Now())
}

func (s *lockedChooser) RecordActivity(id string, report chooser.StatusReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.RecordActivity(id, report, s.clock.Now())
}

func (s *lockedChooser) Leaving(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.Leaving(id, s.clock.Now())
}

func (s *lockedChooser) LastActivity(id string) clocker.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.LastActivity(id)
}

// fakeBudgets records reserved and settled tokens.
type fakeBudgets struct {
	mu       sync.Mutex
	left     int64
	err      error
	settled  chan int64
	reserved int64
}

func (b *fakeBudgets) Reserve(_ context.Context, budget string, tokens int64, _ int, _ clocker.Millis) (reserver.Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return reserver.Reservation{}, b.err
	}
	b.reserved += tokens
	return reserver.Reservation{Budget: budget, Tokens: tokens, ID: 1}, nil
}

func (b *fakeBudgets) Settle(r reserver.Reservation, used int64) {
	if r.ID != 0 {
		b.settled <- used
	}
}

type fakeRetries struct{ deny bool }

func (fakeRetries) Attempted(string)            {}
func (r fakeRetries) Allow(string, string) bool { return !r.deny }

func newFixture(t *testing.T, route matcher.Route, backends ...*backend) *fixture {
	route.Name = "r"
	route.Host = "shop.example"
	route.PathPrefix = "/r/"
	if route.Timeout == 0 {
		route.Timeout = 5 * clocker.Second
	}
	route.MaxAttempts = max(route.MaxAttempts, 1)
	route.Splits = []matcher.Split{{Service: "s", Weight: 1}}
	clock := clocker.NewWall()
	f := &fixture{
		servers:  &lockedChooser{chooser: chooser.New(chooser.Config{AvailabilityZone: "a", Sheds: true}), clock: clock},
		budgets:  &fakeBudgets{settled: make(chan int64, 100)},
		logLines: make(logLines, 100),
		table: matcher.New(matcher.Declaration{
			Version:  1,
			Routes:   []*matcher.Route{&route, {Name: "open", Host: "shop.example", PathPrefix: "/open/", Public: true, Timeout: route.Timeout, MaxAttempts: 1, Splits: route.Splits}},
			Services: []*matcher.Service{{Name: "s", TokensPerEvent: 6}},
			Accounts: []*matcher.Account{{Name: "masons", Keys: []string{"key"}, HasPrepaid: true, Prepaid: 1000}},
			Limits:   matcher.Limits{BodyBytes: 1 << 16},
		}),
	}
	for i, b := range backends {
		f.servers.chooser.Set(chooser.Server{ID: fmt.Sprint("s", i), Service: "s", Address: b.listener.Addr().String(), AvailabilityZone: "a", Slots: 4})
	}
	f.relayer = New(Config{
		Clock:        clock,
		HeaderNames:  headerNames,
		Table:        func() *matcher.Table { return f.table },
		Servers:      f.servers,
		Budgets:      f.budgets,
		Retries:      fakeRetries{},
		Carrier:      carrier.New(carrier.Config{Clock: clock, RequestIDHeader: "X-Id", DialTimeout: clocker.Second, IdleTimeout: clocker.Minute}),
		MoveCallers:  func() bool { return f.stopDeadline > 0 },
		StopDeadline: func() clocker.Millis { return f.stopDeadline },
		Log:          slog.New(slog.NewJSONHandler(f.logLines, nil)),
	})
	f.frontend = httptest.NewServer(f.relayer)
	t.Cleanup(f.frontend.Close)
	return f
}

// callerResult is what a caller received; truncated is true if the response was
// incomplete.
type callerResult struct {
	status    int
	header    http.Header
	body      string
	truncated bool
}

func (f *fixture) call(t *testing.T, method, path, body string, headers ...string) callerResult {
	t.Helper()
	return f.callWith(context.Background(), t, method, path, body, headers...)
}

func (f *fixture) callWith(ctx context.Context, t *testing.T, method, path, body string, headers ...string) callerResult {
	t.Helper()
	var content io.Reader
	if body != "" {
		content = &chunkedReader{text: body}
	}
	req, err := http.NewRequestWithContext(ctx, method, f.frontend.URL+path, content)
	assert.NilError(t, err)
	req.Host = "shop.example"
	req.Header.Set("X-Id", "id-1")
	req.Header.Set("Authorization", "Bearer key")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return callerResult{truncated: true}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return callerResult{status: resp.StatusCode, header: resp.Header, body: string(got), truncated: err != nil}
}

// chunkedReader hides the length of a body, so that net/http sends it in chunks.
type chunkedReader struct {
	text string
}

func (r *chunkedReader) Read(b []byte) (int, error) {
	if r.text == "" {
		return 0, io.EOF
	}
	n := copy(b, r.text)
	r.text = r.text[n:]
	return n, nil
}
