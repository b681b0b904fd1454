package retry

import (
	"sync"
	"time"
)

// windowParts is the number of buckets that a window is counted in. One more is
// kept, so that the sum covers every span of the window's length.
const windowParts = 20

// A WindowBudget bounds the sends of a service beyond the first of each request within
// any span of its length: a share of the requests, and this host's part of what
// all hosts may send besides. It is safe for concurrent use; its fields are set
// before use.
type WindowBudget struct {
	// Window is the span in which sends are counted.
	Window time.Duration
	// RetryRatio is the part of the requests that may be sent once more.
	RetryRatio float64
	// MinRetries is the number of repeated sends of all hosts that need no requests.
	MinRetries float64
	// HostCount returns the number of hosts that divide the slack.
	HostCount func() int

	mutex sync.Mutex
	// started is the begin of the buckets on the steady clock.
	started  time.Time
	services map[string]*counts
}

// counts are the sends to one service, by bucket.
type counts struct {
	bucket          int64
	requests, extra [windowParts + 1]int
}

// CountRequest counts the first send of a request.
func (w *WindowBudget) CountRequest(service string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c := w.current(service)
	c.requests[c.bucket%(windowParts+1)]++
}

// AllowRetry takes one repeated send from the budget and reports whether it was left.
func (w *WindowBudget) AllowRetry(service string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c := w.current(service)
	requests, extra := 0, 0
	for i := range c.requests {
		requests += c.requests[i]
		extra += c.extra[i]
	}
	allowed := w.RetryRatio*float64(requests) + w.MinRetries/float64(max(w.HostCount(), 1))
	if float64(extra+1) > allowed {
		return false
	}
	c.extra[c.bucket%(windowParts+1)]++
	return true
}

// current returns the counts of a service with the buckets of the past cleared.
func (w *WindowBudget) current(service string) *counts {
	if w.services == nil {
		w.services = make(map[string]*counts)
		w.started = time.Now()
	}
	bucket := int64(time.Since(w.started) / (w.Window / windowParts))
	c := w.services[service]
	if c == nil {
		c = &counts{bucket: bucket}
		w.services[service] = c
	}
	for ; c.bucket < bucket; c.bucket++ {
		if bucket-c.bucket > windowParts+1 {
			c.bucket = bucket - windowParts - 1
		}
		next := (c.bucket + 1) % (windowParts + 1)
		c.requests[next], c.extra[next] = 0, 0
	}
	return c
}
