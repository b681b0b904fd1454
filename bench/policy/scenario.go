// Package policy measures the load decisions. The real duties run in virtual
// time against small stand-ins of engines and of the weight store.
package policy

import (
	"time"

	"github.com/persimmonmux/persimmonmux/bench/bound"
	"github.com/persimmonmux/persimmonmux/bench/workload"
)

// A Disturbance is what goes wrong in a run.
type Disturbance string

// The disturbances. Each begins at the middle of the counted time.
const (
	Steady Disturbance = "steady"
	// Bursts triples the arrivals for 10 s of each minute.
	Bursts Disturbance = "bursts"
	// Shift gives 23% of the adapters new popularity ranks.
	Shift Disturbance = "shift"
	// Cold restarts one engine without adapters.
	Cold Disturbance = "cold-engine"
	// Outage makes the weight store fail for a minute.
	Outage Disturbance = "store-outage"
	// Slow makes each load take 8 times as long for a minute.
	Slow Disturbance = "store-slow"
	// Cut separates a failure domain from the others and the platform for a minute.
	Cut Disturbance = "domain-cut"
)

const (
	// domains is the number of failure domains.
	domains = 3
	// batchSize is the batch of an engine.
	batchSize = 8
	// adapters is the number of adapters.
	adapters = 3000
	// servedShare is the share of requests in time that defines the capacity.
	servedShare = 0.95
	// shiftShare is the share of adapters that change in an hour.
	shiftShare = 0.23
	// capacityLength is the span of arrivals over which the capacity is measured.
	// It is long against the deadlines, because the loads after the last arrival
	// would otherwise raise the capacity.
	capacityLength = time.Hour
	// disturbanceLength is how long an outage or a cut lasts.
	disturbanceLength = time.Minute
)

// A Scenario is one run without its policy.
type Scenario struct {
	// Mix is "kurswerk" or "medna-ploscha".
	Mix string `json:"mix"`
	// Exponent is the exponent of the Zipf popularity.
	Exponent float64 `json:"exponent"`
	// Engines and Slots are the number of engines and of adapters on each.
	Engines int `json:"engines"`
	Slots   int `json:"slots"`
	// Load is the rate of arrivals divided by the capacity.
	Load float64 `json:"load"`
	// Capacity is in requests per second.
	Capacity    float64     `json:"capacity"`
	Disturbance Disturbance `json:"disturbance"`
	Seed        uint64      `json:"seed"`
	// Warmup is not counted; Length is.
	Warmup time.Duration `json:"-"`
	Length time.Duration `json:"-"`
}

// LoadRate returns the weight store's loads per second.
func (s *Scenario) LoadRate() float64 {
	if s.Mix == "medna-ploscha" {
		return 2.5
	}
	return 3
}

// Weights returns the stall-weight and the batch-weight of the deployment.
func (s *Scenario) Weights() (stall, batch float64) {
	if s.Mix == "medna-ploscha" {
		return 1, 3
	}
	return 3, 1
}

// Workload returns the arrivals of the scenario.
func (s *Scenario) Workload() workload.Workload {
	w := workload.Workload{
		Name: s.Mix, Classes: workload.Kurswerk(), Adapters: adapters, Exponent: s.Exponent,
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

// DisturbanceStart is when a disturbance begins, from the start of the run.
func (s *Scenario) DisturbanceStart() time.Duration {
	return s.Warmup + s.Length/2
}

// Clairvoyant returns the run that knows the future, with the scenario's slots
// and loads.
func (s *Scenario) Clairvoyant() bound.Clairvoyant {
	return bound.Clairvoyant{Slots: s.Engines * s.Slots, LoadRate: s.LoadRate(), LoadTime: loadTime}
}

// MeasureCapacity sets Capacity to the highest rate that the clairvoyant run
// serves with servedShare of the requests in time. Every seed uses the capacity
// of seed 1, so that the seeds see the same rate.
func (s *Scenario) MeasureCapacity() {
	steady := *s
	steady.Disturbance, steady.Seed, steady.Load, steady.Capacity = Steady, 1, 1, 1
	steady.Warmup, steady.Length = 0, capacityLength
	s.Capacity = s.Clairvoyant().Capacity(steady.Workload(), servedShare)
}
