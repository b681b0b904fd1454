package fronthost

import (
	"cmp"

	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
	"github.com/persimmonmux/persimmonmux/transport/inbound"
)

const (
	// responseMemoryDivisor is the part of the memory setting, as a divisor, that responses which
	// are not passed on yet may take beyond a few KiB each, whatever requests take.
	responseMemoryDivisor = 16
	// requestMemorySixteenths is the part of the memory setting, in sixteenths, that requests may
	// take by default beyond a few KiB each.
	requestMemorySixteenths = 3
)

// newBufferQuota returns the quota for all that the host holds for callers and servers.
func (h *Host) newBufferQuota() *buffering.Quota {
	memory, limits := h.Settings.MemoryMegabytes<<20, h.Settings.Limits
	requests := cmp.Or(limits.RequestMemory, memory/16*requestMemorySixteenths)
	return &buffering.Quota{
		MaxBytes:        requests + memory/responseMemoryDivisor,
		MaxRequestBytes: requests,
		MaxIntakes:      cmp.Or(int(limits.Connections), inbound.MaxConnections(memory)),
	}
}
