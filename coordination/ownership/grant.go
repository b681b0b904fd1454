package ownership

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// AcquireGrant returns a grant, or a *verdict.Error with verdict NotRun. It waits
// for the load of the adapter for at most the request's MaxWait.
func (o *Owner) AcquireGrant(ctx context.Context, request dispatch.GrantRequest) (fleet.Grant, error) {
	o.setup()
	w := &waiter{request: request, arrived: time.Now(), reply: make(chan grantResult, 1)}
	if !o.messages.Offer(w) {
		return fleet.Grant{}, o.newOverloadedRefusal()
	}
	select {
	case r := <-w.reply:
		return r.result()
	case <-ctx.Done():
	case <-o.ended:
	}
	if w.settled.CompareAndSwap(false, true) {
		code := verdict.CodeCanceled
		if ctx.Err() == nil {
			code = verdict.CodeStopping
		}
		refusal := verdict.NewNotRun(code, "grant request on engine %s ended before a grant was given", o.Engine.Name)
		refusal.Cause = ctx.Err()
		return fleet.Grant{}, refusal
	}
	return (<-w.reply).result()
}

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
