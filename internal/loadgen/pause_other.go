//go:build !linux

package loadgen

import "time"

// pauseShort sleeps with the precision of the Go runtime.
func pauseShort(pause time.Duration) {
	time.Sleep(pause)
}
