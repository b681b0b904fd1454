package peer

import (
	"sync"
	"time"
)

// A inFlightCounter counts calls in flight. Its zero value is ready for use.
type inFlightCounter struct {
	mutex    sync.Mutex
	inFlight int
	stopping bool
	// idle is set by stop and closed when the last call in flight has ended.
	idle chan struct{}
}

// enter reports whether a new call may start.
func (c *inFlightCounter) enter() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopping {
		return false
	}
	c.inFlight++
	return true
}

// leave ends a call that entered.
func (c *inFlightCounter) leave() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inFlight--
	if c.stopping && c.inFlight == 0 {
		close(c.idle)
	}
}

// stop refuses new calls and waits until those in flight have ended, at most
// for the limit.
func (c *inFlightCounter) stop(limit time.Duration) {
	c.mutex.Lock()
	if !c.stopping {
		c.stopping = true
		c.idle = make(chan struct{})
		if c.inFlight == 0 {
			close(c.idle)
		}
	}
	c.mutex.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-c.idle:
	case <-timer.C:
	}
}
