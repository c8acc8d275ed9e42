// Package elapsed reads the clock of elapsed time that runs on while the VM is
// suspended (CLOCK_BOOTTIME). The right to send to a server that does not
// check grants is limited on this clock.
package elapsed

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM's boot, suspend included.
func Now() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		panic("elapsed: CLOCK_BOOTTIME: " + err.Error()) // Present in every supported kernel.
	}
	return time.Duration(reading.Nano())
}
