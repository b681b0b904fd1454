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

// RevisionReader knows the revisions.
type RevisionReader interface {
	// Head reads the head from the platform.
	Head(ctx context.Context) (configuration.Revision, error)
	// Current returns the configuration in force, or nil.
	Current() *configuration.Configuration
	// Revision returns the revision in force, or 0.
	Revision() configuration.Revision
	// Change returns the change that led to a revision, if it is kept.
	Change(revision configuration.Revision) (configuration.Change, bool)
	// RolloutStatus returns which hosts have a revision.
	RolloutStatus(revision configuration.Revision) revision.RolloutStatus
}

// MembershipSource knows the entry hosts and the engines that they own.
type MembershipSource interface {
	// View returns the present view.
	View() *membership.View
}

// Engines knows the engines that this host owns.
type Engines interface {
	// Summaries returns what this host tells of its engines.
	Summaries() []fleet.EngineSummary
}

// A StatusReporter reports what this host knows. Its fields are set before use; it
// may be used by many goroutines.
type StatusReporter struct {
	Host      fleet.HostName
	Revisions RevisionReader
	Members   MembershipSource
	Engines   Engines

	// confirmed is when the platform was last asked and confirmed the head, and
	// head is the highest revision that it told.
	confirmed atomic.Pointer[time.Time]
	head      atomic.Uint64
}

// Freshness asks the platform for the head and says how current this host is.
func (o *StatusReporter) Freshness(ctx context.Context) Freshness {
	f := Freshness{Host: o.Host, Revision: o.Revisions.Revision()}
	asked := time.Now()
	head, err := o.Revisions.Head(ctx)
	if err == nil {
		o.confirmed.Store(&asked)
		for known := o.head.Load(); uint64(head) > known && !o.head.CompareAndSwap(known, uint64(head)); {
			known = o.head.Load()
		}
	}
	f.PlatformUnreachable = err != nil
	f.Head = max(configuration.Revision(o.head.Load()), f.Revision)
	if confirmed := o.confirmed.Load(); confirmed != nil {
		age := time.Since(*confirmed)
		f.Age = &age
	}
	return f
}

// Configuration returns the configuration in force; it is never nil.
func (o *StatusReporter) Configuration() *configuration.Configuration {
	if current := o.Revisions.Current(); current != nil {
		return current
	}
	return &configuration.Configuration{}
}

// ListHosts returns the entry hosts by name.
func (o *StatusReporter) ListHosts() []Host {
	var hosts []Host
	for name, status := range o.Members.View().Hosts {
		hosts = append(hosts, Host{
			Name: name, Start: status.Host.Start, FailureDomain: status.Host.FailureDomain, Region: status.Host.Region,
			PeerAddress: status.Host.PeerAddress, State: status.Host.State, Reachable: status.Reachable, Revision: status.Revision,
		})
		if name == o.Host {
			hosts[len(hosts)-1].Revision = o.Revisions.Revision()
		}
	}
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts
}

// ListEngines returns the configured engines by name, with what their owners tell.
func (o *StatusReporter) ListEngines() []Engine {
	current, view := o.Configuration(), o.Members.View()
	summaries := make(map[fleet.EngineName]fleet.EngineSummary, len(view.Engines))
	maps.Copy(summaries, view.Engines)
	for _, own := range o.Engines.Summaries() {
		if summaries[own.Engine].Epoch <= own.Epoch {
			summaries[own.Engine] = own
		}
	}
	var engines []Engine
	for _, name := range slices.Sorted(maps.Keys(current.Engines)) {
		configured, summary := current.Engines[name], summaries[name]
		engine := Engine{
			Name: name, Pool: configured.Pool, FailureDomain: configured.FailureDomain, Slots: configured.AdapterSlots,
			Owner: summary.Owner, OwnerReachable: summary.Owner == o.Host || view.Hosts[summary.Owner].Reachable, Epoch: summary.Epoch,
			Running: summary.Running, Waiting: summary.Waiting, Draining: current.Draining[string(name)],
		}
		for _, instance := range summary.Instances {
			engine.Instances = append(engine.Instances, instance.String())
		}
		engines = append(engines, engine)
	}
	return engines
}

// ListServers returns the backend servers by name.
func (o *StatusReporter) ListServers() []Server {
	current, view := o.Configuration(), o.Members.View()
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

// ShowRevision says where a revision is in force.
func (o *StatusReporter) ShowRevision(number configuration.Revision) RevisionStatus {
	spread := o.Revisions.RolloutStatus(number)
	r := RevisionStatus{Revision: number, Applied: spread.Applied, Pending: spread.Pending, Unreachable: spread.Unreachable}
	if change, kept := o.Revisions.Change(number); kept {
		r.Operation, r.Description = change.Operation, change.Description
	}
	return r
}
