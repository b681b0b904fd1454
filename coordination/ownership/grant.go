package ownership

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// An ask is a demand with the way back to its caller.
type ask struct {
	demand  dispatch.GrantRequest
	arrived time.Time
	// settled is set by whoever decides first: the duty that answers, or the
	// caller that stops waiting. A grant that nobody receives is never made.
	settled atomic.Bool
	reply   chan answer
}

// An answer is a grant or a refusal.
type answer struct {
	grant   fleet.Grant
	refusal *verdict.Error
}

func (r answer) result() (fleet.Grant, error) {
	if r.refusal != nil {
		return fleet.Grant{}, r.refusal
	}
	return r.grant, nil
}

func (a *ask) refuse(refusal *verdict.Error) {
	if a.settled.CompareAndSwap(false, true) {
		a.reply <- answer{refusal: refusal}
	}
}

// handle grants a resident instance, lets the demand wait, or refuses it.
func (a *ask) handle(_ context.Context, o *Owner, now time.Time) {
	if a.settled.Load() {
		return
	}
	if o.superseded {
		a.refuse(refuseNotOwner(o.Engine.Name, o.moved))
		return
	}
	if refusal := o.conflict(a.demand); refusal != nil {
		a.refuse(refusal)
		return
	}
	o.Placement.RecordRequest(a.demand.Adapter, now)
	if o.grantResident(a, now) {
		return
	}
	if refusal := o.unloadable(a, now); refusal != nil {
		a.refuse(refusal)
		return
	}
	q, ok := o.queues[a.demand.Adapter]
	if !ok {
		q = &queue{adapter: a.demand.Adapter}
		o.queues[a.demand.Adapter] = q
	}
	q.asks = append(q.asks, a)
	o.waiting++
}

// conflict refuses a demand whose request has a grant in another hand, because
// requests are canceled by their id alone.
func (o *Owner) conflict(d dispatch.GrantRequest) *verdict.Error {
	if o.canceling[d.Request] {
		refusal := verdict.NewNotRun(verdict.CodeNoGrant, "an earlier grant of request %s on engine %s is being canceled", d.Request, o.Engine.Name)
		refusal.RetryAfter = cancelDelay
		return refusal
	}
	for _, p := range o.pins[d.Request] {
		if p.holder != d.Holder {
			return verdict.NewNotRun(verdict.CodeConflict, "request %s has a grant of host %s on engine %s", d.Request, p.holder, o.Engine.Name)
		}
	}
	return nil
}

// unloadable refuses a demand that cannot wait for a load.
func (o *Owner) unloadable(a *ask, now time.Time) *verdict.Error {
	adapter := a.demand.Adapter
	// While the lease is being transferred, demands wait for the outcome.
	transferring := o.handing != nil && o.handing.frozen
	if !transferring && !o.holds(now) {
		return o.refuseIsolated()
	}
	if f, ok := o.failures[adapter]; ok && now.Before(f.until) {
		refusal := verdict.NewNotRun(verdict.CodeLoadFailed, "adapter %s failed to load on engine %s", adapter, o.Engine.Name)
		refusal.RetryAfter = f.until.Sub(now)
		return refusal
	}
	if o.unanswered[o.named(adapter)] != nil {
		return verdict.NewNotRun(verdict.CodeLoadFailed, "adapter %s cannot load on engine %s: an unload order is unanswered", adapter, o.Engine.Name)
	}
	if o.waiting >= o.settings.QueueLimit {
		// Demands whose callers stopped waiting make room.
		o.refuseImpatient(now)
	}
	if o.waiting >= o.settings.QueueLimit {
		return o.refuseFull()
	}
	if a.demand.MaxWait <= 0 {
		return o.refuseImpatience(adapter)
	}
	return nil
}

func (o *Owner) refuseIsolated() *verdict.Error {
	return verdict.NewNotRun(verdict.CodeIsolated, "owner of engine %s has no valid lease", o.Engine.Name)
}

func (o *Owner) refuseImpatience(adapter fleet.AdapterReference) *verdict.Error {
	return verdict.NewNotRun(verdict.CodeNoGrant, "adapter %s was not ready in time on engine %s", adapter, o.Engine.Name)
}

// named returns the instance that this owner loads for an adapter.
func (o *Owner) named(adapter fleet.AdapterReference) fleet.Instance {
	return fleet.Instance{Adapter: adapter, Epoch: o.Epoch}
}

// usable returns a resident instance of the adapter that may be granted, or nil.
func (o *Owner) usable(adapter fleet.AdapterReference) *entry {
	var best *entry
	for _, e := range o.entries {
		if e.instance.Adapter == adapter && e.state == stateResident && e.usable &&
			(best == nil || e.instance.Epoch > best.instance.Epoch) {
			best = e
		}
	}
	return best
}

// grantResident grants a resident instance and reports whether it did, or
// whether nobody waits for the answer any more.
func (o *Owner) grantResident(a *ask, now time.Time) bool {
	if o.start == 0 || !o.mayGrant(now) {
		return false
	}
	e := o.usable(a.demand.Adapter)
	if e == nil {
		return false
	}
	duration := min(a.demand.Duration, o.settings.GrantLimit)
	if duration <= 0 {
		a.refuse(verdict.NewNotRun(verdict.CodeNoGrant, "demand on engine %s has no time left", o.Engine.Name))
		return true
	}
	if !a.settled.CompareAndSwap(false, true) {
		return true
	}
	o.pin(e, a.demand.Request, a.demand.Holder, now.Add(duration))
	e.used = now
	a.reply <- answer{grant: fleet.Grant{
		Engine: o.Engine.Name, EngineStart: o.start, Address: o.Engine.Address, Instance: e.instance, Epoch: o.Epoch,
		Request: a.demand.Request, Holder: a.demand.Holder, Duration: duration, LoadStall: now.Sub(a.arrived),
	}}
	return true
}

func (o *Owner) pin(e *entry, request fleet.RequestID, holder fleet.HostName, end time.Time) {
	e.pins++
	o.pins[request] = append(o.pins[request], &pin{entry: e, request: request, holder: holder, end: end})
}

// unpin removes the oldest pin of a request, or all of them.
func (o *Owner) unpin(request fleet.RequestID, all bool) {
	pins := o.pins[request]
	for len(pins) > 0 {
		pins[0].entry.pins--
		pins = pins[1:]
		if !all {
			break
		}
	}
	o.pins[request] = pins
	if len(pins) == 0 {
		delete(o.pins, request)
		delete(o.cancelAt, request)
	}
}

// void removes all pins of a request without release. Their releases may still
// come, and are then not taken for releases of later grants.
func (o *Owner) void(request fleet.RequestID, now time.Time) {
	d := o.overdue[request]
	if d == nil {
		d = &overdue{}
		o.overdue[request] = d
	}
	d.releases += len(o.pins[request])
	d.until = now.Add(o.settings.GrantLimit)
	o.unpin(request, true)
}

// An overdue counts the releases of removed grants that may still come.
type overdue struct {
	releases int
	until    time.Time
}

// releases is the message of Release.
type releases struct {
	requests []fleet.RequestID
}

func (r releases) handle(_ context.Context, o *Owner, _ time.Time) {
	for _, request := range r.requests {
		if d := o.overdue[request]; d != nil && d.releases > 0 {
			d.releases--
			continue
		}
		o.unpin(request, false)
	}
}

// serveQueues grants what became resident.
func (o *Owner) serveQueues(now time.Time) {
	for adapter, q := range o.queues {
		if o.usable(adapter) == nil {
			continue
		}
		o.filter(q, func(a *ask) bool { return !o.grantResident(a, now) })
	}
}

// filter keeps the demands of a queue for which keep is true.
func (o *Owner) filter(q *queue, keep func(*ask) bool) {
	before := len(q.asks)
	kept := q.asks[:0]
	for _, a := range q.asks {
		if !a.settled.Load() && keep(a) {
			kept = append(kept, a)
		}
	}
	clear(q.asks[len(kept):])
	q.asks = kept
	o.waiting -= before - len(kept)
	if len(kept) == 0 {
		delete(o.queues, q.adapter)
	}
}

// refuseQueue refuses all demands for an adapter.
func (o *Owner) refuseQueue(adapter fleet.AdapterReference, refusal *verdict.Error) {
	if q, ok := o.queues[adapter]; ok {
		o.filter(q, func(a *ask) bool {
			a.refuse(refusal)
			return false
		})
	}
}

func (o *Owner) refuseImpatient(now time.Time) {
	for _, q := range o.queues {
		o.filter(q, func(a *ask) bool {
			if now.Before(a.arrived.Add(a.demand.MaxWait)) {
				return true
			}
			a.refuse(o.refuseImpatience(a.demand.Adapter))
			return false
		})
	}
}

// refuseLoads refuses demands that wait for loads while the lease is not valid.
// A hand-over that was resolved answers its demands itself.
func (o *Owner) refuseLoads() {
	if o.handing != nil && o.handing.frozen {
		return
	}
	refusal := o.refuseIsolated()
	if o.superseded {
		refusal = refuseNotOwner(o.Engine.Name, o.moved)
	}
	for adapter := range o.queues {
		o.refuseQueue(adapter, refusal)
	}
}

// startCancels cancels the requests whose grants ended without release. Their
// instances stay pinned until the engine confirms.
func (o *Owner) startCancels(ctx context.Context, now time.Time) {
	if o.handing != nil {
		return
	}
	for request, pins := range o.pins {
		if len(o.canceling) >= cancelLimit {
			return
		}
		if o.canceling[request] || now.Before(o.cancelAt[request]) || !ended(pins, now.Add(-cancelDelay)) {
			continue
		}
		o.canceling[request] = true
		o.inFlight++
		start := o.start
		o.lifecycle.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, o.settings.OrderTimeout)
			defer cancel()
			err := o.Engines.Cancel(bounded, o.Engine, request)
			o.post(ctx, canceled{request: request, start: start, err: err})
		})
	}
}

// ended says whether all pins ended before now.
func ended(pins []*pin, now time.Time) bool {
	for _, p := range pins {
		if now.Before(p.end) {
			return false
		}
	}
	return true
}

// canceled is the result of a cancel.
type canceled struct {
	request fleet.RequestID
	start   fleet.StartNumber
	err     error
}

func (r canceled) handle(_ context.Context, o *Owner, now time.Time) {
	o.inFlight--
	delete(o.canceling, r.request)
	if r.start != o.start {
		return
	}
	if r.err != nil {
		o.Logger.Warn().Err(r.err).Str("engine", string(o.Engine.Name)).Str("request", string(r.request)).Msg("cancel failed")
		o.cancelAt[r.request] = now.Add(o.settings.ReportInterval)
		return
	}
	o.void(r.request, now)
}

// prune forgets back-offs that ended long ago and releases that no longer come.
func (o *Owner) prune(now time.Time) {
	for request, d := range o.overdue {
		if d.releases == 0 || now.After(d.until) {
			delete(o.overdue, request)
		}
	}
	for adapter, f := range o.failures {
		if now.After(f.until.Add(o.settings.MaxBackoff)) {
			delete(o.failures, adapter)
		}
	}
}
