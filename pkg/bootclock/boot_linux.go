package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since boot, including suspensions, or 0 if it is unavailable.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
