package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playLeaving replaces a model server while it sends streams that have no length, after a host got SIGHUP.
func playLeaving(w *world) (verdict, error) {
	const (
		streams = 6
		events  = 20
		pause   = 250 * time.Millisecond
	)
	old := &backend{id: "i-model-old", service: "model", zone: "oslo-a", engine: true, answer: func(b *backend, rw http.ResponseWriter, r *http.Request, _ []byte) {
		streamUnframed(b, rw, r, events, pause)
	}}
	if err := w.startBackend(old); err != nil {
		return failed, err
	}
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
	answers := make([]answer, streams)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() {
			q := request{
				id: fmt.Sprintf("q%03d", i), path: "/stream/x", method: http.MethodPost, key: tenantKey, limit: 12 * time.Second, body: []byte("prompt"),
				headers: map[string]string{"X-Model": "m", "X-Token-Usage": fmt.Sprintf("100,%d", events*eventTokens), "X-Prompt-Prefix": fmt.Sprintf("a1:50,b%d:50", i)},
			}
			w.record.line("request %s is sent to host %s", q.id, host.host)
			answers[i] = q.send(host.caller)
			w.record.line("request %s: %v", q.id, answers[i])
		})
		sleep(50 * time.Millisecond)
	}
	if w.trouble {
		fresh := &backend{id: "i-model-new", service: "model", zone: "oslo-a", engine: true, answer: old.answer}
		if err := w.startBackend(fresh); err != nil {
			return failed, err
		}
		old.report("draining")
		sleep((drainMs + 500) * time.Millisecond)
		w.record.line("server %s takes no further connections and ends what it has begun", old.id)
		_ = old.listener.Close()
	}
	group.Wait()
	if w.trouble {
		w.store.remove("servers", old.id)
		_ = old.server.Close()
		w.record.line("server %s has left", old.id)
	}
	lost := 0
	for i, a := range answers {
		want := strings.Count(a.body, "\n\n")
		if a.status != http.StatusOK || !a.whole || want != events {
			lost++
			w.record.line("request q%03d: %d of %d events, whole: %t; its server sent all of them and closed the connection", i, want, events, a.whole)
		}
	}
	fmt.Printf("%d of %d streams that their server ended as complete were cut\n", lost, streams)
	w.record.line("%d of %d streams that their server ended as complete were cut", lost, streams)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

// streamUnframed answers with a stream that has no length and ends with its connection.
func streamUnframed(b *backend, w http.ResponseWriter, r *http.Request, n int, pause time.Duration) {
	id := r.Header.Get("X-Request-Id")
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	writeHead(buffered, b, id)
	for i := 1; i <= n; i++ {
		sleep(pause)
		_, _ = buffered.WriteString(eventOf(i, id))
		if err := buffered.Flush(); err != nil {
			b.world.record.line("server %s: request %s is broken off after %d events", b.id, id, i-1)
			return
		}
	}
	b.world.record.line("server %s has sent all %d events of request %s and closes the connection", b.id, n, id)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		sleep(100 * time.Millisecond)
	}
}

func writeHead(w *bufio.ReadWriter, b *backend, id string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Request-Id: %s\r\nX-Server-Signature: %s.%s\r\n\r\n", id, b.id, id)
	_ = w.Flush() // the next write tells of a host that has left
}
