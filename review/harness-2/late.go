package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bodyBytes is the largest body of the first kind of request of the site.
const bodyBytes = 110_000

// lateServer answers each request with a stream and reads its body later.
type lateServer struct {
	*backend
	events int
	pause  time.Duration
	// readAfter is how long it waits before it reads the body.
	readAfter time.Duration

	mu    sync.Mutex
	whole int
}

// serve answers the requests of a connection.
func (s *lateServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReaderSize(conn, 4<<10)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/v1/report" {
			body := fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"running":0,"kv_used":0,"kv_total":90000,"handles":0,"born":%d}`, s.born)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			continue
		}
		id := r.Header.Get("X-Request-Id")
		s.began(id)
		done := make(chan error, 1)
		go func() {
			sleep(s.readAfter)
			n, err := io.Copy(io.Discard, r.Body)
			s.world.record.line("server %s has read %d bytes of the body of request %s: %v", s.id, n, id, err)
			done <- err
		}()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: %s\r\nX-Server-Signature: %s.%s\r\n\r\n", id, s.id, id)
		for i := 1; i <= s.events; i++ {
			sleep(s.pause)
			event := eventOf(i, id)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				s.world.record.line("server %s: request %s is broken off after %d events: %v", s.id, id, i-1, err)
				return
			}
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		s.world.record.line("server %s has sent all %d events of request %s", s.id, s.events, id)
		if <-done != nil {
			return
		}
		s.mu.Lock()
		s.whole++
		s.mu.Unlock()
	}
}

// playLate lets servers answer before they have read the body, and read it later.
func playLate(w *world) (verdict, error) {
	const streams = 6
	s := &lateServer{events: 20, pause: 250 * time.Millisecond}
	if w.trouble {
		s.readAfter = 3 * time.Second
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return failed, err
	}
	defer func() { _ = l.Close() }()
	s.backend = &backend{world: w, id: "i-model-0", service: "model", zone: "oslo-a", engine: true, listener: l, address: l.Addr().String(), born: int64(clock.Now()), runs: map[string]int{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return // closed at the end
			}
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetReadBuffer(16 << 10)
			}
			go s.serve(conn)
		}
	}()
	s.report("ready")
	w.store.put("config", "main", desired(1, 1_000_000))
	host, err := w.startRouter("front-oslo-a-1", "oslo-a")
	if err != nil {
		return failed, err
	}
	if err := awaitReady(20*time.Second, host); err != nil {
		return failed, err
	}
	sleep(6 * time.Second) // the traffic starts 10 s after the machines
	w.record.line("host %s gets SIGHUP", host.host)
	host.signal(syscall.SIGHUP)
	sleep(300 * time.Millisecond)
	var group sync.WaitGroup
	answers := make([]answer, streams)
	for i := range answers {
		group.Go(func() {
			q := request{
				id: fmt.Sprintf("q%03d", i), path: "/stream/x", method: http.MethodPost, key: tenantKey, limit: 12 * time.Second, body: bytes.Repeat([]byte("p"), bodyBytes),
				headers: map[string]string{"X-Model": "m", "X-Token-Usage": fmt.Sprintf("100,%d", 20*eventTokens), "X-Prompt-Prefix": fmt.Sprintf("a1:50,b%d:50", i)},
			}
			w.record.line("request %s is sent to host %s", q.id, host.host)
			answers[i] = q.send(host.caller)
			w.record.line("request %s: %v, %d of %d events", q.id, answers[i], strings.Count(answers[i].body, "\n\n"), s.events)
		})
	}
	group.Wait()
	lost := 0
	for _, a := range answers {
		if a.status == 0 || !a.whole {
			lost++
		}
	}
	w.record.line("%d of %d streams were cut while their server was sending them", lost, streams)
	fmt.Printf("%d of %d streams were cut while their server was sending them\n", lost, streams)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
