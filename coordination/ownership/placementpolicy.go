package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A PendingLoad is an adapter that grant requests wait for on one engine.
type PendingLoad struct {
	// Adapter is the adapter to load. It is neither resident nor being loaded.
	Adapter fleet.AdapterReference
	// Urgency is the highest urgency of the waiting requests.
	Urgency configuration.Urgency
	// Deadline is when the first of the waiting requests stops waiting.
	Deadline time.Time
	// FirstArrival is when the first of the waiting requests arrived.
	FirstArrival time.Time
	// RequestCount is the number of waiting requests; at least 1.
	RequestCount int
}

// An EvictionCandidate is an instance that has no grants and may be evicted.
type EvictionCandidate struct {
	Instance fleet.Instance
	// LastUsed is when the instance was last granted, or, if that was never, when
	// it was loaded or first listed by the engine.
	LastUsed time.Time
	// Grantable says that the owner may grant the instance. Instances of earlier
	// owners are often resident but not grantable.
	Grantable bool
}

// A PlacementPolicy chooses which adapters to load and which instances to evict. It
// is used by many Owners concurrently.
type PlacementPolicy interface {
	// RecordRequest records one grant request for the adapter, whether it is
	// resident or not.
	RecordRequest(adapter fleet.AdapterReference, now time.Time)
	// SelectLoad returns the index in waiting of the adapter to load next, or -1 to
	// load none now.
	SelectLoad(engine fleet.Engine, waiting []PendingLoad, now time.Time) int
	// Priority returns the priority of a load among the loads of all engines. It
	// is more than zero, and the highest goes first.
	Priority(waiting PendingLoad, now time.Time) float64
	// SelectVictim returns the index in resident of the instance to evict for the
	// next load, or -1 to evict none now. resident is not empty.
	SelectVictim(engine fleet.Engine, resident []EvictionCandidate, next PendingLoad, now time.Time) int
}

// An UrgencyLRUPolicy loads the most urgent adapter. Of equally urgent ones it loads
// the one with the earliest deadline, and then the one with the most requests. It evicts instances
// that cannot be granted first, and otherwise the least recently used one.
type UrgencyLRUPolicy struct{}

// RecordRequest does nothing, because the policy does not use request rates.
func (UrgencyLRUPolicy) RecordRequest(fleet.AdapterReference, time.Time) {}

// SelectLoad returns the index of the most urgent adapter, or -1 if waiting is empty.
func (UrgencyLRUPolicy) SelectLoad(_ fleet.Engine, waiting []PendingLoad, _ time.Time) int {
	return indexOfLowest(waiting, func(a, b PendingLoad) int {
		return cmp.Or(
			cmp.Compare(urgencyRank(a.Urgency), urgencyRank(b.Urgency)),
			a.Deadline.Compare(b.Deadline),
			cmp.Compare(b.RequestCount, a.RequestCount),
		)
	})
}

// Priority returns a value from 1 for an unknown urgency up to 4 for the highest.
func (UrgencyLRUPolicy) Priority(waiting PendingLoad, _ time.Time) float64 {
	return float64(len(urgencies) + 1 - urgencyRank(waiting.Urgency))
}

// SelectVictim returns the index of an instance that cannot be granted, if there is
// one, and otherwise of the least recently used instance.
func (UrgencyLRUPolicy) SelectVictim(_ fleet.Engine, resident []EvictionCandidate, _ PendingLoad, _ time.Time) int {
	return indexOfLowest(resident, func(a, b EvictionCandidate) int {
		if a.Grantable != b.Grantable {
			if a.Grantable {
				return 1
			}
			return -1
		}
		return a.LastUsed.Compare(b.LastUsed)
	})
}

// indexOfLowest returns the index of the first lowest item, or -1 without items.
func indexOfLowest[T any](items []T, compare func(a, b T) int) int {
	best := -1
	for i := range items {
		if best < 0 || compare(items[i], items[best]) < 0 {
			best = i
		}
	}
	return best
}

// urgencies are the known urgencies, most urgent first.
var urgencies = []configuration.Urgency{
	configuration.UrgencyInteractive,
	configuration.UrgencyPrompt,
	configuration.UrgencyDeferred,
}

// urgencyRank returns 0 for the highest urgency. Unknown urgencies have the largest
// rank.
func urgencyRank(u configuration.Urgency) int {
	if i := slices.Index(urgencies, u); i >= 0 {
		return i
	}
	return len(urgencies)
}
