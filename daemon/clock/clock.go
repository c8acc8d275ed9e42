// Package clock reads the elapsed time of this VM, including suspend.
//
// Only elapsed time on one VM is trusted; no rule of guavacrank compares the
// clocks of two VMs.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns elapsed time since an arbitrary fixed point.
type Clock func() time.Duration

// Boot reads CLOCK_BOOTTIME, which runs on while the VM is suspended or the
// process is stopped. It panics if the kernel lacks that clock.
func Boot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(now.Nano())
}
