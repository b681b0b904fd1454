// Package fronthost assembles a front host, which forwards requests to servers
// of the platform, from its duties and runs them.
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

// goMemoryShare is the share of the host's memory setting that becomes the soft
// memory limit of the Go runtime, near which garbage is collected more often. The
// remaining share is left for sockets and stacks.
const goMemoryShare = 0.7

// A Host is one front host, which forwards the requests of callers to servers. Its
// exported fields are set before Run and not changed afterwards.
type Host struct {
	// Settings hold the addresses, limits and timings of the host.
	Settings settings.Front
	// Start is the start number of this process. A later process of the same host
	// has a higher one.
	Start int64
	// Log receives the log lines of the host and of its duties.
	Log zerolog.Logger
}

// A runner is a duty: Run works until Close is called or an error ends it.
type runner interface {
	Run(ctx context.Context) error
	Close() error
}

// Reload applies those of the changed settings that can take effect while the host
// runs: the log level and the memory limit. All other settings need a restart.
func (h *Host) Reload(changed settings.Front) {
	applySettings(changed)
	h.Log.Info().Str("log-level", changed.LogLevel).Int64("memory-megabytes", changed.MemoryMegabytes).
		Msg("settings reloaded; other changes need a restart")
}

// applySettings sets the memory limit of the Go runtime and the global log level.
// A log level that cannot be parsed leaves the level as it is.
func applySettings(s settings.Front) {
	debug.SetMemoryLimit(int64(float64(s.MemoryMegabytes<<20) * goMemoryShare))
	if level, err := zerolog.ParseLevel(s.LogLevel); err == nil {
		zerolog.SetGlobalLevel(level)
	}
}

// Run serves requests until ctx ends or a duty fails. It then releases the leases
// of its zones, finishes the requests in flight and closes its duties. It returns
// the error of the duty that failed first, if any.
func (h *Host) Run(ctx context.Context) error {
	applySettings(h.Settings)
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
	// Duties close in the reverse order of their start, so that a duty that others
	// use closes after them.
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

// assemble builds all parts of the host by dependency injection with dig.
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
