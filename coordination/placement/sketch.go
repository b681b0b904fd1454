// Package placement decides which adapter an engine loads next and which adapter
// instance it evicts. It estimates the popularity of adapters with a sketch of
// fixed size.
package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// The dimensions of a Sketch: 4 rows of 8,192 counters of 4 bytes each take
// 128 KiB and keep the overestimate small for tens of thousands of adapters.
const (
	sketchRows    = 4
	sketchColumns = 1 << 13
)

// A Sketch estimates the request rate of adapters. It is a count-min sketch
// whose counters decay exponentially, so that the estimates follow shifts of
// popularity. It is not safe for concurrent use; Policy guards its sketch with a
// mutex.
type Sketch struct {
	// HalfLife is the time after which a past request counts half; more than zero.
	HalfLife time.Duration

	counters [sketchRows][sketchColumns]float32
	// scale is the weight of a request that is counted at updatedAt. It grows
	// with time, which has the effect of decay without a write to every counter.
	scale float64
	// updatedAt is the time that scale applies to; zero before the first use.
	updatedAt time.Time
}

// maxScale is the value of Sketch.scale above which all counters are scaled
// down, so that float32 counters keep their precision.
const maxScale = 1 << 20

// Add counts one request for the adapter at the time now.
func (s *Sketch) Add(adapter fleet.AdapterReference, now time.Time) {
	s.advance(now)
	columns := columnsOf(adapter)
	estimate := s.minimumCounter(columns)
	raised := estimate + float32(s.scale)
	for row, column := range columns {
		// Conservative update: raise only the counters that bound the estimate.
		s.counters[row][column] = max(s.counters[row][column], raised)
	}
}

// Rate returns the estimated request rate of the adapter at the time now, in
// requests per second. Hash collisions can only make the estimate too high.
func (s *Sketch) Rate(adapter fleet.AdapterReference, now time.Time) float64 {
	s.advance(now)
	decayed := float64(s.minimumCounter(columnsOf(adapter))) / s.scale
	return decayed * math.Ln2 / s.HalfLife.Seconds()
}

// advance raises scale to its value at the time now. A time before updatedAt
// changes nothing.
func (s *Sketch) advance(now time.Time) {
	if s.updatedAt.IsZero() {
		s.updatedAt = now
		s.scale = 1
		return
	}
	elapsed := now.Sub(s.updatedAt)
	if elapsed <= 0 {
		return
	}
	s.updatedAt = now
	s.scale *= math.Exp2(elapsed.Seconds() / s.HalfLife.Seconds())
	if s.scale > maxScale {
		s.rescale()
	}
}

// rescale divides all counters by scale and sets scale to 1.
func (s *Sketch) rescale() {
	factor := float32(1 / s.scale)
	for row := range s.counters {
		for column := range s.counters[row] {
			s.counters[row][column] *= factor
		}
	}
	s.scale = 1
}

// minimumCounter returns the smallest of the adapter's counters, one in each row.
func (s *Sketch) minimumCounter(columns [sketchRows]uint32) float32 {
	smallest := float32(math.MaxFloat32)
	for row, column := range columns {
		smallest = min(smallest, s.counters[row][column])
	}
	return smallest
}

// columnsOf returns the adapter's column in each row. It derives all columns
// from the two halves of one 64-bit hash (double hashing). The constant, 2^64
// divided by the golden ratio, spreads the versions of one adapter.
func columnsOf(adapter fleet.AdapterReference) [sketchRows]uint32 {
	hash := xxhash.Sum64String(string(adapter.Name)) + uint64(adapter.Version)*0x9e3779b97f4a7c15
	low, high := uint32(hash), uint32(hash>>32)|1
	var columns [sketchRows]uint32
	for row := range columns {
		columns[row] = (low + uint32(row)*high) % sketchColumns
	}
	return columns
}
