package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// loadMemory is the time constant with which a reported number of requests gives way to
	// the average one while the report ages.
	loadMemory = 500 * time.Millisecond
	// otherZoneWait and otherRegionWait are what a server in another zone of this region or
	// in another region has to gain, in usual answer times. Traffic between regions is paid
	// for.
	otherZoneWait   = 0.4
	otherRegionWait = 1.2
	// choiceExponent is the power of the expected wait with which the chance of a server
	// falls. Without chance, all hosts with the same report would choose the same server.
	choiceExponent = 4
	// maxReplicaSlowness is the expected slowness from which an engine gets no further
	// copies of adapters.
	maxReplicaSlowness = 2.0
)

// A StartEstimate is what this host expects of the begin of an answer when it chooses a server.
type StartEstimate struct {
	// Delay is the time from the send until the answer begins. It is 0 while no answer of the
	// service has been measured.
	Delay time.Duration
	// isStated means that the server states its slowness.
	isStated bool
	// crowding is the ratio of the time of an answer to that on an idle server, and prompt
	// the time of reading the prompt, both at the usual speed; prompt is in usual answer
	// times.
	crowding, prompt float64
	// slowness is the expected slowness, mean its average, and deviation that of the newest
	// stated value from the average of stated values.
	slowness, mean, deviation float64
}

// IsStated reports whether the server states how long work takes on it.
func (e *StartEstimate) IsStated() bool { return e.isStated }

// effort returns the expected time of the answer at the usual speed, in usual answer times.
func (e *StartEstimate) effort() float64 { return e.crowding + e.prompt }

// estimateStart estimates the begin of an answer to a request with the prompt at a server.
func (s *serverState) estimateStart(t *serviceTimes, slots, promptTokens int, now time.Time) StartEstimate {
	e := StartEstimate{isStated: s.slowness.isStated(), mean: s.slowness.mean(), prompt: t.answers.promptShare(promptTokens)}
	e.crowding = 1 + s.expectedRequests(now)/float64(max(slots, 1))
	e.slowness, e.deviation = s.slowness.expected(t.persistence.share(), now)
	e.Delay = time.Duration(float64(t.answers.usual) * e.effort() * e.slowness)
	return e
}

// expectedRequests returns the expected number of requests at a server that states its slowness:
// those that it reported, which give way to the average number, and what this host has sent
// since.
func (s *serverState) expectedRequests(now time.Time) float64 {
	weight := 0.0
	if !s.reportedAt.IsZero() {
		weight = math.Exp(-float64(now.Sub(s.reportedAt)) / float64(loadMemory))
	}
	reported := weight*float64(s.load.Running+s.load.Waiting) + (1-weight)*s.meanRequests
	return max(reported+float64(s.inFlight-s.inFlightAtReport), float64(s.inFlight))
}

// recordReport takes over a report of a server that states its slowness.
func (s *serverState) recordReport(load LoadReport, now time.Time) {
	s.meanRequests = average(s.meanRequests, float64(load.Running+load.Waiting), s.slowness.statedAt, now)
	s.slowness.recordStated(load.Slowness, now)
}

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

// An AnswerTime compares the begin of an answer with its estimate.
type AnswerTime struct {
	// Estimate is that of the Pick, and Delay the time from the send until the answer began.
	Estimate StartEstimate
	Delay    time.Duration
}

// recordAnswer learns from the time of an answer of a server that states its slowness.
func (t *serviceTimes) recordAnswer(s *serverState, a AnswerTime, now time.Time) {
	if !a.Estimate.isStated || a.Delay <= 0 {
		return
	}
	t.compare(a)
	if usual := t.answers.usual; usual > 0 {
		measured := float64(a.Delay) / (float64(usual) * a.Estimate.effort())
		t.persistence.record(a.Estimate.deviation, min(measured, maxSlowness)-a.Estimate.mean)
		s.slowness.recordMeasured(measured, now)
	}
	t.answers.record(a.Estimate.crowding*a.Estimate.slowness, 0, a.Delay)
}

// recordBegun learns from the first event of a stream. What was expected of the server when the
// request was sent is not known any more, so that its present state stands for it.
func (t *serviceTimes) recordBegun(s *serverState, slots, promptTokens int, delay time.Duration, now time.Time) {
	if delay <= 0 {
		return
	}
	e := s.estimateStart(t, slots, promptTokens, now)
	t.compare(AnswerTime{Estimate: e, Delay: delay})
	if usual := t.answers.usual; usual > 0 {
		s.slowness.recordMeasured(float64(delay)/(float64(usual)*e.effort()), now)
	}
	t.answers.record(e.crowding*e.slowness, float64(promptTokens)*e.slowness, delay)
}
