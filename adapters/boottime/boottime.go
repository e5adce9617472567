// Package boottime reads the clock that goes on while the machine is suspended.
package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started. It panics if the kernel has no
// CLOCK_BOOTTIME, which Linux has since version 2.6.39.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(t.Nano())
}
