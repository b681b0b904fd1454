package policy

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/persimmonmux/persimmonmux/state/verdict"
)

const (
	// loadTime is the time of one load while at most loadsAtFullSpeed are in flight.
	loadTime         = 250 * time.Millisecond
	loadsAtFullSpeed = 8
)

// A WeightStore is a stand-in of the weight store in virtual time. Loads beyond its
// rate wait in order of arrival.
type WeightStore struct {
	limiter *rate.Limiter

	mutex    sync.Mutex
	inFlight int
	down     bool
	// slow multiplies the time of a load when it is more than 1.
	slow float64
}

// NewWeightStore returns a Store that begins at most perSecond loads each second.
func NewWeightStore(perSecond float64) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(perSecond), 1)}
}

// SetUnavailable lets the store refuse every load, or serve again.
func (s *WeightStore) SetUnavailable(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

// SetSlow multiplies the time of each load that begins later.
func (s *WeightStore) SetSlow(factor float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.slow = factor
}

// Fetch takes the time of one load.
func (s *WeightStore) Fetch(ctx context.Context) error {
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	s.mutex.Lock()
	s.inFlight++
	took := time.Duration(float64(loadTime) * max(float64(s.inFlight)/loadsAtFullSpeed, 1) * max(s.slow, 1))
	down := s.down
	s.mutex.Unlock()
	err := pause(ctx, took)
	s.mutex.Lock()
	s.inFlight--
	s.mutex.Unlock()
	if down {
		return &verdict.Error{Verdict: verdict.Ran, Code: verdict.CodeStoreUnavailable, Message: "weight store: unavailable"}
	}
	return err
}

// pause waits unless ctx ends before.
func pause(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
