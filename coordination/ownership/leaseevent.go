package ownership

import (
	"context"

	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// handleLeaseEvent starts or closes the Owner whose lease was gained or lost.
func (m *Manager) handleLeaseEvent(ctx context.Context, e lease.Event) {
	name, ok := m.engineOfLease(e.Name)
	if !ok {
		return
	}
	switch e.Type {
	case lease.Gained:
		m.handleLeaseGained(ctx, name, e)
	case lease.Expired:
		// The Owner goes on granting resident instances.
	case lease.Lost:
		m.handleLeaseLost(name, e)
	}
}

// handleLeaseGained starts the Owner of an engine in the epoch of the event, and closes
// the one of an earlier epoch.
func (m *Manager) handleLeaseGained(ctx context.Context, name fleet.EngineName, e lease.Event) {
	o := m.owners[name]
	if o != nil && o.Epoch == e.Epoch {
		return
	}
	if o != nil {
		m.closeOwner(name, func() {})
	}
	engine, ok := m.findEngine(name)
	if _, requested := m.requestedRanks[name]; !ok || !requested || m.stopping {
		// This host no longer competes for the lease. No Owner starts, because the
		// release of the lease shows others that nothing is granted under it.
		m.Leases.Release(e.Name)
		delete(m.requestedRanks, name)
		return
	}
	m.startOwner(ctx, engine, e.Epoch, PreviousHolder{Host: e.PreviousHolder, Start: e.PreviousStart, Released: e.Released})
}

// handleLeaseLost closes the Owner of the lost epoch. If a hand-over of it is in flight,
// the result of that decides instead.
func (m *Manager) handleLeaseLost(name fleet.EngineName, e lease.Event) {
	delete(m.requestedRanks, name)
	if e.Holder != "" && e.Holder != m.Host.Name {
		m.nextOwners[name] = e.Holder
		m.publishDirectory()
	}
	o := m.owners[name]
	if o == nil || o.Epoch != e.Epoch {
		return
	}
	o.leaseLost = true
	if !o.handingOver.Load() {
		m.closeOwner(name, func() {})
	}
}

// engineOfLease returns the engine whose lease has the name, among the engines of
// the failure domain and those still owned.
func (m *Manager) engineOfLease(name lease.Name) (fleet.EngineName, bool) {
	for _, engine := range m.FailureDomain.Engines() {
		if LeaseName(engine.Name) == name {
			return engine.Name, true
		}
	}
	for engine := range m.owners {
		if LeaseName(engine) == name {
			return engine, true
		}
	}
	return "", false
}
