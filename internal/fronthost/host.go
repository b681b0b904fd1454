// Package fronthost assembles a host that runs on the platform from its duties
// and runs them.
package fronthost

import (
	"context"
	"runtime/debug"
	"sync"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"github.com/persimmonmux/persimmonmux/internal/settings"
)

// memoryShare is the part of the memory limit from which the collector works
// harder; the rest is for sockets and stacks.
const memoryShare = 0.7

// A Host passes requests on to servers. Its exported fields are set before Run.
type Host struct {
	Settings settings.Front
	// Start identifies this process; a later process of the host has a higher one.
	Start int64
	Log   zerolog.Logger
}

// A runner is a duty as the host runs it.
type runner interface {
	Run(ctx context.Context) error
	Close() error
}

// Reload takes over the settings that can change while the host runs: the log
// level and the memory limit. The others need a restart.
func (h *Host) Reload(changed settings.Front) {
	apply(changed)
	h.Log.Info().Str("log-level", changed.LogLevel).Int64("memory-megabytes", changed.MemoryMegabytes).
		Msg("settings reloaded; other changes need a restart")
}

func apply(s settings.Front) {
	debug.SetMemoryLimit(int64(float64(s.MemoryMegabytes<<20) * memoryShare))
	if level, err := zerolog.ParseLevel(s.LogLevel); err == nil {
		zerolog.SetGlobalLevel(level)
	}
}

// Run serves until ctx ends, then gives its zones up, finishes the requests in
// flight and closes its duties.
func (h *Host) Run(ctx context.Context) error {
	apply(h.Settings)
	p, err := h.assemble()
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	failures := make(chan error, 16)
	background := context.WithoutCancel(ctx)
	for _, d := range p.duties() {
		group.Go(func() {
			if err := d.runner.Run(background); err != nil {
				failures <- trace.Wrap(err, "duty %s", d.name)
			}
		})
	}
	h.Log.Info().Stringer("caller-address", h.Settings.CallerAddress).
		Stringer("peer-address", h.Settings.PeerAddress).Int64("start", h.Start).Msg("front host started")
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-failures:
	}
	h.Log.Info().Msg("front host stops: giving zones up and finishing requests")
	p.Controller.StopOrders()
	p.Elector.StepDown()
	duties := p.duties()
	// Duties close in the reverse order of their start: what serves others last.
	for i := len(duties) - 1; i >= 0; i-- {
		if err := duties[i].runner.Close(); err != nil {
			h.Log.Warn().Err(err).Str("duty", duties[i].name).Msg("duty did not close cleanly")
		}
	}
	group.Wait()
	p.closeClients()
	h.Log.Info().Msg("front host stopped")
	return failure
}

// assemble builds all parts with dig.
func (h *Host) assemble() (*parts, error) {
	container := dig.New()
	for _, provider := range h.providers() {
		if err := container.Provide(provider); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	var assembled *parts
	if err := container.Invoke(func(p parts) { assembled = &p }); err != nil {
		return nil, trace.Wrap(dig.RootCause(err), "assemble front host %s", h.Settings.HostName)
	}
	return assembled, nil
}
