package policy

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/budget"
	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/coordination/ownership"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A hostLink carries the calls of one host to the others, with the network delays
// and partitions of the simulation.
type hostLink struct {
	simulation *Simulation
	host       *host
}

// ownerOf returns the host that owns an engine.
func (l *hostLink) ownerOf(engine fleet.EngineName) *host {
	i := slices.IndexFunc(l.simulation.hosts, func(h *host) bool { return h.owner.Engine.Name == engine })
	return l.simulation.hosts[i]
}

// AcquireGrant implements dispatch.GrantProvider.
func (l *hostLink) AcquireGrant(ctx context.Context, grantRequest dispatch.GrantRequest) (fleet.Grant, error) {
	other := l.ownerOf(grantRequest.Engine)
	if l.simulation.isPartitioned(l.host.domain, other.domain) {
		return fleet.Grant{}, verdict.NewNotRun(verdict.CodeNoGrant, "host %s is not reachable", other.name)
	}
	latency := oneWayDelay(l.host.domain, other.domain)
	_ = sleepContext(ctx, latency)
	sent := time.Now()
	grant, err := other.owner.AcquireGrant(ctx, grantRequest)
	// Tries that ended without a grant add to the stall too.
	l.simulation.samples[requestNumber(grantRequest.RunID)].Stall += time.Since(sent)
	_ = sleepContext(ctx, latency)
	return grant, err
}

// Release implements dispatch.GrantProvider.
func (l *hostLink) Release(grant fleet.Grant) {
	other := l.ownerOf(grant.Engine)
	time.AfterFunc(oneWayDelay(l.host.domain, other.domain), func() {
		other.owner.Release([]fleet.RequestID{grant.RunID})
	})
}

// Valid implements ownership.LeaseChecker. Failure domain 0 holds the platform.
func (l *hostLink) Valid(lease.Name) (fleet.Epoch, bool) {
	expired := l.simulation.isPartitioned(l.host.domain, 0) && time.Since(time.Unix(0, l.simulation.partitionStart.Load())) > leaseDuration
	return 1, !expired
}

// CollectHoldings implements ownership.HoldingsCollector. No engine had an owner
// before, so nothing is held.
func (l *hostLink) CollectHoldings(context.Context, fleet.EngineName, fleet.Epoch, ownership.PreviousHolder) (ownership.Holdings, error) {
	return ownership.Holdings{Complete: true, PreviousHolderEnded: true}, nil
}

// Acquire implements ownership.LoadBudget.
func (l *hostLink) Acquire(ctx context.Context, engine fleet.EngineName, _ fleet.AdapterReference, _ configuration.Urgency) error {
	return l.acquire(ctx, budget.PermitRequest{Engine: engine})
}

// AcquirePriority implements ownership.PriorityLoadBudget.
func (l *hostLink) AcquirePriority(ctx context.Context, engine fleet.EngineName, priority float64) error {
	return l.acquire(ctx, budget.PermitRequest{Engine: engine, Priority: priority})
}

func (l *hostLink) acquire(ctx context.Context, permit budget.PermitRequest) error {
	if l.simulation.Policy.Budgeting == BudgetNone {
		return nil
	}
	return l.host.share.Acquire(ctx, permit)
}

// AcquirePermit implements budget.PermitSource. The allocator runs on the first
// host, in failure domain 0.
func (l *hostLink) AcquirePermit(ctx context.Context, permit budget.PermitRequest) error {
	if l.simulation.isPartitioned(l.host.domain, 0) {
		return verdict.NewNotRun(verdict.CodeNotOwner, "load budget: the allocator is not reachable")
	}
	latency := oneWayDelay(l.host.domain, 0)
	_ = sleepContext(ctx, latency)
	err := l.simulation.allocator.AcquirePermit(ctx, permit)
	_ = sleepContext(ctx, latency)
	return err
}

// lenders lets the allocator borrow the load rate shares of all hosts.
type lenders struct {
	simulation *Simulation
}

// Hosts implements budget.Lenders.
func (l lenders) Hosts() []fleet.HostName {
	var names []fleet.HostName
	for _, h := range l.simulation.hosts {
		names = append(names, h.name)
	}
	return names
}

// Borrow implements budget.Lenders.
func (l lenders) Borrow(_ context.Context, name fleet.HostName, epoch fleet.Epoch) (budget.Loan, error) {
	i := slices.IndexFunc(l.simulation.hosts, func(h *host) bool { return h.name == name })
	h := l.simulation.hosts[i]
	if l.simulation.isPartitioned(h.domain, 0) {
		return budget.Loan{}, fmt.Errorf("host %s is not reachable", name)
	}
	return h.share.Lend(epoch, time.Now())
}

// Valid implements budget.AllocatorLease. The allocator never loses its lease.
func (l lenders) Valid() (fleet.Epoch, bool) {
	return 1, true
}
