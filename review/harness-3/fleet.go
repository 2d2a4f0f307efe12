package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// tenantKey is the key of the only tenant.
const tenantKey = "key-of-the-tenant"

// desired returns a desired state with a route for streams that may be resumed, one for streams that may not, and one for
// reads.
func desired(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout, latency, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "a.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": latency, "target_gap_ms": 300,
			"priority": 1, "service": service, "max_attempts": attempts, "public": false, "resumable": resumable, "sticky": kind == "streaming",
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("resumable", "/resumable/", "streaming", "model", 12000, 500, 2, true),
			route("stream", "/stream/", "streaming", "model", 12000, 400, 1, false),
			route("read", "/read/", "safe", "app", 2500, 150, 2, false),
		},
		"services": []any{
			map[string]any{
				"name": "model", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kv_cache_tokens": 495907, "kv_token_bytes": 35136, "stride": eventTokens, "most": 12, "models": []any{map[string]any{"name": "m"}}},
			},
			map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant", "api_keys": []any{tenantKey}, "priority": 1, "prepaid": 50_000_000}},
	}
}

// startHost writes the desired state, starts one host, and waits until the traffic of a day begins.
func (w *world) startHost() (*router, error) {
	w.store.put("config", "main", desired(1))
	host, err := w.startRouter("front-oslo-a-1", "oslo-a")
	if err != nil {
		return nil, err
	}
	if err := awaitReady(20*time.Second, host); err != nil {
		return nil, err
	}
	sleep(6 * time.Second) // the traffic starts 10 s after the machines
	return host, nil
}

// hangUp sends SIGHUP to a host. Requests that it reads within configMs are judged by the rule LOST.
func (w *world) hangUp(host *router) {
	w.record.line("host %s gets SIGHUP", host.host)
	host.signal(syscall.SIGHUP)
	sleep(100 * time.Millisecond)
}

// streamRequest returns a request for a stream with a number of events.
func streamRequest(path, id string, events int) request {
	return request{
		id: id, path: path, method: http.MethodPost, key: tenantKey, limit: 12 * time.Second, body: []byte("prompt"),
		headers: map[string]string{"X-Model": "m", "X-Token-Usage": fmt.Sprintf("100,%d", events*eventTokens), "X-Prompt-Prefix": fmt.Sprintf("a1:50,b%s:50", id[1:])},
	}
}

// verdictOf returns the verdict for a number of answers that were lost.
func (w *world) verdictOf(lost, all int, what string) verdict {
	line := fmt.Sprintf("%d of %d %s", lost, all, what)
	w.record.line("%s", line)
	fmt.Println(line)
	if lost > 0 {
		return broken
	}
	return held
}
