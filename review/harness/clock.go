package main

import (
	"cowsliphinge/clocker"
	"time"
)

// clock is the clock of the project, which follows the real one.
var clock = clocker.NewWall()

func millis(d time.Duration) clocker.Millis { return clocker.Millis(d / time.Millisecond) }

// sleep waits for whole milliseconds.
func sleep(d time.Duration) { clock.SleepUncancellable(millis(d)) }
