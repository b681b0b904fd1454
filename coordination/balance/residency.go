package balance

import (
	"maps"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// IsFallbackOnly says that the zones' engines are used only when those of this region
// are full or lost, so that nothing has to be known of what is loaded there.
func (b *Balancer) IsFallbackOnly(zones map[string]bool) bool {
	if !b.regional(b.Views.View()) {
		return false
	}
	for zone := range zones {
		if b.Regions[zone] == b.Regions[b.Zone] {
			return false
		}
	}
	return true
}

// regional says whether this region has engines enough to keep to itself.
func (b *Balancer) regional(view *site.View) bool {
	count := 0
	for _, server := range view.Servers {
		if len(server.LoadedModels) > 0 && b.Regions[server.Zone] == b.Regions[b.Zone] {
			count++
		}
	}
	return count >= regionEngines
}

// UpdateResidency takes over what the owner of an engine says is loaded there, unless an
// owner with a higher epoch has spoken. It reports whether the engine is known.
func (b *Balancer) UpdateResidency(r site.Residency) bool {
	server := b.Views.View().Servers[r.Server.ID]
	if server == nil || server.Incarnation != r.Server {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.station(server)
	known := s.residency
	if r.Epoch < known.Epoch || r.Epoch == known.Epoch && r.Sequence <= known.Sequence {
		return true
	}
	s.residency = r
	s.adapters = maps.Clone(r.Adapters)
	return true
}

// RecordLoaded notes that the owner has loaded an adapter, before it says so to all.
func (b *Balancer) RecordLoaded(server *site.Server, adapter site.Adapter, version int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.station(server)
	if s.adapters != nil {
		s.adapters[adapter] = max(version, s.adapters[adapter], 1)
	}
}

// RecordNotLoaded notes that a server does not hold an adapter after all.
func (b *Balancer) RecordNotLoaded(server *site.Server, adapter site.Adapter) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.station(server).adapters, adapter)
}

// InFlight has the requests of this host on the zones' engines. Running ones are
// told each time, so that a lost report is made good by the next one.
func (b *Balancer) InFlight(zones map[string]bool) []site.InFlight {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var list []site.InFlight
	for id, s := range b.stations {
		if (len(s.running) > 0 || s.told) && zones[s.zone] {
			list = append(list, site.InFlight{Server: id, Adapters: maps.Clone(s.running)})
			s.told = len(s.running) > 0
		}
	}
	return list
}

// UpdateRunningCounts takes over how many requests run on each engine, as its owner counts them.
func (b *Balancer) UpdateRunningCounts(running map[site.ServerID]int) {
	now := time.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, count := range running {
		if s := b.stations[id]; s != nil {
			s.load, s.reported, s.sentThen = LoadReport{Running: count}, now, s.sent
		}
	}
}
