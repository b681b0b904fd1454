package entry

import "sync"

// An activity counts requests in flight and closes a channel when, after the
// stop began, none is left. The zero value is ready for use.
type inFlightCounter struct {
	mutex    sync.Mutex
	count    int
	stopping bool
	idle     chan struct{}
}

// enter counts a request in and reports false when the stop has begun.
func (a *inFlightCounter) enter() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.stopping {
		return false
	}
	a.count++
	return true
}

// leave counts a request out.
func (a *inFlightCounter) leave() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.count--
	if a.stopping && a.count == 0 {
		close(a.idle)
	}
}

// beginStop makes enter refuse and returns the channel that closes when no
// request is in flight. It is called once.
func (a *inFlightCounter) beginStop() <-chan struct{} {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.stopping = true
	a.idle = make(chan struct{})
	if a.count == 0 {
		close(a.idle)
	}
	return a.idle
}
