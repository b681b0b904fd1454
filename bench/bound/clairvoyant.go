// Package bound computes what a policy that knows the future reaches with the
// same slots and the same load budget.
package bound

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/bench/workload"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Clairvoyant run loads on demand, evicts the adapter whose next use is
// farthest away, and ignores which engine a slot belongs to, the engines'
// token rate and that serving adapters cannot be evicted. These relaxations
// only help it. It does not load ahead of demand.
type Clairvoyant struct {
	// Slots is the number of adapters that all engines hold together.
	Slots int
	// LoadRate is the number of loads per second.
	LoadRate float64
	// LoadTime is the time of one load.
	LoadTime time.Duration
}

// A Result is what a run reached.
type Result struct {
	// Requests is the number of arrivals.
	Requests int
	// LoadStall is the number of requests that found their adapter not resident.
	LoadStall int
	// Late is the number of requests whose adapter was not resident by their deadline.
	Late int
	// Loads is the number of loads.
	Loads int
	// Stalls are the stall times of all requests, sorted; zero for hits.
	Stalls []time.Duration
}

// InTime returns the share of requests that were served by their deadline.
func (r Result) InTime() float64 {
	if r.Requests == 0 {
		return 1
	}
	return 1 - float64(r.Late)/float64(r.Requests)
}

// Percentile returns a percentile of the stalls, from 0 to 100.
func (r Result) Percentile(percent float64) time.Duration {
	if len(r.Stalls) == 0 {
		return 0
	}
	position := int(math.Ceil(percent/100*float64(len(r.Stalls)))) - 1
	return r.Stalls[min(max(position, 0), len(r.Stalls)-1)]
}

type waiter struct {
	at, deadline time.Duration
}

type run struct {
	Clairvoyant
	uses     map[fleet.AdapterReference][]time.Duration
	resident map[fleet.AdapterReference]bool
	waiting  map[fleet.AdapterReference][]waiter
	queue    pendingHeap
	loading  []completion
	nextLoad time.Duration
	result   Result
}

type pending struct {
	adapter  fleet.AdapterReference
	deadline time.Duration
}

type completion struct {
	at      time.Duration
	adapter fleet.AdapterReference
}

// Run replays the arrivals of a workload.
func (c Clairvoyant) Run(w *workload.Workload, arrivals []workload.Arrival) Result {
	r := &run{
		Clairvoyant: c,
		uses:        make(map[fleet.AdapterReference][]time.Duration),
		resident:    make(map[fleet.AdapterReference]bool),
		waiting:     make(map[fleet.AdapterReference][]waiter),
	}
	for _, arrival := range arrivals {
		r.uses[arrival.Adapter] = append(r.uses[arrival.Adapter], arrival.At)
	}
	for _, arrival := range arrivals {
		r.advance(arrival.At)
		r.arrive(arrival, w.Classes[arrival.Class].Kind.Timeout)
	}
	r.advance(time.Duration(math.MaxInt64))
	slices.Sort(r.result.Stalls)
	return r.result
}

func (r *run) arrive(arrival workload.Arrival, patience time.Duration) {
	r.result.Requests++
	if r.resident[arrival.Adapter] {
		r.result.Stalls = append(r.result.Stalls, 0)
		return
	}
	r.result.LoadStall++
	deadline := arrival.At + patience
	r.waiting[arrival.Adapter] = append(r.waiting[arrival.Adapter], waiter{arrival.At, deadline})
	if len(r.waiting[arrival.Adapter]) == 1 {
		heap.Push(&r.queue, pending{arrival.Adapter, deadline})
	}
}

// advance carries out loads that start or end up to now.
func (r *run) advance(now time.Duration) {
	for {
		start := time.Duration(math.MaxInt64)
		if len(r.queue) > 0 {
			start = r.nextLoad
		}
		end := time.Duration(math.MaxInt64)
		if len(r.loading) > 0 {
			end = r.loading[0].at
		}
		if min(start, end) >= now {
			if now != math.MaxInt64 {
				r.nextLoad = max(r.nextLoad, now)
			}
			return
		}
		if end <= start {
			r.finish()
			continue
		}
		r.begin(start)
	}
}

func (r *run) begin(at time.Duration) {
	first := heap.Pop(&r.queue).(pending)
	if first.deadline < at {
		// Loading for callers that have left helps nobody.
		r.expire(first.adapter, at)
		return
	}
	r.nextLoad = at + time.Duration(float64(time.Second)/r.LoadRate)
	r.loading = append(r.loading, completion{at + r.LoadTime, first.adapter})
	r.result.Loads++
}

// expire drops the waiters whose deadline has passed and queues the rest again.
func (r *run) expire(adapter fleet.AdapterReference, at time.Duration) {
	var left []waiter
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
		earliest := slices.MinFunc(left, func(a, b waiter) int { return int(a.deadline - b.deadline) })
		heap.Push(&r.queue, pending{adapter, earliest.deadline})
	}
}

func (r *run) finish() {
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

// evict drops the adapter whose next use is farthest away.
func (r *run) evict(now time.Duration) {
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

func (r *run) nextUse(adapter fleet.AdapterReference, now time.Duration) time.Duration {
	uses := r.uses[adapter]
	position, _ := slices.BinarySearch(uses, now)
	if position == len(uses) {
		return math.MaxInt64
	}
	return uses[position]
}

// Capacity returns the highest rate, to one percent, at which the clairvoyant
// run serves the share of requests by their deadline. It doubles the rate until
// the run fails, so that no run is much larger than needed.
func (c Clairvoyant) Capacity(w workload.Workload, share float64) float64 {
	serves := func(rate float64) bool {
		w.Rate = rate
		return c.Run(&w, w.Arrivals()).InTime() >= share
	}
	low, high := 0.0, 1.0
	for high < 4096 && serves(high) {
		low, high = high, 2*high
	}
	for high-low > 0.01*high {
		middle := (low + high) / 2
		if serves(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

type pendingHeap []pending

func (h pendingHeap) Len() int           { return len(h) }
func (h pendingHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h pendingHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *pendingHeap) Push(x any)        { *h = append(*h, x.(pending)) }
func (h *pendingHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}
