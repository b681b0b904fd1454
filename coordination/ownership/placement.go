package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Waiting is an adapter that demands wait for.
type Waiting struct {
	// Adapter is not resident and not being loaded.
	Adapter fleet.AdapterReference
	// Urgency is the highest urgency of its demands.
	Urgency configuration.Urgency
	// Deadline is when the first of its demands stops waiting.
	Deadline time.Time
	// Since is when the first of its demands arrived.
	Since time.Time
	// Requests is the number of its demands; at least 1.
	Requests int
}

// A Resident is an instance without grants that may be evicted.
type Resident struct {
	Instance fleet.Instance
	// Used is when the instance was granted last, or when it was loaded or first
	// seen.
	Used time.Time
	// Usable says that the owner may grant the instance.
	Usable bool
}

// A Placement chooses what to load and what to evict. It is used by many Owners
// at the same time.
type Placement interface {
	// Demanded notes one demand for the adapter, whether it is resident or not.
	Demanded(adapter fleet.AdapterReference, now time.Time)
	// Next returns the index of the adapter that is loaded next, or -1 to load
	// none now.
	Next(engine fleet.Engine, waiting []Waiting, now time.Time) int
	// Priority orders the load of an adapter against loads of other engines; it
	// is more than zero, and the highest goes first.
	Priority(waiting Waiting, now time.Time) float64
	// Leave returns the index of the instance that makes room for the adapter,
	// or -1 to evict none now. resident is not empty.
	Leave(engine fleet.Engine, resident []Resident, next Waiting, now time.Time) int
}

// A SimplePlacement loads the most urgent adapter, then the one with the
// earliest deadline, then the one with the most requests. It evicts instances
// that cannot be granted first, and then the least recently used one.
type SimplePlacement struct{}

// Demanded does nothing.
func (SimplePlacement) Demanded(fleet.AdapterReference, time.Time) {}

// Next returns the index of the most urgent adapter.
func (SimplePlacement) Next(_ fleet.Engine, waiting []Waiting, _ time.Time) int {
	return lowest(waiting, func(a, b Waiting) int {
		return cmp.Or(
			cmp.Compare(urgencyRank(a.Urgency), urgencyRank(b.Urgency)),
			a.Deadline.Compare(b.Deadline),
			cmp.Compare(b.Requests, a.Requests),
		)
	})
}

// Priority is higher for more urgent adapters.
func (SimplePlacement) Priority(waiting Waiting, _ time.Time) float64 {
	return float64(len(urgencies) + 1 - urgencyRank(waiting.Urgency))
}

// Leave returns the index of the least recently used instance.
func (SimplePlacement) Leave(_ fleet.Engine, resident []Resident, _ Waiting, _ time.Time) int {
	return lowest(resident, func(a, b Resident) int {
		if a.Usable != b.Usable {
			if a.Usable {
				return 1
			}
			return -1
		}
		return a.Used.Compare(b.Used)
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
