package fronthost

import (
	"sync/atomic"
	"time"
)

// suspensionCheckInterval is the shortest time between two comparisons of the clocks.
// Orders that arrive just after a machine has resumed are tolerated for longer than
// this.
const suspensionCheckInterval = 20 * time.Millisecond

// A suspension measures how long the machine has been suspended since the process
// started. It is safe for concurrent use.
type suspension struct {
	started time.Time
	// initialDifference is the value of clockDifference at the start.
	initialDifference time.Duration
	// lastCheck is the time of the last comparison, in nanoseconds since started.
	// total is the suspended time that it found, in nanoseconds.
	lastCheck, total atomic.Int64
}

func newSuspension() *suspension {
	return &suspension{started: time.Now(), initialDifference: clockDifference()}
}

// Total returns how long the machine has been suspended. The result never falls and
// lags by at most suspensionCheckInterval.
func (s *suspension) Total() time.Duration {
	now := int64(time.Since(s.started))
	if last := s.lastCheck.Load(); now-last >= int64(suspensionCheckInterval) && s.lastCheck.CompareAndSwap(last, now) {
		s.total.Store(max(s.total.Load(), int64(clockDifference()-s.initialDifference)))
	}
	return time.Duration(s.total.Load())
}
