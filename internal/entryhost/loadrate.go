package entryhost

import (
	"context"
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/budget"
	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/coordination/membership"
	"github.com/persimmonmux/persimmonmux/coordination/ownership"
	"github.com/persimmonmux/persimmonmux/coordination/revision"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/peer"
)

// allocatorLease is the lease whose holder acts as the allocator: the host that borrows
// the load rates of all hosts and issues permits for loads from them.
const allocatorLease = lease.Name("load-budget")

// A loadShare is this host's part of the failure domain's load rate, which it
// lends to the allocator. It implements ownership.PriorityLoadBudget and
// budget.PermitSource.
type loadShare struct {
	self   fleet.HostName
	domain fleet.FailureDomainName
	// rate is the load rate of the whole failure domain, in loads per second.
	rate        float64
	addresses   *addressBook
	client      *peer.Client
	distributor *revision.Distributor
	ownership   *ownership.Manager
	allocator   *budget.Allocator
	share       *budget.Share

	mutex sync.Mutex
	// lentTo is the allocator that the share was lent to last.
	lentTo fleet.HostName
}

// Acquire implements ownership.LoadBudget.
func (l *loadShare) Acquire(ctx context.Context, engine fleet.EngineName, _ fleet.AdapterReference, urgency configuration.Urgency) error {
	return l.share.Acquire(ctx, budget.PermitRequest{Engine: engine, Priority: urgencyPriority[urgency]})
}

// AcquirePriority implements ownership.PriorityLoadBudget.
func (l *loadShare) AcquirePriority(ctx context.Context, engine fleet.EngineName, priority float64) error {
	return l.share.Acquire(ctx, budget.PermitRequest{Engine: engine, Priority: priority})
}

// urgencyPriority is the priority of loads for which Acquire is given only an urgency.
// Loads with a higher priority go first.
var urgencyPriority = map[configuration.Urgency]float64{
	configuration.UrgencyInteractive: 3,
	configuration.UrgencyPrompt:      2,
	configuration.UrgencyDeferred:    1,
}

// ownRate returns this host's part of the failure domain's load rate, in loads per
// second. It is proportional to the number of the domain's engines that the host owns.
func (l *loadShare) ownRate() float64 {
	current := l.distributor.Current()
	if current == nil || l.ownership == nil {
		return 0
	}
	engines := 0
	for _, engine := range current.Engines {
		if engine.FailureDomain == l.domain {
			engines++
		}
	}
	return l.rate * float64(len(l.ownership.Summaries())) / float64(max(engines, 1))
}

// AcquirePermit requests a permit for a load from the allocator that the share was lent
// to last. It implements budget.PermitSource.
func (l *loadShare) AcquirePermit(ctx context.Context, want budget.PermitRequest) error {
	l.mutex.Lock()
	allocator := l.lentTo
	l.mutex.Unlock()
	if allocator == l.self {
		return l.allocator.AcquirePermit(ctx, want)
	}
	address, err := l.addresses.peerAddress(allocator)
	if err != nil {
		refusal := verdict.NewNotRun(verdict.CodeNotOwner, "load budget: address of the allocator is not known")
		refusal.Cause = err
		return refusal
	}
	return l.client.Permit(ctx, address, want)
}

// lend lends the share to an allocator, whose lease has the given epoch.
func (l *loadShare) lend(allocator fleet.HostName, epoch fleet.Epoch) (budget.Loan, error) {
	loan, err := l.share.Lend(epoch, time.Now())
	if err != nil {
		return loan, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lentTo = allocator
	return loan, nil
}

// A loadRateHandler answers allocators that want to borrow this host's share, and hosts
// that want permits from this host's allocator. It implements peer.LoadRateHandler.
type loadRateHandler struct {
	share *loadShare
}

// Lend implements peer.LoadRateHandler.
func (s *loadRateHandler) Lend(_ context.Context, allocator fleet.HostName, epoch fleet.Epoch) (budget.Loan, error) {
	return s.share.lend(allocator, epoch)
}

// AcquirePermit implements peer.LoadRateHandler.
func (s *loadRateHandler) AcquirePermit(ctx context.Context, want budget.PermitRequest) error {
	return s.share.allocator.AcquirePermit(ctx, want)
}

// A lenderRoute borrows the shares of this host and of all reachable hosts for the
// allocator of this host. It implements budget.Lenders and budget.AllocatorLease.
type lenderRoute struct {
	self      fleet.HostName
	leases    *lease.Manager
	monitor   *membership.Monitor
	client    *peer.Client
	addresses *addressBook
	share     *loadShare
}

// Valid implements budget.AllocatorLease.
func (r *lenderRoute) Valid() (fleet.Epoch, bool) {
	return r.leases.Valid(allocatorLease)
}

// Hosts implements budget.Lenders.
func (r *lenderRoute) Hosts() []fleet.HostName {
	var hosts []fleet.HostName
	for name, status := range r.monitor.View().Hosts {
		if status.Reachable || name == r.self {
			hosts = append(hosts, name)
		}
	}
	return hosts
}

// Borrow implements budget.Lenders.
func (r *lenderRoute) Borrow(ctx context.Context, host fleet.HostName, epoch fleet.Epoch) (budget.Loan, error) {
	if host == r.self {
		loan, err := r.share.lend(r.self, epoch)
		loan.Host = host
		return loan, err
	}
	address, err := r.addresses.peerAddress(host)
	if err != nil {
		return budget.Loan{}, err
	}
	loan, err := r.client.Lend(ctx, address, r.self, epoch)
	loan.Host = host
	return loan, err
}
