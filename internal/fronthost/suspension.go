package fronthost

import (
	"sync/atomic"
	"time"
)

// suspensionCheck is how often the clocks are compared. Orders that arrive just
// after a machine has woken are excused for longer than this.
const suspensionCheck = 20 * time.Millisecond

// A suspension tells how long the machine was suspended since the process started.
// It may be used by many goroutines.
type suspension struct {
	started time.Time
	// difference is by how much the clock that counts suspensions was ahead of
	// the one that does not at the start.
	difference time.Duration
	// checked is nanoseconds since started, and total the result of that check.
	checked, total atomic.Int64
}

func newSuspension() *suspension {
	return &suspension{started: time.Now(), difference: clockDifference()}
}

// Total returns how long the machine was suspended, at most suspensionCheck late.
func (s *suspension) Total() time.Duration {
	now := int64(time.Since(s.started))
	if last := s.checked.Load(); now-last >= int64(suspensionCheck) && s.checked.CompareAndSwap(last, now) {
		s.total.Store(max(s.total.Load(), int64(clockDifference()-s.difference)))
	}
	return time.Duration(s.total.Load())
}
