package loadgen

import (
	"syscall"
	"time"
)

// pauseShort sleeps in the kernel. Timers of the Go runtime wake up to 1 ms
// late, because epoll counts milliseconds, which would hide what a host adds.
func pauseShort(pause time.Duration) {
	remaining := syscall.NsecToTimespec(int64(pause))
	// An interrupted sleep ends early; the caller asks for the time again.
	_ = syscall.Nanosleep(&remaining, nil)
}
