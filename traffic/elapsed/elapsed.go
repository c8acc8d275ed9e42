// Package elapsed reads the clock used for deadlines and timeouts: the time since
// the VM's boot, which advances while the VM is suspended or the process is
// stopped (CLOCK_BOOTTIME). Readings of two VMs are never compared.
package elapsed

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM's boot, suspend included. It panics if the
// kernel lacks the clock.
func Now() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		panic("elapsed: CLOCK_BOOTTIME: " + err.Error()) // Present in every supported kernel.
	}
	return time.Duration(reading.Nano())
}
