package main

import (
	"fmt"
	"time"
)

const (
	prepaid       = 100_000
	promptTokens  = 490
	budgetEvents  = 10
	mostPerCall   = promptTokens + budgetEvents
	callsBefore   = 60
	restartDelay  = 1300 * time.Millisecond
	inTouchAgain  = 7 * time.Second
	settle        = 1500 * time.Millisecond
	owedShare     = 97
	deniedAllowed = 5
)

// playBudget lets a tenant use a part of its prepaid tokens, kills all processes at once, and lets it use
// the remainder.
func playBudget(program string, rec *recorder, trouble bool) int {
	w := newWorld(rec, []string{"z-a", "z-a", "z-b", "z-b"}, budgetEvents, 5*time.Millisecond)
	w.configure(prepaid)
	w.addRouters(program, []string{"z-a", "z-a", "z-b", "z-b"})
	sleep(inTouchAgain)
	used, denied, sent := 0, 0, 0
	call := func() {
		q := request{id: fmt.Sprintf("hint-%d", sent), path: "/hint/framed", key: "key-one", prompt: promptTokens, most: budgetEvents, deadline: 4 * time.Second}
		for try := 0; try < 2; try++ { // a client repeats once after 503
			a := send(w.routers[(sent+try)%len(w.routers)].callers(), q, rec)
			if a.status == 402 && used+mostPerCall <= prepaid*owedShare/100 {
				denied++
				rec.note("402 while %d of %d tokens are used and the request needs at most %d", used, prepaid, mostPerCall)
			}
			if rec.hasRun(q.id) {
				used += promptTokens + rec.eventsMade(q.id)
			}
			if a.status != 503 {
				break
			}
			sleep(300 * time.Millisecond)
			q.id += "-again"
		}
		sent++
		sleep(20 * time.Millisecond)
	}
	for range callsBefore {
		call()
	}
	sleep(settle)
	if trouble {
		rec.note("all processes are killed")
		for _, r := range w.routers {
			_ = r.process.Process.Kill()
		}
		for _, r := range w.routers {
			r.kill()
		}
		sleep(restartDelay)
		for _, r := range w.routers {
			r.start()
		}
		for _, r := range w.routers {
			r.awaitReady()
		}
		rec.note("all processes run again and are ready")
		sleep(inTouchAgain)
	}
	for range (prepaid*owedShare/100 - callsBefore*mostPerCall) / mostPerCall {
		call() // together they fit
	}
	rec.note("%d requests, %d of %d tokens used, %d answered 402 though they fit", sent, used, prepaid, denied)
	if denied > deniedAllowed+sent/500 {
		return exitBroken
	}
	return exitHeld
}
