package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine started, suspensions included; 0 for good if the system
// does not tell it.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
