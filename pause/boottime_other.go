//go:build !linux

package pause

import "time"

var processStarted = time.Now()

// BootTime returns the time since the process was started.
func BootTime() time.Duration { return time.Since(processStarted) }
