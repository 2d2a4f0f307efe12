package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// eventTokens is how many output tokens an event of a stream holds (the stride of the services).
const eventTokens = 6

// backend stands in for a server of a service (PROTOCOL.md, "Servers").
type backend struct {
	world   *world
	id      string
	service string
	zone    string
	born    int64
	address string
	// engine is true for a model server.
	engine bool
	// answer writes the answer to a request that runs.
	answer func(b *backend, w http.ResponseWriter, r *http.Request, body []byte)

	listener net.Listener
	server   *http.Server

	mu   sync.Mutex
	runs map[string]int
}

// startBackend starts a server and writes its entry.
func (w *world) startBackend(b *backend) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.world, b.listener, b.address = w, l, l.Addr().String()
	b.born, b.runs = int64(clock.Now()), map[string]int{}
	b.server = &http.Server{Handler: b, IdleTimeout: 30 * time.Second}
	go func() { _ = b.server.Serve(l) }() // until its end
	b.report("ready")
	return nil
}

// report writes the entry of the server.
func (b *backend) report(state string) {
	entry := map[string]any{"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": 64, "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": b.born}
	if b.engine {
		entry["stage"], entry["models"] = "both", []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	b.world.store.put("servers", b.id, entry)
	b.world.record.line("server %s reports %s, the store has accepted it", b.id, state)
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Instance-Id", b.id)
		return
	case "/v1/report":
		if b.engine {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 1, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 90000, "handles": 0, "born": b.born})
			return
		}
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.id {
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("X-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.began(id)
	w.Header().Set("X-Server-Signature", b.id+"."+id)
	b.answer(b, w, r, body)
}

// began records that the server begins to work on a request.
func (b *backend) began(id string) {
	b.mu.Lock()
	b.runs[id]++
	b.mu.Unlock()
	b.world.record.line("server %s runs request %s", b.id, id)
}

// eventOf returns an event of the stream of a request.
func eventOf(n int, id string) string {
	return fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", n, n, id)
}
