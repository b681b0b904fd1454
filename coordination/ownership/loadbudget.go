package ownership

import (
	"context"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A LoadBudget limits the rate at which engines load weights from the weight
// store, which all engines share.
type LoadBudget interface {
	// Acquire waits until a load of the adapter may begin.
	Acquire(ctx context.Context, engine fleet.EngineName, adapter fleet.AdapterReference, urgency configuration.Urgency) error
}

// A PriorityLoadBudget is a LoadBudget that orders the loads of all engines by
// the priority that the PlacementPolicy gives them. An Owner whose Budget
// implements it calls AcquirePriority and never Acquire.
type PriorityLoadBudget interface {
	LoadBudget
	// AcquirePriority waits until a load may begin. When the priority has grown,
	// the Owner cancels ctx and calls AcquirePriority again.
	AcquirePriority(ctx context.Context, engine fleet.EngineName, priority float64) error
}
