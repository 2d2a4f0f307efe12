package main

import (
	"fmt"
	"time"
)

// cuts are how long the opening packets of new connections to the servers get lost, in the rounds in which
// the case is tried until the first host goes through the second one. The path of the first host is then
// cut for its dial (250 ms) and for its verification of the path right after that, and the second host,
// which connects to a server only 30 ms later, reaches the server.
var cuts = []time.Duration{266 * time.Millisecond, 262 * time.Millisecond, 270 * time.Millisecond, 258 * time.Millisecond, 274 * time.Millisecond, 266 * time.Millisecond}

const (
	// tunnelEvents and tunnelPause make a stream of 4 s.
	tunnelEvents = 40
	tunnelPause  = 100 * time.Millisecond
)

// playTunnel cuts the path of one host to the servers, so that it goes through another host, and kills
// that one in the middle of a stream whose answer ends with its connection.
func playTunnel(program string, rec *recorder, trouble bool) int {
	w := newWorld(rec, []string{"z-a", "z-a", "z-b", "z-b"}, tunnelEvents, tunnelPause)
	w.configure(10_000_000)
	w.addRouters(program, []string{"z-a", "z-b"})
	near, far := w.routers[0], w.routers[1]
	sleep(5 * time.Second) // both know each other and are in touch
	for round, cut := range cuts {
		q := request{id: fmt.Sprintf("hint-%d", round), path: "/hint/x", key: "key-one", prompt: 100, most: tunnelEvents, deadline: 12 * time.Second}
		result := make(chan answer, 1)
		if trouble {
			rec.note("the path of %s to the servers is cut", near.host)
			for _, s := range w.servers {
				s.block()
			}
		}
		go func() { result <- send(near.callers(), q, rec) }()
		if trouble {
			sleep(cut)
			for _, s := range w.servers {
				s.unblock()
			}
			rec.note("the path is restored")
		}
		for range 300 {
			if rec.eventsMade(q.id) >= 10 {
				break
			}
			sleep(10 * time.Millisecond)
		}
		if trouble && rec.hasRun(q.id) {
			rec.note("%s is killed", far.host)
			far.kill()
		}
		a := <-result
		sleep(200 * time.Millisecond)
		if a.status == 200 && a.complete && a.events < tunnelEvents {
			rec.note("BROKEN: the client got %d of %d events in an answer that looks complete", a.events, tunnelEvents)
			return exitBroken
		}
		if !trouble {
			if a.status == 200 && a.complete && a.events == tunnelEvents {
				rec.note("held: the client got the whole stream")
				return exitHeld
			}
			fatal("the stream failed without a disruption: %s", a)
		}
		if a.status == 200 && !a.complete {
			rec.note("held: the client sees that the answer is not complete")
			return exitHeld
		}
		rec.note("round %d did not go through %s, once more", round, far.host)
		if far.process == nil {
			far.start()
			far.awaitReady()
		}
		sleep(5 * time.Second)
	}
	return exitNotRun
}
