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

var dialect = Dialect{
	RequestID: "X-Id", Deadline: "X-Time", Signature: "X-Sign", Account: "X-Account", ExpectedServerID: "X-Expect",
	NotRun: "X-Not-Run", Leaving: "X-Leaving", Load: "X-Load", Priority: "X-Priority", LastEventID: "Last-Event-Id",
	Tokens: "X-Tokens", Prefix: "X-Parts", Reserved: []string{"X-Hold"},
}

// script answers one request on the connection of a backend server.
type script func(w io.Writer, req *http.Request)

// backend is a server that follows scripts, one a request; the last one repeats.
type backend struct {
	listener *refuser.Listener
	mu       sync.Mutex
	scripts  []script
	requests []*http.Request
	bodies   []string
	// closed gets a value for each connection that the router closed.
	closed chan struct{}
}

func newBackend(t *testing.T, scripts ...script) *backend {
	l, err := refuser.Listen()
	assert.NilError(t, err)
	b := &backend{listener: l, scripts: scripts, closed: make(chan struct{}, 100)}
	t.Cleanup(func() { _ = l.Release() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
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
		run := b.next(req, string(body))
		if run == nil {
			return
		}
		run(c, req)
	}
}

func (b *backend) next(req *http.Request, body string) script {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, req)
	b.bodies = append(b.bodies, body)
	run := b.scripts[0]
	if len(b.scripts) > 1 {
		b.scripts = b.scripts[1:]
	}
	return run
}

func (b *backend) runs() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.requests)
}

// answer is a whole answer.
func answer(status int, body string, headers ...string) script {
	return func(w io.Writer, req *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 %d X\r\nX-Id: %s\r\nX-Sign: s\r\nContent-Length: %d\r\n", status, req.Header.Get("X-Id"), len(body))
		for _, h := range headers {
			_, _ = fmt.Fprintf(w, "%s\r\n", h)
		}
		_, _ = fmt.Fprintf(w, "\r\n%s", body)
	}
}

// raw writes text with %s for the request's ID.
func raw(text string) script {
	return func(w io.Writer, req *http.Request) {
		_, _ = fmt.Fprintf(w, text, req.Header.Get("X-Id"))
	}
}

// cut ends the connection behind what another script wrote.
func cut(s script) script {
	return func(w io.Writer, req *http.Request) {
		if s != nil {
			s(w, req)
		}
		_ = w.(net.Conn).Close()
	}
}

// events streams events numbered from first to last, then ends the answer if
// whole.
func events(first, last int, whole bool) script {
	return func(w io.Writer, req *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("X-Id"))
		for i := first; i <= last; i++ {
			e := fmt.Sprintf("id: %d\ndata: d\n\n", i)
			_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
		}
		if whole {
			_, _ = io.WriteString(w, "0\r\n\r\n")
		}
	}
}

func silent(io.Writer, *http.Request) {}

// world is a relayer before backends.
type world struct {
	relayer *Relayer
	front   *httptest.Server
	table   *matcher.Table
	shell   *shell
	budgets *budgets
	lines   lines
	// cutAt is when a planned stop cuts requests; 0 while the router is not stopped.
	cutAt clocker.Millis
}

// lines gets the log lines of requests, one a value.
type lines chan string

func (l lines) Write(b []byte) (int, error) {
	l <- string(b)
	return len(b), nil
}

// shell serializes a chooser as the router does.
type shell struct {
	mu       sync.Mutex
	chooser  *chooser.Chooser
	clock    *clocker.Clock
	outcomes []chooser.Outcome
}

func (s *shell) Choose(r chooser.Request) chooser.Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice := s.chooser.Choose(r, s.clock.Now())
	if choice.Found {
		s.chooser.Start(choice.Server.ID, r)
	}
	return choice
}

func (s *shell) Finish(id string, o chooser.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, o)
	s.chooser.Finish(id, o, s.clock.Now())
}

func (s *shell) Observe(id string, w chooser.Word) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.Heard(id, w, s.clock.Now())
}

func (s *shell) LastReceivedAt(id string) clocker.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.HeardAt(id)
}

// budgets records what is reserved and settled.
type budgets struct {
	mu       sync.Mutex
	left     int64
	err      error
	settled  chan int64
	reserved int64
}

func (b *budgets) Reserve(_ context.Context, budget string, tokens int64, _ int, _ clocker.Millis) (reserver.Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return reserver.Reservation{}, b.err
	}
	b.reserved += tokens
	return reserver.Reservation{Budget: budget, Tokens: tokens, ID: 1}, nil
}

func (b *budgets) Settle(r reserver.Reservation, used int64) {
	if r.ID != 0 {
		b.settled <- used
	}
}

type retries struct{ refuse bool }

func (retries) Attempted(string)            {}
func (r retries) Allow(string, string) bool { return !r.refuse }

func newWorld(t *testing.T, route matcher.Route, backends ...*backend) *world {
	route.Name = "r"
	route.Host = "shop.example"
	route.PathPrefix = "/r/"
	if route.Timeout == 0 {
		route.Timeout = 5 * clocker.Second
	}
	route.MaxAttempts = max(route.MaxAttempts, 1)
	route.Splits = []matcher.Split{{Service: "s", Weight: 1}}
	clock := clocker.NewWall()
	w := &world{
		shell:   &shell{chooser: chooser.New(chooser.Config{AvailabilityZone: "a"}), clock: clock},
		budgets: &budgets{settled: make(chan int64, 100)},
		lines:   make(lines, 100),
		table: matcher.New(matcher.Declaration{
			Version:  1,
			Routes:   []*matcher.Route{&route, {Name: "open", Host: "shop.example", PathPrefix: "/open/", Public: true, Timeout: route.Timeout, MaxAttempts: 1, Splits: route.Splits}},
			Services: []*matcher.Service{{Name: "s", TokensPerEvent: 6}},
			Accounts: []*matcher.Account{{Name: "masons", Keys: []string{"key"}, HasPrepaid: true, Prepaid: 1000}},
			Limits:   matcher.Limits{BodyBytes: 1 << 16},
		}),
	}
	for i, b := range backends {
		w.shell.chooser.Set(chooser.Server{ID: fmt.Sprint("s", i), Service: "s", Address: b.listener.Addr().String(), AvailabilityZone: "a", Slots: 4})
	}
	w.relayer = New(Config{
		Clock:        clock,
		Dialect:      dialect,
		Table:        func() *matcher.Table { return w.table },
		Servers:      w.shell,
		Budgets:      w.budgets,
		Retries:      retries{},
		Carrier:      carrier.New(carrier.Config{Clock: clock, RequestIDHeader: "X-Id", DialTimeout: clocker.Second, IdleTimeout: clocker.Minute}),
		Draining:     func() bool { return w.cutAt > 0 },
		StopDeadline: func() clocker.Millis { return w.cutAt },
		Log:          slog.New(slog.NewJSONHandler(w.lines, nil)),
	})
	w.front = httptest.NewServer(w.relayer)
	t.Cleanup(w.front.Close)
	return w
}

// reply is what a caller got; broken is true if the answer was not whole.
type reply struct {
	status int
	header http.Header
	body   string
	broken bool
}

func (w *world) call(t *testing.T, method, path, body string, headers ...string) reply {
	t.Helper()
	return w.callWith(context.Background(), t, method, path, body, headers...)
}

func (w *world) callWith(ctx context.Context, t *testing.T, method, path, body string, headers ...string) reply {
	t.Helper()
	var content io.Reader
	if body != "" {
		content = &reader{text: body}
	}
	req, err := http.NewRequestWithContext(ctx, method, w.front.URL+path, content)
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
		return reply{broken: true}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(got), broken: err != nil}
}

// reader hides the length of a body, so that it is sent in chunks.
type reader struct {
	text string
}

func (r *reader) Read(b []byte) (int, error) {
	if r.text == "" {
		return 0, io.EOF
	}
	n := copy(b, r.text)
	r.text = r.text[n:]
	return n, nil
}
