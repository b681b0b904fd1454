// Package routing chooses the engine for a request by the resident adapters, the
// load and the distance of the engines.
package routing

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Distance says how far an engine is from this host. The zero value means the
// same failure domain.
type Distance int

// The distances, nearest first.
const (
	SameFailureDomain Distance = iota
	SameRegion
	OtherRegion
)

// A Candidate is an engine that a request may be sent to.
type Candidate struct {
	// Engine is the engine as the configuration describes it.
	Engine fleet.Engine
	// Summary is the newest summary from the engine's owner.
	Summary fleet.EngineSummary
	// Distance is the distance of the engine from this host.
	Distance Distance

	// inFlight is the number of requests of this host on the engine now. The
	// counter belongs to the Router and is the same in all snapshots.
	inFlight *atomic.Int64
	// reportedInFlight is the value of inFlight when the summary was received.
	// The reported load lags behind, so that load adds the difference between
	// inFlight and reportedInFlight to it.
	reportedInFlight int64
}

// load returns the estimated number of requests on the engine from all hosts.
func (c *Candidate) load() int {
	reported := c.Summary.Running + c.Summary.Waiting
	ownInFlight := c.inFlight.Load()
	return max(reported+int(ownInFlight-c.reportedInFlight), int(ownInFlight), 0)
}

// ringPointsPerEngine is the number of points of an engine on the hash ring. With
// 64 points the shares of the engines differ by about ten percent.
const ringPointsPerEngine = 64

// A ringPoint is a point of one engine on the hash ring.
type ringPoint struct {
	hash      uint64
	candidate int32 // index in Snapshot.Candidates
}

// A Snapshot holds the engines that a Router chooses from, with lookup structures.
// Router.UpdateCandidates builds and publishes it; only the counters of the
// candidates change afterwards.
type Snapshot struct {
	// Candidates are the engines, sorted by name.
	Candidates []Candidate
	// CreatedAt is when the snapshot was built, on this host's clock.
	CreatedAt time.Time

	// residentCandidates holds, for each adapter, the indexes of the engines on
	// which it is resident.
	residentCandidates map[fleet.AdapterReference][]int32
	// ringPoints is the hash ring, sorted by hash.
	ringPoints []ringPoint
	// totalBatchSize is the sum of the batch sizes of all engines.
	totalBatchSize int
}

// buildIndexes sorts the candidates and fills the lookup structures. If the engines
// are the same as in the earlier snapshot, which may be nil, it reuses the hash
// ring, because sorting the ring takes most of the time.
func (s *Snapshot) buildIndexes(earlier *Snapshot) {
	slices.SortFunc(s.Candidates, func(a, b Candidate) int {
		return strings.Compare(string(a.Engine.Name), string(b.Engine.Name))
	})
	s.residentCandidates = make(map[fleet.AdapterReference][]int32)
	for i := range s.Candidates {
		s.totalBatchSize += max(s.Candidates[i].Engine.BatchSize, 1)
		for _, instance := range s.Candidates[i].Summary.Instances {
			list := s.residentCandidates[instance.Adapter]
			if !slices.Contains(list, int32(i)) {
				s.residentCandidates[instance.Adapter] = append(list, int32(i))
			}
		}
	}
	if earlier.hasSameEngines(s) {
		s.ringPoints = earlier.ringPoints
		return
	}
	s.ringPoints = make([]ringPoint, 0, len(s.Candidates)*ringPointsPerEngine)
	for i := range s.Candidates {
		hash := xxhash.Sum64String(string(s.Candidates[i].Engine.Name))
		for range ringPointsPerEngine {
			hash = splitMix64(hash)
			s.ringPoints = append(s.ringPoints, ringPoint{hash: hash, candidate: int32(i)})
		}
	}
	slices.SortFunc(s.ringPoints, func(a, b ringPoint) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
}

// hasSameEngines reports whether both snapshots hold the same engines. It is
// false if s is nil.
func (s *Snapshot) hasSameEngines(other *Snapshot) bool {
	return s != nil && slices.EqualFunc(s.Candidates, other.Candidates, func(a, b Candidate) bool {
		return a.Engine.Name == b.Engine.Name
	})
}

// splitMix64 returns the SplitMix64 output for the state value. Repeated calls
// turn the hash of an engine's name into the hashes of its ring points.
func splitMix64(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// ringPosition returns the index of the first ring point at or after the adapter's
// hash. The ring must not be empty.
func (s *Snapshot) ringPosition(adapter fleet.AdapterReference) int {
	hash := splitMix64(xxhash.Sum64String(string(adapter.Name)) + uint64(adapter.Version))
	position, _ := slices.BinarySearchFunc(s.ringPoints, hash, func(p ringPoint, target uint64) int {
		switch {
		case p.hash < target:
			return -1
		case p.hash > target:
			return 1
		}
		return 0
	})
	return position % len(s.ringPoints)
}
