//go:build linux

package pause

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the host was started. Unlike the clock of
// time.Since, it counts the time for which the host was suspended.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("read the clock since the start of the host: " + err.Error())
	}
	return time.Duration(t.Nano())
}
