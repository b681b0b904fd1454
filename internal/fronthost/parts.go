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

	Store      *platform.Store
	Engines    *platform.Engines
	PeerClient *peer.Client
	Pool       *backend.Pool
	Watcher    *watch.Watcher
	Reader     *watch.Reader
	Follower   *watch.Follower
	Keeper     *lease.Keeper
	Tenant     *zone.Tenant
	Owner      *adapter.Owner
	PeerServer *peer.Server
	Recorder   *metrics.Recorder
	Server     *front.Server
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
		{"watcher", p.Watcher},
		{"reader", p.Reader},
		{"leases", p.Keeper},
		{"tenant", p.Tenant},
		{"follower", p.Follower},
		{"owner", p.Owner},
		{"peer-server", p.PeerServer},
		{"front", p.Server},
	}
}

func (p *parts) closeClients() {
	_ = p.PeerClient.Close()
	_ = p.Store.Close()
	_ = p.Engines.Connections.Close()
	_ = p.Pool.Close()
	_ = p.Recorder.Close()
}

// providers returns the constructors of all parts.
func (h *Host) providers() []any {
	return []any{
		func() *platform.Store {
			return &platform.Store{
				Address:     h.Settings.PlatformAddress.String(),
				Connections: &backend.Connections{DialLimit: dialLimit},
			}
		},
		func() *platform.Engines {
			return &platform.Engines{Connections: &backend.Connections{DialLimit: dialLimit}}
		},
		func() *peer.Client { return &peer.Client{Domain: fleet.FailureDomainName(h.Settings.FailureDomain)} },
		func() *watch.Watcher {
			return &watch.Watcher{
				Decoder: platform.Decoder{},
				Tables:  []site.Table{platform.OperatorTable, zone.HostTable, platform.ServerTable},
				Log:     h.Log,
			}
		},
		h.newReader,
		h.newFollower,
		func(s *platform.Store) *lease.Keeper {
			return &lease.Keeper{
				Host:      fleet.HostName(h.Settings.HostName),
				Start:     fleet.StartNumber(h.Start),
				Exclusive: true,
				Table:     s,
				Duration:  leaseDuration,
				Renewal:   leaseRenewal,
				Margin:    leaseMargin,
				Timeout:   storeTimeout,
				Suspended: newSuspension().Total,
				Events:    ring.New[lease.Event](leaseEvents),
				Logger:    h.Log,
			}
		},
		func(w *watch.Watcher, a *aliveness) *balance.Balancer {
			return &balance.Balancer{Zone: h.Settings.FailureDomain, Regions: h.Settings.Regions, Views: w, Ordered: a.ordered}
		},
		func(w *watch.Watcher) *aliveness { return &aliveness{self: h.Settings.HostName, watcher: w} },
		h.newTenant,
		func(e *platform.Engines, t *zone.Tenant, w *watch.Watcher, b *balance.Balancer) *adapter.Owner {
			return &adapter.Owner{
				Host:    h.Settings.HostName,
				Regions: h.Settings.Regions,
				Engines: e,
				Tenure:  t,
				Views:   w,
				Local:   b,
				Log:     h.Log,
			}
		},
		func(w *watch.Watcher) *retry.Window {
			return &retry.Window{
				Length: h.Settings.Repeats.Window,
				Share:  h.Settings.Repeats.Share * repeatMargin,
				Slack:  h.Settings.Repeats.Slack * repeatMargin,
				Hosts:  func() int { return len(w.View().Hosts) },
			}
		},
		func() *backend.Pool { return &backend.Pool{} },
		func(w *watch.Watcher, t *zone.Tenant) (*metrics.Recorder, error) {
			r := &metrics.Recorder{}
			if err := r.Start(); err != nil {
				return nil, err
			}
			return r, registerBeliefs(r.Meter(), w, t)
		},
		func(w *watch.Watcher, b *balance.Balancer, o *adapter.Owner, c *peer.Client, r *retry.Window, a *aliveness, m *metrics.Recorder) *forward.Forwarder {
			region := h.Settings.Regions[h.Settings.FailureDomain]
			placer := &placer{self: h.Settings.HostName, region: region, watcher: w, owner: o, client: c, owners: a}
			return &forward.Forwarder{Views: w, Balancer: b, Placer: placer, Repeats: r, Recorder: &recorder{figures: m}, Log: h.Log}
		},
		h.newPeerServer,
		h.newServer,
	}
}

func (h *Host) newReader(s *platform.Store, w *watch.Watcher, t *zone.Tenant) *watch.Reader {
	return &watch.Reader{
		Store:   s,
		Watcher: w,
		Gone:    platform.ErrHistoryGone,
		Owner:   t.Owns,
		Lively:  platform.ServerTable,
		Bulky:   platform.OperatorTable,
		Log:     h.Log,
	}
}

func (h *Host) newFollower(w *watch.Watcher, c *peer.Client, b *balance.Balancer, a *aliveness) *watch.Follower {
	a.follower = &watch.Follower{
		Self:       h.Settings.HostName,
		Zone:       h.Settings.FailureDomain,
		Region:     h.Settings.Regions[h.Settings.FailureDomain],
		Watcher:    w,
		Neighbors:  c,
		Residences: b,
		Log:        h.Log,
	}
	return a.follower
}

func (h *Host) newTenant(s *platform.Store, k *lease.Keeper, w *watch.Watcher, a *aliveness) *zone.Tenant {
	a.tenant = &zone.Tenant{
		Host: site.Host{
			Name:    h.Settings.HostName,
			Start:   h.Start,
			Address: h.Settings.PeerAddress.String(),
			Zone:    h.Settings.FailureDomain,
			Region:  h.Settings.Regions[h.Settings.FailureDomain],
		},
		Leases:       k,
		Changes:      k.Events,
		Views:        w,
		Owners:       a,
		Table:        s,
		Quarantine:   h.Settings.OrderPause,
		LinkMegabits: h.Settings.LinkMegabits,
		Log:          h.Log,
	}
	return a.tenant
}

func (h *Host) newPeerServer(w *watch.Watcher, o *adapter.Owner, t *zone.Tenant) (*peer.Server, error) {
	listener, err := net.Listen("tcp", h.Settings.PeerAddress.String())
	if err != nil {
		return nil, trace.Wrap(err, "listen for entry hosts")
	}
	return &peer.Server{Listener: listener, Site: &ownedSite{watcher: w, owner: o, tenant: t}}, nil
}

func (h *Host) newServer(f *forward.Forwarder, w *watch.Watcher, p *backend.Pool, m *metrics.Recorder) (*front.Server, error) {
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
		Listener:      callers,
		ReadyListener: checks,
		Metrics:       m.Handler(),
		Forwarder:     f,
		Views:         w,
		Pool:          p,
		StopLimit:     h.Settings.GraceTime - stopMargin,
		Log:           h.Log,
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
