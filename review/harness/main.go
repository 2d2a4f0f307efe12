// Command harness plays the cases of the review: it starts routers as separate processes with the
// command of the deploy file, among stand-ins of the store, the model servers and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var (
	processesMu sync.Mutex
	processes   []*router
)

// fatal ends the run as one that could not be played.
func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	exit(exitNotRun)
}

// exit ends all processes that the run started.
func exit(status int) {
	processesMu.Lock()
	for _, r := range processes {
		r.kill()
	}
	processesMu.Unlock()
	os.Exit(status)
}

func main() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		exit(exitNotRun)
	}()
	if len(os.Args) != 4 {
		fatal("usage: harness CASE PROGRAM RECORD")
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec := newRecorder(os.Args[3])
	cases := map[string]func(program string, rec *recorder, trouble bool) int{
		"tunnel":  playTunnel,
		"budget":  playBudget,
		"silence": playSilence,
	}
	play := cases[os.Args[1]]
	if play == nil {
		fatal("no case %s", os.Args[1])
	}
	exit(play(os.Args[2], rec, trouble))
}
