package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// loadTime is the time of one load at full speed.
	loadTime = 250 * time.Millisecond
	// fullSpeedLoads is the number of loads in flight up to which each runs at
	// full speed; beyond it all slow down in proportion.
	fullSpeedLoads = 8
	// loadSteps is the number of steps in which a load follows the number of
	// loads in flight.
	loadSteps = 25
)

// WeightFaults are the faults of a WeightStore.
type WeightFaults struct {
	// Unavailable makes every load fail at its end.
	Unavailable bool `long:"unavailable" json:"unavailable"`
	// Failure is the probability that a load fails at its end.
	Failure float64 `long:"failure" json:"failure"`
	// Slowness multiplies the time of each load; values below 1 count as 1.
	Slowness float64 `long:"slowness" json:"slowness"`
}

// A WeightStore provides weights to all engines of a deployment at a limited
// rate. It is safe for concurrent use.
type WeightStore struct {
	limiter *rate.Limiter

	mutex   sync.Mutex
	random  *rand.Rand
	faults  WeightFaults
	flight  int
	highest int
	loads   map[string]int
}

// NewWeightStore returns a store that begins at most perSecond loads each
// second; zero means no limit.
func NewWeightStore(perSecond float64, seed uint64) *WeightStore {
	limit := rate.Limit(perSecond)
	if perSecond <= 0 {
		limit = rate.Inf
	}
	return &WeightStore{
		limiter: rate.NewLimiter(limit, 1),
		random:  rand.New(rand.NewPCG(seed, 5)),
		loads:   make(map[string]int),
	}
}

// SetFaults replaces the faults from now on.
func (s *WeightStore) SetFaults(faults WeightFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Fetch returns after the weights of the adapter version were transferred. Loads
// beyond the rate wait in the order of their arrival.
func (s *WeightStore) Fetch(ctx context.Context, adapter string) error {
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	s.count(1)
	defer s.count(-1)
	for range loadSteps {
		if err := sleep(ctx, s.step()); err != nil {
			return err
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Unavailable || s.random.Float64() < s.faults.Failure {
		return ErrStoreUnavailable
	}
	s.loads[adapter]++
	return nil
}

// Loads returns the number of finished loads of each adapter version and the
// highest number of loads in flight.
func (s *WeightStore) Loads() (loads map[string]int, highest int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	loads = make(map[string]int, len(s.loads))
	for adapter, count := range s.loads {
		loads[adapter] = count
	}
	return loads, s.highest
}

// step returns the time of the next step at the present number of loads in flight.
func (s *WeightStore) step() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	slowness := max(s.faults.Slowness, 1) * max(float64(s.flight)/fullSpeedLoads, 1)
	return time.Duration(float64(loadTime/loadSteps) * slowness)
}

func (s *WeightStore) count(change int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.flight += change
	s.highest = max(s.highest, s.flight)
}
