package balance

import (
	"math"
	"time"
)

// loadMemory is the time constant with which a reported number of requests gives way to
// the average one while the report ages.
const loadMemory = 500 * time.Millisecond

// A StartEstimate is when this host expects an answer to start as it chooses a server.
type StartEstimate struct {
	// Delay is the time from the send until the answer starts. It is 0 while no answer of the
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

// estimateStart estimates the start of an answer to a request with the prompt at a server.
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
