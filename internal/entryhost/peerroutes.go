package entryhost

import (
	"context"
	"fmt"
	"sync"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/coordination/membership"
	"github.com/persimmonmux/persimmonmux/coordination/ownership"
	"github.com/persimmonmux/persimmonmux/coordination/revision"
	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/peer"
)

// An addressBook finds the peer addresses of hosts.
type addressBook struct {
	monitor *membership.Monitor
}

func (b *addressBook) address(host fleet.HostName) (string, error) {
	status, ok := b.monitor.View().Hosts[host]
	if !ok || status.Host.PeerAddress == "" {
		return "", fmt.Errorf("host %s: %w", host, errNoAddress)
	}
	return status.Host.PeerAddress, nil
}

// An ownerRoute reaches the owner of an engine, on this host or on another one.
// It implements dispatch.GrantProvider.
type ownerRoute struct {
	self      fleet.HostName
	ownership *ownership.Manager
	client    *peer.Client
	monitor   *membership.Monitor
	book      *addressBook
	releaser  *releaser
}

// AcquireGrant asks the owner, and once more the next owner if the engine was handed over.
func (o *ownerRoute) AcquireGrant(ctx context.Context, demand dispatch.GrantRequest) (fleet.Grant, error) {
	owner := o.owner(demand.Engine)
	grant, err := o.demandFrom(ctx, owner, demand)
	if err == nil {
		return grant, nil
	}
	next, refused := ownership.NotOwnerRefusal(err)
	if !refused || next == "" || next == owner {
		return grant, err
	}
	return o.demandFrom(ctx, next, demand)
}

func (o *ownerRoute) owner(engine fleet.EngineName) fleet.HostName {
	if _, ok := o.ownership.Owner(engine); ok {
		return o.self
	}
	return o.monitor.View().Engines[engine].Owner
}

func (o *ownerRoute) demandFrom(ctx context.Context, owner fleet.HostName, demand dispatch.GrantRequest) (fleet.Grant, error) {
	if owner == o.self || owner == "" {
		return o.ownership.AcquireGrant(ctx, demand)
	}
	address, err := o.book.address(owner)
	if err != nil {
		refusal := verdict.NewNotRun(verdict.CodeNoGrant, "owner %s of engine %s", owner, demand.Engine)
		refusal.Cause = err
		return fleet.Grant{}, refusal
	}
	return o.client.Demand(ctx, address, demand)
}

// Release ends a grant at the present owner of its engine.
func (o *ownerRoute) Release(grant fleet.Grant) {
	owner := o.owner(grant.Engine)
	if owner == o.self {
		o.ownership.Release(grant.Engine, []fleet.RequestID{grant.Request})
		return
	}
	o.releaser.release(owner, grant.Engine, grant.Request)
}

// A holderRoute asks all known hosts for the grants that they hold.
type holderRoute struct {
	self    fleet.Host
	holder  *ownership.GrantHolder
	client  *peer.Client
	monitor *membership.Monitor
}

// CollectHoldings implements ownership.HoldingsCollector.
func (o *holderRoute) CollectHoldings(ctx context.Context, engine fleet.EngineName, epoch fleet.Epoch, previous ownership.PreviousHolder) (ownership.Holdings, error) {
	holdings := ownership.Holdings{Complete: true, PreviousHolderEnded: o.previousHolderEnded(ctx, previous)}
	var mutex sync.Mutex
	var calls sync.WaitGroup
	for name, status := range o.monitor.View().Hosts {
		if name == o.self.Name || status.Host.State == fleet.HostGone {
			continue
		}
		calls.Go(func() {
			grants, _, err := o.client.Holdings(ctx, status.Host.PeerAddress, engine, epoch, o.self.Name)
			mutex.Lock()
			defer mutex.Unlock()
			holdings.Grants = append(holdings.Grants, grants...)
			// A process that has ended uses no grant.
			if err != nil && !ended(err) {
				holdings.Complete = false
			}
		})
	}
	own, err := o.holder.Holdings(ctx, engine, epoch)
	calls.Wait()
	holdings.Grants = append(holdings.Grants, own...)
	return holdings, err
}

// previousHolderEnded says whether the former owner's process is known to have ended:
// its address refuses connections or answers with a newer start.
func (o *holderRoute) previousHolderEnded(ctx context.Context, previous ownership.PreviousHolder) bool {
	if previous.Host == "" {
		return true
	}
	if previous.Host == o.self.Name {
		return previous.Start < o.self.Start
	}
	status, ok := o.monitor.View().Hosts[previous.Host]
	if !ok {
		return false
	}
	if status.Host.Start > previous.Start {
		return true
	}
	answer, err := o.client.Exchange(ctx, status.Host.PeerAddress, fleet.Heartbeat{Host: o.self})
	if err != nil {
		return ended(err)
	}
	return answer.Host.Name == previous.Host && answer.Host.Start > previous.Start
}

// A successorRoute carries hand-overs to their next owners.
type successorRoute struct {
	client *peer.Client
}

// HandOver implements ownership.HandOverSender.
func (s *successorRoute) HandOver(ctx context.Context, to fleet.Host, handOver fleet.HandOver) error {
	adopted, err := s.client.HandOver(ctx, to.PeerAddress, handOver)
	if err == nil && !adopted {
		return fmt.Errorf("host %s did not adopt engine %s", to.Name, handOver.Engine)
	}
	return err
}

// A claimRoute asks other hosts about their claims.
type claimRoute struct {
	client *peer.Client
	book   *addressBook
}

// ClaimStatus implements claim.PeerClient.
func (c *claimRoute) ClaimStatus(ctx context.Context, host fleet.HostName, start fleet.StartNumber, key booking.Key, token booking.ClaimToken) (booking.ClaimStatus, error) {
	address, err := c.book.address(host)
	if err != nil {
		return booking.StatusUnknown, err
	}
	return c.client.ClaimStatus(ctx, address, key, token, start)
}

// A failureDomain tells what stands in the failure domain of this host. It
// implements ownership.FailureDomain.
type failureDomain struct {
	name        fleet.FailureDomainName
	monitor     *membership.Monitor
	distributor *revision.Distributor
}

// Engines returns the engines of the failure domain.
func (f *failureDomain) Engines() []fleet.Engine {
	current := f.distributor.Current()
	if current == nil {
		return nil
	}
	var engines []fleet.Engine
	for _, engine := range current.Engines {
		if engine.FailureDomain == f.name {
			engines = append(engines, engine)
		}
	}
	return engines
}

// Hosts returns the live entry hosts of the failure domain.
func (f *failureDomain) Hosts() []fleet.Host {
	return f.monitor.View().LiveHosts(f.name)
}
