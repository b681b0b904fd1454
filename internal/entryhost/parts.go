package entryhost

import (
	"net"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/dig"

	"github.com/persimmonmux/persimmonmux/coordination/admission"
	"github.com/persimmonmux/persimmonmux/coordination/budget"
	"github.com/persimmonmux/persimmonmux/coordination/claim"
	"github.com/persimmonmux/persimmonmux/coordination/dailyreport"
	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/coordination/membership"
	"github.com/persimmonmux/persimmonmux/coordination/ownership"
	"github.com/persimmonmux/persimmonmux/coordination/placement"
	"github.com/persimmonmux/persimmonmux/coordination/retry"
	"github.com/persimmonmux/persimmonmux/coordination/revision"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/coordination/routing"
	"github.com/persimmonmux/persimmonmux/platform"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/transport/backend"
	"github.com/persimmonmux/persimmonmux/transport/engine"
	"github.com/persimmonmux/persimmonmux/transport/entry"
	"github.com/persimmonmux/persimmonmux/transport/hostlist"
	"github.com/persimmonmux/persimmonmux/transport/metrics"
	"github.com/persimmonmux/persimmonmux/transport/operator"
	"github.com/persimmonmux/persimmonmux/transport/peer"
	"github.com/persimmonmux/persimmonmux/transport/service"
)

// eventRing is the room for events between two duties.
const eventRing = 1024

// cleanupLease is the lease of the host that removes expired claims.
const cleanupLease = lease.Name("claim-cleanup")

// listeners are the sockets of a host.
type listeners struct {
	dig.Out

	Caller net.Listener `name:"caller"`
	Peer   net.Listener `name:"peer"`
}

// parts are everything that a host consists of.
type parts struct {
	dig.In

	Self            fleet.Host
	CallerListener  net.Listener `name:"caller"`
	PeerListener    net.Listener `name:"peer"`
	Store           *platform.Store
	HostList        *hostlist.Client
	PeerClient      *peer.Client
	EngineClient    *engine.Client
	ServiceClient   *service.Client
	Monitor         *membership.Monitor
	Distributor     *revision.Distributor
	Leases          *lease.Manager
	Ownership       *ownership.Manager
	GrantHolder     *ownership.GrantHolder
	Releaser        *releaser
	Allocator       *budget.Allocator
	Registry        *claim.Registry
	Cleaner         *claim.Cleaner
	Retries         *retry.Budget
	Admission       *admission.Controller
	Router          *routing.Router
	RouteUpdater    *routeUpdater
	Recorder        *metrics.Recorder
	DailyReport     *dailyreport.Recorder
	PeerServer      *peer.Server
	Server          *entry.Server
	Dispatcher      *dispatch.Dispatcher
	RevisionWatcher *revisionWatcher
	OperatorServer  *operator.Server
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
		{"peer-server", p.PeerServer},
		{"membership", p.Monitor},
		{"daybook", p.DailyReport},
		{"revision", p.Distributor},
		{"leases", p.Leases},
		{"releaser", p.Releaser},
		{"load-budget", p.Allocator},
		{"grants", p.GrantHolder},
		{"engines", p.Ownership},
		{"retries", p.Retries},
		{"claims", p.Registry},
		{"claim-cleanup", p.Cleaner},
		{"routes", p.RouteUpdater},
		{"callers", p.Server},
		{"operators", p.OperatorServer},
	}
}

func (p *parts) closeClients() {
	_ = p.Dispatcher.Close()
	_ = p.EngineClient.Close()
	_ = p.ServiceClient.Close()
	_ = p.PeerClient.Close()
	_ = p.Store.Close()
	_ = p.HostList.Close()
	_ = p.Recorder.Close()
}

// A revisionWatcher breaks the cycle between membership, which tells of
// revisions, and the distributor, which needs the members.
type revisionWatcher struct {
	distributor *revision.Distributor
}

// Revision returns the revision in force, or 0.
func (w *revisionWatcher) Revision() configuration.Revision {
	return w.distributor.Revision()
}

// ObserveRevision tells that another host has a higher revision in force.
func (w *revisionWatcher) ObserveRevision(host fleet.Host, seen configuration.Revision) {
	w.distributor.ObserveRevision(host, seen)
}

// connect closes the cycles that constructors cannot.
func (p *parts) connect() {
	p.RevisionWatcher.distributor = p.Distributor
}

// providers returns the constructors of all parts.
func (h *Host) providers() []any {
	return []any{
		h.newSelf,
		h.newListeners,
		func() *platform.Store {
			return &platform.Store{Address: h.Settings.PlatformAddress.String(), Client: &backend.Client{}}
		},
		func() *hostlist.Client { return &hostlist.Client{Address: h.Settings.PlatformAddress.String()} },
		func() *peer.Client { return &peer.Client{FailureDomain: h.Settings.FailureDomain} },
		func() *engine.Client { return &engine.Client{} },
		func(d *revision.Distributor, m *membership.Monitor) *service.Client {
			return &service.Client{
				Configuration: d.Current,
				Leaving:       func(server string) bool { return m.View().ServerLeaving(server, 0) },
				FailureDomain: h.Settings.FailureDomain,
			}
		},
		func() *revisionWatcher { return &revisionWatcher{} },
		h.newMonitor,
		func(self fleet.Host, s *platform.Store, c *peer.Client, m *membership.Monitor) *revision.Distributor {
			return &revision.Distributor{Self: self, Table: s, Snapshots: &snapshotStore{objects: s}, Peers: c, Members: m}
		},
		h.newLeases,
		func(m *membership.Monitor) *addressBook { return &addressBook{monitor: m} },
		func(c *peer.Client, b *addressBook) *releaser { return newReleaser(c, b, h.Log) },
		h.newShare,
		h.newOwnership,
		h.newGrantHolder,
		h.newRegistry,
		func(s *platform.Store, k *lease.Manager) *claim.Cleaner {
			return &claim.Cleaner{Table: s, Leadership: &leaseLeadership{leases: k, name: cleanupLease}}
		},
		func() *retry.Budget { return &retry.Budget{} },
		func(d *revision.Distributor) *admission.Controller {
			return &admission.Controller{Configuration: d, ConcurrencyLimit: h.Settings.Limits.HostConcurrency}
		},
		func() *routing.Router {
			return &routing.Router{
				FailureDomain: h.Settings.FailureDomain,
				Region:        h.Settings.Region,
				StallWeight:   h.Settings.Decisions.StallWeight,
				BatchWeight:   h.Settings.Decisions.BatchWeight,
			}
		},
		func(r *routing.Router, m *membership.Monitor, d *revision.Distributor, g *ownership.Manager) *routeUpdater {
			return &routeUpdater{
				router:      r,
				monitor:     m,
				distributor: d,
				ownership:   g,
				domain:      h.Settings.FailureDomain,
				region:      h.Settings.Region,
			}
		},
		h.newRecorder,
		func(self fleet.Host, s *platform.Store, m *membership.Monitor) *dailyreport.Recorder {
			return &dailyreport.Recorder{Host: self, Store: s, Members: &liveHosts{monitor: m}, Logger: h.Log}
		},
		h.newDispatcher,
		h.newPeerServer,
		h.newServer,
		h.newOperatorServer,
	}
}

func (h *Host) newSelf(sockets struct {
	dig.In
	Peer net.Listener `name:"peer"`
}) fleet.Host {
	return fleet.Host{
		Name:          h.Settings.HostName,
		Start:         h.Start,
		FailureDomain: h.Settings.FailureDomain,
		Region:        h.Settings.Region,
		PeerAddress:   sockets.Peer.Addr().String(),
		State:         fleet.HostLive,
	}
}

func (h *Host) newListeners() (listeners, error) {
	caller, err := listen(h.CallerListener, h.Settings.CallerAddress.String())
	if err != nil {
		return listeners{}, trace.Wrap(err, "listen for callers")
	}
	peers, err := listen(h.PeerListener, h.Settings.PeerAddress.String())
	if err != nil {
		_ = caller.Close()
		return listeners{}, trace.Wrap(err, "listen for entry hosts")
	}
	return listeners{Caller: caller, Peer: peers}, nil
}

func listen(given net.Listener, address string) (net.Listener, error) {
	if given != nil {
		return given, nil
	}
	return net.Listen("tcp", address)
}

func (h *Host) newMonitor(self fleet.Host, c *peer.Client, l *hostlist.Client, w *revisionWatcher) *membership.Monitor {
	var seeds []string
	for _, address := range h.Settings.PeerAddresses {
		seeds = append(seeds, address.String())
	}
	return &membership.Monitor{Self: self, Seeds: seeds, Peers: c, HostList: l, Revisions: w}
}

func (h *Host) newLeases(self fleet.Host, s *platform.Store) (*lease.Manager, *ring.Ring[lease.Event]) {
	events := ring.New[lease.Event](eventRing)
	return &lease.Manager{
		Host:            self.Name,
		Start:           self.Start,
		Table:           s,
		Duration:        h.Settings.Timings.LeaseDuration,
		RenewalInterval: h.Settings.Timings.LeaseRenewal,
		SafetyMargin:    h.Settings.Timings.LeaseMargin,
		Events:          events,
		Logger:          h.Log,
	}, events
}

func (h *Host) newOwnership(
	self fleet.Host,
	k *lease.Manager,
	events *ring.Ring[lease.Event],
	m *membership.Monitor,
	d *revision.Distributor,
	c *peer.Client,
	e *engine.Client,
	share *loadShare,
) *ownership.Manager {
	group := &ownership.Manager{
		Host:          self,
		Leases:        k,
		Events:        events,
		FailureDomain: &failureDomain{name: self.FailureDomain, monitor: m, distributor: d},
		HandOvers:     &successorRoute{client: c},
		Engines:       e,
		Budget:        share,
		Placement: &placement.Policy{
			StallWeight: h.Settings.Decisions.StallWeight,
			BatchWeight: h.Settings.Decisions.BatchWeight,
		},
		Settings: ownership.Settings{
			IsolatedServiceLimit: h.Settings.Timings.IsolatedServiceLimit,
			GrantLimit:           h.Settings.Timings.GrantLimit,
		},
		Logger: h.Log,
	}
	share.ownership = group
	return group
}

// newGrantHolder also gives the group its way to ask holders, because a group asks
// the holder of its own host too.
func (h *Host) newGrantHolder(self fleet.Host, g *ownership.Manager, c *peer.Client, m *membership.Monitor, b *addressBook, r *releaser) *ownership.GrantHolder {
	holder := &ownership.GrantHolder{
		Owners: &ownerRoute{self: self.Name, ownership: g, client: c, monitor: m, book: b, releaser: r},
	}
	g.Holders = &holderRoute{self: self, holder: holder, client: c, monitor: m}
	return holder
}

func (h *Host) newRegistry(self fleet.Host, s *platform.Store, c *peer.Client, b *addressBook) *claim.Registry {
	return &claim.Registry{Host: self.Name, Start: self.Start, Table: s, Peers: &claimRoute{client: c, book: b}}
}

func (h *Host) newRecorder(g *admission.Controller) (*metrics.Recorder, error) {
	recorder := &metrics.Recorder{InFlight: g.InFlight}
	return recorder, trace.Wrap(recorder.Start())
}

func (h *Host) newDispatcher(
	self fleet.Host,
	g *admission.Controller,
	c *claim.Registry,
	r *routing.Router,
	holder *ownership.GrantHolder,
	e *engine.Client,
	s *service.Client,
	retries *retry.Budget,
	recorder *metrics.Recorder,
	book *dailyreport.Recorder,
) *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		Host:       self.Name,
		Admission:  g,
		Claims:     c,
		Router:     r,
		Grants:     holder,
		Engines:    e,
		Services:   s,
		Retries:    retries,
		Recorder:   recorders{recorder, retries, book},
		GrantLimit: h.Settings.Timings.GrantLimit,
	}
}

func (h *Host) newPeerServer(
	sockets struct {
		dig.In
		Peer net.Listener `name:"peer"`
	},
	self fleet.Host,
	m *membership.Monitor,
	g *ownership.Manager,
	holder *ownership.GrantHolder,
	d *revision.Distributor,
	c *claim.Registry,
	share *loadShare,
) *peer.Server {
	return &peer.Server{
		Listener:             sockets.Peer,
		HeartbeatHandler:     m,
		OwnershipHandler:     &ownerServer{ownership: g},
		HoldingsHandler:      &holderServer{holder: holder, start: self.Start},
		ConfigurationHandler: d,
		ClaimHandler:         &claimServer{registry: c, start: self.Start},
		LoadRateHandler:      &loanServer{share: share},
		Log:                  func(err error) { h.Log.Debug().Err(err).Msg("connection of an entry host ended") },
	}
}

func (h *Host) newServer(
	sockets struct {
		dig.In
		Caller net.Listener `name:"caller"`
	},
	d *revision.Distributor,
	dispatcher *dispatch.Dispatcher,
	recorder *metrics.Recorder,
) *entry.Server {
	return &entry.Server{
		Listener:      sockets.Caller,
		Dispatcher:    dispatcher,
		Configuration: d,
		Metrics:       recorder.Handler(),
		Log:           h.Log,
		GraceTime:     h.Settings.Limits.GraceTime,
		BodyLimit:     h.Settings.Limits.BodySize,
		HeaderTimeout: 10 * time.Second,
	}
}

// newShare returns the host's share of the load rate, which is the failure
// domain's share divided by its engines, and the allocator that works while
// this host holds its lease.
func (h *Host) newShare(
	d *revision.Distributor,
	k *lease.Manager,
	m *membership.Monitor,
	c *peer.Client,
	b *addressBook,
) (*loadShare, *budget.Allocator) {
	share := &loadShare{
		self:        h.Settings.HostName,
		domain:      h.Settings.FailureDomain,
		rate:        h.Settings.Decisions.LoadRateShare,
		book:        b,
		client:      c,
		distributor: d,
	}
	share.share = &budget.Share{Host: h.Settings.HostName, Rate: share.own, Permits: share}
	lenders := &lenderRoute{self: h.Settings.HostName, leases: k, monitor: m, client: c, book: b, share: share}
	share.allocator = budget.NewAllocator(lenders, lenders)
	return share, share.allocator
}
