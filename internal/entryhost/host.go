// Package entryhost assembles an entry host from its duties and runs them.
package entryhost

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/internal/settings"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// handOverLimit bounds the hand-over of all engines at a planned stop.
const handOverLimit = 30 * time.Second

// A Host is one entry host. Its exported fields are set before Run.
type Host struct {
	// Settings are the settings of the host.
	Settings settings.Settings
	// Start identifies this process; a later process of the host has a higher one.
	Start fleet.StartNumber
	// CallerListener, PeerListener and OperatorListener are used in place of the
	// addresses of the settings when they are set. Run closes them.
	CallerListener, PeerListener, OperatorListener net.Listener
	// Initial is accepted as the first revision when the table has none. It may
	// be nil.
	Initial *configuration.Configuration
	// Log receives the log of the host.
	Log zerolog.Logger

	once  sync.Once
	ready chan struct{}
	parts *parts
}

// A runner is a duty as the host runs it.
type runner interface {
	Run(ctx context.Context) error
	Close() error
}

// Ready is closed when the host has been assembled or has failed to.
func (h *Host) Ready() <-chan struct{} {
	h.prepare()
	return h.ready
}

func (h *Host) prepare() {
	h.once.Do(func() { h.ready = make(chan struct{}) })
}

// Run serves until ctx ends, then stops gracefully: it hands its engines over,
// finishes the requests in flight and closes its duties in order.
func (h *Host) Run(ctx context.Context) error {
	h.prepare()
	if err := h.assemble(); err != nil {
		close(h.ready)
		return err
	}
	close(h.ready)
	p := h.parts

	var group sync.WaitGroup
	failures := make(chan error, 32)
	background := context.WithoutCancel(ctx)
	start := func(name string, r runner) {
		group.Go(func() {
			if err := r.Run(background); err != nil {
				h.Log.Error().Err(err).Str("duty", name).Msg("duty ended with an error")
				failures <- trace.Wrap(err, "duty %s", name)
			}
		})
	}
	for _, d := range p.duties() {
		start(d.name, d.runner)
	}
	for _, name := range []lease.Name{cleanupLease, allocatorLease} {
		p.Leases.Acquire(name, 0)
	}
	h.Log.Info().Str("caller-address", p.CallerListener.Addr().String()).
		Str("peer-address", p.PeerListener.Addr().String()).Msg("entry host started")
	if h.Initial != nil {
		group.Go(func() { h.bootstrap(ctx) })
	}

	var failure error
	select {
	case <-ctx.Done():
	case failure = <-failures:
	}
	h.stop(background)
	group.Wait()
	p.closeClients()
	h.Log.Info().Msg("entry host stopped")
	return failure
}

// stop ends the host without cutting off a request.
func (h *Host) stop(ctx context.Context) {
	p := h.parts
	h.Log.Info().Msg("entry host stops: handing over engines and finishing requests")
	p.Monitor.Leave()
	var stopping sync.WaitGroup
	stopping.Go(func() {
		limited, cancel := context.WithTimeout(ctx, handOverLimit)
		defer cancel()
		if err := p.Ownership.HandOverAll(limited); err != nil {
			h.Log.Warn().Err(err).Msg("not every engine was handed over")
		}
	})
	stopping.Go(func() { _ = p.Server.Close() })
	stopping.Wait()
	duties := p.duties()
	// Duties close in the reverse order of their start: what serves others last.
	for i := len(duties) - 1; i >= 0; i-- {
		if err := duties[i].runner.Close(); err != nil {
			h.Log.Warn().Err(err).Str("duty", duties[i].name).Msg("duty did not close cleanly")
		}
	}
}

// assemble builds all parts with dig.
func (h *Host) assemble() error {
	container := dig.New()
	for _, provider := range h.providers() {
		if err := container.Provide(provider); err != nil {
			return trace.Wrap(err)
		}
	}
	err := container.Invoke(func(p parts) { h.parts = &p })
	if err != nil {
		return trace.Wrap(dig.RootCause(err), "assemble entry host %s", h.Settings.HostName)
	}
	h.parts.connect()
	return nil
}

// bootstrapPause is the time between two tries to accept the initial configuration.
const bootstrapPause = time.Second

// bootstrap accepts the initial configuration if the deployment has none.
func (h *Host) bootstrap(ctx context.Context) {
	change := *h.Initial.InitialChange()
	for ctx.Err() == nil {
		_, err := h.parts.Distributor.Accept(ctx, 0, change)
		if err == nil || isConflict(err) {
			return
		}
		h.Log.Warn().Err(err).Msg("the initial configuration was not accepted; trying again")
		select {
		case <-ctx.Done():
		case <-time.After(bootstrapPause):
		}
	}
}

// CallerAddress returns the address for callers once the host is ready.
func (h *Host) CallerAddress() string {
	return h.parts.CallerListener.Addr().String()
}

// PeerAddress returns the address for other entry hosts once the host is ready.
func (h *Host) PeerAddress() string {
	return h.parts.PeerListener.Addr().String()
}

// errNoAddress says that a host is not known to the membership.
var errNoAddress = errors.New("the host's address is not known")

// Revision returns the configuration revision in force at this host, or 0.
func (h *Host) Revision() configuration.Revision {
	return h.parts.Distributor.Revision()
}

// RoutableEngines returns the number of engines that requests may be sent to.
func (h *Host) RoutableEngines() int {
	return h.parts.Router.CandidateCount()
}

// Accept makes a change to the expected revision; see revision.Distributor.
func (h *Host) Accept(ctx context.Context, expected configuration.Revision, change configuration.Change) (configuration.Revision, error) {
	return h.parts.Distributor.Accept(ctx, expected, change)
}

// Current returns the configuration in force, or nil.
func (h *Host) Current() *configuration.Configuration {
	return h.parts.Distributor.Current()
}
