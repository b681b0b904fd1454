package fronthost

import (
	"cmp"

	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
	"github.com/persimmonmux/persimmonmux/transport/inbound"
)

// responseMemoryDivisor is the part of the memory setting, as a divisor, that responses which
// are not passed on yet may take beyond a few KiB each, whatever requests take.
const responseMemoryDivisor = 16

// newBufferQuota returns the quota for what the host holds of requests and responses.
func (h *Host) newBufferQuota() *buffering.Quota {
	memory, limits := h.Settings.MemoryMegabytes<<20, h.Settings.Limits
	requests := cmp.Or(limits.RequestMemory, inbound.RequestMemory(memory))
	return &buffering.Quota{
		MaxBytes:        requests + memory/responseMemoryDivisor,
		MaxRequestBytes: requests,
		MaxIntakes:      cmp.Or(int(limits.Connections), inbound.MaxConnections(memory)),
	}
}
