package allowance

import (
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestBucketKeepsItsLimit guards against a bucket that grants more in some time than its
// capacity and rate allow, whatever is taken, returned and changed meanwhile.
func TestBucketKeepsItsLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		now := time.Unix(0, 0)
		perSecond, capacity := rapid.Float64Range(0, 1000).Draw(r, "rate"), rapid.Float64Range(0, 1000).Draw(r, "capacity")
		b := NewEmpty(perSecond, capacity, now)
		used, allowed := 0.0, 0.0
		for range rapid.IntRange(1, 50).Draw(r, "steps") {
			elapsed := time.Duration(rapid.Int64Range(int64(-time.Second), int64(3*time.Second)).Draw(r, "elapsed"))
			if elapsed > 0 {
				now = now.Add(elapsed)
				allowed += perSecond * elapsed.Seconds()
			}
			units := rapid.Float64Range(0, 500).Draw(r, "units")
			at := now.Add(min(elapsed, 0))
			switch rapid.IntRange(0, 2).Draw(r, "action") {
			case 0:
				if b.Take(units, at) {
					used += units
				}
			case 1:
				given := min(units, used)
				b.Return(given, at)
				used -= given
			case 2:
				perSecond = rapid.Float64Range(0, 1000).Draw(r, "rate")
				b.SetLimit(perSecond, capacity, now)
			}
			if used > allowed+1e-6 {
				r.Fatalf("used %g units, allowed are %g", used, allowed)
			}
			if level := b.Level(now); level > capacity || level < 0 {
				r.Fatalf("level %g is out of range", level)
			}
		}
	})
}

// TestBucketLimits guards against limits and numbers without a defined answer.
func TestBucketLimits(t *testing.T) {
	start := time.Unix(100, 0)
	later := start.Add(10 * time.Second)
	tests := []struct {
		name                       string
		perSecond, capacity, units float64
		taken                      bool
		wait                       time.Duration
	}{
		{name: "enough", perSecond: 10, capacity: 100, units: 100, taken: true},
		{name: "more than there is", perSecond: 5, capacity: 100, units: 60, wait: 2 * time.Second},
		{name: "more than the capacity", perSecond: 10, capacity: 50, units: 60, wait: time.Second},
		{name: "nothing", units: 0, taken: true},
		{name: "no rate", capacity: 100, units: 1, wait: math.MaxInt64},
		{name: "no capacity", perSecond: 10, units: 1, wait: 100 * time.Millisecond},
		{name: "negative limit", perSecond: -1, capacity: -1, units: 1, wait: math.MaxInt64},
		{name: "infinite limit", perSecond: math.Inf(1), capacity: math.Inf(1), units: 1e15, taken: true},
		{name: "no number as limit", perSecond: math.NaN(), capacity: math.NaN(), units: 1, wait: math.MaxInt64},
		{name: "negative units", perSecond: 10, capacity: 100, units: -1},
		{name: "no number as units", perSecond: 10, capacity: 100, units: math.NaN(), wait: math.MaxInt64},
		{name: "infinite units", perSecond: 10, capacity: 100, units: math.Inf(1), wait: math.MaxInt64},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			b := NewEmpty(test.perSecond, test.capacity, start)
			c.Check(b.Wait(test.units, later), quicktest.Equals, test.wait)
			c.Check(b.Take(test.units, later), quicktest.Equals, test.taken)
		})
	}
}

// TestDebitIsPaidOff guards against units that are used beyond the level and granted again.
func TestDebitIsPaidOff(t *testing.T) {
	c := quicktest.New(t)
	start := time.Unix(100, 0)
	b := NewEmpty(10, 50, start)
	now := start.Add(time.Second)
	b.Debit(30, now)
	c.Check(b.Level(now), quicktest.Equals, -20.0)
	c.Check(b.Take(1, now), quicktest.IsFalse)
	c.Check(b.Wait(1, now), quicktest.Equals, 2100*time.Millisecond)
	c.Check(b.Take(10, now.Add(3*time.Second)), quicktest.IsTrue)
}

// TestLowerLimitHoldsAtOnce guards against units that stay available beyond a lowered
// capacity.
func TestLowerLimitHoldsAtOnce(t *testing.T) {
	c := quicktest.New(t)
	start := time.Unix(100, 0)
	b := NewEmpty(100, 1000, start)
	now := start.Add(10 * time.Second)
	b.SetLimit(10, 50, now)
	c.Check(b.Level(now), quicktest.Equals, 50.0)
	c.Check(b.Take(50, now), quicktest.IsTrue)
	c.Check(b.Level(now.Add(time.Second)), quicktest.Equals, 10.0)
}
