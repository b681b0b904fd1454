package balance

import (
	"math"
	"math/rand/v2"
)

const (
	// otherZoneWait and otherRegionWait are what a server in another zone of this region or
	// in another region has to gain, in usual answer times. Traffic between regions is paid
	// for.
	otherZoneWait   = 0.4
	otherRegionWait = 1.2
	// choiceExponent is the power of the expected wait with which the chance of a server
	// falls. With a fixed choice, all hosts with the same report would choose the same server.
	choiceExponent = 4
	// maxReplicaSlowness is the expected slowness from which an engine gets no further
	// copies of adapters.
	maxReplicaSlowness = 2.0
)

// expectedWait returns the wait by which servers are compared, in usual answer times. Each of
// this host's own requests at the server counts as a whole answer time, because the other hosts
// send theirs at the same time and no report tells of them yet.
func (b *Balancer) expectedWait(c candidate) float64 {
	return c.estimate.slowness*(c.estimate.effort()+float64(c.state.inFlight)) + b.distanceWait(c.server.Zone)
}

// distanceWait returns the wait added for a server's zone.
func (b *Balancer) distanceWait(zone string) float64 {
	switch {
	case zone == b.Zone:
		return 0
	case b.Regions[zone] == b.Regions[b.Zone]:
		return otherZoneWait
	default:
		return otherRegionWait
	}
}

// stateSlowness reports whether any of the servers states its slowness.
func stateSlowness(candidates []candidate) bool {
	for _, c := range candidates {
		if c.estimate.isStated {
			return true
		}
	}
	return false
}

// likelySoonest draws one of the candidates that fit. Its chance falls with its expected wait.
// The state is nil if none fits.
func (b *Balancer) likelySoonest(candidates []candidate, fits func(candidate) bool) candidate {
	weights := make([]float64, len(candidates))
	total := 0.0
	for i, c := range candidates {
		if fits(c) {
			weights[i] = math.Pow(b.expectedWait(c), -choiceExponent)
			total += weights[i]
		}
	}
	drawn := rand.Float64() * total
	var chosen candidate
	for i, c := range candidates {
		if weights[i] <= 0 {
			continue
		}
		chosen = c
		drawn -= weights[i]
		if drawn < 0 {
			break
		}
	}
	return chosen
}

// choosePlain returns the server for a request without an adapter: the one with the lowest cost
// or, where servers state their slowness, one that is likely to answer soonest.
func (b *Balancer) choosePlain(candidates []candidate) candidate {
	anyServer := func(candidate) bool { return true }
	if stateSlowness(candidates) {
		return b.likelySoonest(candidates, anyServer)
	}
	return cheapest(candidates, anyServer)
}
