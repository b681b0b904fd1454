package peer

import (
	"sync"
	"time"
)

// An inFlightCounter counts calls in flight, so that a stopping server can wait for
// them. Its zero value is ready for use.
type inFlightCounter struct {
	mutex    sync.Mutex
	inFlight int
	stopping bool
	// drained is set by stop and closed when the last call in flight has ended.
	drained chan struct{}
}

// begin counts a call and reports whether it may start; it may not after stop.
func (c *inFlightCounter) begin() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopping {
		return false
	}
	c.inFlight++
	return true
}

// end ends a call that begin counted.
func (c *inFlightCounter) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inFlight--
	if c.stopping && c.inFlight == 0 {
		close(c.drained)
	}
}

// stop refuses new calls and waits until the calls in flight have ended, at most for
// the timeout.
func (c *inFlightCounter) stop(timeout time.Duration) {
	c.mutex.Lock()
	if !c.stopping {
		c.stopping = true
		c.drained = make(chan struct{})
		if c.inFlight == 0 {
			close(c.drained)
		}
	}
	c.mutex.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-c.drained:
	case <-timer.C:
	}
}
