// Package elapsed reads the clock that every rule about time uses: elapsed time
// of this VM, which runs on while the VM is suspended or the process is stopped
// (CLOCK_BOOTTIME). No rule compares the clocks of two VMs.
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
