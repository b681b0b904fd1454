package ownership

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// freeSlots returns the number of empty slots.
func (o *Owner) freeSlots() int {
	return o.Engine.AdapterSlots - o.foreignCount - len(o.residencies)
}

// A permitRequest is a call of the budget that has not returned.
type permitRequest struct {
	// adapter is the adapter for which the permit was requested. The permit may be
	// used to load another one.
	adapter  fleet.AdapterReference
	priority float64
	cancel   context.CancelFunc
}

// requestPermits requests permits from the budget for the next loads, and replaces
// permit requests whose priority has grown. It stops when no slot is free, is being
// freed or can be freed for the next load.
func (o *Owner) requestPermits(ctx context.Context, waiting []PendingLoad, now time.Time) {
	o.permitReviewAt = now.Add(permitReviewInterval)
	for index := 0; index < o.settings.LoadConcurrencyLimit-o.permitCount && len(waiting) > o.permitCount; index++ {
		i := o.Placement.SelectLoad(o.Engine, waiting, now)
		if i < 0 || o.freeSlots() <= 0 && o.evictionsInFlight() == 0 && o.selectVictim(waiting[i], now) == nil {
			return
		}
		next := waiting[i]
		waiting = slices.Delete(waiting, i, i+1)
		priority := o.Placement.Priority(next, now)
		if index < len(o.permitRequests) {
			if _, ordered := o.Budget.(PriorityLoadBudget); ordered && priority > o.permitRequests[index].priority*priorityGrowthFactor {
				o.permitRequests[index].cancel()
				o.permitRequests[index] = o.startPermitRequest(ctx, next, priority)
			}
			continue
		}
		o.permitRequests = append(o.permitRequests, o.startPermitRequest(ctx, next, priority))
	}
}

// startPermitRequest calls the budget on a worker goroutine.
func (o *Owner) startPermitRequest(ctx context.Context, next PendingLoad, priority float64) *permitRequest {
	permitContext, cancel := context.WithCancel(o.permitContext)
	request := &permitRequest{adapter: next.Adapter, priority: priority, cancel: cancel}
	o.lifecycle.Go(func() {
		defer cancel()
		var err error
		if b, ordered := o.Budget.(PriorityLoadBudget); ordered {
			err = b.AcquirePriority(permitContext, o.Engine.Name, priority)
		} else {
			err = o.Budget.Acquire(permitContext, o.Engine.Name, next.Adapter, next.Urgency)
		}
		o.postResult(ctx, permitResult{request: request, err: err})
	})
	return request
}

// A permitResult is the result of a permit request.
type permitResult struct {
	request *permitRequest
	err     error
}

func (r permitResult) handle(_ context.Context, o *Owner, now time.Time) {
	i := slices.Index(o.permitRequests, r.request)
	if i >= 0 {
		o.permitRequests = slices.Delete(o.permitRequests, i, i+1)
	}
	switch {
	case r.err == nil:
		o.permitCount++
		o.permitsExpireAt = now.Add(permitTimeout)
	case o.pendingHandOver != nil || i < 0:
		// The waiters stay queued for the result of the hand-over, or a permit
		// request with a higher priority has replaced this one.
	case !o.mayOrder():
		o.refuseQueue(r.request.adapter, o.newIsolatedRefusal())
	default:
		refusal := verdict.NewNotRun(verdict.CodeStoreUnavailable, "no load of adapter %s on engine %s", r.request.adapter, o.Engine.Name)
		refusal.Cause = r.err
		o.recordLoadFailure(r.request.adapter, false, refusal, now)
	}
}

// blockedByPreviousOwners reports whether instances of previous owners take all
// slots and none may be evicted, because their grants are not known. That may last
// for minutes, in which other engines can serve the requests, so they are refused.
// It is false until the holders were queried once, because most previous owners
// are then known to have ended.
func (o *Owner) blockedByPreviousOwners(now time.Time) bool {
	if o.takeover.holdingsComplete || o.takeover.collecting || o.takeover.collectAt.IsZero() || o.Engine.AdapterSlots-o.foreignCount > len(o.residencies) {
		return false
	}
	for _, e := range o.residencies {
		if e.instance.Epoch >= o.Epoch || e.adopted || e.state == stateUnloading || o.takeover.grantsEnded(e.instance.Epoch, o, now) {
			return false
		}
	}
	return true
}

// pendingLoads returns the adapters that queued requests wait for and that may be
// loaded now, those with the earliest request first.
func (o *Owner) pendingLoads(now time.Time) []PendingLoad {
	var waiting []PendingLoad
	for adapter, q := range o.queues {
		if _, taken := o.residencies[o.ownInstance(adapter)]; taken || adapter == fenceAdapter {
			continue
		}
		if b, ok := o.loadBackoffs[adapter]; ok && now.Before(b.retryAt) || o.unansweredUnloads[o.ownInstance(adapter)] != nil {
			continue
		}
		load := PendingLoad{Adapter: adapter, RequestCount: len(q.waiters)}
		for i, w := range q.waiters {
			urgency, deadline := configuration.Urgency(w.request.Urgency), w.arrived.Add(w.request.MaxWait)
			if i == 0 || urgencyRank(urgency) < urgencyRank(load.Urgency) {
				load.Urgency = urgency
			}
			if i == 0 || deadline.Before(load.Deadline) {
				load.Deadline = deadline
			}
			if i == 0 || w.arrived.Before(load.FirstArrival) {
				load.FirstArrival = w.arrived
			}
		}
		waiting = append(waiting, load)
	}
	slices.SortFunc(waiting, func(a, b PendingLoad) int {
		return cmp.Or(
			a.FirstArrival.Compare(b.FirstArrival),
			cmp.Compare(a.Adapter.Name, b.Adapter.Name),
			cmp.Compare(a.Adapter.Version, b.Adapter.Version),
		)
	})
	return waiting
}

// startLoad starts the load of an adapter.
func (o *Owner) startLoad(ctx context.Context, w PendingLoad, now time.Time) {
	e := &residency{instance: o.ownInstance(w.Adapter), state: stateLoading, lastUsed: now}
	o.residencies[e.instance] = e
	o.countOrder()
	r := loadResult{residency: e, engineStart: o.engineStart}
	o.lifecycle.Go(func() {
		r.sent, r.err = o.sendLoad(ctx, e.instance)
		o.postResult(ctx, r)
	})
}

// sendLoad runs on a worker goroutine. It reports whether the order was sent, and
// with which error.
func (o *Owner) sendLoad(ctx context.Context, instance fleet.Instance) (bool, error) {
	if !o.mayOrder() {
		return false, o.newIsolatedRefusal()
	}
	bounded, cancel := context.WithTimeout(ctx, o.settings.OrderTimeout)
	defer cancel()
	return true, o.Engines.Load(bounded, o.Engine, instance, o.Epoch)
}

// A loadResult is the result of a load order.
type loadResult struct {
	residency   *residency
	engineStart fleet.StartNumber
	sent        bool
	err         error
}

func (r loadResult) handle(_ context.Context, o *Owner, now time.Time) {
	o.loadsInFlight--
	o.unansweredOrders--
	e := r.residency
	adapter := e.instance.Adapter
	if r.engineStart != o.engineStart {
		// The engine restarted; its next report lists the resident instances.
		o.nextReportAt = now
		return
	}
	if r.err == nil {
		e.state, e.grantable, e.lastUsed = stateResident, true, now
		delete(o.loadBackoffs, adapter)
		o.serveQueues(now)
		return
	}
	if !r.sent || outcomeKnown(r.err) {
		delete(o.residencies, e.instance)
	} else {
		e.state = stateUncertain
		o.nextReportAt = now
	}
	if o.pendingHandOver != nil && !r.sent {
		// The waiters stay queued for the result of the hand-over.
		return
	}
	if !r.sent && !o.mayOrder() {
		o.refuseQueue(adapter, o.newIsolatedRefusal())
		return
	}
	o.recordLoadFailure(adapter, r.sent, r.err, now)
}

// A loadBackoff delays the next load of an adapter whose load failed.
type loadBackoff struct {
	backoff *backoff.ExponentialBackOff
	retryAt time.Time
}

// recordLoadFailure refuses all queued requests for an adapter and delays its next
// load. sent says whether a load order was sent.
func (o *Owner) recordLoadFailure(adapter fleet.AdapterReference, sent bool, cause error, now time.Time) {
	f, ok := o.loadBackoffs[adapter]
	if !ok {
		f = &loadBackoff{backoff: backoff.NewExponentialBackOff()}
		f.backoff.MaxInterval = o.settings.MaxBackoff
		o.loadBackoffs[adapter] = f
	}
	pause := f.backoff.NextBackOff()
	f.retryAt = now.Add(pause)
	o.Logger.Warn().Err(cause).Str("engine", string(o.Engine.Name)).Stringer("adapter", adapter).
		Dur("pause", pause).Msg("load failed")
	refusal := verdict.NewNotRun(verdict.CodeLoadFailed, "adapter %s failed to load on engine %s", adapter, o.Engine.Name)
	var verdictErr *verdict.Error
	if !sent && errors.As(cause, &verdictErr) {
		refusal.Code = verdictErr.Code
	}
	refusal.Cause, refusal.RetryAfter = cause, pause
	o.refuseQueue(adapter, refusal)
}
