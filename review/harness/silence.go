package main

import (
	"context"
	"cowsliphinge/clocker"
	"fmt"
	"syscall"
	"time"
)

const (
	// serverSilence is how long the sound server is silent: a second or so.
	serverSilence = 1250 * time.Millisecond
	silenceEvents = 20
	silencePause  = 60 * time.Millisecond
	graceTime     = 8 * time.Second
)

// playSilence stops a host by SIGTERM while a stream goes on whose server is silent for a second or so, and
// while the other servers are full.
func playSilence(program string, rec *recorder, trouble bool) int {
	w := newWorld(rec, []string{"z-a", "z-a", "z-b", "z-b"}, silenceEvents, silencePause)
	if trouble {
		for _, s := range w.servers {
			s.silence = serverSilence
		}
	}
	w.configure(10_000_000)
	w.addRouters(program, []string{"z-a", "z-b"})
	stopped := w.routers[0]
	sleep(5 * time.Second) // in touch
	q := request{id: "review-1", path: "/review/framed", key: "key-one", prompt: 100, most: silenceEvents, deadline: 4 * time.Second}
	result := make(chan answer, 1)
	go func() { result <- send(stopped.callers(), q, rec) }()
	for rec.eventsMade(q.id) < 3 {
		sleep(5 * time.Millisecond)
		if clock.Now()-rec.started > 30*clocker.Second {
			fatal("no server runs the stream")
		}
	}
	for _, s := range w.servers {
		s.setFull() // what runs goes on
	}
	if trouble {
		rec.note("SIGTERM for %s", stopped.host)
		_ = stopped.process.Process.Signal(syscall.SIGTERM)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		process := stopped.process.Process
		go func() {
			if clock.Sleep(ctx, millis(graceTime)) == nil {
				_ = process.Kill() // it may have ended
			}
		}()
	}
	a := <-result
	sleep(2 * serverSilence) // the server goes on
	rec.note("the server made %d of %d events", rec.eventsMade(q.id), silenceEvents)
	if trouble {
		_ = stopped.process.Wait()
		stopped.process = nil
		rec.note("%s has ended", stopped.host)
	}
	if a.status == 200 && a.complete && a.events == silenceEvents {
		rec.note("held: the client got the whole stream")
		return exitHeld
	}
	rec.note("BROKEN: the answer was passed on by a host that was stopped as planned and ended incomplete: %s", fmt.Sprint(a))
	return exitBroken
}
