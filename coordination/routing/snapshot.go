// Package routing chooses the engine for a request from residency, load and distance.
package routing

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Distance says how far an engine is from this host.
type Distance int

// The distances, nearest first.
const (
	SameFailureDomain Distance = iota
	SameRegion
	OtherRegion
)

// A Candidate is an engine that a request may be sent to.
type Candidate struct {
	// Engine is the engine.
	Engine fleet.Engine
	// Summary is what its owner told last.
	Summary fleet.EngineSummary
	// Distance is the distance from this host.
	Distance Distance

	// inFlight is the number of requests that this host has on the engine now.
	inFlight *atomic.Int64
	// reportedInFlight is inFlight when the summary was received. The reported
	// load lags, and the difference corrects it.
	reportedInFlight int64
}

// load estimates the requests on the engine.
func (c *Candidate) load() int {
	reported := c.Summary.Running + c.Summary.Waiting
	own := c.inFlight.Load()
	return max(reported+int(own-c.reportedInFlight), int(own), 0)
}

// pointsPerEngine is the number of points of an engine on the hash ring; 64
// points keep the shares of engines within some ten percent of each other.
const pointsPerEngine = 64

type point struct {
	hash      uint64
	candidate int32
}

// A Snapshot is what a Router knows at one time. It is not modified once
// published.
type Snapshot struct {
	// Candidates are sorted by engine name.
	Candidates []Candidate
	// CreatedAt is when the snapshot was made.
	CreatedAt time.Time

	resident map[fleet.AdapterReference][]int32
	points   []point
	capacity int
}

// index fills the lookup structures. A ring of the same engines is taken over
// from the earlier snapshot, because sorting it is the costly part.
func (s *Snapshot) index(earlier *Snapshot) {
	slices.SortFunc(s.Candidates, func(a, b Candidate) int {
		return strings.Compare(string(a.Engine.Name), string(b.Engine.Name))
	})
	s.resident = make(map[fleet.AdapterReference][]int32)
	for i := range s.Candidates {
		s.capacity += max(s.Candidates[i].Engine.BatchSize, 1)
		for _, instance := range s.Candidates[i].Summary.Instances {
			list := s.resident[instance.Adapter]
			if !slices.Contains(list, int32(i)) {
				s.resident[instance.Adapter] = append(list, int32(i))
			}
		}
	}
	if earlier.sameEngines(s) {
		s.points = earlier.points
		return
	}
	s.points = make([]point, 0, len(s.Candidates)*pointsPerEngine)
	for i := range s.Candidates {
		hash := xxhash.Sum64String(string(s.Candidates[i].Engine.Name))
		for range pointsPerEngine {
			hash = mix(hash)
			s.points = append(s.points, point{hash: hash, candidate: int32(i)})
		}
	}
	slices.SortFunc(s.points, func(a, b point) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
}

func (s *Snapshot) sameEngines(other *Snapshot) bool {
	return s != nil && slices.EqualFunc(s.Candidates, other.Candidates, func(a, b Candidate) bool {
		return a.Engine.Name == b.Engine.Name
	})
}

// mix is the finalizer of SplitMix64.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// start returns the position on the ring of an adapter.
func (s *Snapshot) start(adapter fleet.AdapterReference) int {
	hash := mix(xxhash.Sum64String(string(adapter.Name)) + uint64(adapter.Version))
	position, _ := slices.BinarySearchFunc(s.points, hash, func(p point, target uint64) int {
		switch {
		case p.hash < target:
			return -1
		case p.hash > target:
			return 1
		}
		return 0
	})
	return position % len(s.points)
}
