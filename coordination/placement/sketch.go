// Package placement decides which adapters an engine holds: what it loads next
// and what it evicts. It learns popularity with a sketch of fixed size.
package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// The dimensions of a Sketch: 4 rows of 8,192 counters of 4 bytes are 128 KiB,
// which keeps the overestimate small for tens of thousands of adapters.
const (
	sketchRows    = 4
	sketchColumns = 1 << 13
)

// A Sketch estimates the request rate of adapters. It is a count-min sketch
// whose counters decay exponentially, so that it follows shifts of popularity.
// It is owned by one goroutine.
type Sketch struct {
	// HalfLife is the time after which a past request counts half; more than zero.
	HalfLife time.Duration

	counters [sketchRows][sketchColumns]float32
	// scale is the weight of a request that is counted now. Instead of
	// decaying all counters, later requests weigh more.
	scale float64
	last  time.Time
}

// rescaleAt bounds scale, so that float32 counters keep their precision.
const rescaleAt = 1 << 20

// Add notes one request for the adapter.
func (s *Sketch) Add(adapter fleet.AdapterReference, now time.Time) {
	s.advance(now)
	columns := columnsOf(adapter)
	estimate := s.minimum(columns)
	raised := estimate + float32(s.scale)
	for row, column := range columns {
		// Conservative update: raise only the counters that bound the estimate.
		s.counters[row][column] = max(s.counters[row][column], raised)
	}
}

// Rate returns the estimated requests per second of the adapter.
func (s *Sketch) Rate(adapter fleet.AdapterReference, now time.Time) float64 {
	s.advance(now)
	decayed := float64(s.minimum(columnsOf(adapter))) / s.scale
	return decayed * math.Ln2 / s.HalfLife.Seconds()
}

func (s *Sketch) advance(now time.Time) {
	if s.last.IsZero() {
		s.last = now
		s.scale = 1
		return
	}
	elapsed := now.Sub(s.last)
	if elapsed <= 0 {
		return
	}
	s.last = now
	s.scale *= math.Exp2(elapsed.Seconds() / s.HalfLife.Seconds())
	if s.scale > rescaleAt {
		s.rescale()
	}
}

func (s *Sketch) rescale() {
	factor := float32(1 / s.scale)
	for row := range s.counters {
		for column := range s.counters[row] {
			s.counters[row][column] *= factor
		}
	}
	s.scale = 1
}

func (s *Sketch) minimum(columns [sketchRows]uint32) float32 {
	smallest := float32(math.MaxFloat32)
	for row, column := range columns {
		smallest = min(smallest, s.counters[row][column])
	}
	return smallest
}

// columnsOf derives the column of each row from one 64-bit hash.
func columnsOf(adapter fleet.AdapterReference) [sketchRows]uint32 {
	hash := xxhash.Sum64String(string(adapter.Name)) + uint64(adapter.Version)*0x9e3779b97f4a7c15
	low, high := uint32(hash), uint32(hash>>32)|1
	var columns [sketchRows]uint32
	for row := range columns {
		columns[row] = (low + uint32(row)*high) % sketchColumns
	}
	return columns
}
