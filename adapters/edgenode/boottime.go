package edgenode

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the reading of CLOCK_BOOTTIME, which also advances while the machine is
// suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every kernel since 2.6.39 has the clock
	}
	return time.Duration(t.Nano())
}
