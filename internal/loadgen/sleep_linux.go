package loadgen

import (
	"syscall"
	"time"
)

// sleepPrecisely sleeps in the kernel. Timers of the Go runtime fire up to 1 ms late,
// because epoll counts milliseconds. Such a delay would hide the latency that a host adds.
func sleepPrecisely(duration time.Duration) {
	remaining := syscall.NsecToTimespec(int64(duration))
	// An interrupted sleep ends early, so the caller compares the clock again.
	_ = syscall.Nanosleep(&remaining, nil)
}
