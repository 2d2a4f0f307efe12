package main

import (
	"bufio"
	"cowsliphinge/clocker"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// fullSlots is how many requests the server of the case runs at once, as its entry tells.
	fullSlots = 64
	// fullMaxConns is its max_connections, and fullFewConns what it accepts while fullLongQueue requests wait or more.
	fullMaxConns  = 370
	fullFewConns  = 128
	fullLongQueue = 16
	// fullIdleTimeout is how long it keeps an idle connection.
	fullIdleTimeout = 5 * time.Second
)

// fullServer is a sound model server whose queue gets long. It resets connections beyond those that it accepts, closes
// idle ones after a timeout that Keep-Alive states, and sends streams without a length.
type fullServer struct {
	*backend
	events int
	pause  time.Duration
	slots  chan struct{}

	mu      sync.Mutex
	conns   int
	waiting int
	resets  int
}

// accept accepts connections until the listener is closed.
func (s *fullServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.admit() {
			_ = conn.(*net.TCPConn).SetLinger(0) // closes with a reset
			_ = conn.Close()
			continue
		}
		go s.serve(conn)
	}
}

// admit reports whether the server accepts one more connection.
func (s *fullServer) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := fullMaxConns
	if s.waiting >= fullLongQueue {
		limit = fullFewConns
	}
	if s.conns >= limit {
		s.resets++
		return false
	}
	s.conns++
	return true
}

// serve answers the requests of a connection.
func (s *fullServer) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		s.conns--
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(clocker.FromNow(millis(fullIdleTimeout)))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		if r.URL.Path != "/v1/report" && r.URL.Path != "/healthz" {
			s.stream(conn, r)
			return
		}
		s.mu.Lock()
		waiting := s.waiting
		s.mu.Unlock()
		body := ""
		if r.URL.Path == "/v1/report" {
			body = fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":%d,"running":%d,"kv_used":0,"kv_total":90000,"handles":0,"born":%d}`, waiting, len(s.slots), s.born)
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Instance-Id: %s\r\nKeep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n%s",
			s.id, int(fullIdleTimeout.Seconds()), len(body), body)
	}
}

// stream runs a request once it has a slot, and closes the connection behind its last event.
func (s *fullServer) stream(conn net.Conn, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.waiting++
	s.mu.Unlock()
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	s.began(id)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Request-Id: %s\r\nX-Server-Signature: %s.%s\r\n\r\n", id, s.id, id)
	for i := 1; i <= s.events; i++ {
		sleep(s.pause)
		if _, err := conn.Write([]byte(eventOf(i, id))); err != nil {
			s.world.record.line("server %s: request %s is broken off after %d events", s.id, id, i-1)
			return
		}
	}
	s.world.record.line("server %s has sent all %d events of request %s and closes the connection", s.id, s.events, id)
}

// state tells how many connections are open, requests wait, and connections were reset.
func (s *fullServer) state() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("server %s: %d open connections, %d requests wait, %d connections were reset", s.id, s.conns, s.waiting, s.resets)
}

// openOthers opens connections as other hosts do that send requests to the server.
func (s *fullServer) openOthers(n int) ([]net.Conn, error) {
	var conns []net.Conn
	for range n {
		conn, err := net.Dial("tcp4", s.address)
		if err != nil {
			return conns, err
		}
		conns = append(conns, conn)
	}
	return conns, nil
}

// playFull sends streams without a length to a sound server whose queue gets long by requests of other hosts, after the
// host got SIGHUP.
func playFull(w *world) (verdict, error) {
	const (
		streams = 6
		others  = 200
		events  = 28
		pause   = 250 * time.Millisecond
	)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return failed, err
	}
	defer func() { _ = l.Close() }()
	s := &fullServer{events: events, pause: pause, slots: make(chan struct{}, fullSlots)}
	s.backend = &backend{world: w, id: "i-model-0", service: "model", zone: "oslo-a", engine: true, listener: l, address: l.Addr().String(), born: int64(clock.Now()), runs: map[string]int{}}
	go s.accept()
	s.report("ready")
	host, err := w.startHost()
	if err != nil {
		return failed, err
	}
	w.hangUp(host)
	answers := make([]answer, streams)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() {
			q := streamRequest("/stream/x", fmt.Sprintf("q%03d", i), 2*events) // half of the tokens that it may have at most
			w.record.line("request %s is sent to host %s", q.id, host.host)
			answers[i] = q.send(host.caller)
			w.record.line("request %s: %v, %d of %d events", q.id, answers[i], strings.Count(answers[i].body, "\n\n"), events)
		})
		sleep(10 * time.Millisecond)
	}
	sleep(500 * time.Millisecond)
	conns, err := s.openOthers(others)
	if err != nil {
		return failed, err
	}
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	sleep(500 * time.Millisecond)
	if w.trouble {
		w.record.line("%d requests of other hosts come to server %s on their kept connections", others, s.id)
		for i, conn := range conns {
			_, _ = fmt.Fprintf(conn, "POST /stream/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: o%03d\r\nX-Model: m\r\nContent-Length: 0\r\n\r\n", i)
			go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
		}
	}
	sleep(time.Second)
	w.record.line("%s", s.state())
	group.Wait()
	w.record.line("%s", s.state())
	lost := 0
	for _, a := range answers {
		if a.status != http.StatusOK || !a.whole {
			lost++
		}
	}
	return w.verdictOf(lost, streams, "streams that their sound server ended as complete were cut"), nil
}
