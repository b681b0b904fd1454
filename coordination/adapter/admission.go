package adapter

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// admissionWindow is the time whose share of the read rate may be admitted at once. It
	// is shorter than 250 ms, the shortest pause between stream events that callers accept.
	admissionWindow = 220 * time.Millisecond
	// minAdmissionDelay bounds how often pending requests are considered.
	minAdmissionDelay = 2 * time.Millisecond
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

const (
	// loadWindow is the time over which the share of an engine's time that goes into
	// reading prompts is measured.
	loadWindow = time.Second
	// readingLoad is the load, as a ratio of requests to concurrency slots, that an engine
	// has when it reads prompts all the time. From this load on, hosts use other engines.
	readingLoad = 0.8
)

// An admission records a prompt that was admitted to an engine.
type admission struct {
	at       time.Time
	tokens   int
	priority int
}

// admitPrompt records and admits a prompt if the engine can read it without
// stalling its running streams for too long.
func (e *engine) admitPrompt(tokens int, now time.Time) bool {
	e.dropOldAdmissions(now)
	if !e.readRate.take(tokens, now) {
		return false
	}
	e.admissions = append(e.admissions, admission{at: now, tokens: tokens})
	return true
}

// admitRequest does the same with the prompt of a request, and records its priority.
func (e *engine) admitRequest(r site.PlaceRequest, now time.Time) bool {
	if !e.admitPrompt(r.PromptTokens, now) {
		return false
	}
	e.admissions[len(e.admissions)-1].priority = r.Priority
	return true
}

// dropOldAdmissions removes the admissions that have left loadWindow.
func (e *engine) dropOldAdmissions(now time.Time) {
	first := 0
	for first < len(e.admissions) && now.Sub(e.admissions[first].at) >= loadWindow {
		first++
	}
	e.admissions = e.admissions[first:]
}

// equivalentRequests returns the number of running requests that stands for the engine's load
// towards other hosts. An engine that reads prompts all the time is loaded although it runs
// few requests.
func (e *engine) equivalentRequests(now time.Time) int {
	e.dropOldAdmissions(now)
	admitted := 0
	for _, a := range e.admissions {
		admitted += a.tokens
	}
	reading := min(float64(admitted)/e.readRate.tokensIn(loadWindow), 1)
	return max(e.running.total, int(readingLoad*reading*float64(e.server.MaxConcurrency)))
}

// nextAdmissionDelay returns the time until a pending request may be admitted, because
// the engine has read others or the next turn comes, but at most loopInterval.
func (e *engine) nextAdmissionDelay(now time.Time) time.Duration {
	switch {
	case len(e.pending) == 0:
		return loopInterval
	case !e.limit.hasTurn(e.pending[0].request.Priority, now):
		return min(loopInterval, e.limit.turnWait(0, e.pending[0].request.Priority, now))
	}
	return min(loopInterval, max(e.readRate.wait(e.pending[0].request.PromptTokens, now), minAdmissionDelay))
}

// isFull reports whether the engine runs as many requests as it should.
func (e *engine) isFull() bool {
	return float64(e.running.total) >= maxRequestsPerSlot*float64(e.server.MaxConcurrency)
}

// recordUse counts a use of the adapter and reports whether loading another copy
// of it is worthwhile: on every usesPerReplica-th use from a region, if that is
// another region or this engine is busy.
func (e *engine) recordUse(r site.PlaceRequest, now time.Time) bool {
	if r.Adapter.Name == "" {
		return false
	}
	key := adapterUse{adapter: r.Adapter, region: r.Region}
	e.uses[key]++
	uses := e.uses[key]
	if uses%usesPerReplica != 0 {
		return false
	}
	return r.Region != e.region || float64(e.equivalentRequests(now)) >= replicaLoadThreshold*float64(e.server.MaxConcurrency)
}
