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
	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
	"github.com/persimmonmux/persimmonmux/internal/coordination/completion"
	"github.com/persimmonmux/persimmonmux/internal/coordination/organisation"
	"github.com/persimmonmux/persimmonmux/internal/coordination/quarantine"
	"github.com/persimmonmux/persimmonmux/internal/coordination/quota"
	"github.com/persimmonmux/persimmonmux/platform"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/transport/backend"
	"github.com/persimmonmux/persimmonmux/transport/front"
	"github.com/persimmonmux/persimmonmux/transport/metrics"
	"github.com/persimmonmux/persimmonmux/transport/peer"
)

const (
	// leaseDuration is how long the lease of a zone lasts after a renewal. It is
	// longer than the usual outages of the store, because no host can take a lease
	// over while the store is unavailable. While a zone has no owner, the engines of
	// other zones load the adapters that requests need.
	leaseDuration = 12 * time.Second
	// leaseRenewalInterval is the time between two renewals of a lease.
	leaseRenewalInterval = 2500 * time.Millisecond
	// leaseSafetyMargin is how long before its end a lease is no longer valid, and how
	// much longer than leaseDuration other hosts wait before they take it over.
	leaseSafetyMargin = 500 * time.Millisecond
	// leaseEventCapacity is the number of lease events that the queue between the
	// lease manager and the elector holds. Few occur at once.
	leaseEventCapacity = 64
	// storeTimeout bounds one read or write of a lease in the store.
	storeTimeout = 1300 * time.Millisecond
	// shutdownMargin is the part of the grace time that requests in flight may not
	// use, so that the duties can still close.
	shutdownMargin = 700 * time.Millisecond
	// retryBudgetShare is the share of the bound on repeated sends that a host uses.
	// It is below 1 because each host counts on its own and the windows of the hosts
	// do not begin together.
	retryBudgetShare = 0.8
	// dialTimeout bounds the opening of a connection to the store or to an engine.
	dialTimeout = 500 * time.Millisecond
)

// parts holds the components of a front host that run as duties or have to be closed.
// The dig container sets the fields.
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
	Quarantine     *quarantine.Quarantine
	Completions    *completion.Notifier
	Organisations  *organisation.Directory
	Quotas         *quota.Limiter
	PeerServer     *peer.Server
	Recorder       *metrics.Recorder
	Server         *front.Server
}

// A namedRunner is a duty with the name under which log lines and errors show it.
type namedRunner struct {
	name   string
	runner runner
}

// duties returns the duties in the order of their start. While a duty closes, it uses
// only duties that come before it.
func (p *parts) duties() []namedRunner {
	return []namedRunner{
		{"watcher", p.Cache},
		{"reader", p.StoreReader},
		{"leases", p.Leases},
		{"tenant", p.Elector},
		{"follower", p.Follower},
		{"owner", p.Controller},
		{"quarantine", p.Quarantine},
		{"completions", p.Completions},
		{"organisations", p.Organisations},
		{"quotas", p.Quotas},
		{"peer-server", p.PeerServer},
		{"front", p.Server},
	}
}

// closeClients closes the clients and the recorder, which no duty owns.
func (p *parts) closeClients() {
	_ = p.PeerClient.Close()
	_ = p.Store.Close()
	_ = p.Engines.Client.Close()
	_ = p.ConnectionPool.Close()
	_ = p.Recorder.Close()
}

// providers returns the constructors from which dig builds the parts.
func (h *Host) providers() []any {
	return []any{
		func() *platform.Store {
			return &platform.Store{
				Address: h.Settings.PlatformAddress.String(),
				Client:  &backend.Client{DialTimeout: dialTimeout},
			}
		},
		h.newBufferQuota,
		func(balancer *balance.Balancer, buffers *buffering.Quota) *platform.EngineClient {
			return &platform.EngineClient{Client: &backend.Client{DialTimeout: dialTimeout}, BufferQuota: buffers, Recorder: balancer}
		},
		func() *peer.Client {
			return &peer.Client{FailureDomain: fleet.FailureDomainName(h.Settings.FailureDomain)}
		},
		h.newCache,
		h.newStoreReader,
		h.newFollower,
		h.newLeases,
		func(cache *watch.Cache, owners *ownerLiveness) *balance.Balancer {
			return &balance.Balancer{Zone: h.Settings.FailureDomain, Regions: h.Settings.Regions, Views: cache, HasOwner: owners.hasOrderingOwner}
		},
		func(cache *watch.Cache) *ownerLiveness {
			return &ownerLiveness{self: h.Settings.HostName, cache: cache}
		},
		h.newElector,
		h.newController,
		h.newRetryBudget,
		func(cache *watch.Cache, client *peer.Client) *quarantine.Quarantine {
			return &quarantine.Quarantine{Self: h.Settings.HostName, Start: h.Start, Views: cache, Prober: backend.Prober{}, Peers: client, Log: h.Log}
		},
		func(cache *watch.Cache, controller *adapter.Controller, client *peer.Client) *completion.Notifier {
			return &completion.Notifier{Self: h.Settings.HostName, Views: cache, Owner: controller, Peers: client}
		},
		func(cache *watch.Cache, reader *watch.StoreReader) *organisation.Directory {
			return &organisation.Directory{Views: cache, Source: &desiredStateSource{cache: cache, reader: reader}, Log: h.Log}
		},
		h.newGranter,
		h.newLimiter,
		func() *backend.ConnectionPool { return &backend.ConnectionPool{} },
		newRecorder,
		h.newForwarder,
		h.newPeerServer,
		h.newServer,
	}
}

func (h *Host) newCache() *watch.Cache {
	return &watch.Cache{
		Decoder:   platform.Decoder{},
		Tables:    []site.Table{platform.OperatorTable, zone.HostTable, platform.ServerTable},
		SlowTable: zone.HostTable,
		Log:       h.Log,
	}
}

func (h *Host) newStoreReader(store *platform.Store, cache *watch.Cache, elector *zone.Elector) *watch.StoreReader {
	return &watch.StoreReader{
		Store:          store,
		Cache:          cache,
		ErrHistoryGone: platform.ErrHistoryGone,
		IsZoneOwner:    elector.OwnsAnyZone,
		LivenessTable:  platform.ServerTable,
		LargeTable:     platform.OperatorTable,
		Log:            h.Log,
	}
}

func (h *Host) newFollower(cache *watch.Cache, client *peer.Client, balancer *balance.Balancer, owners *ownerLiveness) *watch.Follower {
	owners.follower = &watch.Follower{
		Self:        h.Settings.HostName,
		Zone:        h.Settings.FailureDomain,
		Region:      h.Settings.Regions[h.Settings.FailureDomain],
		Cache:       cache,
		Peers:       followClient{client},
		Residencies: balancer,
		Log:         h.Log,
	}
	return owners.follower
}

func (h *Host) newLeases(store *platform.Store) *lease.Manager {
	return &lease.Manager{
		Host:              fleet.HostName(h.Settings.HostName),
		Start:             fleet.StartNumber(h.Start),
		PredecessorsEnded: true,
		Table:             store,
		Duration:          leaseDuration,
		RenewalInterval:   leaseRenewalInterval,
		SafetyMargin:      leaseSafetyMargin,
		TableTimeout:      storeTimeout,
		SuspendedDuration: newSuspension().Total,
		Events:            ring.New[lease.Event](leaseEventCapacity),
		Logger:            h.Log,
	}
}

func (h *Host) newElector(store *platform.Store, leases *lease.Manager, cache *watch.Cache, owners *ownerLiveness) *zone.Elector {
	owners.elector = &zone.Elector{
		Host: site.Host{
			Name:    h.Settings.HostName,
			Start:   h.Start,
			Address: h.Settings.PeerAddress.String(),
			Zone:    h.Settings.FailureDomain,
			Region:  h.Settings.Regions[h.Settings.FailureDomain],
		},
		Leases:          leases,
		LeaseEvents:     leases.Events,
		Views:           cache,
		Owners:          owners,
		Table:           store,
		FirstOrderDelay: h.Settings.OrderPause,
		LinkMegabits:    h.Settings.LinkMegabits,
		Log:             h.Log,
	}
	return owners.elector
}

func (h *Host) newController(engines *platform.EngineClient, elector *zone.Elector, cache *watch.Cache, balancer *balance.Balancer) *adapter.Controller {
	return &adapter.Controller{
		Host:     h.Settings.HostName,
		Regions:  h.Settings.Regions,
		Engines:  engines,
		Leases:   elector,
		Views:    cache,
		Balancer: balancer,
		Log:      h.Log,
	}
}

func (h *Host) newRetryBudget(cache *watch.Cache) *retry.WindowBudget {
	return &retry.WindowBudget{
		Window:     h.Settings.Repeats.Window,
		RetryRatio: h.Settings.Repeats.Share * retryBudgetShare,
		MinRetries: h.Settings.Repeats.Slack * retryBudgetShare,
		HostCount:  func() int { return len(cache.View().Hosts) },
	}
}

func (h *Host) newPeerServer(
	cache *watch.Cache,
	controller *adapter.Controller,
	elector *zone.Elector,
	balancer *balance.Balancer,
	blocked *quarantine.Quarantine,
	granter *quota.Granter,
) (*peer.Server, error) {
	listener, err := net.Listen("tcp", h.Settings.PeerAddress.String())
	if err != nil {
		return nil, trace.Wrap(err, "listen for entry hosts")
	}
	return &peer.Server{
		Listener:          listener,
		ZoneHandler:       &zoneHandler{cache: cache, controller: controller, elector: elector, balancer: balancer},
		QuarantineHandler: blocked,
		QuotaHandler:      granter,
	}, nil
}

func (h *Host) newServer(
	forwarder *forward.Forwarder,
	cache *watch.Cache,
	pool *backend.ConnectionPool,
	buffers *buffering.Quota,
	recorder *metrics.Recorder,
) (*front.Server, error) {
	callers, err := net.Listen("tcp", h.Settings.CallerAddress.String())
	if err != nil {
		return nil, trace.Wrap(err, "listen for callers")
	}
	checks, err := net.Listen("tcp", h.Settings.ReadyAddress.String())
	if err != nil {
		_ = callers.Close()
		return nil, trace.Wrap(err, "listen for readiness checks")
	}
	server := &front.Server{
		Listener:        callers,
		ReadyListener:   checks,
		Metrics:         recorder.Handler(),
		Forwarder:       forwarder,
		Views:           cache,
		ConnectionPool:  pool,
		BufferQuota:     buffers,
		ShutdownTimeout: h.Settings.GraceTime - shutdownMargin,
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
