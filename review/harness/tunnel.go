package main

import (
	"fmt"
	"time"
)

const (
	// cutFor is how long the opening packets of new connections to the servers get lost. The path of
	// the first host is then cut for its dial and its verification of the path, and the second host,
	// which opens a connection to a server only after that, reaches the server.
	cutFor = 266 * time.Millisecond
	// rounds is how often the case is tried until the first host goes through the second one.
	rounds = 6
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
	time.Sleep(5 * time.Second) // both know each other and are in touch
	for round := 1; round <= rounds; round++ {
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
			time.Sleep(cutFor)
			for _, s := range w.servers {
				s.unblock()
			}
			rec.note("the path is restored")
		}
		for range 300 {
			if rec.eventsMade(q.id) >= 10 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if trouble && rec.hasRun(q.id) {
			rec.note("%s is killed", far.host)
			far.kill()
		}
		a := <-result
		time.Sleep(200 * time.Millisecond)
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
		time.Sleep(5 * time.Second)
	}
	return exitNotRun
}
