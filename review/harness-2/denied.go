package main

import (
	"syscall"
	"time"
)

const (
	tenantKey = "key-of-the-tenant"
	// eventualEnd bounds the last part of a case.
	eventualEnd = 40 * time.Second
)

// kills is how often the processes of all hosts are killed in playKilled.
const kills = 2

// playKilled kills the processes of all hosts while clients of a tenant also send requests that don't fit into what is
// left of its prepaid tokens. Judged are the requests that are sent once the fleet has recovered.
func playKilled(w *world) (verdict, error) {
	s := &spender{world: w, prepaid: 1_000_000}
	hosts, err := startFleet(w, s.prepaid)
	if err != nil {
		return failed, err
	}
	s.hosts.Store(&hosts)
	s.run(8, 100*time.Millisecond, func(used int64, _ int) bool { return used >= s.prepaid*40/100 })
	stop := s.sendTooLarge(2_000_000, 200*time.Millisecond)
	for range kills {
		until := now() + 4*time.Second
		s.run(8, 400*time.Millisecond, func(int64, int) bool { return now() > until })
		if !w.trouble {
			continue
		}
		w.record.line("the processes of all hosts are killed, and start again")
		for _, r := range hosts {
			r.signal(syscall.SIGKILL)
		}
		for _, r := range hosts {
			r.wait()
		}
		sleep(500 * time.Millisecond)
		for _, r := range hosts {
			if err := r.start(); err != nil {
				return failed, err
			}
		}
		if err := awaitReady(20*time.Second, hosts...); err != nil {
			return failed, err
		}
	}
	stop()
	sleep(recovery)
	s.spendRest()
	return s.verdict(), nil
}

// playReplaced lets two of four machines, one in each zone, be lost for good, and puts others in their place at new
// addresses, while a tenant spends its prepaid tokens. Judged are the requests that are sent once the fleet has recovered.
func playReplaced(w *world) (verdict, error) {
	s := &spender{world: w, prepaid: 1_000_000}
	hosts, err := startFleet(w, s.prepaid)
	if err != nil {
		return failed, err
	}
	s.hosts.Store(&hosts)
	s.run(8, 100*time.Millisecond, func(used int64, _ int) bool { return used >= s.prepaid*30/100 })
	if w.trouble {
		w.record.line("hosts %s and %s are lost for good", hosts[0].host, hosts[1].host)
		for _, r := range hosts[:2] {
			r.signal(syscall.SIGKILL)
			r.wait()
		}
		sleep(time.Second)
		rest := append([]*router(nil), hosts[2:]...)
		for _, lost := range hosts[:2] {
			r, err := w.startRouter(lost.host+"-new", lost.zone)
			if err != nil {
				return failed, err
			}
			rest = append(rest, r)
		}
		if err := awaitReady(20*time.Second, rest...); err != nil {
			return failed, err
		}
		s.hosts.Store(&rest)
	}
	sleep(recovery)
	s.spendRest()
	return s.verdict(), nil
}

// spendRest judges the requests from now on, until 97 in 100 of the tokens are used or no request is served any more. After
// some requests in a row without success one client goes on, slowly, so that few requests count at their most.
func (s *spender) spendRest() {
	s.judge()
	end := now() + eventualEnd
	over := func(used int64) bool { return used >= s.prepaid*97/100 || now() > end }
	s.run(8, 100*time.Millisecond, func(used int64, idle int) bool { return over(used) || idle >= idleBound })
	sleep(2 * settle)
	s.run(1, 300*time.Millisecond, func(used int64, idle int) bool { return over(used) || idle >= idleBound })
}

// desired returns the desired state of the cases.
func desired(version int, prepaid int64) map[string]any {
	route := func(name, prefix, kind, service string, timeout, latency int) map[string]any {
		return map[string]any{
			"name": name, "host": "a.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": latency, "target_gap_ms": 300,
			"priority": 1, "service": service, "max_attempts": 1, "public": false, "resumable": false, "sticky": kind == "streaming",
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("stream", "/stream/", "streaming", "model", 12000, 400),
			route("order", "/order/", "unsafe", "app", 1200, 150),
		},
		"services": []any{
			map[string]any{
				"name": "model", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kv_cache_tokens": 495907, "kv_token_bytes": 35136, "stride": eventTokens, "most": 12, "models": []any{map[string]any{"name": "m"}}},
			},
			map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant", "api_keys": []any{tenantKey}, "priority": 1, "prepaid": prepaid}},
	}
}
