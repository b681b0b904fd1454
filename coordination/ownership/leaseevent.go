package ownership

import (
	"context"

	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// handleLeaseEvent starts or closes the Owner whose lease was gained or lost.
func (g *Manager) handleLeaseEvent(ctx context.Context, e lease.Event) {
	name, ok := g.engineOfLease(e.Name)
	if !ok {
		return
	}
	switch e.Type {
	case lease.Gained:
		g.handleLeaseGained(ctx, name, e)
	case lease.Expired:
		// The Owner goes on granting resident instances.
	case lease.Lost:
		g.handleLeaseLost(name, e)
	}
}

// handleLeaseGained starts the Owner of an engine in the epoch of the event, and closes
// the one of an earlier epoch.
func (g *Manager) handleLeaseGained(ctx context.Context, name fleet.EngineName, e lease.Event) {
	o := g.owners[name]
	if o != nil && o.Epoch == e.Epoch {
		return
	}
	if o != nil {
		g.closeOwner(name, func() {})
	}
	engine, ok := g.findEngine(name)
	if _, requested := g.requestedRanks[name]; !ok || !requested || g.stopping {
		// This host no longer competes for the lease. No Owner starts, because the
		// release of the lease shows others that nothing is granted under it.
		g.Leases.Release(e.Name)
		delete(g.requestedRanks, name)
		return
	}
	g.startOwner(ctx, engine, e.Epoch, PreviousHolder{Host: e.PreviousHolder, Start: e.PreviousStart, Released: e.Released})
}

// handleLeaseLost closes the Owner of the lost epoch. If a hand-over of it is in flight,
// the result of that decides instead.
func (g *Manager) handleLeaseLost(name fleet.EngineName, e lease.Event) {
	delete(g.requestedRanks, name)
	if e.Holder != "" && e.Holder != g.Host.Name {
		g.nextOwners[name] = e.Holder
		g.publishDirectory()
	}
	o := g.owners[name]
	if o == nil || o.Epoch != e.Epoch {
		return
	}
	o.leaseLost = true
	if !o.handingOver.Load() {
		g.closeOwner(name, func() {})
	}
}

// engineOfLease returns the engine whose lease has the name, among the engines of
// the failure domain and those still owned.
func (g *Manager) engineOfLease(name lease.Name) (fleet.EngineName, bool) {
	for _, engine := range g.FailureDomain.Engines() {
		if LeaseName(engine.Name) == name {
			return engine.Name, true
		}
	}
	for engine := range g.owners {
		if LeaseName(engine) == name {
			return engine, true
		}
	}
	return "", false
}
