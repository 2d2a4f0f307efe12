package main

import (
	"cowsliphinge/clocker"
	"time"
)

// clock is the clock of the project, which follows the real one.
var clock = clocker.NewWall()

func millis(d time.Duration) clocker.Millis { return clocker.Millis(d / time.Millisecond) }

// now returns the time since the Unix epoch.
func now() time.Duration { return time.Duration(clock.Now()) * time.Millisecond }

func sleep(d time.Duration) { clock.SleepUncancellable(millis(d)) }

// after returns a channel that is closed after d.
func after(d time.Duration) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		sleep(d)
		close(done)
	}()
	return done
}
