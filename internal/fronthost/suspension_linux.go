package fronthost

import (
	"time"

	"golang.org/x/sys/unix"
)

// clockDifference returns how far CLOCK_BOOTTIME, which runs on while the machine is
// suspended, is ahead of CLOCK_MONOTONIC, which does not. It returns 0 if one of them
// cannot be read.
func clockDifference() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
