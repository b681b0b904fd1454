package balance

import (
	"maps"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// Known has the sequences of the residencies known of the zones' engines.
func (b *Balancer) Known(zones map[string]bool) map[site.ServerID]uint64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := make(map[site.ServerID]uint64)
	for id, s := range b.stations {
		if s.residency.Sequence > 0 && zones[s.zone] {
			known[id] = s.residency.Sequence
		}
	}
	return known
}

// Learn takes over what the owner of an engine says is loaded there, unless an
// owner with a higher epoch has spoken.
func (b *Balancer) Learn(r site.Residency) {
	server := b.Views.View().Servers[r.Server.ID]
	if server == nil || server.Incarnation != r.Server {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.station(server)
	known := s.residency
	if r.Epoch < known.Epoch || r.Epoch == known.Epoch && r.Sequence <= known.Sequence {
		return
	}
	s.residency = r
	s.adapters = maps.Clone(r.Adapters)
}

// Placed notes that the owner has loaded an adapter, before it says so to all.
func (b *Balancer) Placed(server *site.Server, adapter site.Adapter, version int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.station(server)
	if s.adapters != nil {
		s.adapters[adapter] = max(version, s.adapters[adapter], 1)
	}
}

// Denied notes that a server does not hold an adapter after all.
func (b *Balancer) Denied(server *site.Server, adapter site.Adapter) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.station(server).adapters, adapter)
}

// InFlight has the requests of this host on the zones' engines. Counts above zero
// are told each time, so that a lost report is made good by the next one.
func (b *Balancer) InFlight(zones map[string]bool) []site.InFlight {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var list []site.InFlight
	for id, s := range b.stations {
		if (s.running > 0 || s.told > 0) && zones[s.zone] {
			list = append(list, site.InFlight{Server: id, Count: s.running})
			s.told = s.running
		}
	}
	return list
}

// Busy takes over how many requests run on each engine, as its owner counts them.
func (b *Balancer) Busy(running map[site.ServerID]int) {
	now := time.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, count := range running {
		if s := b.stations[id]; s != nil {
			s.load, s.reported, s.sentThen = Load{Running: count}, now, s.sent
		}
	}
}
