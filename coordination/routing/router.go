package routing

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A Router chooses engines from its newest snapshot and counts the requests of
// this host on each engine. Its exported fields are set before first use. Many
// goroutines may call Choose and Done; only one may call UpdateCandidates.
type Router struct {
	// FailureDomain and Region are the location of this host.
	FailureDomain fleet.FailureDomainName
	Region        fleet.RegionName
	// StallWeight is the cost of a second in which a request waits for an adapter
	// load; BatchWeight is the cost of a second in the queue of a full engine.
	// Their ratio decides how long the queue of an engine must be before the
	// adapter is loaded on a second engine.
	StallWeight, BatchWeight float64
	// LinkBudget limits the bytes sent to other regions; nil means no limit.
	LinkBudget LinkBudget

	snapshot atomic.Pointer[Snapshot]
	mutex    sync.Mutex
	// inFlight holds the number of requests of this host on each engine. The
	// mutex guards the map; the counters are atomic.
	inFlight map[fleet.EngineName]*atomic.Int64
}

// A LinkBudget limits the bytes that are sent over the link between regions.
type LinkBudget interface {
	// TryConsume takes the bytes from the budget if it holds that many, and
	// reports whether it did.
	TryConsume(bytes int) bool
}

// The penalties, limits and estimates by which Choose selects an engine. The
// penalties weigh distance against load; their unit is requests on an engine.
const (
	// otherFailureDomainPenalty is the penalty of an engine in another failure
	// domain of the region.
	otherFailureDomainPenalty = 1
	// otherRegionPenalty is the penalty of an engine in another region. It is
	// higher, because traffic between regions is paid for by volume.
	otherRegionPenalty = 6
	// loadBoundFactor is the ratio of an engine's load to the mean load above
	// which consistent hashing skips the engine.
	loadBoundFactor = 1.25
	// deferredBatchLimit and promptBatchLimit are the numbers of requests on an
	// engine, in multiples of its batch size, from which it gets no further
	// deferred or prompt requests.
	deferredBatchLimit = 2
	promptBatchLimit   = 3
	// overloadRetryDelay is the RetryAfter of the refusal at one of these limits;
	// an engine answers one batch in about this time.
	overloadRetryDelay = 5 * time.Second
	// expectedResponseBytes is the expected size of an answer from another
	// region, which is charged to the LinkBudget together with the request.
	expectedResponseBytes = 8 << 10
)

// UpdateCandidates replaces the snapshot. The caller sets Engine, Summary and
// Distance of each candidate and does not use the slice afterwards.
func (r *Router) UpdateCandidates(candidates []Candidate, now time.Time) {
	next := &Snapshot{Candidates: candidates, CreatedAt: now}
	earlier := r.snapshot.Load()
	earlierCandidates := make(map[fleet.EngineName]Candidate)
	if earlier != nil {
		for _, candidate := range earlier.Candidates {
			earlierCandidates[candidate.Engine.Name] = candidate
		}
	}
	for i := range next.Candidates {
		candidate := &next.Candidates[i]
		candidate.inFlight = r.inFlightCounter(candidate.Engine.Name)
		earlierCandidate, ok := earlierCandidates[candidate.Engine.Name]
		if ok && earlierCandidate.Summary.ReceivedAt.Equal(candidate.Summary.ReceivedAt) {
			candidate.reportedInFlight = earlierCandidate.reportedInFlight
		} else {
			candidate.reportedInFlight = candidate.inFlight.Load()
		}
	}
	next.buildIndexes(earlier)
	r.snapshot.Store(next)
}

// inFlightCounter returns the counter of an engine and creates it on first use.
func (r *Router) inFlightCounter(engine fleet.EngineName) *atomic.Int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.inFlight == nil {
		r.inFlight = make(map[fleet.EngineName]*atomic.Int64)
	}
	if r.inFlight[engine] == nil {
		r.inFlight[engine] = new(atomic.Int64)
	}
	return r.inFlight[engine]
}

// Choose returns an engine that is not in tried and counts the request on it until
// Done is called. It prefers engines on which the adapter is resident. Otherwise
// it selects by consistent hashing, so that all hosts choose the same engine and
// the adapter is loaded only once. The error is a *verdict.Error with verdict
// NotRun and code overloaded.
func (r *Router) Choose(q *request.Request, tried []fleet.EngineName) (fleet.EngineName, error) {
	s := r.snapshot.Load()
	if s == nil || len(s.Candidates) == 0 {
		return "", verdict.NewNotRun(verdict.CodeOverloaded, "no engine with a reachable owner is known")
	}
	index := r.selectResident(s, q, tried)
	if index < 0 {
		index = r.selectByHash(s, q.Adapter, tried)
	} else if r.shouldConsiderCopy(s, index) {
		if other := r.selectByHash(s, q.Adapter, append(tried, s.Candidates[index].Engine.Name)); other >= 0 && r.isMuchLessLoaded(s, other, index) {
			index = other
		}
	}
	if index < 0 {
		return "", verdict.NewNotRun(verdict.CodeOverloaded, "every engine was tried or is unreachable")
	}
	candidate := &s.Candidates[index]
	if isFullFor(candidate, q.Kind.Urgency) {
		refusal := verdict.NewNotRun(verdict.CodeOverloaded, "engine %s has too many requests for urgency %s", candidate.Engine.Name, q.Kind.Urgency)
		refusal.RetryAfter = overloadRetryDelay
		return "", refusal
	}
	if candidate.Distance == OtherRegion && r.LinkBudget != nil && !r.LinkBudget.TryConsume(len(q.Body)+expectedResponseBytes) {
		index = r.selectByHashInRegion(s, q.Adapter, tried)
		if index < 0 {
			return "", verdict.NewNotRun(verdict.CodeOverloaded, "the byte budget of the link between regions is spent")
		}
		candidate = &s.Candidates[index]
	}
	candidate.inFlight.Add(1)
	return candidate.Engine.Name, nil
}

// isFullFor reports whether the engine has too many requests to get another one of
// the given urgency. Engines serve their queues in order of arrival, so that a
// long queue of deferred requests would delay interactive ones. No limit applies
// to interactive requests.
func isFullFor(candidate *Candidate, urgency configuration.Urgency) bool {
	batch := max(candidate.Engine.BatchSize, 1)
	switch urgency {
	case configuration.UrgencyDeferred:
		return candidate.load() >= deferredBatchLimit*batch
	case configuration.UrgencyPrompt:
		return candidate.load() >= promptBatchLimit*batch
	}
	return false
}

// Done removes a request from the count of an engine. It is called once for each
// engine that Choose returned.
func (r *Router) Done(engine fleet.EngineName) {
	r.inFlightCounter(engine).Add(-1)
}

// selectResident returns the index of the engine with the lowest sum of load and
// distance penalty among those on which the adapter is resident, or -1 if there is
// none that is not in tried.
func (r *Router) selectResident(s *Snapshot, q *request.Request, tried []fleet.EngineName) int {
	best, bestCost := -1, 0
	for _, i := range s.residentCandidates[q.Adapter] {
		candidate := &s.Candidates[i]
		if slices.Contains(tried, candidate.Engine.Name) {
			continue
		}
		cost := candidate.load() + distancePenalty(candidate.Distance)
		if best < 0 || cost < bestCost {
			best, bestCost = int(i), cost
		}
	}
	return best
}

// shouldConsiderCopy reports whether the engine's queue is so long that a load of
// the adapter on another engine may cost less than waiting.
func (r *Router) shouldConsiderCopy(s *Snapshot, index int) bool {
	candidate := &s.Candidates[index]
	queued := candidate.load() - candidate.Engine.BatchSize
	if queued <= 0 {
		return false
	}
	queueLimit := float64(candidate.Engine.BatchSize) * max(r.StallWeight, 0.1) / max(r.BatchWeight, 0.1)
	return float64(queued) > queueLimit
}

// isMuchLessLoaded reports whether the engine other has fewer requests than its
// batch size and less than half the load of the engine index.
func (r *Router) isMuchLessLoaded(s *Snapshot, other, index int) bool {
	return s.Candidates[other].load() < s.Candidates[other].Engine.BatchSize &&
		s.Candidates[other].load() < s.Candidates[index].load()/2
}

// selectByHash returns the index of the engine on which an adapter that is not
// resident is to be loaded, or -1 if all engines are in tried. It uses consistent
// hashing with bounded loads.
func (r *Router) selectByHash(s *Snapshot, adapter fleet.AdapterReference, tried []fleet.EngineName) int {
	return r.selectOnRing(s, adapter, tried, OtherRegion)
}

// selectByHashInRegion is like selectByHash, but ignores engines of other regions.
func (r *Router) selectByHashInRegion(s *Snapshot, adapter fleet.AdapterReference, tried []fleet.EngineName) int {
	return r.selectOnRing(s, adapter, tried, SameRegion)
}

// selectOnRing walks the hash ring from the adapter's position and returns the
// index of the first engine that is allowed and whose load is within its part of
// loadBound. If there is no such engine, it returns the first allowed
// one. An engine is
// allowed if it is not in tried and not farther than farthest. The result is -1 if
// no engine is allowed.
func (r *Router) selectOnRing(s *Snapshot, adapter fleet.AdapterReference, tried []fleet.EngineName, farthest Distance) int {
	bound := r.loadBound(s)
	first := -1
	position := s.ringPosition(adapter)
	for range s.ringPoints {
		index := int(s.ringPoints[position].candidate)
		position = (position + 1) % len(s.ringPoints)
		candidate := &s.Candidates[index]
		if index == first || candidate.Distance > farthest || slices.Contains(tried, candidate.Engine.Name) {
			continue
		}
		if first < 0 {
			first = index
		}
		if candidate.load() <= bound*max(candidate.Engine.BatchSize, 1)/max(s.totalBatchSize, 1) {
			return index
		}
	}
	return first
}

// loadBound returns the bound on the load of all engines together. An engine is
// skipped on the ring if its load exceeds its part of the bound, in proportion to
// its batch size. The bound includes half of the total batch size, so that no engine
// is skipped while it has at most half a batch of requests.
func (r *Router) loadBound(s *Snapshot) int {
	total := 0
	for i := range s.Candidates {
		total += s.Candidates[i].load() + 1
	}
	return int(loadBoundFactor*float64(total)) + s.totalBatchSize/2
}

// distancePenalty returns the penalty of a distance, in requests.
func distancePenalty(distance Distance) int {
	switch distance {
	case SameFailureDomain:
		return 0
	case SameRegion:
		return otherFailureDomainPenalty
	default:
		return otherRegionPenalty
	}
}

// CandidateCount returns the number of engines in the newest snapshot; it is 0
// before the first call of UpdateCandidates.
func (r *Router) CandidateCount() int {
	s := r.snapshot.Load()
	if s == nil {
		return 0
	}
	return len(s.Candidates)
}
