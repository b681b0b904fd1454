package policy

import (
	"github.com/persimmonmux/persimmonmux/coordination/ownership"
	"github.com/persimmonmux/persimmonmux/coordination/placement"
	"github.com/persimmonmux/persimmonmux/coordination/routing"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// Ours is the name of the product's policy.
const Ours = "persimmonmux"

// policies returns the product's policy and the baselines. The baselines load
// at once and wait in the weight store's own order of arrival, which shares its
// rate better than fixed shares do.
func policies() []Policy {
	lru := func(*Scenario) ownership.PlacementPolicy { return ownership.UrgencyLRUPolicy{} }
	return []Policy{
		{Name: Ours, Router: newRouter, Placement: newPlacement, Budgeting: ourBudgeting},
		{Name: "random", Router: baseline(chooseRandom), Placement: lru},
		{Name: "least-loaded", Router: baseline(chooseLeastLoaded), Placement: lru},
		{Name: "hashing-1.25", Router: baseline(chooseHashed(1.25)), Placement: lru},
		{Name: "hashing-2", Router: baseline(chooseHashed(2)), Placement: lru},
	}
}

// ourBudgeting is how entry hosts share the load rate.
const ourBudgeting = BudgetLent

func newRouter(s *Scenario, domain int, _ uint64) Router {
	stall, batch := s.Weights()
	region := "region-0"
	if domain == domains-1 {
		region = "region-1"
	}
	return &routing.Router{
		FailureDomain: domainName(domain), Region: fleet.RegionName(region),
		StallWeight: stall, BatchWeight: batch,
	}
}

func newPlacement(s *Scenario) ownership.PlacementPolicy {
	stall, batch := s.Weights()
	return &placement.Policy{StallWeight: stall, BatchWeight: batch}
}

func baseline(choose choice) func(*Scenario, int, uint64) Router {
	return func(_ *Scenario, _ int, seed uint64) Router { return newBaselineRouter(choose, seed) }
}
