package ownership

import (
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// LeaseChecker reports whether this host holds a valid lease. It is safe for
// concurrent use.
type LeaseChecker interface {
	// Valid returns the epoch under which this host holds the lease. It returns
	// false when the lease is not valid now.
	Valid(name lease.Name) (fleet.Epoch, bool)
}

// LeaseName returns the name of the lease of an engine.
func LeaseName(engine fleet.EngineName) lease.Name {
	return lease.Name("engine/" + string(engine))
}

// holdsLease reports whether the lease is valid under this owner's epoch, and
// records that it was or that a later epoch has begun.
func (o *Owner) holdsLease(now time.Time) bool {
	epoch, ok := o.Leases.Valid(LeaseName(o.Engine.Name))
	if ok && epoch > o.Epoch {
		o.superseded = true
	}
	if !ok || epoch != o.Epoch {
		return false
	}
	// now was read before Valid was called, so leaseValidAt is not later than the
	// lease's end, even if the process was paused in between.
	o.leaseValidAt = now
	return true
}

// mayGrant reports whether resident instances may be granted: with a valid
// lease, or for IsolatedServiceLimit after it was last valid.
func (o *Owner) mayGrant(now time.Time) bool {
	if o.superseded || o.pendingHandOver != nil && o.pendingHandOver.grantingStopped {
		return false
	}
	return o.holdsLease(now) || !o.leaseValidAt.IsZero() && now.Before(o.leaseValidAt.Add(o.settings.IsolatedServiceLimit))
}

// mayOrder reports whether the lease is valid under this owner's epoch. Workers
// check it directly before each load and unload order.
func (o *Owner) mayOrder() bool {
	epoch, ok := o.Leases.Valid(LeaseName(o.Engine.Name))
	return ok && epoch == o.Epoch
}
