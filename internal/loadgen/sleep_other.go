//go:build !linux

package loadgen

import "time"

// sleepPrecisely sleeps with the precision of the Go runtime's timers, because the
// kernel call that sleeps more precisely is only made on Linux.
func sleepPrecisely(duration time.Duration) {
	time.Sleep(duration)
}
