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

// handOverTimeout bounds the time in which a stopping host hands over all its engines.
const handOverTimeout = 30 * time.Second

// A Host is one entry host: it answers callers and owns engines of its failure
// domain. Its exported fields are set before Run and not changed afterwards.
type Host struct {
	// Settings hold the addresses, limits and timings of the host.
	Settings settings.Settings
	// Start is the start number of this process. A later process of the same host
	// has a higher one.
	Start fleet.StartNumber
	// CallerListener, PeerListener and OperatorListener replace the addresses of the
	// settings where they are not nil. Run closes them.
	CallerListener, PeerListener, OperatorListener net.Listener
	// Initial is the configuration that becomes the first revision if the deployment
	// has none yet. It may be nil.
	Initial *configuration.Configuration
	// Log receives the log lines of the host and of its duties.
	Log zerolog.Logger

	once  sync.Once
	ready chan struct{}
	parts *parts
}

// A runner is a duty: Run works until Close is called or an error ends it.
type runner interface {
	Run(ctx context.Context) error
	Close() error
}

// Ready returns a channel that is closed when the host has been assembled, or when its
// assembly has failed.
func (h *Host) Ready() <-chan struct{} {
	h.initReady()
	return h.ready
}

// initReady creates the channel of Ready once. Run and Ready may be called in any order.
func (h *Host) initReady() {
	h.once.Do(func() { h.ready = make(chan struct{}) })
}

// Run serves requests until ctx ends or a duty fails, then stops gracefully: it hands
// its engines over, finishes the requests in flight and closes its duties in order. It
// returns the error of the duty that failed first, if any.
func (h *Host) Run(ctx context.Context) error {
	h.initReady()
	h.setMemoryLimit()
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

// stop hands the engines over while the requests in flight finish, so that none is cut
// off, and then closes the duties.
func (h *Host) stop(ctx context.Context) {
	p := h.parts
	h.Log.Info().Msg("entry host stops: handing over engines and finishing requests")
	p.Monitor.Leave()
	var stopping sync.WaitGroup
	stopping.Go(func() {
		limited, cancel := context.WithTimeout(ctx, handOverTimeout)
		defer cancel()
		if err := p.Ownership.HandOverAll(limited); err != nil {
			h.Log.Warn().Err(err).Msg("not every engine was handed over")
		}
	})
	stopping.Go(func() { _ = p.Server.Close() })
	stopping.Wait()
	duties := p.duties()
	// Duties close in the reverse order of their start, so that a duty that others
	// use closes after them.
	for i := len(duties) - 1; i >= 0; i-- {
		if err := duties[i].runner.Close(); err != nil {
			h.Log.Warn().Err(err).Str("duty", duties[i].name).Msg("duty did not close cleanly")
		}
	}
}

// assemble builds all parts of the host by dependency injection with dig.
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

// bootstrapRetryDelay is the time between two attempts to accept the initial
// configuration.
const bootstrapRetryDelay = time.Second

// bootstrap makes the initial configuration the first revision, unless the deployment
// already has one. It tries again after other errors until ctx ends.
func (h *Host) bootstrap(ctx context.Context) {
	change := *h.Initial.InitialChange()
	for ctx.Err() == nil {
		_, err := h.parts.Distributor.Accept(ctx, 0, change)
		if err == nil || isConflict(err) {
			return
		}
		h.Log.Warn().Err(err).Msg("initial configuration was not accepted; trying again")
		select {
		case <-ctx.Done():
		case <-time.After(bootstrapRetryDelay):
		}
	}
}

// CallerAddress returns the address on which the host serves callers. It must not be
// called before the host is ready.
func (h *Host) CallerAddress() string {
	return h.parts.CallerListener.Addr().String()
}

// PeerAddress returns the address on which the host serves other entry hosts. It must
// not be called before the host is ready.
func (h *Host) PeerAddress() string {
	return h.parts.PeerListener.Addr().String()
}

// errUnknownPeerAddress is returned for a host that the membership does not know or
// whose peer address it does not know.
var errUnknownPeerAddress = errors.New("peer address is not known")

// Revision returns the revision of the configuration applied at this host, or 0 if
// there is none.
func (h *Host) Revision() configuration.Revision {
	return h.parts.Distributor.Revision()
}

// RoutableEngines returns the number of engines that requests may be sent to.
func (h *Host) RoutableEngines() int {
	return h.parts.Router.CandidateCount()
}

// Accept applies a change to the configuration whose revision is expected and returns
// the new revision; see revision.Distributor.
func (h *Host) Accept(ctx context.Context, expected configuration.Revision, change configuration.Change) (configuration.Revision, error) {
	return h.parts.Distributor.Accept(ctx, expected, change)
}

// Current returns the configuration applied at this host, or nil if there is none.
func (h *Host) Current() *configuration.Configuration {
	return h.parts.Distributor.Current()
}
