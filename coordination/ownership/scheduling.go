package ownership

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// permitTimeout is how long an unused permit is kept. Permits that were kept longer
// would add loads to those that the budget permits meanwhile and exceed its rate.
const permitTimeout = time.Second

const (
	// permitReviewInterval is the time between two comparisons of the permit
	// requests with the pending loads.
	permitReviewInterval = 250 * time.Millisecond
	// priorityGrowthFactor is the factor by which the priority must have grown
	// before a permit request is replaced. It limits the calls to the allocator
	// of the budget.
	priorityGrowthFactor = 1.5
)

// schedule requests permits to load the adapters of queued requests. With a
// permit, it starts a load, or an eviction if no slot is free. The permit comes
// first, so that no slot stays empty while a load waits for the budget, and so
// that the adapter is chosen when its load may begin.
func (o *Owner) schedule(ctx context.Context, now time.Time) {
	if o.blockedByPreviousOwners(now) {
		for adapter := range o.queues {
			o.refuseQueue(adapter, verdict.NewNotRun(verdict.CodeNoGrant,
				"adapter %s has no slot on engine %s: a previous owner may have granted all instances", adapter, o.Engine.Name))
		}
		return
	}
	if now.After(o.permitsExpireAt) {
		o.permitCount = 0
	}
	permitUsable := o.permitCount > 0 && o.loadsInFlight < o.settings.LoadConcurrencyLimit
	if len(o.queues) == 0 || !permitUsable && now.Before(o.permitReviewAt) && len(o.permitRequests)+o.permitCount >= o.settings.LoadConcurrencyLimit {
		return
	}
	waiting := o.pendingLoads(now)
	// Each eviction in flight will free one slot.
	pendingSlots := o.evictionsInFlight()
	for o.permitCount > 0 && o.loadsInFlight < o.settings.LoadConcurrencyLimit && len(waiting) > 0 {
		i := o.Placement.SelectLoad(o.Engine, waiting, now)
		if i < 0 {
			return
		}
		next := waiting[i]
		waiting = slices.Delete(waiting, i, i+1)
		switch {
		case o.freeSlots() > 0:
			o.permitCount--
			o.startLoad(ctx, next, now)
		case pendingSlots >= o.permitCount:
			// Every permit has a slot that an eviction in flight will free.
			return
		case !o.startEviction(ctx, next, now):
			return
		default:
			pendingSlots++
		}
	}
	o.requestPermits(ctx, waiting, now)
}

// countOrder counts a load or unload order that is about to be sent.
func (o *Owner) countOrder() {
	o.orderCount++
	o.loadsInFlight++
	o.unansweredOrders++
}

// outcomeKnown reports whether an order with this error is known to have been
// carried out or not. Otherwise it may still take effect.
func outcomeKnown(err error) bool {
	var verdictErr *verdict.Error
	return err == nil || errors.As(err, &verdictErr) && verdictErr.Verdict != verdict.MayHaveRun
}
