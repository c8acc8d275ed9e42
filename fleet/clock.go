package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock returns the time since this VM booted, including time in suspend.
func bootClock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
