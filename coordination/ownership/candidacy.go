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
func (g *Manager) reviewCandidacy(ctx context.Context) {
	if g.stopping {
		return
	}
	engines := g.FailureDomain.Engines()
	hosts := g.FailureDomain.Hosts()
	known := make(map[fleet.EngineName]bool)
	for _, engine := range engines {
		known[engine.Name] = true
		if g.closing[engine.Name] {
			continue
		}
		if o, ok := g.owners[engine.Name]; ok {
			if o.Engine != engine {
				g.closeAndRelease(ctx, engine.Name)
			}
			continue
		}
		g.requestLease(engine.Name, hosts)
	}
	g.releaseRemoved(ctx, known)
}

// requestLease acquires the lease of an engine if this host is one of its candidates
// among hosts, and otherwise releases it.
func (g *Manager) requestLease(name fleet.EngineName, hosts []fleet.Host) {
	rank := slices.IndexFunc(CandidateHosts(name, hosts), func(h fleet.Host) bool { return h.Name == g.Host.Name })
	lastRank, requested := g.requestedRanks[name]
	switch {
	case rank >= 0 && rank < g.CandidateLimit:
		if (!requested || lastRank != rank) && g.Leases.Acquire(LeaseName(name), rank) {
			g.requestedRanks[name] = rank
		}
	case requested && g.Leases.Release(LeaseName(name)):
		delete(g.requestedRanks, name)
	}
}

// releaseRemoved gives up the engines that are not among the known ones.
func (g *Manager) releaseRemoved(ctx context.Context, known map[fleet.EngineName]bool) {
	for name := range g.owners {
		if !known[name] {
			g.closeAndRelease(ctx, name)
		}
	}
	for name := range g.requestedRanks {
		if !known[name] && g.owners[name] == nil && g.Leases.Release(LeaseName(name)) {
			delete(g.requestedRanks, name)
		}
	}
}

// closeAndRelease closes an Owner and then releases its lease, so that nothing is
// granted under a released lease.
func (g *Manager) closeAndRelease(ctx context.Context, name fleet.EngineName) {
	g.closing[name] = true
	delete(g.requestedRanks, name)
	g.closeOwner(name, func() {
		select {
		case g.results <- ownerClosed{engine: name}:
		case <-ctx.Done():
		}
	})
}

// ownerClosed is the result of closeAndRelease.
type ownerClosed struct {
	engine fleet.EngineName
}

func (l ownerClosed) handle(_ context.Context, g *Manager) {
	delete(g.closing, l.engine)
	g.Leases.Release(LeaseName(l.engine))
}
