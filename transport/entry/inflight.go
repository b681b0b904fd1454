package entry

import "sync"

// An inFlightCounter counts requests in flight. After beginStop it admits no more
// and closes the channel idle when the last request has ended. The zero value is
// ready for use.
type inFlightCounter struct {
	mutex    sync.Mutex
	count    int
	stopping bool
	idle     chan struct{}
}

// tryBegin adds a request to the count. It returns false and adds nothing if the
// stop has begun.
func (c *inFlightCounter) tryBegin() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopping {
		return false
	}
	c.count++
	return true
}

// end removes a request from the count. It is called once for each tryBegin that
// returned true.
func (c *inFlightCounter) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.count--
	if c.stopping && c.count == 0 {
		close(c.idle)
	}
}

// beginStop makes tryBegin return false from now on and returns a channel that is
// closed when no request is in flight. It may be called only once.
func (c *inFlightCounter) beginStop() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopping = true
	c.idle = make(chan struct{})
	if c.count == 0 {
		close(c.idle)
	}
	return c.idle
}
