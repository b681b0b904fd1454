package operation

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/membership"
	"github.com/persimmonmux/persimmonmux/coordination/revision"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// RevisionReader reads the configuration applied at this host and its
// revisions. A revision.Distributor implements it.
type RevisionReader interface {
	// Head reads the highest accepted revision from the platform's table. The
	// value may lag.
	Head(ctx context.Context) (configuration.Revision, error)
	// Current returns the applied configuration, or nil if there is none yet.
	Current() *configuration.Configuration
	// Revision returns the applied revision, or 0 if there is none yet.
	Revision() configuration.Revision
	// Change returns the change that produced a revision, and whether this host
	// still keeps it.
	Change(revision configuration.Revision) (configuration.Change, bool)
	// RolloutStatus returns which hosts have applied a revision.
	RolloutStatus(revision configuration.Revision) revision.RolloutStatus
}

// MembershipSource provides the entry hosts and the engines that they own. A
// membership.Monitor implements it.
type MembershipSource interface {
	// View returns the current view, which is not nil.
	View() *membership.View
}

// Engines provides the engines that this host owns.
type Engines interface {
	// Summaries returns the summaries that this host publishes of its engines.
	Summaries() []fleet.EngineSummary
}

// A StatusReporter reports the hosts, engines, backend servers and revisions that
// this host knows. Its fields are set before use; many goroutines may use it at
// the same time.
type StatusReporter struct {
	// Host is the name of the entry host that reports.
	Host fleet.HostName
	// Revisions reads the applied configuration and the head.
	Revisions RevisionReader
	// Members supplies the states of the other hosts and their engines.
	Members MembershipSource
	// Engines supplies the summaries of this host's engines.
	Engines Engines

	// headConfirmedAt is the start of the last read of the head that succeeded,
	// and highestHead is the highest revision that such a read returned.
	headConfirmedAt atomic.Pointer[time.Time]
	highestHead     atomic.Uint64
}

// Freshness reads the head from the platform and reports how current the
// configuration of this host is. A failed read sets PlatformUnreachable.
func (r *StatusReporter) Freshness(ctx context.Context) Freshness {
	f := Freshness{Host: r.Host, Revision: r.Revisions.Revision()}
	readAt := time.Now()
	head, err := r.Revisions.Head(ctx)
	if err == nil {
		r.headConfirmedAt.Store(&readAt)
		for known := r.highestHead.Load(); uint64(head) > known && !r.highestHead.CompareAndSwap(known, uint64(head)); {
			known = r.highestHead.Load()
		}
	}
	f.PlatformUnreachable = err != nil
	f.Head = max(configuration.Revision(r.highestHead.Load()), f.Revision)
	if confirmed := r.headConfirmedAt.Load(); confirmed != nil {
		age := time.Since(*confirmed)
		f.Age = &age
	}
	return f
}

// Configuration returns the applied configuration, or an empty one if there is
// none yet. It is never nil.
func (r *StatusReporter) Configuration() *configuration.Configuration {
	if current := r.Revisions.Current(); current != nil {
		return current
	}
	return &configuration.Configuration{}
}

// ListHosts returns the known entry hosts, sorted by name. The revision of this
// host is the applied one; that of another host comes from its heartbeats.
func (r *StatusReporter) ListHosts() []Host {
	var hosts []Host
	for name, status := range r.Members.View().Hosts {
		hosts = append(hosts, Host{
			Name: name, Start: status.Host.Start, FailureDomain: status.Host.FailureDomain, Region: status.Host.Region,
			PeerAddress: status.Host.PeerAddress, State: status.Host.State, Reachable: status.Reachable, Revision: status.Revision,
		})
		if name == r.Host {
			hosts[len(hosts)-1].Revision = r.Revisions.Revision()
		}
	}
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts
}

// ListEngines returns the configured engines, sorted by name, with the summaries
// of their owners. For an engine of this host, its own summary is used unless
// another host has published one with a higher lease epoch.
func (r *StatusReporter) ListEngines() []Engine {
	current, view := r.Configuration(), r.Members.View()
	summaries := make(map[fleet.EngineName]fleet.EngineSummary, len(view.Engines))
	maps.Copy(summaries, view.Engines)
	for _, own := range r.Engines.Summaries() {
		if summaries[own.Engine].Epoch <= own.Epoch {
			summaries[own.Engine] = own
		}
	}
	var engines []Engine
	for _, name := range slices.Sorted(maps.Keys(current.Engines)) {
		configured, summary := current.Engines[name], summaries[name]
		engine := Engine{
			Name: name, Pool: configured.Pool, FailureDomain: configured.FailureDomain, Slots: configured.AdapterSlots,
			Owner: summary.Owner, OwnerReachable: summary.Owner == r.Host || view.Hosts[summary.Owner].Reachable, Epoch: summary.Epoch,
			Running: summary.Running, Waiting: summary.Waiting, Draining: current.Draining[string(name)],
		}
		for _, instance := range summary.Instances {
			engine.Instances = append(engine.Instances, instance.String())
		}
		engines = append(engines, engine)
	}
	return engines
}

// ListServers returns the configured backend servers, engines included, sorted by
// name.
func (r *StatusReporter) ListServers() []Server {
	current, view := r.Configuration(), r.Members.View()
	var servers []Server
	add := func(s Server) {
		s.Draining = current.Draining[s.Name]
		s.Leaving = view.ServerLeaving(s.Name, 0)
		servers = append(servers, s)
	}
	for name, engine := range current.Engines {
		add(Server{Name: string(name), Group: engine.Pool, Role: RoleEngine, FailureDomain: engine.FailureDomain, Address: engine.Address})
	}
	for name, service := range current.Services {
		for _, server := range service.Servers {
			add(Server{Name: server.Name, Group: string(name), Role: RoleService, FailureDomain: server.FailureDomain, Address: server.Address})
		}
	}
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	return servers
}

// ShowRevision reports which hosts have applied a revision, and the operation
// that produced it if this host still keeps the change.
func (r *StatusReporter) ShowRevision(number configuration.Revision) RevisionStatus {
	rollout := r.Revisions.RolloutStatus(number)
	status := RevisionStatus{Revision: number, Applied: rollout.Applied, Pending: rollout.Pending, Unreachable: rollout.Unreachable}
	if change, kept := r.Revisions.Change(number); kept {
		status.Operation, status.Description = change.Operation, change.Description
	}
	return status
}
