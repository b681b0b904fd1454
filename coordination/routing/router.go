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

// A Router chooses engines from its newest snapshot. Its exported fields are
// set before use. Choose and Done may be called by many goroutines; UpdateCandidates by one.
type Router struct {
	// FailureDomain and Region are where this host stands.
	FailureDomain fleet.FailureDomainName
	Region        fleet.RegionName
	// StallWeight and BatchWeight are the costs of a second of load stall and
	// of a second in a full engine's queue. Their ratio decides when a second
	// copy of an adapter is worth a load.
	StallWeight, BatchWeight float64
	// LinkBudget limits the bytes to other regions; nil means no limit.
	LinkBudget LinkBudget

	snapshot atomic.Pointer[Snapshot]
	mutex    sync.Mutex
	inFlight map[fleet.EngineName]*atomic.Int64
}

// A LinkBudget limits what goes over the link between regions.
type LinkBudget interface {
	// TryConsume takes the bytes from the budget and reports whether they were left.
	TryConsume(bytes int) bool
}

// These constants weigh distance against load, in requests on an engine.
const (
	// regionPenalty is what another failure domain of the region costs.
	regionPenalty = 1
	// linkPenalty is what the link between regions costs; it is paid by volume.
	linkPenalty = 6
	// boundedLoad is the load over the mean at which the ring passes an engine over.
	boundedLoad = 1.25
	// deferredBatches and promptBatches are the requests on an engine, in
	// batches, from which requests of the urgency are refused.
	deferredBatches = 2
	promptBatches   = 3
	// overloadPause is the retry-after of such a refusal, about the time in
	// which an engine answers one batch.
	overloadPause = 5 * time.Second
	// responseBytes is the expected size of an answer that crosses the link.
	responseBytes = 8 << 10
)

// UpdateCandidates replaces the snapshot. Candidates need Engine, Summary and Distance.
func (r *Router) UpdateCandidates(candidates []Candidate, now time.Time) {
	next := &Snapshot{Candidates: candidates, CreatedAt: now}
	earlier := r.snapshot.Load()
	known := make(map[fleet.EngineName]Candidate)
	if earlier != nil {
		for _, candidate := range earlier.Candidates {
			known[candidate.Engine.Name] = candidate
		}
	}
	for i := range next.Candidates {
		candidate := &next.Candidates[i]
		candidate.inFlight = r.counter(candidate.Engine.Name)
		before, ok := known[candidate.Engine.Name]
		if ok && before.Summary.ReceivedAt.Equal(candidate.Summary.ReceivedAt) {
			candidate.reportedInFlight = before.reportedInFlight
		} else {
			candidate.reportedInFlight = candidate.inFlight.Load()
		}
	}
	next.index(earlier)
	r.snapshot.Store(next)
}

func (r *Router) counter(engine fleet.EngineName) *atomic.Int64 {
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

// Choose returns the engine for a request and counts the request on it until
// Done. It prefers engines that hold the adapter; otherwise all hosts choose
// the same engine, so that they share its load.
func (r *Router) Choose(q *request.Request, tried []fleet.EngineName) (fleet.EngineName, error) {
	s := r.snapshot.Load()
	if s == nil || len(s.Candidates) == 0 {
		return "", verdict.NewNotRun(verdict.CodeOverloaded, "no engine with a reachable owner is known")
	}
	index := r.resident(s, q, tried)
	if index < 0 {
		index = r.home(s, q.Adapter, tried)
	} else if r.worthCopy(s, index) {
		if other := r.home(s, q.Adapter, append(tried, s.Candidates[index].Engine.Name)); other >= 0 && r.cheaper(s, other, index) {
			index = other
		}
	}
	if index < 0 {
		return "", verdict.NewNotRun(verdict.CodeOverloaded, "every engine was tried or is unreachable")
	}
	candidate := &s.Candidates[index]
	if full(candidate, q.Kind.Urgency) {
		refusal := verdict.NewNotRun(verdict.CodeOverloaded, "engine %s has too many requests for urgency %s", candidate.Engine.Name, q.Kind.Urgency)
		refusal.RetryAfter = overloadPause
		return "", refusal
	}
	if candidate.Distance == OtherRegion && r.LinkBudget != nil && !r.LinkBudget.TryConsume(len(q.Body)+responseBytes) {
		index = r.near(s, q.Adapter, tried)
		if index < 0 {
			return "", verdict.NewNotRun(verdict.CodeOverloaded, "the byte budget of the link between regions is spent")
		}
		candidate = &s.Candidates[index]
	}
	candidate.inFlight.Add(1)
	return candidate.Engine.Name, nil
}

// full says whether the engine has so many requests that one more of the urgency
// would delay more urgent ones. Engines queue in order of arrival, so that a
// queue of work that may wait makes interactive answers late.
func full(candidate *Candidate, urgency configuration.Urgency) bool {
	batch := max(candidate.Engine.BatchSize, 1)
	switch urgency {
	case configuration.UrgencyDeferred:
		return candidate.load() >= deferredBatches*batch
	case configuration.UrgencyPrompt:
		return candidate.load() >= promptBatches*batch
	}
	return false
}

// Done ends the count of a request on an engine.
func (r *Router) Done(engine fleet.EngineName) {
	r.counter(engine).Add(-1)
}

// resident returns the cheapest engine that holds the adapter, or -1.
func (r *Router) resident(s *Snapshot, q *request.Request, tried []fleet.EngineName) int {
	best, bestCost := -1, 0
	for _, i := range s.resident[q.Adapter] {
		candidate := &s.Candidates[i]
		if slices.Contains(tried, candidate.Engine.Name) {
			continue
		}
		cost := candidate.load() + penalty(candidate.Distance)
		if best < 0 || cost < bestCost {
			best, bestCost = int(i), cost
		}
	}
	return best
}

// worthCopy says whether the engine's queue is so long that a load elsewhere
// may cost less.
func (r *Router) worthCopy(s *Snapshot, index int) bool {
	candidate := &s.Candidates[index]
	queued := candidate.load() - candidate.Engine.BatchSize
	if queued <= 0 {
		return false
	}
	full := float64(candidate.Engine.BatchSize) * max(r.StallWeight, 0.1) / max(r.BatchWeight, 0.1)
	return float64(queued) > full
}

// cheaper says whether other has room where index has a queue.
func (r *Router) cheaper(s *Snapshot, other, index int) bool {
	return s.Candidates[other].load() < s.Candidates[other].Engine.BatchSize &&
		s.Candidates[other].load() < s.Candidates[index].load()/2
}

// home returns the engine that an adapter which is not resident is loaded on,
// by consistent hashing with bounded load, or -1.
func (r *Router) home(s *Snapshot, adapter fleet.AdapterReference, tried []fleet.EngineName) int {
	return r.walk(s, adapter, tried, OtherRegion)
}

// near is home without the engines of other regions.
func (r *Router) near(s *Snapshot, adapter fleet.AdapterReference, tried []fleet.EngineName) int {
	return r.walk(s, adapter, tried, SameRegion)
}

func (r *Router) walk(s *Snapshot, adapter fleet.AdapterReference, tried []fleet.EngineName, farthest Distance) int {
	bound := r.bound(s)
	first := -1
	position := s.start(adapter)
	for range s.points {
		index := int(s.points[position].candidate)
		position = (position + 1) % len(s.points)
		candidate := &s.Candidates[index]
		if index == first || candidate.Distance > farthest || slices.Contains(tried, candidate.Engine.Name) {
			continue
		}
		if first < 0 {
			first = index
		}
		if candidate.load() <= bound*max(candidate.Engine.BatchSize, 1)/max(s.capacity, 1) {
			return index
		}
	}
	return first
}

// bound returns the load that all engines together may have before the ring
// passes one over, in proportion to its batch size.
func (r *Router) bound(s *Snapshot) int {
	total := 0
	for i := range s.Candidates {
		total += s.Candidates[i].load() + 1
	}
	return int(boundedLoad*float64(total)) + s.capacity/2
}

func penalty(distance Distance) int {
	switch distance {
	case SameFailureDomain:
		return 0
	case SameRegion:
		return regionPenalty
	default:
		return linkPenalty
	}
}

// CandidateCount returns the number of engines in the newest snapshot.
func (r *Router) CandidateCount() int {
	s := r.snapshot.Load()
	if s == nil {
		return 0
	}
	return len(s.Candidates)
}
