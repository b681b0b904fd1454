package inbound

import "syscall"

const (
	// connectionMemoryDivisor is the part of the memory of a host, as a divisor, that connections
	// may take with the few KiB of their requests that the quota doesn't count.
	connectionMemoryDivisor = 4
	// connectionBytes is what one connection takes then: two goroutines, the buffers of net/http
	// and the first KiB of a request.
	connectionBytes = 32 << 10
	// connectionDescriptorShare is the part of the descriptors, in eighths, that connections of
	// callers may take. The others are for servers, other hosts and the store.
	connectionDescriptorShare = 5
	// requestMemoryShare is the part of the memory of a host, in sixteenths, that requests may take
	// by default beyond the few KiB of each that the quota doesn't count.
	requestMemoryShare = 3
)

// RequestMemory returns how many bytes of the memory of a host requests may take by default.
func RequestMemory(memoryBytes int64) int64 { return memoryBytes / 16 * requestMemoryShare }

// MaxConnections returns how many connections of callers a host has room for, by its memory and by
// the descriptors that the process may open. Without a bound on memory, memoryBytes is 0.
func MaxConnections(memoryBytes int64) int {
	connections := maxDescriptors() / 8 * connectionDescriptorShare
	if memoryBytes > 0 {
		connections = min(connections, memoryBytes/connectionMemoryDivisor/connectionBytes)
	}
	return int(max(connections, 1))
}

// maxDescriptors returns how many descriptors the process may open.
func maxDescriptors() int64 {
	// unlimited stands for a limit that is not known or larger.
	const unlimited = 1 << 24
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return unlimited
	}
	return int64(min(limit.Cur, unlimited))
}
