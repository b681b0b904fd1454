package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// Loads are ratios of requests to a server's concurrency slots; costs are in the
// same unit.
const (
	// otherZoneCost and otherRegionCost are added to the load of a server in
	// another zone of this region or in another region. Traffic between regions
	// is paid for.
	otherZoneCost   = 0.04
	otherRegionCost = 0.12
	// From spillLoadThreshold on the least loaded engine with the adapter,
	// another engine is considered for loading a further copy. Its load has to be
	// lower by more than minSpillLoadGain.
	spillLoadThreshold = 0.8
	minSpillLoadGain   = 0.35
	// maxHomeLoad is the load from which an engine is passed over as the home
	// engine of an adapter.
	maxHomeLoad = 0.9
)

// A candidate is a server that a request may be sent to.
type candidate struct {
	server *site.Server
	state  *serverState
	loaded bool
	// load is the estimated ratio of requests to concurrency slots. cost is load
	// plus the cost of the distance.
	load, cost float64
	// estimate is when an answer is expected to begin. It is the zero value if no server of
	// the service states its slowness.
	estimate StartEstimate
}

// candidates lists the servers to choose from. Servers that have no turn for now are left
// out unless there are no others, servers that are avoided after failures unless there are
// no others either, and servers that leave unless there is nothing else. Servers that want
// no requests are not listed.
func (b *Balancer) candidates(view *site.View, w ServerRequirements, now time.Time) []candidate {
	var healthy, limited, avoided, leaving []candidate
	times := b.times[w.Service]
	for _, server := range view.ServersOf(w.Service) {
		if server.State != site.Ready || containsServer(w.Tried, server.ID) {
			continue
		}
		s := b.stateOf(server)
		if s.availability.isOut(now) || s.availability.isResuming(now) && s.inFlight > 0 {
			continue
		}
		c := candidate{server: server, state: s, load: s.estimatedRequests(now) / float64(server.MaxConcurrency)}
		c.cost = c.load + b.distanceCost(server.Zone)
		c.loaded = s.hasAdapter(server, w)
		if times != nil {
			c.estimate = s.estimateStart(times, server.MaxConcurrency, w.PromptTokens, now)
		}
		switch {
		case !s.availability.leavingSince.IsZero():
			leaving = append(leaving, c)
		case now.Before(s.avoidUntil):
			avoided = append(avoided, c)
		case now.Before(s.limit.refusedUntil):
			limited = append(limited, c)
		default:
			healthy = append(healthy, c)
		}
	}
	switch {
	case len(healthy) > 0:
		return healthy
	case len(limited) > 0:
		return limited
	case len(avoided) > 0:
		return avoided
	default:
		return leaving
	}
}

func containsServer(list []site.ServerID, id site.ServerID) bool {
	for _, known := range list {
		if known == id {
			return true
		}
	}
	return false
}

// hasAdapter reports whether the adapter is believed to be loaded. The owner's
// residency decides; the server's own announcement, which is older, is used if
// there is no residency.
func (s *serverState) hasAdapter(server *site.Server, w ServerRequirements) bool {
	if w.Adapter.Model == "" {
		return true
	}
	if s.adapters != nil {
		version, ok := s.adapters[w.Adapter]
		return ok && version >= w.MinVersion
	}
	for _, m := range server.LoadedModels {
		if m.Name != w.Adapter.Model {
			continue
		}
		if w.Adapter.Name == "" {
			return true
		}
		version, ok := m.Adapters[w.Adapter.Name]
		return ok && version >= w.MinVersion
	}
	return false
}

// estimatedRequests estimates the number of requests at the server: its last
// report, corrected by the change of this host's requests in flight since then.
func (s *serverState) estimatedRequests(now time.Time) float64 {
	if now.Sub(s.reportedAt) > loadReportMaxAge {
		return float64(s.inFlight)
	}
	return float64(max(s.load.Running+s.load.Waiting+s.inFlight-s.inFlightAtReport, s.inFlight))
}

// distanceCost returns the cost added for a server's zone.
func (b *Balancer) distanceCost(zone string) float64 {
	switch {
	case zone == b.Zone:
		return 0
	case b.Regions[zone] == b.Regions[b.Zone]:
		return otherZoneCost
	default:
		return otherRegionCost
	}
}

// cheapest returns the candidate with the lowest cost among those that fit. Its
// state is nil if none fits.
func cheapest(candidates []candidate, fits func(candidate) bool) candidate {
	var best candidate
	for _, c := range candidates {
		if fits(c) && (best.state == nil || c.cost < best.cost || c.cost == best.cost && c.server.ID < best.server.ID) {
			best = c
		}
	}
	return best
}

// chooseEngine prefers an engine that holds the adapter. If none does, or all are
// busy, it considers the home engine, on which all hosts agree so that the
// adapter is loaded only once.
func (b *Balancer) chooseEngine(candidates []candidate, adapter site.Adapter) candidate {
	if stateSlowness(candidates) {
		soonest := b.likelySoonest(candidates, func(c candidate) bool { return c.loaded && c.load < spillLoadThreshold })
		if soonest.state != nil {
			return soonest
		}
	}
	resident := cheapest(candidates, func(c candidate) bool { return c.loaded })
	if resident.state != nil && resident.load < spillLoadThreshold {
		return resident
	}
	home := b.homeEngine(candidates, adapter)
	if resident.state == nil {
		return home
	}
	if home.state != nil && home.load+minSpillLoadGain < resident.load {
		return home
	}
	return resident
}

// homeEngine returns the first engine in rendezvous order, among those whose
// zones have an owner, that does not hold the adapter and is below maxHomeLoad.
// If there is none, it returns the first one in that order. The candidate's state
// is nil if no zone has an owner.
func (b *Balancer) homeEngine(candidates []candidate, adapter site.Adapter) candidate {
	var best, first candidate
	var bestScore, firstScore uint64
	hasOwner := make(map[string]bool)
	for _, c := range candidates {
		if _, known := hasOwner[c.server.Zone]; !known {
			hasOwner[c.server.Zone] = b.HasOwner(c.server.Zone)
		}
		if !hasOwner[c.server.Zone] {
			continue
		}
		score := xxhash.Sum64String(adapter.Name + "\x00" + adapter.Model + "\x00" + string(c.server.ID))
		if first.state == nil || score > firstScore {
			first, firstScore = c, score
		}
		if c.load < maxHomeLoad && !c.loaded && (best.state == nil || score > bestScore) {
			best, bestScore = c, score
		}
	}
	if best.state == nil {
		return first
	}
	return best
}

// inRegion returns the candidates in the region of this host.
func (b *Balancer) inRegion(candidates []candidate) []candidate {
	var local []candidate
	for _, c := range candidates {
		if b.Regions[c.server.Zone] == b.Regions[b.Zone] {
			local = append(local, c)
		}
	}
	return local
}
