package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A PendingLoad is an adapter that demands wait for.
type PendingLoad struct {
	// Adapter is not resident and not being loaded.
	Adapter fleet.AdapterReference
	// Urgency is the highest urgency of its demands.
	Urgency configuration.Urgency
	// Deadline is when the first of its demands stops waiting.
	Deadline time.Time
	// FirstArrival is when the first of its demands arrived.
	FirstArrival time.Time
	// RequestCount is the number of its demands; at least 1.
	RequestCount int
}

// An EvictionCandidate is an instance without grants that may be evicted.
type EvictionCandidate struct {
	Instance fleet.Instance
	// LastUsed is when the instance was granted last, or when it was loaded or first
	// seen.
	LastUsed time.Time
	// Grantable says that the owner may grant the instance.
	Grantable bool
}

// A PlacementPolicy chooses what to load and what to evict. It is used by many Owners
// at the same time.
type PlacementPolicy interface {
	// RecordRequest notes one demand for the adapter, whether it is resident or not.
	RecordRequest(adapter fleet.AdapterReference, now time.Time)
	// SelectLoad returns the index of the adapter that is loaded next, or -1 to load
	// none now.
	SelectLoad(engine fleet.Engine, waiting []PendingLoad, now time.Time) int
	// Priority orders the load of an adapter against loads of other engines; it
	// is more than zero, and the highest goes first.
	Priority(waiting PendingLoad, now time.Time) float64
	// SelectVictim returns the index of the instance that makes room for the adapter,
	// or -1 to evict none now. resident is not empty.
	SelectVictim(engine fleet.Engine, resident []EvictionCandidate, next PendingLoad, now time.Time) int
}

// A UrgencyLRUPolicy loads the most urgent adapter, then the one with the
// earliest deadline, then the one with the most requests. It evicts instances
// that cannot be granted first, and then the least recently used one.
type UrgencyLRUPolicy struct{}

// RecordRequest does nothing.
func (UrgencyLRUPolicy) RecordRequest(fleet.AdapterReference, time.Time) {}

// SelectLoad returns the index of the most urgent adapter.
func (UrgencyLRUPolicy) SelectLoad(_ fleet.Engine, waiting []PendingLoad, _ time.Time) int {
	return lowest(waiting, func(a, b PendingLoad) int {
		return cmp.Or(
			cmp.Compare(urgencyRank(a.Urgency), urgencyRank(b.Urgency)),
			a.Deadline.Compare(b.Deadline),
			cmp.Compare(b.RequestCount, a.RequestCount),
		)
	})
}

// Priority is higher for more urgent adapters.
func (UrgencyLRUPolicy) Priority(waiting PendingLoad, _ time.Time) float64 {
	return float64(len(urgencies) + 1 - urgencyRank(waiting.Urgency))
}

// SelectVictim returns the index of the least recently used instance.
func (UrgencyLRUPolicy) SelectVictim(_ fleet.Engine, resident []EvictionCandidate, _ PendingLoad, _ time.Time) int {
	return lowest(resident, func(a, b EvictionCandidate) int {
		if a.Grantable != b.Grantable {
			if a.Grantable {
				return 1
			}
			return -1
		}
		return a.LastUsed.Compare(b.LastUsed)
	})
}

func lowest[T any](items []T, compare func(a, b T) int) int {
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

// urgencyRank returns 0 for the most urgent; unknown urgencies come last.
func urgencyRank(u configuration.Urgency) int {
	if i := slices.Index(urgencies, u); i >= 0 {
		return i
	}
	return len(urgencies)
}
