package ownership

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// An adapterQueue holds the grant requests that wait for the load of one adapter.
type adapterQueue struct {
	adapter fleet.AdapterReference
	waiters []*waiter
}

// newOverloadedRefusal returns the refusal for a full queue or message ring.
func (o *Owner) newOverloadedRefusal() *verdict.Error {
	refusal := verdict.NewNotRun(verdict.CodeOverloaded, "owner of engine %s has too many grant requests", o.Engine.Name)
	refusal.RetryAfter = o.settings.ReportInterval
	return refusal
}

// refuseAllWaiters refuses all queued grant requests when Run ends.
func (o *Owner) refuseAllWaiters() {
	refusal := verdict.NewNotRun(verdict.CodeStopping, "owner of engine %s is stopping", o.Engine.Name)
	if o.nextOwner != "" {
		refusal = newNotOwnerRefusal(o.Engine.Name, o.nextOwner)
	}
	for _, q := range o.queues {
		for _, w := range q.waiters {
			w.refuse(refusal)
		}
	}
}

// checkQueueable returns a refusal if the waiter cannot wait for a load, or nil.
func (o *Owner) checkQueueable(w *waiter, now time.Time) *verdict.Error {
	adapter := w.request.Adapter
	// While the lease is being transferred, waiters are queued until it is known
	// whether this host stays the owner.
	transferring := o.pendingHandOver != nil && o.pendingHandOver.grantingStopped
	if !transferring && !o.holdsLease(now) {
		return o.newIsolatedRefusal()
	}
	if f, ok := o.loadBackoffs[adapter]; ok && now.Before(f.retryAt) {
		refusal := verdict.NewNotRun(verdict.CodeLoadFailed, "adapter %s failed to load on engine %s", adapter, o.Engine.Name)
		refusal.RetryAfter = f.retryAt.Sub(now)
		return refusal
	}
	if o.unansweredUnloads[o.ownInstance(adapter)] != nil {
		return verdict.NewNotRun(verdict.CodeLoadFailed, "adapter %s cannot load on engine %s: an unload order is unanswered", adapter, o.Engine.Name)
	}
	if o.queuedCount >= o.settings.QueueLimit {
		// Waiters that timed out or stopped waiting make room in the queues.
		o.refuseTimedOutWaiters(now)
	}
	if o.queuedCount >= o.settings.QueueLimit {
		return o.newOverloadedRefusal()
	}
	if w.request.MaxWait <= 0 {
		return o.newWaitTimeoutRefusal(adapter)
	}
	return nil
}

func (o *Owner) newIsolatedRefusal() *verdict.Error {
	return verdict.NewNotRun(verdict.CodeIsolated, "owner of engine %s has no valid lease", o.Engine.Name)
}

func (o *Owner) newWaitTimeoutRefusal(adapter fleet.AdapterReference) *verdict.Error {
	return verdict.NewNotRun(verdict.CodeNoGrant, "adapter %s was not ready in time on engine %s", adapter, o.Engine.Name)
}

// serveQueues grants the queued requests whose adapters are resident.
func (o *Owner) serveQueues(now time.Time) {
	for adapter, q := range o.queues {
		if o.findGrantable(adapter) == nil {
			continue
		}
		o.filterQueue(q, func(w *waiter) bool { return !o.grantResident(w, now) })
	}
}

// filterQueue removes the waiters of a queue that have stopped waiting or for
// which keep returns false.
func (o *Owner) filterQueue(q *adapterQueue, keep func(*waiter) bool) {
	before := len(q.waiters)
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if !w.settled.Load() && keep(w) {
			kept = append(kept, w)
		}
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
	o.queuedCount -= before - len(kept)
	if len(kept) == 0 {
		delete(o.queues, q.adapter)
	}
}

// refuseQueue refuses all queued requests for an adapter.
func (o *Owner) refuseQueue(adapter fleet.AdapterReference, refusal *verdict.Error) {
	if q, ok := o.queues[adapter]; ok {
		o.filterQueue(q, func(w *waiter) bool {
			w.refuse(refusal)
			return false
		})
	}
}

// refuseTimedOutWaiters refuses the queued requests whose MaxWait has passed.
func (o *Owner) refuseTimedOutWaiters(now time.Time) {
	for _, q := range o.queues {
		o.filterQueue(q, func(w *waiter) bool {
			if now.Before(w.arrived.Add(w.request.MaxWait)) {
				return true
			}
			w.refuse(o.newWaitTimeoutRefusal(w.request.Adapter))
			return false
		})
	}
}

// refuseQueuesWithoutLease refuses all queued requests while the lease is not
// valid, because nothing can be loaded for them. After a hand-over has stopped
// granting, its result decides about the queued requests instead.
func (o *Owner) refuseQueuesWithoutLease() {
	if o.pendingHandOver != nil && o.pendingHandOver.grantingStopped {
		return
	}
	refusal := o.newIsolatedRefusal()
	if o.superseded {
		refusal = newNotOwnerRefusal(o.Engine.Name, o.nextOwner)
	}
	for adapter := range o.queues {
		o.refuseQueue(adapter, refusal)
	}
}
