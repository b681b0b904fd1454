// Package bound simulates a load policy that knows all future arrivals, with the
// same adapter slots and the same load rate as a real policy. Its results bound
// what a policy that loads on demand can reach.
package bound

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/bench/workload"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// Clairvoyant holds the limits of a simulated policy that knows all future
// arrivals. It loads an adapter when a request needs it, never ahead of demand, and
// evicts the adapter whose next use is farthest away. It treats the slots of all
// engines as one pool, ignores the engines' token rate, and may evict an adapter
// that serves a request. These relaxations can only improve its results.
type Clairvoyant struct {
	// Slots is the number of adapter slots of all engines together.
	Slots int
	// LoadRate is the highest number of loads that start per second.
	LoadRate float64
	// LoadTime is the duration of one load.
	LoadTime time.Duration
}

// A Result holds what Clairvoyant.Run counted over all arrivals.
type Result struct {
	// Requests is the number of arrivals.
	Requests int
	// LoadStall is the number of requests whose adapter was not resident when they
	// arrived.
	LoadStall int
	// Late is the number of requests whose adapter was not resident by their deadline.
	Late int
	// Loads is the number of loads that were started.
	Loads int
	// Stalls are the times that the requests waited for their adapters, sorted, with
	// zero for a request whose adapter was resident.
	Stalls []time.Duration
}

// InTime returns the share of requests whose adapter was resident by their
// deadline; 1 without requests.
func (r Result) InTime() float64 {
	if r.Requests == 0 {
		return 1
	}
	return 1 - float64(r.Late)/float64(r.Requests)
}

// Percentile returns the given percentile, from 0 to 100, of the stall times.
func (r Result) Percentile(percent float64) time.Duration {
	if len(r.Stalls) == 0 {
		return 0
	}
	position := int(math.Ceil(percent/100*float64(len(r.Stalls)))) - 1
	return r.Stalls[min(max(position, 0), len(r.Stalls)-1)]
}

// A waitingRequest is a request whose adapter is not resident yet. Its times count
// from the start of the run.
type waitingRequest struct {
	at, deadline time.Duration
}

// A replay is the state of one run, used by one goroutine.
type replay struct {
	Clairvoyant
	useTimes map[fleet.AdapterReference][]time.Duration
	resident map[fleet.AdapterReference]bool
	waiting  map[fleet.AdapterReference][]waitingRequest
	// queue holds the loads that have not started.
	queue loadQueue
	// loading holds the loads in progress, in the order of their ends.
	loading       []loadCompletion
	nextLoadStart time.Duration
	result        Result
}

// A pendingLoad is a load that has not started. Its deadline is the earliest one of
// the requests that wait for the adapter.
type pendingLoad struct {
	adapter  fleet.AdapterReference
	deadline time.Duration
}

// A loadCompletion is the end of a load in progress.
type loadCompletion struct {
	at      time.Duration
	adapter fleet.AdapterReference
}

// Run simulates the policy over the arrivals, which are sorted by time and were
// generated from w.
func (c Clairvoyant) Run(w *workload.Workload, arrivals []workload.Arrival) Result {
	r := &replay{
		Clairvoyant: c,
		useTimes:    make(map[fleet.AdapterReference][]time.Duration),
		resident:    make(map[fleet.AdapterReference]bool),
		waiting:     make(map[fleet.AdapterReference][]waitingRequest),
	}
	for _, arrival := range arrivals {
		r.useTimes[arrival.Adapter] = append(r.useTimes[arrival.Adapter], arrival.At)
	}
	for _, arrival := range arrivals {
		r.advanceTo(arrival.At)
		r.handleArrival(arrival, w.Classes[arrival.Class].Kind.Timeout)
	}
	r.advanceTo(time.Duration(math.MaxInt64))
	slices.Sort(r.result.Stalls)
	return r.result
}

// handleArrival counts a request and queues a load if its adapter is not resident
// and has no load pending or in progress.
func (r *replay) handleArrival(arrival workload.Arrival, timeout time.Duration) {
	r.result.Requests++
	if r.resident[arrival.Adapter] {
		r.result.Stalls = append(r.result.Stalls, 0)
		return
	}
	r.result.LoadStall++
	deadline := arrival.At + timeout
	r.waiting[arrival.Adapter] = append(r.waiting[arrival.Adapter], waitingRequest{arrival.At, deadline})
	if len(r.waiting[arrival.Adapter]) == 1 {
		heap.Push(&r.queue, pendingLoad{arrival.Adapter, deadline})
	}
}

// advanceTo starts and ends the loads that are due before now.
func (r *replay) advanceTo(now time.Duration) {
	for {
		start := time.Duration(math.MaxInt64)
		if len(r.queue) > 0 {
			start = r.nextLoadStart
		}
		end := time.Duration(math.MaxInt64)
		if len(r.loading) > 0 {
			end = r.loading[0].at
		}
		if min(start, end) >= now {
			if now != math.MaxInt64 {
				r.nextLoadStart = max(r.nextLoadStart, now)
			}
			return
		}
		if end <= start {
			r.finishLoad()
			continue
		}
		r.beginLoad(start)
	}
}

// beginLoad starts the queued load with the earliest deadline, unless that deadline
// has passed.
func (r *replay) beginLoad(at time.Duration) {
	first := heap.Pop(&r.queue).(pendingLoad)
	if first.deadline < at {
		// A load would come too late for the requests whose deadline has passed.
		r.expireRequests(first.adapter, at)
		return
	}
	r.nextLoadStart = at + time.Duration(float64(time.Second)/r.LoadRate)
	r.loading = append(r.loading, loadCompletion{at + r.LoadTime, first.adapter})
	r.result.Loads++
}

// expireRequests removes the requests for an adapter whose deadline has passed. If
// others wait, it queues the load again with the earliest of their deadlines.
func (r *replay) expireRequests(adapter fleet.AdapterReference, at time.Duration) {
	var left []waitingRequest
	for _, w := range r.waiting[adapter] {
		if w.deadline >= at {
			left = append(left, w)
			continue
		}
		r.result.Late++
		r.result.Stalls = append(r.result.Stalls, w.deadline-w.at)
	}
	r.waiting[adapter] = left
	if len(left) > 0 {
		earliest := slices.MinFunc(left, func(a, b waitingRequest) int { return int(a.deadline - b.deadline) })
		heap.Push(&r.queue, pendingLoad{adapter, earliest.deadline})
	}
}

// finishLoad ends the first load in progress: it counts the stalls of the requests
// that waited and makes the adapter resident, with an eviction if no slot is free.
func (r *replay) finishLoad() {
	done := r.loading[0]
	r.loading = r.loading[1:]
	for _, w := range r.waiting[done.adapter] {
		if w.deadline < done.at {
			r.result.Late++
		}
		r.result.Stalls = append(r.result.Stalls, min(done.at, w.deadline)-w.at)
	}
	delete(r.waiting, done.adapter)
	if len(r.resident) >= r.Slots {
		r.evict(done.at)
	}
	r.resident[done.adapter] = true
}

// evict unloads the resident adapter whose next use is farthest away.
func (r *replay) evict(now time.Duration) {
	var victim fleet.AdapterReference
	farthest := time.Duration(-1)
	for adapter := range r.resident {
		next := r.nextUse(adapter, now)
		if next > farthest {
			victim, farthest = adapter, next
		}
	}
	delete(r.resident, victim)
}

// nextUse returns the time of the first request for an adapter at or after now, or
// math.MaxInt64 if there is none.
func (r *replay) nextUse(adapter fleet.AdapterReference, now time.Duration) time.Duration {
	uses := r.useTimes[adapter]
	position, _ := slices.BinarySearch(uses, now)
	if position == len(uses) {
		return math.MaxInt64
	}
	return uses[position]
}

const (
	// maxRate is the arrival rate per second at which Capacity stops doubling.
	maxRate = 4096
	// rateTolerance is the precision of Capacity as a share of the rate.
	rateTolerance = 0.01
)

// Capacity returns the highest arrival rate per second, within 1%, at which Run
// reaches an InTime of at least share. It sets w.Rate itself. It starts at 1 and
// doubles the rate until Run misses the share, so that no run is much larger than
// needed, and then bisects.
func (c Clairvoyant) Capacity(w workload.Workload, share float64) float64 {
	serves := func(rate float64) bool {
		w.Rate = rate
		return c.Run(&w, w.Arrivals()).InTime() >= share
	}
	low, high := 0.0, 1.0
	for high < maxRate && serves(high) {
		low, high = high, 2*high
	}
	for high-low > rateTolerance*high {
		middle := (low + high) / 2
		if serves(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// A loadQueue is a heap.Interface with the earliest deadline first.
type loadQueue []pendingLoad

func (h loadQueue) Len() int           { return len(h) }
func (h loadQueue) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h loadQueue) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *loadQueue) Push(x any)        { *h = append(*h, x.(pendingLoad)) }
func (h *loadQueue) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}
