// Package policy is a benchmark that compares the product's routing, placement and
// load budget with simple baselines. The product's dispatchers, owners and allocator
// run in virtual time against small stand-ins for the engines and the weight store.
package policy

import (
	"time"

	"github.com/persimmonmux/persimmonmux/bench/bound"
	"github.com/persimmonmux/persimmonmux/bench/workload"
)

// A Disturbance is a change of the load or a failure during a run. Its text is
// written to the results.
type Disturbance string

// The disturbances. Each one except Steady and Bursts begins at the middle of the
// counted time; Bursts applies to the whole run.
const (
	// Steady is a run without a disturbance.
	Steady Disturbance = "steady"
	// Bursts triples the arrival rate for 10 s of each minute.
	Bursts Disturbance = "bursts"
	// Shift gives 23% of the adapters new popularity ranks.
	Shift Disturbance = "shift"
	// Cold restarts one engine without adapters.
	Cold Disturbance = "cold-engine"
	// Outage makes the weight store fail every load for a minute.
	Outage Disturbance = "store-outage"
	// Slow makes each load that starts within a minute take 8 times as long.
	Slow Disturbance = "store-slow"
	// Cut separates a failure domain from the others and the platform for a minute.
	Cut Disturbance = "domain-cut"
)

const (
	// domainCount is the number of failure domains.
	domainCount = 3
	// batchSize is the number of requests that an engine runs at once.
	batchSize = 8
	// adapterCount is the number of adapters that requests ask for.
	adapterCount = 3000
	// servedShare is the share of requests in time that defines the capacity, see
	// MeasureCapacity.
	servedShare = 0.95
	// shiftShare is the share of adapters whose popularity changes in an hour.
	// Shift changes it for all of them at once.
	shiftShare = 0.23
	// capacityDuration is the duration of the arrivals that measure the capacity. It
	// is much longer than the deadlines, because the loads after the last arrival
	// would otherwise raise the capacity.
	capacityDuration = time.Hour
	// slowLoadFactor multiplies the duration of loads during Slow.
	slowLoadFactor = 8
	// disturbanceDuration is how long Outage, Slow and Cut last.
	disturbanceDuration = time.Minute
)

// A Scenario holds the parameters of a run, apart from its policy. It is written to
// the results.
type Scenario struct {
	// Mix is "kurswerk" or "medna-ploscha".
	Mix string `json:"mix"`
	// Exponent is the exponent of the Zipf distribution of adapter popularity.
	Exponent float64 `json:"exponent"`
	// Engines is the number of engines, and Slots the number of adapter slots on each.
	Engines int `json:"engines"`
	Slots   int `json:"slots"`
	// Load is the rate of arrivals divided by the capacity.
	Load float64 `json:"load"`
	// Capacity is in requests per second; MeasureCapacity sets it.
	Capacity    float64     `json:"capacity"`
	Disturbance Disturbance `json:"disturbance"`
	// Seed seeds the arrivals, the choice of hosts and the baselines.
	Seed uint64 `json:"seed"`
	// Warmup is the time from the start that the results leave out, and Length the
	// counted time after it.
	Warmup time.Duration `json:"-"`
	Length time.Duration `json:"-"`
}

// LoadRate returns the highest number of loads per second that the weight store
// serves.
func (s *Scenario) LoadRate() float64 {
	if s.Mix == "medna-ploscha" {
		return 2.5
	}
	return 3
}

// Weights returns the deployment's settings stall-weight and batch-weight, the
// product's costs of a second of load stall and of a second in an engine's queue.
func (s *Scenario) Weights() (stall, batch float64) {
	if s.Mix == "medna-ploscha" {
		return 1, 3
	}
	return 3, 1
}

// Workload returns the parameters of the scenario's arrivals, bursts and shift
// included. Capacity must be set.
func (s *Scenario) Workload() workload.Workload {
	w := workload.Workload{
		Name: s.Mix, Classes: workload.Kurswerk(), Adapters: adapterCount, Exponent: s.Exponent,
		Rate: s.Load * s.Capacity, Duration: s.Warmup + s.Length, Seed: s.Seed,
	}
	if s.Mix == "medna-ploscha" {
		w.Classes = workload.MednaPloscha()
	}
	switch s.Disturbance {
	case Bursts:
		w.BurstFactor, w.BurstLength, w.BurstEvery = 3, 10*time.Second, time.Minute
	case Shift:
		w.ShiftAt, w.ShiftShare = s.DisturbanceStart(), shiftShare
	}
	return w
}

// DisturbanceStart returns the time from the start of the run at which a
// disturbance begins.
func (s *Scenario) DisturbanceStart() time.Duration {
	return s.Warmup + s.Length/2
}

// Clairvoyant returns the policy that knows all future arrivals, with the slots and
// the load rate of the scenario.
func (s *Scenario) Clairvoyant() bound.Clairvoyant {
	return bound.Clairvoyant{Slots: s.Engines * s.Slots, LoadRate: s.LoadRate(), LoadTime: loadDuration}
}

// MeasureCapacity sets Capacity to the highest arrival rate at which the clairvoyant
// policy serves servedShare of the requests in time. Every seed uses the capacity
// of seed 1, so that all seeds have the same arrival rate.
func (s *Scenario) MeasureCapacity() {
	steady := *s
	steady.Disturbance, steady.Seed, steady.Load, steady.Capacity = Steady, 1, 1, 1
	steady.Warmup, steady.Length = 0, capacityDuration
	s.Capacity = s.Clairvoyant().Capacity(steady.Workload(), servedShare)
}
