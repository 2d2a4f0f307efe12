package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playStopped stops two of the three hosts of a zone while clients send streams. With one of three hosts in
// rotation, the balancer goes on to use all of them.
func playStopped(w *world) (verdict, error) {
	for i := range 2 {
		b := &backend{id: fmt.Sprintf("i-model-%d", i), service: "model", zone: "oslo-a", engine: true, answer: func(_ *backend, rw http.ResponseWriter, r *http.Request, _ []byte) {
			n := outputEvents(r)
			streamEvents(rw, r, n, streamLength(r)/time.Duration(n))
		}}
		if err := w.startBackend(b); err != nil {
			return failed, err
		}
	}
	w.store.put("config", "main", desired(1, 1_000_000))
	var hosts []*router
	for i := range 3 {
		r, err := w.startRouter(fmt.Sprintf("front-oslo-a-%d", i+1), "oslo-a")
		if err != nil {
			return failed, err
		}
		hosts = append(hosts, r)
	}
	if err := awaitReady(20*time.Second, hosts...); err != nil {
		return failed, err
	}
	sleep(6 * time.Second) // the traffic starts 10 s after the machines
	stoppedAt := now()
	if w.trouble {
		for _, r := range hosts[:2] {
			w.record.line("host %s gets SIGTERM", r.host)
			r.signal(syscall.SIGTERM)
		}
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	lost, sent := 0, 0
	send := func(at time.Duration, host *router, number int, limit, length time.Duration) {
		group.Go(func() {
			sleep(stoppedAt + at - now())
			n := int(length/(290*time.Millisecond)) + 1
			q := request{
				id: fmt.Sprintf("q%03d", number), path: "/stream/x", method: http.MethodPost, key: tenantKey, limit: limit, body: []byte("prompt"),
				headers: map[string]string{"X-Model": "m", "X-Token-Usage": fmt.Sprintf("100,%d", n*eventTokens), "X-Prompt-Prefix": fmt.Sprintf("a1:50,b%d:50", number), "Length-Ms": fmt.Sprint(length.Milliseconds())},
			}
			sentAt := now() - stoppedAt
			w.record.line("request %s with a limit of %d ms is sent to host %s, %.3f s after the SIGTERM; its server takes %d ms", q.id, limit.Milliseconds(), host.host, sentAt.Seconds(), length.Milliseconds())
			a := q.send(host.caller)
			endedAt := now() - stoppedAt
			events := strings.Count(a.body, "\n\n")
			w.record.line("request %s: %v, %d of %d events, %.3f s after the SIGTERM", q.id, a, events, n, endedAt.Seconds())
			mu.Lock()
			defer mu.Unlock()
			sent++
			cut := a.status == http.StatusOK && !a.whole
			if cut && sentAt > 3*time.Second && endedAt-sentAt < limit {
				lost++
				w.record.line("request %s: the host has read it and passed it on, and the connection ended without a complete answer %.0f ms before its time limit", q.id, float64((limit - (endedAt - sentAt)).Milliseconds()))
			}
		})
	}
	number := 0
	for i := range 30 {
		for _, h := range hosts[:2] {
			number++
			limit := time.Duration(4000-100*i) * time.Millisecond
			send(time.Duration(3270+100*i)*time.Millisecond, h, number, limit, limit-120*time.Millisecond)
		}
	}
	// Long streams of before keep the hosts at work.
	for _, h := range hosts[:2] {
		number++
		send(500*time.Millisecond, h, number, 12*time.Second, 6*time.Second)
	}
	group.Wait()
	w.record.line("%d streams, %d that count as lost", sent, lost)
	fmt.Printf("%d streams, %d that count as lost\n", sent, lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

// streamLength returns how long a server takes for a stream.
func streamLength(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("Length-Ms"))
	if err != nil {
		return time.Second
	}
	return time.Duration(ms) * time.Millisecond
}
