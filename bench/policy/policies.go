package policy

import (
	"github.com/persimmonmux/persimmonmux/coordination/ownership"
	"github.com/persimmonmux/persimmonmux/coordination/placement"
	"github.com/persimmonmux/persimmonmux/coordination/routing"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// ProductPolicy is the name of the product's policy in the results.
const ProductPolicy = "persimmonmux"

// policies returns the product's policy and the baselines. The baselines have
// no load budget: their loads wait in the weight store in the order of arrival,
// which shares the store's rate better than fixed shares do.
func policies() []Policy {
	lru := func(*Scenario) ownership.PlacementPolicy { return ownership.UrgencyLRUPolicy{} }
	return []Policy{
		{Name: ProductPolicy, Router: newRouter, Placement: newPlacement, Budgeting: productBudgeting},
		{Name: "random", Router: baselineConstructor(chooseRandom), Placement: lru},
		{Name: "least-loaded", Router: baselineConstructor(chooseLeastLoaded), Placement: lru},
		{Name: "hashing-1.25", Router: baselineConstructor(chooseHashed(1.25)), Placement: lru},
		{Name: "hashing-2", Router: baselineConstructor(chooseHashed(2)), Placement: lru},
	}
}

// productBudgeting is the way in which the product's hosts share the load rate.
const productBudgeting = BudgetLent

// newRouter returns the product's router for a host in a failure domain.
func newRouter(s *Scenario, domain int, _ uint64) Router {
	stall, batch := s.Weights()
	region := "region-0"
	if domain == domainCount-1 {
		region = "region-1"
	}
	return &routing.Router{
		FailureDomain: domainName(domain), Region: fleet.RegionName(region),
		StallWeight: stall, BatchWeight: batch,
	}
}

// newPlacement returns the product's placement policy.
func newPlacement(s *Scenario) ownership.PlacementPolicy {
	stall, batch := s.Weights()
	return &placement.Policy{StallWeight: stall, BatchWeight: batch}
}

// baselineConstructor returns a Policy.Router that creates baseline routers.
func baselineConstructor(choose chooseFunc) func(*Scenario, int, uint64) Router {
	return func(_ *Scenario, _ int, seed uint64) Router { return newBaselineRouter(choose, seed) }
}
