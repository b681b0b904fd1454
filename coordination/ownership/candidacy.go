package ownership

import (
	"context"
	"slices"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// reviewCandidacy competes for the leases of the engines for which this host is a
// candidate, and stops competing for those for which it no longer is. An engine that
// is owned stays owned, even if other hosts now come before this one in the order of
// candidates. Its Owner is closed if the engine has changed or was removed.
func (m *Manager) reviewCandidacy(ctx context.Context) {
	if m.stopping {
		return
	}
	engines := m.FailureDomain.Engines()
	hosts := m.FailureDomain.Hosts()
	known := make(map[fleet.EngineName]bool)
	for _, engine := range engines {
		known[engine.Name] = true
		if m.closing[engine.Name] {
			continue
		}
		if o, ok := m.owners[engine.Name]; ok {
			if o.Engine != engine {
				m.closeAndRelease(ctx, engine.Name)
			}
			continue
		}
		m.requestLease(engine.Name, hosts)
	}
	m.releaseRemoved(ctx, known)
}

// requestLease acquires the lease of an engine if this host is one of its candidates
// among hosts, and otherwise releases it.
func (m *Manager) requestLease(name fleet.EngineName, hosts []fleet.Host) {
	rank := slices.IndexFunc(CandidateHosts(name, hosts), func(h fleet.Host) bool { return h.Name == m.Host.Name })
	lastRank, requested := m.requestedRanks[name]
	switch {
	case rank >= 0 && rank < m.CandidateLimit:
		if (!requested || lastRank != rank) && m.Leases.Acquire(LeaseName(name), rank) {
			m.requestedRanks[name] = rank
		}
	case requested && m.Leases.Release(LeaseName(name)):
		delete(m.requestedRanks, name)
	}
}

// releaseRemoved gives up the engines that are not among the known ones.
func (m *Manager) releaseRemoved(ctx context.Context, known map[fleet.EngineName]bool) {
	for name := range m.owners {
		if !known[name] {
			m.closeAndRelease(ctx, name)
		}
	}
	for name := range m.requestedRanks {
		if !known[name] && m.owners[name] == nil && m.Leases.Release(LeaseName(name)) {
			delete(m.requestedRanks, name)
		}
	}
}

// closeAndRelease closes an Owner and then releases its lease, so that nothing is
// granted under a released lease.
func (m *Manager) closeAndRelease(ctx context.Context, name fleet.EngineName) {
	m.closing[name] = true
	delete(m.requestedRanks, name)
	m.closeOwner(name, func() {
		select {
		case m.results <- ownerClosed{engine: name}:
		case <-ctx.Done():
		}
	})
}

// ownerClosed is the result of closeAndRelease.
type ownerClosed struct {
	engine fleet.EngineName
}

func (l ownerClosed) handle(_ context.Context, m *Manager) {
	delete(m.closing, l.engine)
	m.Leases.Release(LeaseName(l.engine))
}
