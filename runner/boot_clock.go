package runner

import (
	"golang.org/x/sys/unix"

	"cowsliphinge/clocker"
)

// sinceBoot returns the time since the boot of the machine, in milliseconds, or 0 if it can't be read. No
// setting of the clock changes it, so that processes that follow each other on a machine can compare it.
func sinceBoot() clocker.Millis {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return clocker.Millis(t.Nano() / int64(1e6))
}
