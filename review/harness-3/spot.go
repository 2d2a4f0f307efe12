package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// spotServer is a model server that sends streams without a length, and is gone some time after it has reported that it
// leaves.
type spotServer struct {
	*backend
	// tokens are those of each event of a stream.
	tokens []int
	pause  time.Duration

	mu    sync.Mutex
	conns map[net.Conn]bool
	gone  bool
	// whole are the requests whose answer was sent to its end.
	whole map[string]bool
}

// accept serves connections until the server is gone.
func (s *spotServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return // closed
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// serve answers the requests of a connection.
func (s *spotServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path != "/v1/report" {
			s.stream(conn, r)
			return
		}
		body := fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"running":0,"kv_used":0,"kv_total":90000,"handles":0,"born":%d}`, s.born)
		s.mu.Lock()
		if !s.gone { // a process that has ended answers no more
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		s.mu.Unlock()
	}
}

func (s *spotServer) stream(conn net.Conn, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	s.began(id)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Request-Id: %s\r\nX-Server-Signature: %s.%s\r\n\r\n", id, s.id, id)
	events := len(s.tokens)
	for i, tokens := range s.tokens {
		sleep(s.pause)
		s.mu.Lock()
		gone := s.gone
		s.mu.Unlock()
		if gone {
			s.world.record.line("server %s is gone: request %s has got %d of %d events", s.id, id, i, events)
			return
		}
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: %d tokens of %s\n\n", i+1, tokens, id); err != nil {
			s.world.record.line("server %s: request %s is broken off after %d events", s.id, id, i)
			return
		}
	}
	s.mu.Lock()
	s.whole[id] = true
	s.mu.Unlock()
	s.world.record.line("server %s has sent all %d events of request %s and closes the connection", s.id, events, id)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		sleep(100 * time.Millisecond)
	}
}

// end closes all connections at once, as the kernel does for a process that has ended.
func (s *spotServer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = true
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.world.record.line("server %s is gone, the kernel closes its connections", s.id)
}

// tokensOf returns how many of n tokens each event of a stream holds: the first token is sent as soon as it is made, and
// further ones in events of eventTokens.
func tokensOf(n int) []int {
	events := []int{1}
	for left := n - 1; left > 0; left -= eventTokens {
		events = append(events, min(left, eventTokens))
	}
	return events
}

// playSpot takes a model server away 2 s after it has reported that it leaves, while it sends streams without a length.
func playSpot(w *world) (verdict, error) {
	const (
		streams = 60 // of 64 slots
		tokens  = 60
		pause   = 250 * time.Millisecond
		notice  = 2 * time.Second
	)
	events := len(tokensOf(tokens))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return failed, err
	}
	s := &spotServer{tokens: tokensOf(tokens), pause: pause, conns: map[net.Conn]bool{}, whole: map[string]bool{}}
	s.backend = &backend{world: w, id: "i-model-0", service: "model", zone: "oslo-a", engine: true, listener: l, address: l.Addr().String(), born: int64(clock.Now()), runs: map[string]int{}}
	go s.accept()
	defer func() { _ = l.Close() }()
	s.report("ready")
	host, err := w.startHost()
	if err != nil {
		return failed, err
	}
	answers := make([]answer, streams)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() {
			q := streamRequest("/stream/x", fmt.Sprintf("q%03d", i), tokens/eventTokens)
			w.record.line("request %s is sent to host %s", q.id, host.host)
			answers[i] = q.send(host.caller)
			w.record.line("request %s: %v, %d of %d events", q.id, answers[i], strings.Count(answers[i].body, "\n\n"), events)
		})
		sleep(25 * time.Millisecond)
	}
	if w.trouble {
		s.report("draining")
		sleep(notice)
		s.end()
	}
	group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	short := 0
	for i, a := range answers {
		if got := strings.Count(a.body, "\n\n"); a.status == http.StatusOK && a.whole && got < events {
			short++
			w.record.line("request q%03d: the answer ends as complete after %d of %d events; sent by its server to the end: %t", i, got, events, s.whole[fmt.Sprintf("q%03d", i)])
		}
	}
	return w.verdictOf(short, streams, "answers that had ended early looked complete"), nil
}
