package main

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"
)

var eventID = regexp.MustCompile(`(?m)^id: (\d+)$`)

// lastEvent returns the ID of the last event of a body, "" without one.
func lastEvent(body string) string {
	found := eventID.FindAllStringSubmatch(body, -1)
	if len(found) == 0 {
		return ""
	}
	return found[len(found)-1][1]
}

// playGaps sends streams whose events have increasing IDs that name the tokens so far, so that numbers are left out, after a
// host got SIGHUP. Clients take up what breaks off.
func playGaps(w *world) (verdict, error) {
	const (
		streams = 16
		events  = 8
		pause   = 50 * time.Millisecond
		tries   = 3
	)
	step := 1
	if w.trouble {
		step = eventTokens
	}
	for _, id := range []string{"i-model-0", "i-model-1"} {
		b := &backend{id: id, service: "model", zone: "oslo-a", engine: true, answer: func(b *backend, rw http.ResponseWriter, r *http.Request, _ []byte) {
			sendNumbered(b, rw, r, events, step, pause)
		}}
		if err := w.startBackend(b); err != nil {
			return failed, err
		}
	}
	host, err := w.startHost()
	if err != nil {
		return failed, err
	}
	w.hangUp(host)
	var mu sync.Mutex
	lost, taken, wentOn := 0, 0, 0
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			q := streamRequest("/resumable/x", fmt.Sprintf("q%03d", i), events)
			w.record.line("request %s is sent to host %s", q.id, host.host)
			a := q.send(host.caller)
			last := lastEvent(a.body)
			w.record.line("request %s: %v, last event %s of %d", q.id, a, last, events*step)
			if a.whole && a.status == http.StatusOK {
				return
			}
			mu.Lock()
			lost++
			mu.Unlock()
			for n := range tries {
				again := streamRequest("/resumable/x", fmt.Sprintf("r%03d-%d", i, n), events)
				again.headers["Last-Event-Id"], again.headers["Resumes"] = last, q.id
				a := again.send(host.caller)
				w.record.line("the client of %s takes its stream up behind event %s as %s: %v", q.id, last, again.id, a)
				mu.Lock()
				taken++
				if lastEvent(a.body) != "" || a.whole && a.status == http.StatusOK {
					wentOn++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	w.record.line("%d of %d streams that clients took up again went on", wentOn, taken)
	return w.verdictOf(lost, streams, "streams were cut though their server had not broken them off"), nil
}

// sendNumbered answers with the events behind the one that Last-Event-Id names. Their IDs increase by a step.
func sendNumbered(b *backend, w http.ResponseWriter, r *http.Request, events, step int, pause time.Duration) {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := last + step; n <= events*step; n += step {
		select {
		case <-after(pause):
		case <-r.Context().Done():
			b.world.record.line("server %s: the host has broken off request %s before event %d", b.id, r.Header.Get("X-Request-Id"), n)
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, eventOf(n, r.Header.Get("X-Request-Id"))); err != nil {
			return
		}
		_ = control.Flush() // the next write tells of a host that has left
	}
}
