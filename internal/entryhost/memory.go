package entryhost

import (
	"cmp"
	"runtime/debug"

	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
	"github.com/persimmonmux/persimmonmux/transport/inbound"
)

const (
	// goMemoryShare is the share of the memory setting that becomes the soft memory limit of the Go
	// runtime. The remaining share is left for sockets and stacks.
	goMemoryShare = 0.7
	// defaultRequestMemory is how many bytes requests may take without a memory setting.
	defaultRequestMemory = 128 << 20
)

// setMemoryLimit sets the soft memory limit of the Go runtime if the settings have one.
func (h *Host) setMemoryLimit() {
	if memory := h.Settings.MemoryMegabytes << 20; memory > 0 {
		debug.SetMemoryLimit(int64(float64(memory) * goMemoryShare))
	}
}

// newBufferQuota returns the quota for what the host holds of requests and responses.
func (h *Host) newBufferQuota() *buffering.Quota {
	memory, limits := h.Settings.MemoryMegabytes<<20, h.Settings.Limits
	requests := cmp.Or(limits.RequestMemory, inbound.RequestMemory(memory), defaultRequestMemory)
	return &buffering.Quota{
		MaxBytes:        requests + limits.ResponseMemory,
		MaxRequestBytes: requests,
		MaxIntakes:      cmp.Or(int(limits.Connections), inbound.MaxConnections(memory)),
	}
}
