package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// playEnding sends streams whose server is silent for a while between the last event and the end, after a host got SIGHUP.
// The other server is sound as well: it goes on behind the event that Last-Event-Id names, and ends a stream of which
// nothing is left.
func playEnding(w *world) (verdict, error) {
	const (
		streams = 20
		events  = 3
		pause   = 100 * time.Millisecond
		silence = 1300 * time.Millisecond
	)
	endPause := pause
	if w.trouble {
		endPause = silence
	}
	for _, id := range []string{"i-model-0", "i-model-1"} {
		b := &backend{id: id, service: "model", zone: "oslo-a", engine: true, answer: func(b *backend, rw http.ResponseWriter, r *http.Request, _ []byte) {
			last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			if err != nil {
				last = 0
			}
			streamBehind(b, rw, r, last, events, pause, endPause)
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
	answers := make([]answer, streams)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() {
			q := streamRequest("/resumable/x", fmt.Sprintf("q%03d", i), events)
			w.record.line("request %s is sent to host %s", q.id, host.host)
			answers[i] = q.send(host.caller)
			w.record.line("request %s: %v, %d of %d events", q.id, answers[i], strings.Count(answers[i].body, "\n\n"), events)
		})
		sleep(50 * time.Millisecond)
	}
	group.Wait()
	lost, again, ended := 0, 0, 0
	for i, a := range answers {
		if a.status != http.StatusOK || a.whole {
			continue
		}
		lost++
		q := streamRequest("/resumable/x", fmt.Sprintf("r%03d", i), events)
		q.headers["Last-Event-Id"], q.headers["Resumes"] = strconv.Itoa(events), fmt.Sprintf("q%03d", i)
		taken := q.send(host.caller)
		again++
		if taken.status/100 == 2 && taken.whole {
			ended++
		}
		w.record.line("the client of q%03d takes its stream up behind event %d as %s: %v", i, events, q.id, taken)
	}
	if again > 0 {
		w.record.line("%d of %d streams that clients took up again came to their end", ended, again)
	}
	return w.verdictOf(lost, streams, "streams were cut though their server had not broken them off"), nil
}

// streamBehind answers with the events behind the last one that the caller has, a pause before each, and one before the end.
func streamBehind(b *backend, w http.ResponseWriter, r *http.Request, last, events int, pause, endPause time.Duration) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	_ = control.Flush() // the next write tells of a host that has left
	wait := func(d time.Duration) {
		select {
		case <-after(d):
		case <-r.Context().Done():
			b.world.record.line("server %s: the host has broken off request %s", b.id, id)
			panic(http.ErrAbortHandler)
		}
	}
	for i := last + 1; i <= events; i++ {
		wait(pause)
		if _, err := io.WriteString(w, eventOf(i, id)); err != nil {
			return
		}
		_ = control.Flush()
	}
	if last < events {
		b.world.record.line("server %s has sent all %d events of request %s and will end the answer", b.id, events, id)
		wait(endPause)
	}
	b.world.record.line("server %s ends its answer to request %s, which has the events behind %d", b.id, id, last)
}
