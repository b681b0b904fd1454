package fronthost

import (
	"syscall"

	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
)

const (
	// responseMemoryDivisor is the part of the memory setting, as a divisor, that responses which
	// are not passed on yet may take beyond a few KiB each, whatever requests take.
	responseMemoryDivisor = 16
	// requestMemoryShare is the part of the memory setting, in sixteenths, that requests may take
	// by default beyond a few KiB each.
	requestMemoryShare = 3
	// connectionMemoryDivisor is the part of the memory setting, as a divisor, that connections may
	// take by default with the few KiB of their requests that the quota doesn't count.
	connectionMemoryDivisor = 4
	// connectionBytes is what one connection takes then: two goroutines, the buffers of net/http and
	// the first KiB of a request.
	connectionBytes = 32 << 10
	// connectionDescriptorShare is the part of the descriptors, in eighths, that connections of
	// callers may take by default. The others are for servers, other hosts and the store.
	connectionDescriptorShare = 5
)

// newBufferQuota returns the quota for all that the host holds for callers and servers.
func (h *Host) newBufferQuota() *buffering.Quota {
	memory := h.Settings.MemoryMegabytes << 20
	requests, connections := h.Settings.Limits.RequestMemory, h.Settings.Limits.Connections
	if requests == 0 {
		requests = memory / 16 * requestMemoryShare
	}
	if connections == 0 {
		connections = max(memory/connectionMemoryDivisor/connectionBytes, 1)
		if descriptors, ok := maxDescriptors(); ok {
			connections = min(connections, descriptors/8*connectionDescriptorShare)
		}
	}
	return &buffering.Quota{
		MaxBytes:        requests + memory/responseMemoryDivisor,
		MaxRequestBytes: requests,
		MaxIntakes:      int(connections),
	}
}

// maxDescriptors returns how many descriptors the process may open, if that is known.
func maxDescriptors() (int64, bool) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, false
	}
	// The limit may be the largest number of its type, which stands for none.
	return int64(min(limit.Cur, 1<<32)), true
}
