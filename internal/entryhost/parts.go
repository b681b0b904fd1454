package entryhost

import (
	"net"

	"go.uber.org/dig"

	"github.com/persimmonmux/persimmonmux/coordination/admission"
	"github.com/persimmonmux/persimmonmux/coordination/budget"
	"github.com/persimmonmux/persimmonmux/coordination/claim"
	"github.com/persimmonmux/persimmonmux/coordination/dailyreport"
	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/coordination/membership"
	"github.com/persimmonmux/persimmonmux/coordination/ownership"
	"github.com/persimmonmux/persimmonmux/coordination/retry"
	"github.com/persimmonmux/persimmonmux/coordination/revision"
	"github.com/persimmonmux/persimmonmux/coordination/routing"
	"github.com/persimmonmux/persimmonmux/platform"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/transport/engine"
	"github.com/persimmonmux/persimmonmux/transport/entry"
	"github.com/persimmonmux/persimmonmux/transport/hostlist"
	"github.com/persimmonmux/persimmonmux/transport/metrics"
	"github.com/persimmonmux/persimmonmux/transport/operator"
	"github.com/persimmonmux/persimmonmux/transport/peer"
	"github.com/persimmonmux/persimmonmux/transport/service"
)

// listeners are the sockets on which a host serves callers and other entry hosts.
type listeners struct {
	dig.Out

	Caller net.Listener `name:"caller"`
	Peer   net.Listener `name:"peer"`
}

// parts holds the components of an entry host that the host starts, closes or queries.
// The dig container sets the fields.
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

// A namedRunner is a duty with the name under which log lines and errors show it.
type namedRunner struct {
	name   string
	runner runner
}

// duties returns the duties in the order of their start. While a duty closes, it uses
// only duties that come before it.
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

// closeClients closes the dispatcher, the clients and the recorder, which are no duties.
func (p *parts) closeClients() {
	_ = p.Dispatcher.Close()
	_ = p.EngineClient.Close()
	_ = p.ServiceClient.Close()
	_ = p.PeerClient.Close()
	_ = p.Store.Close()
	_ = p.HostList.Close()
	_ = p.Recorder.Close()
}

// A revisionWatcher gives the membership monitor access to the distributor. The monitor
// cannot have the distributor itself, which is built from the monitor.
type revisionWatcher struct {
	distributor *revision.Distributor
}

// Revision returns the revision of the applied configuration, or 0 if there is none.
func (w *revisionWatcher) Revision() configuration.Revision {
	return w.distributor.Revision()
}

// ObserveRevision informs the distributor that another host has applied a higher
// revision.
func (w *revisionWatcher) ObserveRevision(host fleet.Host, seen configuration.Revision) {
	w.distributor.ObserveRevision(host, seen)
}

// connect sets the references that cannot be set by constructors, because they would
// make the parts depend on each other in a cycle.
func (p *parts) connect() {
	p.RevisionWatcher.distributor = p.Distributor
}
