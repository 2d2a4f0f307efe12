package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playGaps sends streams whose events have increasing IDs, but not each number.
func playGaps(w *world) (verdict, error) {
	const (
		streams = 10
		events  = 8
		pause   = 50 * time.Millisecond
	)
	step := 1
	if w.trouble {
		step = eventTokens
	}
	b := &backend{id: "i-model-0", service: "model", zone: "oslo-a", engine: true, answer: func(b *backend, rw http.ResponseWriter, r *http.Request, _ []byte) {
		rw.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(rw)
		for i := 1; i <= events; i++ {
			sleep(pause)
			if _, err := io.WriteString(rw, eventOf(i*step, r.Header.Get("X-Request-Id"))); err != nil {
				return
			}
			_ = control.Flush()
		}
	}}
	if err := w.startBackend(b); err != nil {
		return failed, err
	}
	host, err := w.startHost()
	if err != nil {
		return failed, err
	}
	w.hangUp(host)
	answers := make([]answer, streams)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() {
			q := streamRequest("/stream/x", fmt.Sprintf("q%03d", i), events)
			w.record.line("request %s is sent to host %s", q.id, host.host)
			answers[i] = q.send(host.caller)
			w.record.line("request %s: %v, %d of %d events", q.id, answers[i], strings.Count(answers[i].body, "\n\n"), events)
		})
	}
	group.Wait()
	lost := 0
	for _, a := range answers {
		if a.status != http.StatusOK || !a.whole {
			lost++
		}
	}
	return w.verdictOf(lost, streams, "streams were cut though their server had not broken them off"), nil
}

// playLarge reads answers of some megabytes.
func playLarge(w *world) (verdict, error) {
	const reads = 5
	size := 1 << 20
	if w.trouble {
		size = 9 << 20
	}
	b := &backend{id: "i-app-0", service: "app", zone: "oslo-a", answer: func(b *backend, rw http.ResponseWriter, r *http.Request, _ []byte) {
		rw.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = io.WriteString(rw, strings.Repeat("x", size))
	}}
	if err := w.startBackend(b); err != nil {
		return failed, err
	}
	host, err := w.startHost()
	if err != nil {
		return failed, err
	}
	w.hangUp(host)
	lost := 0
	for i := range reads {
		q := request{id: fmt.Sprintf("q%03d", i), path: "/read/x", method: http.MethodGet, key: tenantKey, limit: 2500 * time.Millisecond}
		w.record.line("request %s is sent to host %s", q.id, host.host)
		a := q.send(host.caller)
		w.record.line("request %s: %v", q.id, a)
		if !a.whole {
			lost++
		}
	}
	return w.verdictOf(lost, reads, "answers were cut though their server had not broken them off"), nil
}
