package policy

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/persimmonmux/persimmonmux/state/verdict"
)

const (
	// loadDuration is the duration of one load while at most maxFullSpeedLoads loads
	// are in flight. With more loads it grows in proportion to their number.
	loadDuration      = 250 * time.Millisecond
	maxFullSpeedLoads = 8
)

// A WeightStore is a stand-in for the weight store in virtual time. Loads above its
// rate wait in the order of arrival.
type WeightStore struct {
	limiter *rate.Limiter

	mutex    sync.Mutex
	inFlight int
	// unavailable makes every load that starts fail.
	unavailable bool
	// slowFactor multiplies the duration of a load; values below 1 count as 1.
	slowFactor float64
}

// NewWeightStore returns a store that starts at most perSecond loads each second.
func NewWeightStore(perSecond float64) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(perSecond), 1)}
}

// SetUnavailable makes every load that starts later fail, or succeed again.
func (s *WeightStore) SetUnavailable(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unavailable = down
}

// SetSlow multiplies the duration of each load that starts later by factor; factors
// below 1 count as 1.
func (s *WeightStore) SetSlow(factor float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.slowFactor = factor
}

// Fetch waits until the store has room for a load and until the load is done. It
// fails at the end if the store was unavailable at the start.
func (s *WeightStore) Fetch(ctx context.Context) error {
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	s.mutex.Lock()
	s.inFlight++
	duration := time.Duration(float64(loadDuration) * max(float64(s.inFlight)/maxFullSpeedLoads, 1) * max(s.slowFactor, 1))
	down := s.unavailable
	s.mutex.Unlock()
	err := sleepContext(ctx, duration)
	s.mutex.Lock()
	s.inFlight--
	s.mutex.Unlock()
	if down {
		return &verdict.Error{Verdict: verdict.Ran, Code: verdict.CodeStoreUnavailable, Message: "weight store: unavailable"}
	}
	return err
}

// sleepContext sleeps for a duration. It returns early with the error of ctx if ctx
// ends before.
func sleepContext(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
