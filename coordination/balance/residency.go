package balance

import (
	"maps"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// IsFallbackOnly reports whether the engines of all given zones are used only
// when those of this region are full or lost. This host then needs no residencies
// from their owners.
func (b *Balancer) IsFallbackOnly(zones map[string]bool) bool {
	if !b.isRegionSelfSufficient(b.Views.View()) {
		return false
	}
	for zone := range zones {
		if b.Regions[zone] == b.Regions[b.Zone] {
			return false
		}
	}
	return true
}

// isRegionSelfSufficient reports whether this region has enough engines to serve
// its requests without those of other regions.
func (b *Balancer) isRegionSelfSufficient(view *site.View) bool {
	count := 0
	for _, server := range view.Servers {
		if len(server.LoadedModels) > 0 && b.Regions[server.Zone] == b.Regions[b.Zone] {
			count++
		}
	}
	return count >= minEnginesPerRegion
}

// UpdateResidency stores the adapters that the owner of an engine reports as
// loaded, unless a residency with a higher epoch, or the same epoch and the same
// or a higher sequence number, is known. It returns false if the engine instance
// is not in the view.
func (b *Balancer) UpdateResidency(r site.Residency) bool {
	server := b.Views.View().Servers[r.Server.ID]
	if server == nil || server.Incarnation != r.Server {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.stateOf(server)
	known := s.residency
	if r.Epoch < known.Epoch || r.Epoch == known.Epoch && r.Sequence <= known.Sequence {
		return true
	}
	s.residency = r
	s.adapters = maps.Clone(r.Adapters)
	return true
}

// RecordLoaded records that the owner has loaded an adapter, before its next
// residency arrives.
func (b *Balancer) RecordLoaded(server *site.Server, adapter site.Adapter, version int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.stateOf(server)
	if s.adapters != nil {
		s.adapters[adapter] = max(version, s.adapters[adapter], 1)
	}
}

// RecordNotLoaded records that a server denied holding an adapter.
func (b *Balancer) RecordNotLoaded(server *site.Server, adapter site.Adapter) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.stateOf(server).adapters, adapter)
}

// InFlight returns the requests of this host that run on the engines of the
// zones. Running requests are in every list, so that the next list makes up for a
// lost one; begun answers are in one list only.
func (b *Balancer) InFlight(zones map[string]bool) []site.InFlight {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var list []site.InFlight
	for id, s := range b.states {
		if (len(s.running) > 0 || s.reportedRunning) && zones[s.zone] {
			list = append(list, site.InFlight{Server: id, Adapters: maps.Clone(s.running), Begun: s.begun})
			s.begun = site.BegunAnswers{}
			s.reportedRunning = len(s.running) > 0
		}
	}
	return list
}

// UpdateRunningCounts stores the number of requests that run on each engine, as
// counted by its owner.
func (b *Balancer) UpdateRunningCounts(running map[site.ServerID]int) {
	now := time.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, count := range running {
		if s := b.states[id]; s != nil {
			s.load, s.reportedAt, s.inFlightAtReport = LoadReport{Running: count}, now, s.inFlight
		}
	}
}
