package adapter

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// advance gives the next order to an engine, if one is due, and returns the time
// until it should be called again.
func (o *Controller) advance(ctx context.Context, e *engine) time.Duration {
	now := time.Now()
	e.expire(now)
	e.sort(now)
	e.serve(now)
	turn := e.nextTurn(now)
	if e.busy || o.stopping.Load() {
		return turn
	}
	if now.Before(e.notBefore) {
		return min(e.notBefore.Sub(now), turn)
	}
	epoch, held := o.Leases.OrderEpoch(e.server.Zone)
	if !held || epoch != e.epoch {
		return turn
	}
	if !e.read {
		o.report(ctx, e)
		return turn
	}
	if order, ok := o.next(e, now); ok {
		o.order(ctx, e, order)
		return turn
	}
	wait := turn
	for _, l := range e.loads {
		wait = min(wait, l.due.Sub(now))
	}
	return wait
}

// next decides on the next order: one that got no answer, a look at a load that should be complete, a
// base model that is missing, a newer version, or what demands ask for.
func (o *Controller) next(e *engine, now time.Time) (site.Order, bool) {
	if e.again != nil {
		return *e.again, true
	}
	for adapter, l := range e.loads {
		if !now.Before(l.due) {
			return site.Order{Adapter: adapter, Version: l.version}, true
		}
	}
	view := o.Views.View()
	service := view.Service(e.server.Service)
	if service == nil || service.Engines == nil || e.server.State != site.Ready {
		return site.Order{}, false
	}
	if order, ok := o.nextModel(e, service.Engines); ok {
		return order, true
	}
	if all, _ := e.transit(); all >= transitPerEngine {
		return site.Order{}, false
	}
	for adapter, version := range view.Versions {
		if held, ok := e.held[adapter]; ok && held < version && e.loads[adapter] == nil {
			return site.Order{Adapter: adapter, Version: version}, true
		}
	}
	return o.nextDemand(e, view, service.Engines, now)
}

// nextModel returns the order for a base model that the engine lost with a restart.
func (o *Controller) nextModel(e *engine, engines *site.EngineSpec) (site.Order, bool) {
	if len(engines.Models) != 1 {
		// With several models the placement of base models is the operator's.
		return site.Order{}, false
	}
	model := site.Adapter{Model: engines.Models[0].Name}
	if _, ok := e.held[model]; ok || e.loads[model] != nil || o.modelLoads > 0 {
		return site.Order{}, false
	}
	return site.Order{Adapter: model}, true
}

// nextDemand returns the order for the first demand that can be met now: by a
// load from the engine's own memory at any time, and by one from the weight
// store while this host's part of the loads at once is not used up.
func (o *Controller) nextDemand(e *engine, view *site.View, engines *site.EngineSpec, now time.Time) (site.Order, bool) {
	spent := o.coldLoads() >= o.coldShare(view)
	for _, d := range e.wanted {
		adapter := d.request.Adapter
		if e.has(d.request) || e.loads[adapter] != nil || adapter.Name == "" || spent && !e.recent[adapter] {
			continue
		}
		model := engines.Model(adapter.Model)
		if _, ok := e.held[site.Adapter{Model: adapter.Model}]; !ok || model == nil {
			continue
		}
		if _, held := e.held[adapter]; held || e.taken() < engines.AdapterCapacity(model) {
			return site.Order{Adapter: adapter, Version: view.Versions[adapter]}, true
		}
		if victim, ok := e.victim(now); ok {
			return site.Order{Unload: true, Adapter: victim}, true
		}
	}
	return site.Order{}, false
}

// coldLoads is the number of adapters that all own engines load from the weight store.
func (o *Controller) coldLoads() int {
	count := 0
	for _, e := range o.engines {
		_, cold := e.transit()
		count += cold
	}
	return count
}

// coldShare is this host's part of the adapters that may come from the weight
// store at once. One more than the part lets a busy zone use what others leave.
func (o *Controller) coldShare(view *site.View) int {
	all, loads := 0, 0.0
	for _, server := range view.Servers {
		if service := view.Service(server.Service); service != nil && service.Engines != nil {
			all++
			loads = max(loads, service.Engines.LoadsPerSecond)
		}
	}
	total := transitUnit * max(int(loads/loadsUnit+0.5), 1)
	return (total*len(o.engines)+all-1)/max(all, 1) + 1
}

// report reads the engine's state on a worker.
func (o *Controller) report(ctx context.Context, e *engine) {
	e.busy = true
	server := e.server
	o.lifecycle.Go(func() {
		report, err := o.Engines.ReadReport(ctx, server)
		o.results <- &reported{engine: e, report: report, err: err}
	})
}

// order gives one order on a worker. Orders to one engine are given one by one.
func (o *Controller) order(ctx context.Context, e *engine, order site.Order) {
	e.busy = true
	order.ExpectedOrderCount, order.Holder, order.Epoch = e.accepted, o.Host, e.epoch
	if order.Unload {
		// Other hosts stop sending requests for the adapter before it goes.
		delete(e.held, order.Adapter)
		o.publish(e)
	}
	server := e.server
	o.lifecycle.Go(func() {
		outcome, err := o.Engines.SendOrder(ctx, server, order)
		o.results <- &ordered{engine: e, order: order, outcome: outcome, err: err}
	})
}

// reported is the end of a report.
type reported struct {
	engine *engine
	report site.EngineReport
	err    error
}

func (r *reported) handle(_ context.Context, o *Controller) {
	e := r.engine
	e.busy = false
	now := time.Now()
	if r.err != nil {
		e.notBefore = now.Add(refusedPause)
		e.silent++
		if e.silent == silentReports {
			o.Log.Warn().Err(r.err).Str("engine", string(e.server.ID)).Int("waiting", len(e.wanted)).Msg("engine does not answer")
		}
		if e.unreachable() {
			e.refuseAll(e.notAnswering())
		}
		return
	}
	if e.unreachable() {
		o.Log.Info().Str("engine", string(e.server.ID)).Msg("engine answers again")
	}
	e.silent, e.unanswered = 0, 0
	before := e.modelLoads()
	e.takeReport(r.report, now)
	o.modelLoads += e.modelLoads() - before
	o.publish(e)
}

// refusedPause is the pause after an order that was not accepted.
const refusedPause = 100 * time.Millisecond

// ordered is the end of an order.
type ordered struct {
	engine  *engine
	order   site.Order
	outcome site.OrderOutcome
	err     error
}

func (r *ordered) handle(_ context.Context, o *Controller) {
	e, now := r.engine, time.Now()
	e.busy = false
	before := e.modelLoads()
	o.Log.Debug().Str("engine", string(e.server.ID)).Bool("unload", r.order.Unload).Str("adapter", r.order.Adapter.Name).
		Int("version", r.order.Version).Int("expected", r.order.ExpectedOrderCount).Str("outcome", string(r.outcome)).Err(r.err).Msg("order")
	e.unanswered++
	if r.outcome != site.OrderUnknown {
		e.unanswered = 0
	}
	if e.unanswered >= unansweredOrders {
		e.read = false
	}
	if r.order.Unload {
		e.unloaded(r, now)
	} else {
		e.loaded(r, now)
	}
	o.modelLoads += e.modelLoads() - before
	o.publish(e)
}

// unloaded takes the end of an unload over. Only an unload that was carried out
// makes room.
func (e *engine) unloaded(r *ordered, now time.Time) {
	switch r.outcome {
	case site.OrderAlreadySatisfied:
		// An engine that did not hold the adapter has accepted nothing; the next
		// order is then refused and the number read anew.
		e.accept()
		e.recent[r.order.Adapter] = true
	case site.OrderAccepted:
		// The unload waits for its runs; the report tells when it is done.
		e.accept()
		e.read, e.notBefore = false, now.Add(refusedPause)
	case site.OrderUnknown:
		e.again = &r.order
	default:
		e.again = nil
		e.read, e.notBefore = false, now.Add(refusedPause)
	}
}

func (e *engine) loaded(r *ordered, now time.Time) {
	adapter := r.order.Adapter
	l := e.loads[adapter]
	switch r.outcome {
	case site.OrderAlreadySatisfied:
		delete(e.loads, adapter)
		e.again = nil
		e.held[adapter] = max(r.order.Version, e.held[adapter], 1)
		e.recent[adapter] = true
		e.used[adapter] = now
		e.serve(now)
	case site.OrderAccepted:
		if l == nil {
			e.accept()
			l = &load{version: r.order.Version, warm: e.recent[adapter], began: now}
			e.loads[adapter] = l
			l.due = now.Add(coldLoad)
			switch {
			case adapter.Name == "":
				l.due = now.Add(modelPoll)
			case l.warm:
				l.due = now.Add(warmLoad)
			}
			return
		}
		l.due = now.Add(pollPause)
		if adapter.Name == "" {
			l.due = now.Add(modelPoll)
		}
	case site.OrderUnknown:
		if l != nil {
			l.due = now.Add(pollPause)
			return
		}
		e.doubts[adapter] = true
		e.again = &r.order
	default:
		e.again = nil
		if l != nil && now.Sub(l.began) < loadLimit {
			l.due = now.Add(pollPause)
			if adapter.Name == "" {
				l.due = now.Add(modelPoll)
			}
			return
		}
		delete(e.loads, adapter)
		e.read, e.notBefore = false, now.Add(refusedPause)
	}
}
