package fronthost

import (
	"net"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/dig"

	"github.com/persimmonmux/persimmonmux/coordination/adapter"
	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/coordination/forward"
	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/coordination/retry"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/coordination/watch"
	"github.com/persimmonmux/persimmonmux/coordination/zone"
	"github.com/persimmonmux/persimmonmux/platform"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/transport/backend"
	"github.com/persimmonmux/persimmonmux/transport/front"
	"github.com/persimmonmux/persimmonmux/transport/metrics"
	"github.com/persimmonmux/persimmonmux/transport/peer"
)

const (
	// leaseDuration is how long the lease of a zone lasts after a renewal. It
	// outlasts the usual outages of the store, in which nobody could take it over.
	// While an owner is missing, the engines of other zones load what is asked for.
	leaseDuration = 12 * time.Second
	leaseRenewal  = 2500 * time.Millisecond
	leaseMargin   = 500 * time.Millisecond
	// leaseEvents is the room for changes of leases; a host has a few at once.
	leaseEvents = 64
	// storeTimeout bounds one read or write of a lease.
	storeTimeout = 1300 * time.Millisecond
	// stopMargin is the part of the grace time that is kept for closing.
	stopMargin = 700 * time.Millisecond
	// repeatMargin is the part of the bound on repeats that is used: hosts count
	// apart, and their windows do not begin together.
	repeatMargin = 0.8
	// connectionLimit bounds the unused connections to the store and for orders.
	dialLimit = 500 * time.Millisecond
)

// parts are everything that a host consists of.
type parts struct {
	dig.In

	Store          *platform.Store
	Engines        *platform.EngineClient
	PeerClient     *peer.Client
	ConnectionPool *backend.ConnectionPool
	Cache          *watch.Cache
	StoreReader    *watch.StoreReader
	Follower       *watch.Follower
	Leases         *lease.Manager
	Elector        *zone.Elector
	Controller     *adapter.Controller
	PeerServer     *peer.Server
	Recorder       *metrics.Recorder
	Server         *front.Server
}

// A namedRunner is a duty with the name that logs use.
type namedRunner struct {
	name   string
	runner runner
}

// duties returns the duties in the order of their start. Each uses only those
// before it when it closes.
func (p *parts) duties() []namedRunner {
	return []namedRunner{
		{"watcher", p.Cache},
		{"reader", p.StoreReader},
		{"leases", p.Leases},
		{"tenant", p.Elector},
		{"follower", p.Follower},
		{"owner", p.Controller},
		{"peer-server", p.PeerServer},
		{"front", p.Server},
	}
}

func (p *parts) closeClients() {
	_ = p.PeerClient.Close()
	_ = p.Store.Close()
	_ = p.Engines.Client.Close()
	_ = p.ConnectionPool.Close()
	_ = p.Recorder.Close()
}

// providers returns the constructors of all parts.
func (h *Host) providers() []any {
	return []any{
		func() *platform.Store {
			return &platform.Store{
				Address: h.Settings.PlatformAddress.String(),
				Client:  &backend.Client{DialTimeout: dialLimit},
			}
		},
		func() *platform.EngineClient {
			return &platform.EngineClient{Client: &backend.Client{DialTimeout: dialLimit}}
		},
		func() *peer.Client {
			return &peer.Client{FailureDomain: fleet.FailureDomainName(h.Settings.FailureDomain)}
		},
		func() *watch.Cache {
			return &watch.Cache{
				Decoder: platform.Decoder{},
				Tables:  []site.Table{platform.OperatorTable, zone.HostTable, platform.ServerTable},
				Log:     h.Log,
			}
		},
		h.newStoreReader,
		h.newFollower,
		func(s *platform.Store) *lease.Manager {
			return &lease.Manager{
				Host:              fleet.HostName(h.Settings.HostName),
				Start:             fleet.StartNumber(h.Start),
				PredecessorsEnded: true,
				Table:             s,
				Duration:          leaseDuration,
				RenewalInterval:   leaseRenewal,
				SafetyMargin:      leaseMargin,
				TableTimeout:      storeTimeout,
				SuspendedDuration: newSuspension().Total,
				Events:            ring.New[lease.Event](leaseEvents),
				Logger:            h.Log,
			}
		},
		func(w *watch.Cache, a *ownerLiveness) *balance.Balancer {
			return &balance.Balancer{Zone: h.Settings.FailureDomain, Regions: h.Settings.Regions, Views: w, HasOwner: a.ordered}
		},
		func(w *watch.Cache) *ownerLiveness { return &ownerLiveness{self: h.Settings.HostName, cache: w} },
		h.newElector,
		func(e *platform.EngineClient, t *zone.Elector, w *watch.Cache, b *balance.Balancer) *adapter.Controller {
			return &adapter.Controller{
				Host:     h.Settings.HostName,
				Regions:  h.Settings.Regions,
				Engines:  e,
				Leases:   t,
				Views:    w,
				Balancer: b,
				Log:      h.Log,
			}
		},
		func(w *watch.Cache) *retry.WindowBudget {
			return &retry.WindowBudget{
				Window:     h.Settings.Repeats.Window,
				RetryRatio: h.Settings.Repeats.Share * repeatMargin,
				MinRetries: h.Settings.Repeats.Slack * repeatMargin,
				HostCount:  func() int { return len(w.View().Hosts) },
			}
		},
		func() *backend.ConnectionPool { return &backend.ConnectionPool{} },
		func(w *watch.Cache, t *zone.Elector) (*metrics.Recorder, error) {
			r := &metrics.Recorder{}
			if err := r.Start(); err != nil {
				return nil, err
			}
			return r, registerBeliefs(r.Meter(), w, t)
		},
		func(w *watch.Cache, b *balance.Balancer, o *adapter.Controller, c *peer.Client, r *retry.WindowBudget, a *ownerLiveness, m *metrics.Recorder) *forward.Forwarder {
			region := h.Settings.Regions[h.Settings.FailureDomain]
			placer := &placer{self: h.Settings.HostName, region: region, cache: w, controller: o, client: c, owners: a}
			return &forward.Forwarder{Views: w, Balancer: b, Placer: placer, RetryBudget: r, Recorder: &recorder{figures: m}, Log: h.Log}
		},
		h.newPeerServer,
		h.newServer,
	}
}

func (h *Host) newStoreReader(s *platform.Store, w *watch.Cache, t *zone.Elector) *watch.StoreReader {
	return &watch.StoreReader{
		Store:          s,
		Cache:          w,
		ErrHistoryGone: platform.ErrHistoryGone,
		IsZoneOwner:    t.OwnsAnyZone,
		LivenessTable:  platform.ServerTable,
		LargeTable:     platform.OperatorTable,
		Log:            h.Log,
	}
}

func (h *Host) newFollower(w *watch.Cache, c *peer.Client, b *balance.Balancer, a *ownerLiveness) *watch.Follower {
	a.follower = &watch.Follower{
		Self:        h.Settings.HostName,
		Zone:        h.Settings.FailureDomain,
		Region:      h.Settings.Regions[h.Settings.FailureDomain],
		Cache:       w,
		Peers:       c,
		Residencies: b,
		Log:         h.Log,
	}
	return a.follower
}

func (h *Host) newElector(s *platform.Store, k *lease.Manager, w *watch.Cache, a *ownerLiveness) *zone.Elector {
	a.elector = &zone.Elector{
		Host: site.Host{
			Name:    h.Settings.HostName,
			Start:   h.Start,
			Address: h.Settings.PeerAddress.String(),
			Zone:    h.Settings.FailureDomain,
			Region:  h.Settings.Regions[h.Settings.FailureDomain],
		},
		Leases:          k,
		LeaseEvents:     k.Events,
		Views:           w,
		Owners:          a,
		Table:           s,
		FirstOrderDelay: h.Settings.OrderPause,
		LinkMegabits:    h.Settings.LinkMegabits,
		Log:             h.Log,
	}
	return a.elector
}

func (h *Host) newPeerServer(w *watch.Cache, o *adapter.Controller, t *zone.Elector) (*peer.Server, error) {
	listener, err := net.Listen("tcp", h.Settings.PeerAddress.String())
	if err != nil {
		return nil, trace.Wrap(err, "listen for entry hosts")
	}
	return &peer.Server{Listener: listener, ZoneHandler: &zoneHandler{cache: w, controller: o, elector: t}}, nil
}

func (h *Host) newServer(f *forward.Forwarder, w *watch.Cache, p *backend.ConnectionPool, m *metrics.Recorder) (*front.Server, error) {
	callers, err := net.Listen("tcp", h.Settings.CallerAddress.String())
	if err != nil {
		return nil, trace.Wrap(err, "listen for callers")
	}
	checks, err := net.Listen("tcp", h.Settings.ReadyAddress.String())
	if err != nil {
		_ = callers.Close()
		return nil, trace.Wrap(err, "listen for checks")
	}
	server := &front.Server{
		Listener:        callers,
		ReadyListener:   checks,
		Metrics:         m.Handler(),
		Forwarder:       f,
		Views:           w,
		ConnectionPool:  p,
		ShutdownTimeout: h.Settings.GraceTime - stopMargin,
		Log:             h.Log,
	}
	if !h.Settings.MetricsAddress.IsValid() {
		return server, nil
	}
	if server.MetricsListener, err = net.Listen("tcp", h.Settings.MetricsAddress.String()); err != nil {
		_ = callers.Close()
		_ = checks.Close()
		return nil, trace.Wrap(err, "listen for metrics")
	}
	return server, nil
}
