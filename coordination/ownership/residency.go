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

// fenceAdapter is never loaded. An order to unload it raises the fencing number
// of an engine and changes nothing else.
var fenceAdapter = fleet.AdapterReference{Name: "persimmonmux-fence", Version: 1}

// permitTime is how long an unused permit is kept. A permit that was kept longer
// would come on top of those that the budget gives meanwhile.
const permitTime = time.Second

// schedule asks for permits to load waiting adapters, and with a permit starts
// evictions that make room, and loads. The permit comes first, so that no slot
// stands empty while a load waits for the budget, and what is loaded is chosen
// when the load may begin.
func (o *Owner) schedule(ctx context.Context, now time.Time) {
	if o.blocked(now) {
		for adapter := range o.queues {
			o.refuseQueue(adapter, verdict.NewNotRun(verdict.CodeNoGrant,
				"adapter %s has no slot on engine %s: a former owner may have granted all instances", adapter, o.Engine.Name))
		}
		return
	}
	if now.After(o.permitEnd) {
		o.permits = 0
	}
	usable := o.permits > 0 && o.loads < o.settings.LoadConcurrencyLimit
	if len(o.queues) == 0 || !usable && now.Before(o.reviseAt) && len(o.wants)+o.permits >= o.settings.LoadConcurrencyLimit {
		return
	}
	waiting := o.loadable(now)
	// Evictions in flight already make room for as many adapters.
	coming := o.evicting()
	for o.permits > 0 && o.loads < o.settings.LoadConcurrencyLimit && len(waiting) > 0 {
		i := o.Placement.SelectLoad(o.Engine, waiting, now)
		if i < 0 {
			return
		}
		next := waiting[i]
		waiting = slices.Delete(waiting, i, i+1)
		switch {
		case o.free() > 0:
			o.permits--
			o.load(ctx, next, now)
		case coming >= o.permits:
			// What comes free is for the permits that are held.
			return
		case !o.evict(ctx, next, now):
			return
		default:
			coming++
		}
	}
	o.want(ctx, waiting, now)
}

// free returns the number of empty slots.
func (o *Owner) free() int {
	return o.Engine.AdapterSlots - o.foreign - len(o.entries)
}

// A want is a permit that was asked for.
type want struct {
	// adapter is the one that the permit was asked for. Another may be loaded.
	adapter  fleet.AdapterReference
	priority float64
	cancel   context.CancelFunc
}

const (
	// reviseTime is the time between two comparisons of the wants with what waits.
	reviseTime = 250 * time.Millisecond
	// reviseFactor is how much the priority must have grown before a want is
	// asked for anew; it keeps calls to the allocator few.
	reviseFactor = 1.5
)

// want asks the budget for the next loads, unless no slot could be had for them.
func (o *Owner) want(ctx context.Context, waiting []PendingLoad, now time.Time) {
	o.reviseAt = now.Add(reviseTime)
	for asked := 0; asked < o.settings.LoadConcurrencyLimit-o.permits && len(waiting) > o.permits; asked++ {
		i := o.Placement.SelectLoad(o.Engine, waiting, now)
		if i < 0 || o.free() <= 0 && o.evicting() == 0 && o.victim(waiting[i], now) == nil {
			return
		}
		next := waiting[i]
		waiting = slices.Delete(waiting, i, i+1)
		priority := o.Placement.Priority(next, now)
		if asked < len(o.wants) {
			if _, ordered := o.Budget.(PriorityLoadBudget); ordered && priority > o.wants[asked].priority*reviseFactor {
				o.wants[asked].cancel()
				o.wants[asked] = o.acquirePermit(ctx, next, priority)
			}
			continue
		}
		o.wants = append(o.wants, o.acquirePermit(ctx, next, priority))
	}
}

// acquirePermit asks the budget on a worker goroutine.
func (o *Owner) acquirePermit(ctx context.Context, next PendingLoad, priority float64) *want {
	acquire, cancel := context.WithCancel(o.acquire)
	w := &want{adapter: next.Adapter, priority: priority, cancel: cancel}
	o.lifecycle.Go(func() {
		defer cancel()
		var err error
		if b, ordered := o.Budget.(PriorityLoadBudget); ordered {
			err = b.AcquirePriority(acquire, o.Engine.Name, priority)
		} else {
			err = o.Budget.Acquire(acquire, o.Engine.Name, next.Adapter, next.Urgency)
		}
		o.post(ctx, permitted{want: w, err: err})
	})
	return w
}

// permitted is the answer of the budget.
type permitted struct {
	want *want
	err  error
}

func (r permitted) handle(_ context.Context, o *Owner, now time.Time) {
	i := slices.Index(o.wants, r.want)
	if i >= 0 {
		o.wants = slices.Delete(o.wants, i, i+1)
	}
	switch {
	case r.err == nil:
		o.permits++
		o.permitEnd = now.Add(permitTime)
	case o.handing != nil || i < 0:
		// The demands go on to the next owner, or were asked for anew.
	case !o.mayOrder():
		o.refuseQueue(r.want.adapter, o.refuseIsolated())
	default:
		refusal := verdict.NewNotRun(verdict.CodeStoreUnavailable, "no load of adapter %s on engine %s", r.want.adapter, o.Engine.Name)
		refusal.Cause = r.err
		o.fail(r.want.adapter, false, refusal, now)
	}
}

// blocked says that a load cannot begin before it is known what a former owner
// granted, because its instances take all slots. That may last for minutes, in
// which other engines can serve the demands. Holders are asked first, because
// most former owners are known to have ended at once.
func (o *Owner) blocked(now time.Time) bool {
	if o.takeover.complete || o.takeover.asking || o.takeover.askAt.IsZero() || o.Engine.AdapterSlots-o.foreign > len(o.entries) {
		return false
	}
	for _, e := range o.entries {
		if e.instance.Epoch >= o.Epoch || e.adopted || e.state == stateUnloading || o.takeover.over(e.instance.Epoch, o, now) {
			return false
		}
	}
	return true
}

// loadable returns the adapters that demands wait for and that may be loaded.
func (o *Owner) loadable(now time.Time) []PendingLoad {
	var waiting []PendingLoad
	for adapter, q := range o.queues {
		if _, taken := o.entries[o.named(adapter)]; taken || adapter == fenceAdapter {
			continue
		}
		if f, ok := o.failures[adapter]; ok && now.Before(f.until) || o.unanswered[o.named(adapter)] != nil {
			continue
		}
		w := PendingLoad{Adapter: adapter, RequestCount: len(q.asks)}
		for i, a := range q.asks {
			urgency, deadline := configuration.Urgency(a.demand.Urgency), a.arrived.Add(a.demand.MaxWait)
			if i == 0 || urgencyRank(urgency) < urgencyRank(w.Urgency) {
				w.Urgency = urgency
			}
			if i == 0 || deadline.Before(w.Deadline) {
				w.Deadline = deadline
			}
			if i == 0 || a.arrived.Before(w.FirstArrival) {
				w.FirstArrival = a.arrived
			}
		}
		waiting = append(waiting, w)
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

func (o *Owner) evicting() int {
	n := 0
	for _, e := range o.entries {
		if e.state == stateUnloading {
			n++
		}
	}
	return n
}

// load starts the load of an adapter.
func (o *Owner) load(ctx context.Context, w PendingLoad, now time.Time) {
	e := &entry{instance: o.named(w.Adapter), state: stateLoading, used: now}
	o.entries[e.instance] = e
	o.order()
	r := loaded{entry: e, start: o.start}
	o.lifecycle.Go(func() {
		r.sent, r.err = o.sendLoad(ctx, e.instance)
		o.post(ctx, r)
	})
}

// order counts an order that is about to be sent.
func (o *Owner) order() {
	o.orders++
	o.loads++
	o.inFlight++
}

// sendLoad runs on a worker goroutine. It reports whether the order was sent.
func (o *Owner) sendLoad(ctx context.Context, instance fleet.Instance) (bool, error) {
	if !o.mayOrder() {
		return false, o.refuseIsolated()
	}
	bounded, cancel := context.WithTimeout(ctx, o.settings.OrderTimeout)
	defer cancel()
	return true, o.Engines.Load(bounded, o.Engine, instance, o.Epoch)
}

// mayOrder is checked by workers directly before each load and unload order.
func (o *Owner) mayOrder() bool {
	epoch, ok := o.Leases.Valid(LeaseName(o.Engine.Name))
	return ok && epoch == o.Epoch
}

// answered says whether the order's outcome is known.
func answered(err error) bool {
	var known *verdict.Error
	return err == nil || errors.As(err, &known) && known.Verdict != verdict.MayHaveRun
}

// loaded is the result of a load.
type loaded struct {
	entry *entry
	start fleet.StartNumber
	sent  bool
	err   error
}

func (r loaded) handle(_ context.Context, o *Owner, now time.Time) {
	o.loads--
	o.inFlight--
	e := r.entry
	adapter := e.instance.Adapter
	if r.start != o.start {
		// The engine restarted; its next report tells what is resident.
		o.reportAt = now
		return
	}
	if r.err == nil {
		e.state, e.usable, e.used = stateResident, true, now
		delete(o.failures, adapter)
		o.serveQueues(now)
		return
	}
	if !r.sent || answered(r.err) {
		delete(o.entries, e.instance)
	} else {
		e.state = stateUncertain
		o.reportAt = now
	}
	if o.handing != nil && !r.sent {
		// The demands go on to the next owner.
		return
	}
	if !r.sent && !o.mayOrder() {
		o.refuseQueue(adapter, o.refuseIsolated())
		return
	}
	o.fail(adapter, r.sent, r.err, now)
}

// fail refuses all demands for an adapter and delays its next load.
func (o *Owner) fail(adapter fleet.AdapterReference, sent bool, cause error, now time.Time) {
	f, ok := o.failures[adapter]
	if !ok {
		f = &failure{backoff: backoff.NewExponentialBackOff()}
		f.backoff.MaxInterval = o.settings.MaxBackoff
		o.failures[adapter] = f
	}
	pause := f.backoff.NextBackOff()
	f.until = now.Add(pause)
	o.Logger.Warn().Err(cause).Str("engine", string(o.Engine.Name)).Stringer("adapter", adapter).
		Dur("pause", pause).Msg("load failed")
	refusal := verdict.NewNotRun(verdict.CodeLoadFailed, "adapter %s failed to load on engine %s", adapter, o.Engine.Name)
	var known *verdict.Error
	if !sent && errors.As(cause, &known) {
		refusal.Code = known.Code
	}
	refusal.Cause, refusal.RetryAfter = cause, pause
	o.refuseQueue(adapter, refusal)
}

// victim returns the instance that makes room for an adapter, or nil.
func (o *Owner) victim(next PendingLoad, now time.Time) *entry {
	var residents []EvictionCandidate
	for _, e := range o.entries {
		if o.removable(e, now) {
			residents = append(residents, EvictionCandidate{Instance: e.instance, LastUsed: e.used, Grantable: e.usable && e.state == stateResident})
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
	return o.entries[residents[i].Instance]
}

// evict starts the unload of an instance without grants, if there is one that
// may go, and reports whether it did.
func (o *Owner) evict(ctx context.Context, next PendingLoad, now time.Time) bool {
	e := o.victim(next, now)
	if e == nil {
		return false
	}
	o.unload(ctx, e)
	return true
}

// clean unloads instances that may go and that this owner cannot grant. Without
// it, owners that die one after the other would fill an engine that ignores
// fencing numbers with instances of epochs that nobody can vouch for.
func (o *Owner) clean(ctx context.Context, now time.Time) {
	if o.Engine.Fencing == fleet.FencingEnforced && !o.fenced {
		return
	}
	for _, e := range o.entries {
		if o.loads >= o.settings.LoadConcurrencyLimit {
			return
		}
		if !e.usable && o.removable(e, now) {
			o.unload(ctx, e)
		}
	}
}

func (o *Owner) unload(ctx context.Context, e *entry) {
	e.state = stateUnloading
	o.order()
	r := unloaded{entry: e, start: o.start}
	o.lifecycle.Go(func() {
		r.sent, r.err = o.sendUnload(ctx, e.instance)
		o.post(ctx, r)
	})
}

// removable says whether an instance may be unloaded.
func (o *Owner) removable(e *entry, now time.Time) bool {
	if e.pins > 0 || e.state == stateLoading || e.state == stateUnloading || now.Before(e.unloadAt) {
		return false
	}
	if e.instance.Epoch == o.Epoch || e.adopted {
		return true
	}
	return o.takeover.over(e.instance.Epoch, o, now)
}

// sendUnload runs on a worker goroutine. It reports whether the order was sent.
func (o *Owner) sendUnload(ctx context.Context, instance fleet.Instance) (bool, error) {
	if !o.mayOrder() {
		return false, o.refuseIsolated()
	}
	bounded, cancel := context.WithTimeout(ctx, o.settings.OrderTimeout)
	defer cancel()
	return true, o.Engines.Unload(bounded, o.Engine, instance, o.Epoch)
}

// An unanswered is an unload order whose outcome is not known.
type unanswered struct {
	// inFlight says that a worker still waits for the answer.
	inFlight bool
	// since is when the worker stopped waiting.
	since time.Time
	// start is a start of the engine that was seen after since; 0 until then. The
	// order went to this start or an earlier one and dies with it.
	start fleet.StartNumber
}

// unloaded is the result of an unload.
type unloaded struct {
	entry *entry
	start fleet.StartNumber
	sent  bool
	err   error
}

func (r unloaded) handle(_ context.Context, o *Owner, now time.Time) {
	o.loads--
	o.inFlight--
	e := r.entry
	if r.start != o.start {
		o.reportAt = now
		if !r.sent || answered(r.err) {
			delete(o.unanswered, e.instance)
		} else {
			o.unanswered[e.instance] = &unanswered{since: now}
		}
		return
	}
	// A failed order is not repeated at once, or an engine that refuses it would
	// receive orders without pause.
	e.unloadAt = now.Add(o.settings.ReportInterval)
	var known *verdict.Error
	unknown := errors.As(r.err, &known) && known.Code == verdict.CodeUnknownInstance
	switch {
	case !r.sent:
		e.state = stateResident
		o.serveQueues(now)
	case r.err == nil || unknown && known.Verdict != verdict.MayHaveRun:
		delete(o.entries, e.instance)
	case answered(r.err):
		e.state = stateResident
		e.used = now
		o.serveQueues(now)
	default:
		e.state, e.usable = stateUncertain, false
		o.unanswered[e.instance] = &unanswered{since: now}
		o.reportAt = now
		o.Logger.Warn().Err(r.err).Str("engine", string(o.Engine.Name)).Stringer("instance", e.instance).
			Msg("unload order is unanswered; the instance is not used again")
	}
}

// fence raises the fencing number of an engine that refuses old numbers.
func (o *Owner) fence(ctx context.Context) {
	if o.Engine.Fencing != fleet.FencingEnforced || o.fenced || o.fencing {
		return
	}
	o.fencing = true
	o.orders++
	o.inFlight++
	start := o.start
	o.lifecycle.Go(func() {
		sent, err := o.sendUnload(ctx, o.named(fenceAdapter))
		o.post(ctx, fenced{start: start, sent: sent, err: err})
	})
}

// fenced is the result of a fence.
type fenced struct {
	start fleet.StartNumber
	sent  bool
	err   error
}

func (r fenced) handle(_ context.Context, o *Owner, now time.Time) {
	o.inFlight--
	o.fencing = false
	var known *verdict.Error
	unknown := errors.As(r.err, &known) && known.Code == verdict.CodeUnknownInstance
	if r.start == o.start && r.sent && (r.err == nil || unknown) {
		o.fenced = true
		o.reportAt = now
	}
}

// startReport asks the engine for its report when it is due.
func (o *Owner) startReport(ctx context.Context, now time.Time) {
	if o.reporting || now.Before(o.reportAt) {
		return
	}
	o.reporting = true
	r := reported{orders: o.orders, idle: o.loads == 0 && !o.fencing, fenced: o.fenced, began: now}
	o.lifecycle.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, o.settings.OrderTimeout)
		defer cancel()
		r.report, r.err = o.Engines.ReadReport(bounded, o.Engine)
		o.post(ctx, r)
	})
}

// reported is the result of a report.
type reported struct {
	report fleet.EngineReport
	err    error
	// orders, idle and fenced are the owner's state when the report was asked for.
	orders uint64
	idle   bool
	fenced bool
	began  time.Time
}

func (r reported) handle(_ context.Context, o *Owner, now time.Time) {
	o.reporting = false
	o.reportAt = now.Add(o.settings.ReportInterval)
	if r.err != nil {
		o.Logger.Warn().Err(r.err).Str("engine", string(o.Engine.Name)).Msg("engine report failed")
		return
	}
	if r.report.Start < o.start {
		// The report is older than what is known.
		return
	}
	if r.report.Start > o.start {
		o.restart(r.report.Start, now)
		r.fenced = false
	}
	o.report = r.report
	for _, u := range o.unanswered {
		if !u.inFlight && u.start == 0 && r.began.After(u.since) {
			u.start = r.report.Start
		}
	}
	// A list that was made while an order was in flight may be older than its effect.
	if r.idle && r.orders == o.orders {
		o.compare(r, now)
	}
	o.serveQueues(now)
}

// restart voids what is known of an earlier start of the engine.
func (o *Owner) restart(start fleet.StartNumber, now time.Time) {
	o.start = start
	o.fenced = false
	o.foreign = 0
	for request := range o.pins {
		o.void(request, now)
	}
	for instance, u := range o.unanswered {
		if u.start != 0 {
			delete(o.unanswered, instance)
		}
	}
	for instance, e := range o.entries {
		if e.state == stateUnloading {
			// The order may reach the new process.
			o.unanswered[instance] = &unanswered{inFlight: true}
		}
	}
	clear(o.entries)
}

// compare brings the known instances in line with the engine's list.
func (o *Owner) compare(r reported, now time.Time) {
	listed := make(map[fleet.Instance]bool)
	o.foreign = 0
	for _, name := range r.report.Instances {
		instance, err := fleet.ParseInstance(name)
		if err != nil {
			o.foreign++
			continue
		}
		listed[instance] = true
		if instance.Epoch > o.Epoch {
			o.superseded = true
		}
		e, ok := o.entries[instance]
		if !ok {
			e = &entry{instance: instance, state: stateResident, used: now}
			o.entries[instance] = e
		}
		own := instance.Epoch == o.Epoch || e.adopted
		// After the fencing number was raised, no order of an earlier owner is
		// carried out any more.
		if own || r.fenced && instance.Epoch < o.Epoch {
			e.usable = o.unanswered[instance] == nil
		}
		if e.state == stateUncertain && o.unanswered[instance] == nil {
			e.state = stateResident
		}
	}
	for instance, e := range o.entries {
		if listed[instance] {
			continue
		}
		// A request may still run on what the engine does not list, so the entry
		// stays while it is pinned.
		e.state = stateUncertain
		if e.pins == 0 {
			delete(o.entries, instance)
		}
	}
}
