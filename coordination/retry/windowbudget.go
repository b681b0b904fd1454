package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets per window. One more bucket is counted,
// so that the sum covers every time span of the window's length.
const windowBuckets = 20

// A WindowBudget limits the retries of each service within any time span of
// length Window. The limit is a share of the service's requests plus this host's
// part of a fixed number for all hosts. It is safe for concurrent use. Its fields
// are set before use.
type WindowBudget struct {
	// Window is the time span in which requests and retries are counted.
	Window time.Duration
	// RetryRatio is the allowed number of retries per request.
	RetryRatio float64
	// MinRetries is the number of retries that all hosts together may make in
	// addition, regardless of the number of requests.
	MinRetries float64
	// HostCount returns the number of hosts that share MinRetries.
	HostCount func() int

	mutex sync.Mutex
	// startedAt is the start of the first bucket, on the monotonic clock.
	startedAt time.Time
	services  map[string]*bucketCounts
}

// bucketCounts are the requests and retries of one service by bucket.
type bucketCounts struct {
	newestBucket      int64
	requests, retries [windowBuckets + 1]int
}

// CountRequest counts the first send of a request.
func (w *WindowBudget) CountRequest(service string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c := w.currentCounts(service)
	c.requests[c.newestBucket%(windowBuckets+1)]++
}

// AllowRetry reports whether the service may make a retry now, and counts the
// retry if so.
func (w *WindowBudget) AllowRetry(service string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c := w.currentCounts(service)
	requests, retries := 0, 0
	for i := range c.requests {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	allowed := w.RetryRatio*float64(requests) + w.MinRetries/float64(max(w.HostCount(), 1))
	if float64(retries+1) > allowed {
		return false
	}
	c.retries[c.newestBucket%(windowBuckets+1)]++
	return true
}

// currentCounts returns the counts of a service after clearing the buckets that
// have left the window.
func (w *WindowBudget) currentCounts(service string) *bucketCounts {
	if w.services == nil {
		w.services = make(map[string]*bucketCounts)
		w.startedAt = time.Now()
	}
	bucket := int64(time.Since(w.startedAt) / (w.Window / windowBuckets))
	c := w.services[service]
	if c == nil {
		c = &bucketCounts{newestBucket: bucket}
		w.services[service] = c
	}
	for ; c.newestBucket < bucket; c.newestBucket++ {
		if bucket-c.newestBucket > windowBuckets+1 {
			c.newestBucket = bucket - windowBuckets - 1
		}
		next := (c.newestBucket + 1) % (windowBuckets + 1)
		c.requests[next], c.retries[next] = 0, 0
	}
	return c
}
