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
	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
	"github.com/persimmonmux/persimmonmux/platform"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/transport/backend"
	"github.com/persimmonmux/persimmonmux/transport/engine"
	"github.com/persimmonmux/persimmonmux/transport/entry"
	"github.com/persimmonmux/persimmonmux/transport/hostlist"
	"github.com/persimmonmux/persimmonmux/transport/metrics"
	"github.com/persimmonmux/persimmonmux/transport/peer"
	"github.com/persimmonmux/persimmonmux/transport/service"
)

// leaseEventCapacity is the number of lease events that the queue from the lease manager
// to the ownership manager holds.
const leaseEventCapacity = 1024

// cleanupLease is the lease whose holder removes expired claims.
const cleanupLease = lease.Name("claim-cleanup")

// providers returns the constructors from which dig builds the parts.
func (h *Host) providers() []any {
	return []any{
		h.newSelf,
		h.newListeners,
		func() *platform.Store {
			return &platform.Store{Address: h.Settings.PlatformAddress.String(), Client: &backend.Client{}}
		},
		func() *hostlist.Client { return &hostlist.Client{Address: h.Settings.PlatformAddress.String()} },
		func() *peer.Client { return &peer.Client{FailureDomain: h.Settings.FailureDomain} },
		h.newBufferQuota,
		func(quota *buffering.Quota) *engine.Client { return &engine.Client{BufferQuota: quota} },
		h.newServiceClient,
		func() *revisionWatcher { return &revisionWatcher{} },
		h.newMonitor,
		func(self fleet.Host, store *platform.Store, peerClient *peer.Client, monitor *membership.Monitor) *revision.Distributor {
			return &revision.Distributor{Self: self, Table: store, Snapshots: &snapshotStore{objectStore: store}, Peers: peerClient, Members: monitor}
		},
		h.newLeases,
		func(monitor *membership.Monitor) *addressBook { return &addressBook{monitor: monitor} },
		func(peerClient *peer.Client, addresses *addressBook) *releaser {
			return newReleaser(peerClient, addresses, h.Log)
		},
		h.newShare,
		h.newOwnership,
		h.newGrantHolder,
		h.newRegistry,
		func(store *platform.Store, leases *lease.Manager) *claim.Cleaner {
			return &claim.Cleaner{Table: store, Leadership: &leaseLeadership{leases: leases, name: cleanupLease}}
		},
		func() *retry.Budget { return &retry.Budget{} },
		func(distributor *revision.Distributor) *admission.Controller {
			return &admission.Controller{Configuration: distributor, ConcurrencyLimit: h.Settings.Limits.HostConcurrency}
		},
		h.newRouter,
		h.newRouteUpdater,
		h.newRecorder,
		func(self fleet.Host, store *platform.Store, monitor *membership.Monitor) *dailyreport.Recorder {
			return &dailyreport.Recorder{Host: self, Store: store, Members: &liveHosts{monitor: monitor}, Logger: h.Log}
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

// newListeners opens the listeners for callers and for other entry hosts, or takes those
// that the host was given.
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

// listen returns the given listener or, if that is nil, opens one on the address.
func listen(given net.Listener, address string) (net.Listener, error) {
	if given != nil {
		return given, nil
	}
	return net.Listen("tcp", address)
}

func (h *Host) newServiceClient(distributor *revision.Distributor, monitor *membership.Monitor, quota *buffering.Quota) *service.Client {
	return &service.Client{
		BufferQuota:   quota,
		Configuration: distributor.Current,
		Leaving:       func(server string) bool { return monitor.View().ServerLeaving(server, 0) },
		FailureDomain: h.Settings.FailureDomain,
	}
}

func (h *Host) newMonitor(self fleet.Host, peerClient *peer.Client, hostList *hostlist.Client, watcher *revisionWatcher) *membership.Monitor {
	var seeds []string
	for _, address := range h.Settings.PeerAddresses {
		seeds = append(seeds, address.String())
	}
	return &membership.Monitor{Self: self, Seeds: seeds, Peers: peerClient, HostList: hostList, Revisions: watcher}
}

func (h *Host) newLeases(self fleet.Host, store *platform.Store) (*lease.Manager, *ring.Ring[lease.Event]) {
	events := ring.New[lease.Event](leaseEventCapacity)
	return &lease.Manager{
		Host:            self.Name,
		Start:           self.Start,
		Table:           store,
		Duration:        h.Settings.Timings.LeaseDuration,
		RenewalInterval: h.Settings.Timings.LeaseRenewal,
		SafetyMargin:    h.Settings.Timings.LeaseMargin,
		Events:          events,
		Logger:          h.Log,
	}, events
}

func (h *Host) newOwnership(
	self fleet.Host,
	leases *lease.Manager,
	events *ring.Ring[lease.Event],
	monitor *membership.Monitor,
	distributor *revision.Distributor,
	peerClient *peer.Client,
	engineClient *engine.Client,
	share *loadShare,
) *ownership.Manager {
	manager := &ownership.Manager{
		Host:           self,
		Leases:         leases,
		Events:         events,
		FailureDomain:  &failureDomain{name: self.FailureDomain, monitor: monitor, distributor: distributor},
		HandOverSender: &successorRoute{client: peerClient},
		Engines:        engineClient,
		Budget:         share,
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
	share.ownership = manager
	return manager
}

// newGrantHolder returns the holder of this host's grants. It also sets HoldingsCollector of the
// ownership manager, which cannot be set earlier because the manager queries the holder
// of its own host too.
func (h *Host) newGrantHolder(self fleet.Host, manager *ownership.Manager, peerClient *peer.Client, monitor *membership.Monitor, addresses *addressBook, releaser *releaser) *ownership.GrantHolder {
	holder := &ownership.GrantHolder{
		Owners: &ownerRoute{self: self.Name, ownership: manager, client: peerClient, monitor: monitor, addresses: addresses, releaser: releaser},
	}
	manager.HoldingsCollector = &holderRoute{self: self, holder: holder, client: peerClient, monitor: monitor}
	return holder
}

func (h *Host) newRegistry(self fleet.Host, store *platform.Store, peerClient *peer.Client, addresses *addressBook) *claim.Registry {
	return &claim.Registry{Host: self.Name, Start: self.Start, Table: store, Peers: &claimRoute{client: peerClient, addresses: addresses}}
}

func (h *Host) newRouter() *routing.Router {
	return &routing.Router{
		FailureDomain: h.Settings.FailureDomain,
		Region:        h.Settings.Region,
		StallWeight:   h.Settings.Decisions.StallWeight,
		BatchWeight:   h.Settings.Decisions.BatchWeight,
	}
}

func (h *Host) newRouteUpdater(router *routing.Router, monitor *membership.Monitor, distributor *revision.Distributor, manager *ownership.Manager) *routeUpdater {
	return &routeUpdater{
		router:      router,
		monitor:     monitor,
		distributor: distributor,
		ownership:   manager,
		domain:      h.Settings.FailureDomain,
		region:      h.Settings.Region,
	}
}

func (h *Host) newRecorder(admissions *admission.Controller) (*metrics.Recorder, error) {
	recorder := &metrics.Recorder{InFlight: admissions.InFlight}
	return recorder, trace.Wrap(recorder.Start())
}

func (h *Host) newDispatcher(
	self fleet.Host,
	admissions *admission.Controller,
	claims *claim.Registry,
	router *routing.Router,
	holder *ownership.GrantHolder,
	engineClient *engine.Client,
	serviceClient *service.Client,
	retries *retry.Budget,
	recorder *metrics.Recorder,
	dailyReport *dailyreport.Recorder,
) *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		Host:       self.Name,
		Admission:  admissions,
		Claims:     claims,
		Router:     router,
		Grants:     holder,
		Engines:    engineClient,
		Services:   serviceClient,
		Retries:    retries,
		Recorder:   recorders{recorder, retries, dailyReport},
		GrantLimit: h.Settings.Timings.GrantLimit,
	}
}

func (h *Host) newPeerServer(
	sockets struct {
		dig.In
		Peer net.Listener `name:"peer"`
	},
	self fleet.Host,
	monitor *membership.Monitor,
	manager *ownership.Manager,
	holder *ownership.GrantHolder,
	distributor *revision.Distributor,
	claims *claim.Registry,
	share *loadShare,
) *peer.Server {
	return &peer.Server{
		Listener:             sockets.Peer,
		HeartbeatHandler:     monitor,
		OwnershipHandler:     &ownershipHandler{ownership: manager},
		HoldingsHandler:      &holdingsHandler{holder: holder, start: self.Start},
		ConfigurationHandler: distributor,
		ClaimHandler:         &claimHandler{registry: claims, start: self.Start},
		LoadRateHandler:      &loadRateHandler{share: share},
		Log:                  func(err error) { h.Log.Debug().Err(err).Msg("connection of an entry host ended") },
	}
}

func (h *Host) newServer(
	sockets struct {
		dig.In
		Caller net.Listener `name:"caller"`
	},
	distributor *revision.Distributor,
	dispatcher *dispatch.Dispatcher,
	recorder *metrics.Recorder,
	quota *buffering.Quota,
) *entry.Server {
	return &entry.Server{
		Listener:      sockets.Caller,
		Dispatcher:    dispatcher,
		Configuration: distributor,
		Metrics:       recorder.Handler(),
		Log:           h.Log,
		GraceTime:     h.Settings.Limits.GraceTime,
		BodyLimit:     h.Settings.Limits.BodySize,
		HeaderTimeout: 10 * time.Second,
		BufferQuota:   quota,
	}
}

// newShare returns the host's share of the load rate and the allocator. The share is the
// failure domain's rate times the share of the domain's engines that the host owns. The
// allocator works while this host holds the allocator lease.
func (h *Host) newShare(
	distributor *revision.Distributor,
	leases *lease.Manager,
	monitor *membership.Monitor,
	peerClient *peer.Client,
	addresses *addressBook,
) (*loadShare, *budget.Allocator) {
	share := &loadShare{
		self:        h.Settings.HostName,
		domain:      h.Settings.FailureDomain,
		rate:        h.Settings.Decisions.LoadRateShare,
		addresses:   addresses,
		client:      peerClient,
		distributor: distributor,
	}
	share.share = &budget.Share{Host: h.Settings.HostName, Rate: share.ownRate, Permits: share}
	lenders := &lenderRoute{self: h.Settings.HostName, leases: leases, monitor: monitor, client: peerClient, addresses: addresses, share: share}
	share.allocator = budget.NewAllocator(lenders, lenders)
	return share, share.allocator
}
