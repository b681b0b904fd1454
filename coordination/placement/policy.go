package placement

import (
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/ownership"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Policy selects the load with the highest Priority next and evicts the least
// popular instance. Popularity is the estimated request rate of an adapter. A
// Policy implements ownership.PlacementPolicy and is safe for concurrent use.
// Its exported fields are set before first use and not changed afterwards.
type Policy struct {
	// StallWeight and BatchWeight are the settings stall-weight and
	// batch-weight; only their ratio matters. A high StallWeight orders loads
	// by urgency and waiting time. A high BatchWeight delays loads whose
	// deadlines allow it, so that more requests share each load. If both are
	// zero, they count as equal.
	StallWeight, BatchWeight float64
	// HalfLife is the time after which a past request counts half in the
	// popularity of its adapter; zero means DefaultHalfLife.
	HalfLife time.Duration

	mutex  sync.Mutex
	sketch *Sketch
}

// DefaultHalfLife is the half-life of popularity that a Policy uses when its
// HalfLife is zero. Popularity follows a change of the request rate within a few
// minutes, and a rate of one request per minute can still be distinguished from
// zero.
const DefaultHalfLife = 2 * time.Minute

// The constants of load priority and eviction.
const (
	// agingInterval is the waiting time after which the urgency of a load counts
	// twice. Urgency that grows with waiting time prevents starvation.
	agingInterval = 10 * time.Second
	// expectedResidencyDuration is how long a loaded adapter is expected to
	// stay on the engine. Requests expected in this time count towards the load.
	expectedResidencyDuration = 5 * time.Minute
	// immediateLoadWindow bounds two times. A load that has waited longer than
	// this, or whose deadline is nearer than this, is not delayed in favor of a
	// resident instance.
	immediateLoadWindow = 3 * time.Second
	// expectedResponseDuration is how long the load and a typical answer take
	// together. If the deadline is nearer, the answer is expected to miss it.
	expectedResponseDuration = 3 * time.Second
	// missedDeadlineDivisor divides the priority of a load whose answer is
	// expected to miss its deadline. The priority stays above zero, because the
	// answer may be short enough to meet the deadline after all.
	missedDeadlineDivisor = 8
	// retentionWindow is the time over which the expected requests for a resident
	// instance are compared with those for the adapter that would replace it.
	retentionWindow = 20 * time.Second
)

// urgencyWeights are the relative weights of urgencies in the priority of a
// load, meant for a ratio of StallWeight to BatchWeight of 1. Priority divides
// them by the weight of interactive requests.
var urgencyWeights = map[configuration.Urgency]float64{
	configuration.UrgencyInteractive: 8,
	configuration.UrgencyPrompt:      3,
	configuration.UrgencyDeferred:    1,
}

// RecordRequest counts one request towards the popularity of the adapter.
func (p *Policy) RecordRequest(adapter fleet.AdapterReference, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.popularitySketch().Add(adapter, now)
}

// SelectLoad returns the index of the pending load with the highest priority, or
// -1 if none is pending.
func (p *Policy) SelectLoad(_ fleet.Engine, waiting []ownership.PendingLoad, now time.Time) int {
	best, highest := -1, 0.0
	for i := range waiting {
		priority := p.Priority(waiting[i], now)
		if priority > highest {
			best, highest = i, priority
		}
	}
	return best
}

// Priority returns the priority of a load; it is more than zero. The priority is
// the number of requests that the load is expected to serve, multiplied by a
// weighted mean of a stall score and a deadline score. The stall score grows with
// urgency and waiting time, which bounds the longest stalls. The deadline score
// grows as the deadline comes nearer, so that a load with a distant deadline
// waits and also serves the requests that arrive in the meantime.
func (p *Policy) Priority(load ownership.PendingLoad, now time.Time) float64 {
	slack := load.Deadline.Sub(now) - expectedResponseDuration
	aging := 1 + max(now.Sub(load.FirstArrival), 0).Seconds()/agingInterval.Seconds()
	stallScore := max(urgencyWeights[load.Urgency], 1) / urgencyWeights[configuration.UrgencyInteractive] * aging
	deadlineScore := agingInterval.Seconds() / max(slack, time.Second).Seconds()
	stallShare := p.stallWeightShare()
	priority := p.expectedRequests(load, now) * (stallShare*stallScore + (1-stallShare)*deadlineScore)
	if slack < 0 {
		priority /= missedDeadlineDivisor
	}
	return priority
}

// expectedRequests returns the number of requests that a load is expected to
// serve: those that wait now and those expected within expectedResidencyDuration.
func (p *Policy) expectedRequests(load ownership.PendingLoad, now time.Time) float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return float64(max(load.RequestCount, 1)) + p.popularitySketch().Rate(load.Adapter, now)*expectedResidencyDuration.Seconds()
}

// SelectVictim returns the index of the instance to evict for the load. It is an
// instance that cannot be granted if there is one, otherwise the least popular
// one. SelectVictim returns -1 if even the least popular instance should be kept.
func (p *Policy) SelectVictim(_ fleet.Engine, resident []ownership.EvictionCandidate, next ownership.PendingLoad, now time.Time) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	best, lowest := -1, 0.0
	for i := range resident {
		if !resident[i].Grantable {
			return i
		}
		rate := p.popularitySketch().Rate(resident[i].Instance.Adapter, now)
		if best < 0 || rate < lowest {
			best, lowest = i, rate
		}
	}
	if p.shouldRetain(lowest, next, now) {
		return -1
	}
	return best
}

// shouldRetain reports whether an instance with the given request rate is
// expected to serve more requests within retentionWindow than the load that
// would replace it. It returns false for a load that must start now (see
// immediateLoadWindow). The caller holds the mutex.
func (p *Policy) shouldRetain(rate float64, next ownership.PendingLoad, now time.Time) bool {
	if next.Deadline.Sub(now) < immediateLoadWindow || now.Sub(next.FirstArrival) > immediateLoadWindow {
		return false
	}
	requestsForNext := float64(next.RequestCount) + p.popularitySketch().Rate(next.Adapter, now)*retentionWindow.Seconds()
	return rate*retentionWindow.Seconds() > requestsForNext
}

// stallWeightShare returns StallWeight as a share of the sum of both weights,
// from 0 to 1; it is 0.5 if both weights are zero.
func (p *Policy) stallWeightShare() float64 {
	total := p.StallWeight + p.BatchWeight
	if total == 0 {
		return 0.5
	}
	return p.StallWeight / total
}

// popularitySketch returns the sketch and creates it on first use. The caller
// holds the mutex.
func (p *Policy) popularitySketch() *Sketch {
	if p.sketch == nil {
		halfLife := p.HalfLife
		if halfLife == 0 {
			halfLife = DefaultHalfLife
		}
		p.sketch = &Sketch{HalfLife: halfLife}
	}
	return p.sketch
}
