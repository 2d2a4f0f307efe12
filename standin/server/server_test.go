package server

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// ask sends a request and returns all bytes that come, and how the connection ended.
func ask(t *testing.T, f Fault, path string, last int) (string, error) {
	s := New(Config{ID: "i-1", Version: "v1", Clock: clocker.NewWall(), Events: 4, Ran: func(r Run) { assert.Equal(t, r.Fault, f.Kind) }})
	end := s.Begin(f)
	defer end()
	h := httptest.NewServer(s)
	defer h.Close()
	conn, err := net.Dial("tcp4", h.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nLast-Event-Id: %d\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", path, last)
	assert.NilError(t, err)
	got, err := io.ReadAll(conn)
	return string(got), err
}

func stream(ids ...int) string {
	b := ""
	for _, id := range ids {
		b += fmt.Sprintf("%x\r\n%s\r\n", len(Event(id, "a", "v1")), Event(id, "a", "v1"))
	}
	return b
}

// Each fault does to the bytes of an answer what its name says.
func TestFaults(t *testing.T) {
	const whole = "0\r\n\r\n"
	for _, c := range []struct {
		fault Fault
		path  string
		last  int
		want  string
		reset bool
	}{
		{Fault{}, "/stream/x", 0, stream(1, 2, 3, 4) + whole, false},
		{Fault{}, "/stream/x", 4, "Content-Length: 0\r\nConnection: close\r\n\r\n", false},
		{Fault{Kind: Abort, After: 2}, "/stream/x", 0, stream(1, 2), false},
		{Fault{Kind: Abort, After: 2}, "/stream/x", 1, stream(2, 3), false},
		{Fault{Kind: Truncate, After: 2}, "/stream/x", 0, stream(1, 2) + "a\r\nid: 3\ndat", false},
		{Fault{Kind: Truncate, After: 4}, "/stream/x", 0, stream(1, 2, 3, 4) + "1\r\n", false},
		{Fault{Kind: Reset, After: 2}, "/stream/x", 0, "", true},
		{Fault{Kind: Truncate}, "/read/x", 0, "\r\n\r\nanswe", false},
		{Fault{Kind: Fail, Status: 500, Body: true}, "/stream/x", 2, "Connection: close\r\n\r\nstatus 500 for a", false},
		{Fault{Kind: Fail, Status: 204, Body: true}, "/stream/x", 2, "\r\n\r\n", false},
		{Fault{Kind: EndEmpty}, "/stream/x", 2, "\r\n\r\n" + whole, false},
		{Fault{Kind: SkipAhead}, "/stream/x", 1, "\r\n\r\n" + stream(3, 4) + whole, false},
		{Fault{Kind: StartOver}, "/stream/x", 2, "\r\n\r\n" + stream(1, 2, 3, 4) + whole, false},
	} {
		c.fault.Every = 1
		got, err := ask(t, c.fault, c.path, c.last)
		name := fmt.Sprintf("%+v %s behind %d", c.fault, c.path, c.last)
		if c.reset {
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%s: %v", name, err)
			continue
		}
		assert.NilError(t, err, name)
		assert.Assert(t, strings.HasPrefix(got, fmt.Sprintf("HTTP/1.1 %d ", max(200, c.fault.Status))), "%s: %q", name, got)
		assert.Assert(t, strings.HasSuffix(got, c.want), "%s: %q", name, got)
	}
}

// A refusal says that the request did not run, and that is true.
func TestShedIsNoRun(t *testing.T) {
	s := New(Config{Clock: clocker.NewWall(), Ran: func(Run) { t.Error("ran") }})
	s.Begin(Fault{Kind: Shed, Every: 1})
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("POST", "/order/x", nil))
	assert.Equal(t, w.Code, 503)
	assert.Equal(t, w.Header().Get("X-Not-Executed"), "1")
}

func TestFaultsHitAPartOfTheRequests(t *testing.T) {
	s := New(Config{})
	end := s.Begin(Fault{Kind: Fail, Every: 3, Resumed: true})
	var hit []Kind
	for i := range 6 {
		_, f := s.begin(true, i > 2)
		hit = append(hit, f.Kind)
	}
	end()
	_, f := s.begin(true, true)
	assert.DeepEqual(t, append(hit, f.Kind), []Kind{None, None, None, None, None, Fail, None})
}

// An answer without a length has no chunks and ends with its connection, whole if the server lives.
func TestAnswersWithoutALengthEndWithTheirConnection(t *testing.T) {
	s := New(Config{ID: "i-1", Version: "v2", Clock: clocker.NewWall(), Events: 2, UnframedShare: 1, Ran: func(Run) {}})
	h := httptest.NewServer(s)
	defer h.Close()
	for path, want := range map[string]string{"/stream/x": Event(1, "a", "v2") + Event(2, "a", "v2"), "/read/x": Body("a")} {
		conn, err := net.Dial("tcp4", h.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nContent-Length: 4\r\n\r\nbody", path)
		assert.NilError(t, err)
		got, err := io.ReadAll(conn)
		assert.NilError(t, err)
		_ = conn.Close()
		head, body, _ := strings.Cut(string(got), "\r\n\r\n")
		assert.Equal(t, body, want)
		assert.Assert(t, strings.Contains(head, "Connection: close"), head)
		assert.Assert(t, !strings.Contains(head, "Content-Length") && !strings.Contains(head, "Transfer-Encoding"), head)
	}
}

// A report is no run, and names the start of its server.
func TestReportNamesTheStartOfItsServer(t *testing.T) {
	s := New(Config{Born: 1700, Clock: clocker.NewWall(), Ran: func(Run) { t.Error("ran") }})
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("GET", ReportPath, nil))
	const want = `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"running":0,"kv_used":0,"kv_total":1000,"handles":0,"born":1700}`
	assert.Equal(t, w.Body.String(), want)
	assert.Equal(t, w.Header().Get("Content-Length"), fmt.Sprint(len(want)))
}
