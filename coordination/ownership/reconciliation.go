package ownership

import (
	"context"
	"errors"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// fenceAdapter names an adapter that is never loaded. An order to unload it raises
// the fencing number of an engine and has no other effect.
var fenceAdapter = fleet.AdapterReference{Name: "persimmonmux-fence", Version: 1}

// startFence sends the order that raises the fencing number, if the engine refuses
// orders with lower numbers and the order has not succeeded yet.
func (o *Owner) startFence(ctx context.Context) {
	if o.Engine.Fencing != fleet.FencingEnforced || o.fenced || o.fencePending {
		return
	}
	o.fencePending = true
	o.orderCount++
	o.unansweredOrders++
	start := o.engineStart
	o.lifecycle.Go(func() {
		sent, err := o.sendUnload(ctx, o.ownInstance(fenceAdapter))
		o.postResult(ctx, fenceResult{engineStart: start, sent: sent, err: err})
	})
}

// A fenceResult is the result of an order that raises the fencing number.
type fenceResult struct {
	engineStart fleet.StartNumber
	sent        bool
	err         error
}

func (r fenceResult) handle(_ context.Context, o *Owner, now time.Time) {
	o.unansweredOrders--
	o.fencePending = false
	var verdictErr *verdict.Error
	unknownInstance := errors.As(r.err, &verdictErr) && verdictErr.Code == verdict.CodeUnknownInstance
	if r.engineStart == o.engineStart && r.sent && (r.err == nil || unknownInstance) {
		o.fenced = true
		o.nextReportAt = now
	}
}

// startReport reads the engine's report on a worker goroutine when it is due.
func (o *Owner) startReport(ctx context.Context, now time.Time) {
	if o.reportPending || now.Before(o.nextReportAt) {
		return
	}
	o.reportPending = true
	r := reportResult{orderCount: o.orderCount, idle: o.loadsInFlight == 0 && !o.fencePending, fenced: o.fenced, startedAt: now}
	o.lifecycle.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, o.settings.OrderTimeout)
		defer cancel()
		r.report, r.err = o.Engines.ReadReport(bounded, o.Engine)
		o.postResult(ctx, r)
	})
}

// A reportResult is the result of reading the engine's report.
type reportResult struct {
	report fleet.EngineReport
	err    error
	// orderCount, idle, fenced and startedAt are the owner's order count, whether
	// it had no orders in flight, whether the fencing number had been raised, and
	// the time, all when the report was requested.
	orderCount uint64
	idle       bool
	fenced     bool
	startedAt  time.Time
}

func (r reportResult) handle(_ context.Context, o *Owner, now time.Time) {
	o.reportPending = false
	o.nextReportAt = now.Add(o.settings.ReportInterval)
	if r.err != nil {
		o.Logger.Warn().Err(r.err).Str("engine", string(o.Engine.Name)).Msg("reading the engine's report failed")
		return
	}
	if r.report.Start < o.engineStart {
		// The report is from a process of the engine that has ended.
		return
	}
	if r.report.Start > o.engineStart {
		o.handleRestart(r.report.Start, now)
		r.fenced = false
	}
	o.report = r.report
	for _, u := range o.unansweredUnloads {
		if !u.inFlight && u.lastEngineStart == 0 && r.startedAt.After(u.waitEndedAt) {
			u.lastEngineStart = r.report.Start
		}
	}
	// A list of instances that was read while an order was in flight may not show
	// the effect of the order.
	if r.idle && r.orderCount == o.orderCount {
		o.reconcile(r, now)
	}
	o.serveQueues(now)
}

// handleRestart discards the grants and instances of an earlier process of the
// engine.
func (o *Owner) handleRestart(start fleet.StartNumber, now time.Time) {
	o.engineStart = start
	o.fenced = false
	o.foreignCount = 0
	for request := range o.pins {
		o.revokePins(request, now)
	}
	for instance, u := range o.unansweredUnloads {
		if u.lastEngineStart != 0 {
			delete(o.unansweredUnloads, instance)
		}
	}
	for instance, e := range o.residencies {
		if e.state == stateUnloading {
			// The order in flight may reach the new process.
			o.unansweredUnloads[instance] = &unansweredUnload{inFlight: true}
		}
	}
	clear(o.residencies)
}

// reconcile updates the residencies from the engine's list of instances.
func (o *Owner) reconcile(r reportResult, now time.Time) {
	listed := make(map[fleet.Instance]bool)
	o.foreignCount = 0
	for _, name := range r.report.Instances {
		instance, err := fleet.ParseInstance(name)
		if err != nil {
			o.foreignCount++
			continue
		}
		listed[instance] = true
		if instance.Epoch > o.Epoch {
			o.superseded = true
		}
		e, ok := o.residencies[instance]
		if !ok {
			e = &residency{instance: instance, state: stateResident, lastUsed: now}
			o.residencies[instance] = e
		}
		own := instance.Epoch == o.Epoch || e.adopted
		// After the fencing number was raised, the engine carries out no order of
		// an earlier owner, so instances of earlier epochs may be granted.
		if own || r.fenced && instance.Epoch < o.Epoch {
			e.grantable = o.unansweredUnloads[instance] == nil
		}
		if e.state == stateUncertain && o.unansweredUnloads[instance] == nil {
			e.state = stateResident
		}
	}
	for instance, e := range o.residencies {
		if listed[instance] {
			continue
		}
		// A request may still run on an instance that the engine does not list, so
		// the residency stays while it is pinned.
		e.state = stateUncertain
		if e.pinCount == 0 {
			delete(o.residencies, instance)
		}
	}
}
