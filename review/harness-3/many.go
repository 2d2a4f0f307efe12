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

// leavingServer is a model server that sends streams without a length. Once it leaves, each of its answers closes the
// connection, and from the end of drain_ms on it accepts no further one.
type leavingServer struct {
	*backend
	events int
	pause  time.Duration

	mu      sync.Mutex
	leaving bool
}

func (s *leavingServer) closes() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func (s *leavingServer) leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.report("draining")
}

// serve answers the requests of a connection.
func (s *leavingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/v1/report" {
			body := fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"running":0,"kv_used":0,"kv_total":90000,"handles":0,"born":%d}`, s.born)
			closes := s.closes()
			end := ""
			if closes {
				end = "Connection: close\r\n"
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s", end, len(body), body)
			if closes {
				return
			}
			continue
		}
		s.stream(conn, r)
		return
	}
}

func (s *leavingServer) stream(conn net.Conn, r *http.Request) {
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
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		sleep(100 * time.Millisecond)
	}
}

// playMany lets a model server leave that sends many streams without a length to one host, after the host got SIGHUP.
func playMany(w *world) (verdict, error) {
	const (
		streams = 60 // of 64 slots
		events  = 24
		pause   = 250 * time.Millisecond
	)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return failed, err
	}
	defer func() { _ = l.Close() }()
	s := &leavingServer{events: events, pause: pause}
	s.backend = &backend{world: w, id: "i-model-0", service: "model", zone: "oslo-a", engine: true, listener: l, address: l.Addr().String(), born: int64(clock.Now()), runs: map[string]int{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return // closed
			}
			go s.serve(conn)
		}
	}()
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
	if w.trouble {
		sleep(500 * time.Millisecond)
		s.leave()
		sleep((drainMs + 500) * time.Millisecond)
		w.record.line("server %s takes no further connections and ends what it has begun", s.id)
		_ = l.Close()
	}
	group.Wait()
	if w.trouble {
		w.store.remove("servers", s.id)
		w.record.line("server %s has left", s.id)
	}
	lost := 0
	for _, a := range answers {
		if a.status != http.StatusOK || !a.whole {
			lost++
		}
	}
	return w.verdictOf(lost, streams, "streams that their server ended as complete were cut"), nil
}
