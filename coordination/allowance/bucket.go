// Package allowance decides whether something may be sent now: a token bucket that fills at
// a rate up to a capacity.
package allowance

import (
	"math"
	"time"
)

// maxRate bounds the rate and the capacity of buckets, so that sums of them stay finite.
const maxRate = 1e15

// A Bucket holds units that become available at a rate. The zero value holds none and never
// fills. It is not safe for concurrent use.
//
// In a time t it grants at most its capacity + its rate * t, less what is debited.
type Bucket struct {
	perSecond, capacity float64
	// level is the number of units at the time at. It is below 0 after debits.
	level float64
	at    time.Time
}

// NewEmpty returns a bucket that is empty at the given time.
func NewEmpty(perSecond, capacity float64, at time.Time) *Bucket {
	b := &Bucket{at: at}
	b.SetLimit(perSecond, capacity, at)
	return b
}

// SetLimit changes the rate and the capacity. Units beyond a lower capacity are lost.
// Numbers that are negative or not numbers count as 0.
func (b *Bucket) SetLimit(perSecond, capacity float64, now time.Time) {
	b.advance(now)
	b.perSecond, b.capacity = bounded(perSecond), bounded(capacity)
	b.level = min(b.level, b.capacity)
}

// Limit returns the number of units that become available a second.
func (b *Bucket) Limit() float64 {
	return b.perSecond
}

// Level returns the number of units at the given time.
func (b *Bucket) Level(now time.Time) float64 {
	b.advance(now)
	return b.level
}

// Take takes the units and reports whether it did. It takes nothing if there are fewer, or
// if the number is negative or not a number.
func (b *Bucket) Take(units float64, now time.Time) bool {
	b.advance(now)
	if !(units >= 0 && units <= b.level) {
		return false
	}
	b.level -= units
	return true
}

// Debit takes units whether there are as many or not.
func (b *Bucket) Debit(units float64, now time.Time) {
	b.advance(now)
	b.level -= bounded(units)
}

// Return gives back units that were taken. Units beyond the capacity are lost.
func (b *Bucket) Return(units float64, now time.Time) {
	b.advance(now)
	b.level = min(b.level+bounded(units), b.capacity)
}

// Wait returns the time in which the units that are missing become available, whatever the
// capacity, if nobody else takes any. It is math.MaxInt64 if they never do.
func (b *Bucket) Wait(units float64, now time.Time) time.Duration {
	b.advance(now)
	return WaitFor(units-b.level, b.perSecond)
}

// WaitFor returns the time in which missing units become available at a rate.
func WaitFor(missing, perSecond float64) time.Duration {
	if missing <= 0 {
		return 0
	}
	seconds := missing / perSecond
	if !(seconds < math.MaxInt64/float64(time.Second)) {
		return math.MaxInt64
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// advance adds the units that have become available since the last call. Time does not go
// back.
func (b *Bucket) advance(now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	b.at = now
	b.level = min(b.level+b.perSecond*elapsed.Seconds(), b.capacity)
}

func bounded(value float64) float64 {
	if !(value > 0) {
		return 0
	}
	return min(value, maxRate)
}
