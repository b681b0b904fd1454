package quota

import "time"

// usageSlots is the number of slots of a usage. All but the oldest one cover a window.
const usageSlots = 101

// A usage has the units that were granted in the last window and have not come back, by the
// time of their grant. With it units that come back after any time can be granted again: a
// bucket alone would let those of several seconds run in one window.
type usage struct {
	start     time.Time
	slotWidth time.Duration
	// newest is the number of the newest slot since start; slot i is at index i % usageSlots.
	newest int64
	slots  [usageSlots]float64
}

// newUsage returns a usage without units.
func newUsage(window time.Duration, start time.Time) *usage {
	return &usage{start: start, slotWidth: slotWidth(window)}
}

func slotWidth(window time.Duration) time.Duration {
	return max(window/(usageSlots-1), 1)
}

// advance drops the slots that have left the window. Time does not go back.
func (u *usage) advance(now time.Time) {
	newest := max(int64(now.Sub(u.start)/u.slotWidth), u.newest)
	for i := max(u.newest+1, newest-usageSlots+1); i <= newest; i++ {
		u.slots[i%usageSlots] = 0
	}
	u.newest = newest
}

// add records units that are granted now.
func (u *usage) add(units float64, now time.Time) {
	u.advance(now)
	u.slots[u.newest%usageSlots] += units
}

// remove removes units that were granted the given time ago and returns how many of them are
// in the window. What the slot of that time lacks is removed from older slots, which leave
// the window earlier.
func (u *usage) remove(units float64, age time.Duration, now time.Time) float64 {
	u.advance(now)
	grantedAt := now.Add(-age)
	if grantedAt.Before(u.start) {
		return 0
	}
	left := units
	for i := min(int64(grantedAt.Sub(u.start)/u.slotWidth), u.newest); left > 0 && i >= max(u.newest-usageSlots+1, 0); i-- {
		slot := &u.slots[i%usageSlots]
		removed := min(left, *slot)
		*slot -= removed
		left -= removed
	}
	return units - left
}

// sum returns the units in the window.
func (u *usage) sum(now time.Time) float64 {
	u.advance(now)
	sum := 0.0
	for _, units := range u.slots {
		sum += units
	}
	return sum
}
