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
	// requestMemorySixteenths is the part of the memory setting, in sixteenths, that requests may
	// take by default, and defaultRequestMemory what they may take without that setting.
	requestMemorySixteenths = 3
	defaultRequestMemory    = 128 << 20
)

// setMemoryLimit sets the soft memory limit of the Go runtime if the settings have one.
func (h *Host) setMemoryLimit() {
	if memory := h.Settings.MemoryMegabytes << 20; memory > 0 {
		debug.SetMemoryLimit(int64(float64(memory) * goMemoryShare))
	}
}

// newBufferQuota returns the quota for all that the host holds for callers and servers.
func (h *Host) newBufferQuota() *buffering.Quota {
	memory, limits := h.Settings.MemoryMegabytes<<20, h.Settings.Limits
	requests := cmp.Or(limits.RequestMemory, memory/16*requestMemorySixteenths, defaultRequestMemory)
	return &buffering.Quota{
		MaxBytes:        requests + limits.ResponseMemory,
		MaxRequestBytes: requests,
		MaxIntakes:      cmp.Or(int(limits.Connections), inbound.MaxConnections(memory)),
	}
}
