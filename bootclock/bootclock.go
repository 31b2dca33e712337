// Package bootclock reads a clock that also counts the time during which the
// machine is suspended, which the clock of package time does not. Steps of the
// wall clock do not change it.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error()) // Linux has it since 2.6.39
	}
	return time.Duration(t.Nano())
}
