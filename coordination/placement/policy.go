package placement

import (
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/ownership"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Policy loads the adapter whose load helps the most waiting requests, and
// evicts the least popular instance. It implements ownership.PlacementPolicy and is
// safe for concurrent use. Its exported fields are set before use.
type Policy struct {
	// StallWeight and BatchWeight are the weights of the settings. A high
	// StallWeight orders loads by urgency; a high BatchWeight orders them by
	// the number of requests that share a load.
	StallWeight, BatchWeight float64
	// HalfLife is the half-life of popularity; zero means DefaultHalfLife.
	HalfLife time.Duration

	mutex  sync.Mutex
	sketch *Sketch
}

// DefaultHalfLife lets popularity follow a shift within a few minutes, while a
// rate of one request per minute is still told from none.
const DefaultHalfLife = 2 * time.Minute

// These constants shape the order of loads.
const (
	// ageingTime is the wait after which a load counts twice, so that nothing starves.
	ageingTime = 10 * time.Second
	// futureTime is how long a loaded adapter is expected to stay.
	futureTime = 5 * time.Minute
	// pressingTime is the wait, or the time to a deadline, from which a load is
	// not held back.
	pressingTime = 3 * time.Second
	// responseTime is the time of a usual answer with its load. A load whose
	// deadline is nearer comes too late for the answer.
	responseTime = 3 * time.Second
	// hopelessDivisor lowers such a load below others; it is not put off for
	// good, because answers may be short.
	hopelessDivisor = 8
	// keepTime is how long an instance's popularity is taken to last when its
	// eviction is weighed against a load.
	keepTime = 20 * time.Second
)

// urgencyWeights are what a waiting request of each urgency counts at a ratio
// of stall-weight to batch-weight of 1.
var urgencyWeights = map[configuration.Urgency]float64{
	configuration.UrgencyInteractive: 8,
	configuration.UrgencyPrompt:      3,
	configuration.UrgencyDeferred:    1,
}

// RecordRequest notes one request for the adapter.
func (p *Policy) RecordRequest(adapter fleet.AdapterReference, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.popularity().Add(adapter, now)
}

// SelectLoad returns the index of the adapter whose load has the highest priority.
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

// Priority returns how much a load helps now. By the share of the stall-weight
// it counts urgency and age, which bounds the longest stalls; by the share of
// the batch-weight it counts the time left, so that work that may wait does wait
// and shares its load with what arrives meanwhile. It is more than zero.
func (p *Policy) Priority(w ownership.PendingLoad, now time.Time) float64 {
	left := w.Deadline.Sub(now) - responseTime
	age := 1 + max(now.Sub(w.FirstArrival), 0).Seconds()/ageingTime.Seconds()
	stall := max(urgencyWeights[w.Urgency], 1) / urgencyWeights[configuration.UrgencyInteractive] * age
	deadline := ageingTime.Seconds() / max(left, time.Second).Seconds()
	share := p.stallShare()
	priority := p.worth(w, now) * (share*stall + (1-share)*deadline)
	if left < 0 {
		priority /= hopelessDivisor
	}
	return priority
}

// worth returns the number of requests that a load serves: those that wait and
// those that are expected soon.
func (p *Policy) worth(w ownership.PendingLoad, now time.Time) float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return float64(max(w.RequestCount, 1)) + p.popularity().Rate(w.Adapter, now)*futureTime.Seconds()
}

// SelectVictim returns the index of the least popular instance, or -1 when every
// instance is worth more than the load.
func (p *Policy) SelectVictim(_ fleet.Engine, resident []ownership.EvictionCandidate, next ownership.PendingLoad, now time.Time) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	best, lowest := -1, 0.0
	for i := range resident {
		if !resident[i].Grantable {
			return i
		}
		rate := p.popularity().Rate(resident[i].Instance.Adapter, now)
		if best < 0 || rate < lowest {
			best, lowest = i, rate
		}
	}
	if p.keep(lowest, next, now) {
		return -1
	}
	return best
}

// keep says whether the instance with the given rate is worth more than the
// load. A load that waited, or whose deadline is near, is not held back.
func (p *Policy) keep(rate float64, next ownership.PendingLoad, now time.Time) bool {
	if next.Deadline.Sub(now) < pressingTime || now.Sub(next.FirstArrival) > pressingTime {
		return false
	}
	gain := float64(next.RequestCount) + p.popularity().Rate(next.Adapter, now)*keepTime.Seconds()
	return rate*keepTime.Seconds() > gain
}

// stallShare returns the part of the stall-weight in both weights.
func (p *Policy) stallShare() float64 {
	total := p.StallWeight + p.BatchWeight
	if total == 0 {
		return 0.5
	}
	return p.StallWeight / total
}

func (p *Policy) popularity() *Sketch {
	if p.sketch == nil {
		halfLife := p.HalfLife
		if halfLife == 0 {
			halfLife = DefaultHalfLife
		}
		p.sketch = &Sketch{HalfLife: halfLife}
	}
	return p.sketch
}
