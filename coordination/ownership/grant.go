package ownership

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A waiter is a call of AcquireGrant that has no result yet.
type waiter struct {
	request dispatch.GrantRequest
	arrived time.Time
	// settled is set once, either by the goroutine of Run when it replies or by
	// the call when it stops waiting. So no grant is made that nobody receives.
	settled atomic.Bool
	reply   chan grantResult
}

// A grantResult is a grant, or a refusal if refusal is not nil.
type grantResult struct {
	grant   fleet.Grant
	refusal *verdict.Error
}

func (r grantResult) result() (fleet.Grant, error) {
	if r.refusal != nil {
		return fleet.Grant{}, r.refusal
	}
	return r.grant, nil
}

func (w *waiter) refuse(refusal *verdict.Error) {
	if w.settled.CompareAndSwap(false, true) {
		w.reply <- grantResult{refusal: refusal}
	}
}

// handle grants a resident instance, queues the waiter until the adapter is
// loaded, or refuses the request.
func (w *waiter) handle(_ context.Context, o *Owner, now time.Time) {
	if w.settled.Load() {
		return
	}
	if o.superseded {
		w.refuse(newNotOwnerRefusal(o.Engine.Name, o.nextOwner))
		return
	}
	if refusal := o.checkConflict(w.request); refusal != nil {
		w.refuse(refusal)
		return
	}
	o.Placement.RecordRequest(w.request.Adapter, now)
	if o.grantResident(w, now) {
		return
	}
	if refusal := o.checkQueueable(w, now); refusal != nil {
		w.refuse(refusal)
		return
	}
	q, ok := o.queues[w.request.Adapter]
	if !ok {
		q = &adapterQueue{adapter: w.request.Adapter}
		o.queues[w.request.Adapter] = q
	}
	q.waiters = append(q.waiters, w)
	o.queuedCount++
}

// checkConflict returns a refusal if the same request has a grant that is being
// canceled or that another host holds. An engine cancels requests by their id
// alone, so a cancel for one grant would end the request under the other too.
func (o *Owner) checkConflict(d dispatch.GrantRequest) *verdict.Error {
	if o.canceling[d.RunID] {
		refusal := verdict.NewNotRun(verdict.CodeNoGrant, "an earlier grant of request %s on engine %s is being canceled", d.RunID, o.Engine.Name)
		refusal.RetryAfter = cancelDelay
		return refusal
	}
	for _, p := range o.pins[d.RunID] {
		if p.holder != d.Holder {
			return verdict.NewNotRun(verdict.CodeConflict, "request %s has a grant of host %s on engine %s", d.RunID, p.holder, o.Engine.Name)
		}
	}
	return nil
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

// grantResident replies to the waiter if a resident instance can be granted. It
// returns true when the waiter is done: granted, refused or no longer waiting.
func (o *Owner) grantResident(w *waiter, now time.Time) bool {
	if o.engineStart == 0 || !o.mayGrant(now) {
		return false
	}
	e := o.findGrantable(w.request.Adapter)
	if e == nil {
		return false
	}
	duration := min(w.request.Duration, o.settings.GrantLimit)
	if duration <= 0 {
		w.refuse(verdict.NewNotRun(verdict.CodeNoGrant, "grant request on engine %s has no time left", o.Engine.Name))
		return true
	}
	if !w.settled.CompareAndSwap(false, true) {
		return true
	}
	o.pin(e, w.request.RunID, w.request.Holder, now.Add(duration))
	e.lastUsed = now
	w.reply <- grantResult{grant: fleet.Grant{
		Engine: o.Engine.Name, EngineStart: o.engineStart, Address: o.Engine.Address, Instance: e.instance, Epoch: o.Epoch,
		RunID: w.request.RunID, Holder: w.request.Holder, Duration: duration, LoadStall: now.Sub(w.arrived),
	}}
	return true
}

// pin records a grant on an instance until end.
func (o *Owner) pin(e *residency, request fleet.RequestID, holder fleet.HostName, end time.Time) {
	e.pinCount++
	o.pins[request] = append(o.pins[request], &pin{residency: e, request: request, holder: holder, end: end})
}

// unpin removes the oldest pin of a request, or all of them.
func (o *Owner) unpin(request fleet.RequestID, all bool) {
	pins := o.pins[request]
	for len(pins) > 0 {
		pins[0].residency.pinCount--
		pins = pins[1:]
		if !all {
			break
		}
	}
	o.pins[request] = pins
	if len(pins) == 0 {
		delete(o.pins, request)
		delete(o.cancelRetryAt, request)
	}
}

// revokePins removes all pins of a request that were not released. Their releases
// may still arrive; they are counted, so that they do not end later grants of the
// same request.
func (o *Owner) revokePins(request fleet.RequestID, now time.Time) {
	late := o.lateReleases[request]
	if late == nil {
		late = &lateReleases{}
		o.lateReleases[request] = late
	}
	late.count += len(o.pins[request])
	late.expectedUntil = now.Add(o.settings.GrantLimit)
	o.unpin(request, true)
}

// A lateReleases counts the releases of revoked pins that may still arrive.
type lateReleases struct {
	count int
	// expectedUntil is when the count is dropped.
	expectedUntil time.Time
}

// releaseMessage is the message of Release.
type releaseMessage struct {
	requests []fleet.RequestID
}

func (r releaseMessage) handle(_ context.Context, o *Owner, _ time.Time) {
	for _, request := range r.requests {
		if late := o.lateReleases[request]; late != nil && late.count > 0 {
			late.count--
			continue
		}
		o.unpin(request, false)
	}
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

// startCancels cancels the requests whose grants ended without release. Their
// instances stay pinned until the engine confirms the cancel.
func (o *Owner) startCancels(ctx context.Context, now time.Time) {
	if o.pendingHandOver != nil {
		return
	}
	for request, pins := range o.pins {
		if len(o.canceling) >= maxCancelsInFlight {
			return
		}
		if o.canceling[request] || now.Before(o.cancelRetryAt[request]) || !allEnded(pins, now.Add(-cancelDelay)) {
			continue
		}
		o.canceling[request] = true
		o.unansweredOrders++
		start := o.engineStart
		o.lifecycle.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, o.settings.OrderTimeout)
			defer cancel()
			err := o.Engines.Cancel(bounded, o.Engine, request)
			o.postResult(ctx, cancelResult{request: request, engineStart: start, err: err})
		})
	}
}

// allEnded reports whether all pins have ended at now.
func allEnded(pins []*pin, now time.Time) bool {
	for _, p := range pins {
		if now.Before(p.end) {
			return false
		}
	}
	return true
}

// A cancelResult is the result of a cancel order.
type cancelResult struct {
	request     fleet.RequestID
	engineStart fleet.StartNumber
	err         error
}

func (r cancelResult) handle(_ context.Context, o *Owner, now time.Time) {
	o.unansweredOrders--
	delete(o.canceling, r.request)
	if r.engineStart != o.engineStart {
		return
	}
	if r.err != nil {
		o.Logger.Warn().Err(r.err).Str("engine", string(o.Engine.Name)).Str("request", string(r.request)).Msg("cancel of a request whose grant ended failed; it is sent again")
		o.cancelRetryAt[r.request] = now.Add(o.settings.ReportInterval)
		return
	}
	o.revokePins(r.request, now)
}

// prune forgets releases that are no longer expected, and back-offs that ended
// more than MaxBackoff ago.
func (o *Owner) prune(now time.Time) {
	for request, late := range o.lateReleases {
		if late.count == 0 || now.After(late.expectedUntil) {
			delete(o.lateReleases, request)
		}
	}
	for adapter, b := range o.loadBackoffs {
		if now.After(b.retryAt.Add(o.settings.MaxBackoff)) {
			delete(o.loadBackoffs, adapter)
		}
	}
}
