package main

import (
	"fmt"
	"os"
	"time"
)

// heartbeat is the time between two writes of a server's entry.
const heartbeat = 1200 * time.Millisecond

// world is a small deployment.
type world struct {
	store   *store
	servers []*server
	routers []*router
	record  *recorder
}

// newWorld starts a store and model servers. zones names the zone of each server.
func newWorld(rec *recorder, zones []string, events int, pause time.Duration) *world {
	w := &world{store: newStore(), record: rec}
	for i, zone := range zones {
		s := newServer(fmt.Sprintf("i-%d", i+1), events, pause, rec)
		w.servers = append(w.servers, s)
		go func() { // ends with the program
			born := int64(clock.Now())
			for sequence := 1; ; sequence++ {
				w.store.put("servers", s.id, map[string]any{
					"service": "models", "address": s.address, "zone": zone, "version": "v1", "slots": 64, "state": "ready",
					"cold_remaining_ms": 0, "sequence": sequence, "born": born,
				})
				sleep(heartbeat)
			}
		}()
	}
	return w
}

// configure writes the desired state.
func (w *world) configure(prepaid int) {
	route := func(name string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "review.example", "path_prefix": "/" + name + "/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 400,
			"target_gap_ms": 300, "max_attempts": attempts, "resumable": resumable, "sticky": true, "priority": 0, "service": "models",
		}
	}
	w.store.put("config", "main", map[string]any{
		"version":  2,
		"routes":   []any{route("hint", 1, false), route("review", 2, true)},
		"services": []any{map[string]any{"name": "models", "max_connections": 370, "health_path": "/healthz", "engine": map[string]any{"stride": 1, "kv_cache_tokens": 400000}}},
		"tenants":  []any{map[string]any{"name": "one", "api_keys": []string{"key-one"}, "prepaid": prepaid}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// addRouters starts routers, one per zone named, and waits until all are ready.
func (w *world) addRouters(program string, zones []string) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fatal("%v", err)
	}
	w.record.note("settings and logs of the routers are in %s", "a temporary folder")
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, folder)
	}
	for i, zone := range zones {
		w.routers = append(w.routers, newRouter(program, folder, fmt.Sprintf("front-%s-%d", zone, i+1), zone, w.store.address))
	}
	for _, r := range w.routers {
		r.start()
	}
	for _, r := range w.routers {
		r.awaitReady()
	}
}
