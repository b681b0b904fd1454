package ownership

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// An instanceState is the state of an instance on the engine, as far as its
// owner knows it.
type instanceState int

const (
	// stateLoading means that a load order is in flight.
	stateLoading instanceState = iota
	// stateResident means that the instance is loaded.
	stateResident
	// stateUnloading means that an unload order is in flight or about to be sent.
	stateUnloading
	// stateUncertain means that the instance may or may not be loaded.
	stateUncertain
)

// A residency is the owner's record of an instance that takes a slot of the engine.
type residency struct {
	instance fleet.Instance
	state    instanceState
	// grantable says that the owner may grant the instance while it is resident.
	// An instance of an earlier epoch is grantable only if no order of an earlier
	// owner can unload it any more.
	grantable bool
	// adopted says that the previous owner passed the instance on in a planned
	// hand-over.
	adopted bool
	// pinCount is the number of pins on the instance. It is never unloaded while
	// pinCount is more than 0.
	pinCount int
	lastUsed time.Time
	// nextUnloadAt is the earliest time for the next unload order after one failed.
	nextUnloadAt time.Time
}

// ownInstance returns the instance with this owner's epoch, the only one that
// this owner loads for an adapter.
func (o *Owner) ownInstance(adapter fleet.AdapterReference) fleet.Instance {
	return fleet.Instance{Adapter: adapter, Epoch: o.Epoch}
}

// findGrantable returns the resident instance of the adapter that may be granted,
// or nil. Of several it returns the one with the latest epoch.
func (o *Owner) findGrantable(adapter fleet.AdapterReference) *residency {
	var best *residency
	for _, e := range o.residencies {
		if e.instance.Adapter == adapter && e.state == stateResident && e.grantable &&
			(best == nil || e.instance.Epoch > best.instance.Epoch) {
			best = e
		}
	}
	return best
}
