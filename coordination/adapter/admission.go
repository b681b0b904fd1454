package adapter

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// admissionWindow is the time span over which admitted prompt tokens are
	// summed. It is shorter than 250 ms, the shortest pause between stream events
	// that callers accept.
	admissionWindow = 220 * time.Millisecond
	// maxTokensPerWindow is the number of prompt tokens that one engine may be
	// given per admissionWindow. Engines read about 38 prompt tokens per
	// millisecond, in between the tokens that they generate for other requests.
	maxTokensPerWindow = 5500
	// maxRequestsPerSlot is the ratio of running requests to concurrency slots at
	// which an engine counts as full. It is more than 1 because hosts report the
	// end of their requests up to half a second late.
	maxRequestsPerSlot = 1.25
	// usesPerReplica is the number of uses of an adapter from one region after
	// which loading another copy there costs less than sending the requests'
	// bytes between the regions.
	usesPerReplica = 8
	// replicaLoadThreshold is the ratio of running requests to concurrency slots
	// from which an engine is busy enough to justify loading a copy of its
	// adapter on another engine.
	replicaLoadThreshold = 0.6
)

// An adapterUse identifies an adapter and a region whose requests use it.
type adapterUse struct {
	adapter site.Adapter
	region  string
}

// An admission records a prompt that was admitted to an engine.
type admission struct {
	at     time.Time
	tokens int
}

// admitPrompt records and admits a prompt if the engine can read it without
// stalling its running streams for too long. A prompt that alone exceeds
// maxTokensPerWindow is admitted when no other prompt is in the window.
func (e *engine) admitPrompt(tokens int, now time.Time) bool {
	e.dropOldAdmissions(now)
	sum := 0
	for _, t := range e.admissions {
		sum += t.tokens
	}
	if sum > 0 && sum+tokens > maxTokensPerWindow {
		return false
	}
	e.admissions = append(e.admissions, admission{at: now, tokens: tokens})
	return true
}

// dropOldAdmissions removes the admissions that have left the window.
func (e *engine) dropOldAdmissions(now time.Time) {
	first := 0
	for first < len(e.admissions) && now.Sub(e.admissions[first].at) >= admissionWindow {
		first++
	}
	e.admissions = e.admissions[first:]
}

// nextAdmissionDelay returns the time until a pending request may be admitted, because
// the oldest admission leaves the window or the next turn comes, but at most
// loopInterval.
func (e *engine) nextAdmissionDelay(now time.Time) time.Duration {
	e.dropOldAdmissions(now)
	switch {
	case len(e.pending) == 0:
		return loopInterval
	case !e.limit.hasTurn(e.pending[0].request.Priority, now):
		return min(loopInterval, e.limit.turnWait(0, e.pending[0].request.Priority, now))
	case len(e.admissions) == 0:
		return loopInterval
	}
	return min(loopInterval, e.admissions[0].at.Add(admissionWindow).Sub(now))
}

// isFull reports whether the engine runs as many requests as it should.
func (e *engine) isFull() bool {
	return float64(e.running.total) >= maxRequestsPerSlot*float64(e.server.MaxConcurrency)
}

// recordUse counts a use of the adapter and reports whether loading another copy
// of it is worthwhile: on every usesPerReplica-th use from a region, if that is
// another region or this engine is busy.
func (e *engine) recordUse(r site.PlaceRequest) bool {
	if r.Adapter.Name == "" {
		return false
	}
	key := adapterUse{adapter: r.Adapter, region: r.Region}
	e.uses[key]++
	uses := e.uses[key]
	if uses%usesPerReplica != 0 {
		return false
	}
	return r.Region != e.region || float64(e.running.total) >= replicaLoadThreshold*float64(e.server.MaxConcurrency)
}
