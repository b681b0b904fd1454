package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// loadDuration is the duration of one load at full speed.
	loadDuration = 250 * time.Millisecond
	// maxFullSpeedLoads is the number of loads in flight up to which each runs at
	// full speed. Beyond it, the duration of all loads grows in proportion.
	maxFullSpeedLoads = 8
	// stepsPerLoad is the number of steps into which a load is divided. The duration
	// of each step depends on the number of loads in flight at its start.
	stepsPerLoad = 25
)

// WeightFaults are the faults that a WeightStore injects. The zero value injects none.
type WeightFaults struct {
	// Unavailable makes every load fail at its end.
	Unavailable bool `long:"unavailable" json:"unavailable"`
	// Failure is the probability that a load fails at its end.
	Failure float64 `long:"failure" json:"failure"`
	// Slowness multiplies the duration of each load; values below 1 count as 1.
	Slowness float64 `long:"slowness" json:"slowness"`
}

// A WeightStore models the transfer of weights to all engines of a deployment, which
// share its rate. It transfers no data. It is safe for concurrent use.
type WeightStore struct {
	limiter *rate.Limiter

	mutex  sync.Mutex
	random *rand.Rand
	faults WeightFaults
	// inFlight is the current number of loads in flight, and maxInFlight its highest
	// value so far.
	inFlight    int
	maxInFlight int
	// loads is the number of finished loads by adapter version.
	loads map[string]int
}

// NewWeightStore returns a store that starts at most perSecond loads each second; zero
// means no limit. Faults that are set later are drawn at random from seed.
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

// SetFaults replaces the faults, also for loads in flight.
func (s *WeightStore) SetFaults(faults WeightFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Fetch returns after the time that the transfer of an adapter version takes. Loads beyond
// the rate wait in the order of their arrival. A load that meets a fault fails at its end
// with ErrStoreUnavailable.
func (s *WeightStore) Fetch(ctx context.Context, adapter string) error {
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	s.addInFlight(1)
	defer s.addInFlight(-1)
	for range stepsPerLoad {
		if err := sleep(ctx, s.stepDuration()); err != nil {
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

// Loads returns the number of finished loads by adapter version, and the highest number of
// loads that were in flight at the same time.
func (s *WeightStore) Loads() (loads map[string]int, highest int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	loads = make(map[string]int, len(s.loads))
	for adapter, count := range s.loads {
		loads[adapter] = count
	}
	return loads, s.maxInFlight
}

// stepDuration returns the duration of a step that starts now.
func (s *WeightStore) stepDuration() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	slowness := max(s.faults.Slowness, 1) * max(float64(s.inFlight)/maxFullSpeedLoads, 1)
	return time.Duration(float64(loadDuration/stepsPerLoad) * slowness)
}

// addInFlight changes the number of loads in flight.
func (s *WeightStore) addInFlight(change int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight += change
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
}
