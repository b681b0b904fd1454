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

// An addressBook looks up the peer addresses of hosts in the membership.
type addressBook struct {
	monitor *membership.Monitor
}

func (b *addressBook) peerAddress(host fleet.HostName) (string, error) {
	status, ok := b.monitor.View().Hosts[host]
	if !ok || status.Host.PeerAddress == "" {
		return "", fmt.Errorf("host %s: %w", host, errUnknownPeerAddress)
	}
	return status.Host.PeerAddress, nil
}

// An ownerRoute acquires and releases grants at the owners of engines: directly if this
// host is the owner, otherwise over the network. It implements dispatch.GrantProvider.
type ownerRoute struct {
	self      fleet.HostName
	ownership *ownership.Manager
	client    *peer.Client
	monitor   *membership.Monitor
	addresses *addressBook
	releaser  *releaser
}

// AcquireGrant acquires a grant from the owner of the engine. If that host refuses
// because the engine was handed over, AcquireGrant makes one request to the new owner.
func (o *ownerRoute) AcquireGrant(ctx context.Context, demand dispatch.GrantRequest) (fleet.Grant, error) {
	owner := o.owner(demand.Engine)
	grant, err := o.acquireGrantFrom(ctx, owner, demand)
	if err == nil {
		return grant, nil
	}
	next, refused := ownership.NotOwnerRefusal(err)
	if !refused || next == "" || next == owner {
		return grant, err
	}
	return o.acquireGrantFrom(ctx, next, demand)
}

// owner returns the owner of the engine as far as this host knows it, or "".
func (o *ownerRoute) owner(engine fleet.EngineName) fleet.HostName {
	if _, ok := o.ownership.Owner(engine); ok {
		return o.self
	}
	return o.monitor.View().Engines[engine].Owner
}

func (o *ownerRoute) acquireGrantFrom(ctx context.Context, owner fleet.HostName, demand dispatch.GrantRequest) (fleet.Grant, error) {
	if owner == o.self || owner == "" {
		return o.ownership.AcquireGrant(ctx, demand)
	}
	address, err := o.addresses.peerAddress(owner)
	if err != nil {
		refusal := verdict.NewNotRun(verdict.CodeNoGrant, "owner %s of engine %s has no known address", owner, demand.Engine)
		refusal.Cause = err
		return fleet.Grant{}, refusal
	}
	return o.client.Demand(ctx, address, demand)
}

// Release ends a grant at the current owner of its engine. A release to another host is
// sent in the background.
func (o *ownerRoute) Release(grant fleet.Grant) {
	owner := o.owner(grant.Engine)
	if owner == o.self {
		o.ownership.Release(grant.Engine, []fleet.RequestID{grant.RunID})
		return
	}
	o.releaser.enqueue(owner, grant.Engine, grant.RunID)
}

// A holderRoute collects the grants that all known hosts hold on an engine, for its new
// owner. It implements ownership.HoldingsCollector.
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
			if err != nil && !provesProcessEnded(err) {
				holdings.Complete = false
			}
		})
	}
	own, err := o.holder.Holdings(ctx, engine, epoch)
	calls.Wait()
	holdings.Grants = append(holdings.Grants, own...)
	return holdings, err
}

// previousHolderEnded reports whether the former owner's process is known to have ended:
// its address refuses connections or answers with a higher start number.
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
		return provesProcessEnded(err)
	}
	return answer.Host.Name == previous.Host && answer.Host.Start > previous.Start
}

// A successorRoute sends hand-overs of engines to the next owners. It implements
// ownership.HandOverSender.
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

// A claimRoute requests the status of claims from the hosts that made them. It
// implements claim.PeerClient.
type claimRoute struct {
	client    *peer.Client
	addresses *addressBook
}

// ClaimStatus implements claim.PeerClient.
func (c *claimRoute) ClaimStatus(ctx context.Context, host fleet.HostName, start fleet.StartNumber, key booking.Key, token booking.ClaimToken) (booking.ClaimStatus, error) {
	address, err := c.addresses.peerAddress(host)
	if err != nil {
		return booking.StatusUnknown, err
	}
	return c.client.ClaimStatus(ctx, address, key, token, start)
}

// A failureDomain provides the engines and the live entry hosts of this host's failure
// domain. It implements ownership.FailureDomain.
type failureDomain struct {
	name        fleet.FailureDomainName
	monitor     *membership.Monitor
	distributor *revision.Distributor
}

// Engines returns the failure domain's engines in the applied configuration.
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
