package fronthost

import (
	"time"

	"golang.org/x/sys/unix"
)

// clockDifference returns by how much the clock that counts suspensions is ahead
// of the one that does not; 0 if they cannot be read.
func clockDifference() time.Duration {
	var counting, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &counting) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(counting.Nano() - steady.Nano())
}
