package ownership

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// fenceAdapter names an adapter that is never loaded. An order to unload it raises
// the fencing number of an engine and has no other effect.
var fenceAdapter = fleet.AdapterReference{Name: "persimmonmux-fence", Version: 1}

// permitTimeout is how long an unused permit is kept. Permits that were kept longer
// would add loads to those that the budget permits meanwhile and exceed its rate.
const permitTimeout = time.Second

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

const (
	// permitReviewInterval is the time between two comparisons of the permit
	// requests with the pending loads.
	permitReviewInterval = 250 * time.Millisecond
	// priorityGrowthFactor is the factor by which the priority must have grown
	// before a permit request is replaced. It limits the calls to the allocator
	// of the budget.
	priorityGrowthFactor = 1.5
)

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

// evictionsInFlight returns the number of instances that are being unloaded.
func (o *Owner) evictionsInFlight() int {
	n := 0
	for _, e := range o.residencies {
		if e.state == stateUnloading {
			n++
		}
	}
	return n
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

// countOrder counts a load or unload order that is about to be sent.
func (o *Owner) countOrder() {
	o.orderCount++
	o.loadsInFlight++
	o.unansweredOrders++
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

// mayOrder reports whether the lease is valid under this owner's epoch. Workers
// check it directly before each load and unload order.
func (o *Owner) mayOrder() bool {
	epoch, ok := o.Leases.Valid(LeaseName(o.Engine.Name))
	return ok && epoch == o.Epoch
}

// outcomeKnown reports whether an order with this error is known to have been
// carried out or not. Otherwise it may still take effect.
func outcomeKnown(err error) bool {
	var verdictErr *verdict.Error
	return err == nil || errors.As(err, &verdictErr) && verdictErr.Verdict != verdict.MayHaveRun
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

// selectVictim returns the instance that the placement policy evicts for a load,
// or nil.
func (o *Owner) selectVictim(next PendingLoad, now time.Time) *residency {
	var residents []EvictionCandidate
	for _, e := range o.residencies {
		if o.mayUnload(e, now) {
			residents = append(residents, EvictionCandidate{Instance: e.instance, LastUsed: e.lastUsed, Grantable: e.grantable && e.state == stateResident})
		}
	}
	if len(residents) == 0 {
		return nil
	}
	slices.SortFunc(residents, func(a, b EvictionCandidate) int { return strings.Compare(a.Instance.String(), b.Instance.String()) })
	i := o.Placement.SelectVictim(o.Engine, residents, next, now)
	if i < 0 {
		return nil
	}
	return o.residencies[residents[i].Instance]
}

// startEviction starts the unload of an instance to free a slot. It returns false
// if no instance may be unloaded.
func (o *Owner) startEviction(ctx context.Context, next PendingLoad, now time.Time) bool {
	e := o.selectVictim(next, now)
	if e == nil {
		return false
	}
	o.startUnload(ctx, e)
	return true
}

// unloadUngrantable unloads instances that this owner cannot grant, where they may
// be unloaded. Otherwise owners that die one after the other would fill an engine
// that ignores fencing numbers with instances of earlier epochs, which no owner
// may grant.
func (o *Owner) unloadUngrantable(ctx context.Context, now time.Time) {
	if o.Engine.Fencing == fleet.FencingEnforced && !o.fenced {
		return
	}
	for _, e := range o.residencies {
		if o.loadsInFlight >= o.settings.LoadConcurrencyLimit {
			return
		}
		if !e.grantable && o.mayUnload(e, now) {
			o.startUnload(ctx, e)
		}
	}
}

// startUnload starts the unload of an instance.
func (o *Owner) startUnload(ctx context.Context, e *residency) {
	e.state = stateUnloading
	o.countOrder()
	r := unloadResult{residency: e, engineStart: o.engineStart}
	o.lifecycle.Go(func() {
		r.sent, r.err = o.sendUnload(ctx, e.instance)
		o.postResult(ctx, r)
	})
}

// mayUnload reports whether an instance may be unloaded: no grant on it is in
// force or unknown, no order for it is in flight, and no unload has just failed.
func (o *Owner) mayUnload(e *residency, now time.Time) bool {
	if e.pinCount > 0 || e.state == stateLoading || e.state == stateUnloading || now.Before(e.nextUnloadAt) {
		return false
	}
	if e.instance.Epoch == o.Epoch || e.adopted {
		return true
	}
	return o.takeover.grantsEnded(e.instance.Epoch, o, now)
}

// sendUnload runs on a worker goroutine. It reports whether the order was sent, and
// with which error.
func (o *Owner) sendUnload(ctx context.Context, instance fleet.Instance) (bool, error) {
	if !o.mayOrder() {
		return false, o.newIsolatedRefusal()
	}
	bounded, cancel := context.WithTimeout(ctx, o.settings.OrderTimeout)
	defer cancel()
	return true, o.Engines.Unload(bounded, o.Engine, instance, o.Epoch)
}

// An unansweredUnload is an unload order whose outcome is not known.
type unansweredUnload struct {
	// inFlight says that a worker still waits for the answer.
	inFlight bool
	// waitEndedAt is when the worker stopped waiting.
	waitEndedAt time.Time
	// lastEngineStart is the engine's start number in the first report that was
	// requested after waitEndedAt; 0 until then. The order went to this process of
	// the engine or an earlier one, and can have no effect on a later one.
	lastEngineStart fleet.StartNumber
}

// An unloadResult is the result of an unload order.
type unloadResult struct {
	residency   *residency
	engineStart fleet.StartNumber
	sent        bool
	err         error
}

func (r unloadResult) handle(_ context.Context, o *Owner, now time.Time) {
	o.loadsInFlight--
	o.unansweredOrders--
	e := r.residency
	if r.engineStart != o.engineStart {
		o.nextReportAt = now
		if !r.sent || outcomeKnown(r.err) {
			delete(o.unansweredUnloads, e.instance)
		} else {
			o.unansweredUnloads[e.instance] = &unansweredUnload{waitEndedAt: now}
		}
		return
	}
	// A failed order is not repeated at once, because an engine that refuses it
	// would receive orders without pause.
	e.nextUnloadAt = now.Add(o.settings.ReportInterval)
	var verdictErr *verdict.Error
	unknownInstance := errors.As(r.err, &verdictErr) && verdictErr.Code == verdict.CodeUnknownInstance
	switch {
	case !r.sent:
		e.state = stateResident
		o.serveQueues(now)
	case r.err == nil || unknownInstance && verdictErr.Verdict != verdict.MayHaveRun:
		delete(o.residencies, e.instance)
	case outcomeKnown(r.err):
		e.state = stateResident
		e.lastUsed = now
		o.serveQueues(now)
	default:
		e.state, e.grantable = stateUncertain, false
		o.unansweredUnloads[e.instance] = &unansweredUnload{waitEndedAt: now}
		o.nextReportAt = now
		o.Logger.Warn().Err(r.err).Str("engine", string(o.Engine.Name)).Stringer("instance", e.instance).
			Msg("unload order is unanswered; the instance is not used again before the engine restarts or the epoch changes")
	}
}

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
