package adapter

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// advance admits pending requests on an engine and starts the next order or
// report if one is due. It returns the time until it should be called again.
func (c *Controller) advance(ctx context.Context, e *engine) time.Duration {
	now := time.Now()
	admissionDelay := e.servePending(now)
	if e.callInFlight || c.ordersStopped.Load() || !c.Balancer.IsAvailable(e.server) {
		return admissionDelay
	}
	if now.Before(e.nextOrderAt) {
		return min(e.nextOrderAt.Sub(now), admissionDelay)
	}
	epoch, held := c.Leases.OrderEpoch(e.server.Zone)
	if !held || epoch != e.epoch {
		return admissionDelay
	}
	if !e.reportCurrent {
		c.startReport(ctx, e)
		return admissionDelay
	}
	if order, ok := c.nextOrder(e, now); ok {
		c.startOrder(ctx, e, order)
		return admissionDelay
	}
	wait := admissionDelay
	for _, l := range e.loads {
		wait = min(wait, l.pollAt.Sub(now))
	}
	return wait
}

// nextOrder decides on the next order, in this precedence: repeating an order
// that got no answer, checking a load that should be complete, loading a missing
// base model, loading a newer version of a loaded adapter, and providing the
// adapter of a pending request.
func (c *Controller) nextOrder(e *engine, now time.Time) (site.Order, bool) {
	if e.orderToRepeat != nil {
		return *e.orderToRepeat, true
	}
	for adapter, l := range e.loads {
		if !now.Before(l.pollAt) {
			return site.Order{Adapter: adapter, Version: l.version}, true
		}
	}
	view := c.Views.View()
	service := view.Service(e.server.Service)
	if service == nil || service.Engines == nil || e.server.State != site.Ready {
		return site.Order{}, false
	}
	if order, ok := c.nextModelLoad(e, service.Engines); ok {
		return order, true
	}
	if all, _ := e.loadCounts(); all >= maxLoadsPerEngine {
		return site.Order{}, false
	}
	for adapter, version := range view.Versions {
		if held, ok := e.loaded[adapter]; ok && held < version && e.loads[adapter] == nil {
			return site.Order{Adapter: adapter, Version: version}, true
		}
	}
	return c.nextAdapterOrder(e, view, service.Engines, now)
}

// nextModelLoad returns the order for a base model that the engine lost with a
// restart. Owned engines load base models one at a time.
func (c *Controller) nextModelLoad(e *engine, engines *site.EngineSpec) (site.Order, bool) {
	if len(engines.Models) != 1 {
		// If there are several base models, the operator decides which engine
		// loads which.
		return site.Order{}, false
	}
	model := site.Adapter{Model: engines.Models[0].Name}
	if _, ok := e.loaded[model]; ok || e.loads[model] != nil || c.modelLoadCount > 0 {
		return site.Order{}, false
	}
	return site.Order{Adapter: model}, true
}

// nextAdapterOrder returns the order for the first pending request whose adapter
// can be provided now: a load, or the unload of an unused adapter to free a slot.
// Loads from the engine's own memory are always possible, loads from the weight
// store only while this host is below coldLoadLimit.
func (c *Controller) nextAdapterOrder(e *engine, view *site.View, engines *site.EngineSpec, now time.Time) (site.Order, bool) {
	if len(e.pending) == 0 {
		return site.Order{}, false
	}
	storeLimitReached := c.coldLoadCount() >= c.coldLoadLimit
	for _, d := range e.pending {
		adapter := d.request.Adapter
		if e.hasAdapter(d.request) || e.loads[adapter] != nil || adapter.Name == "" || storeLimitReached && !e.cached[adapter] {
			continue
		}
		model := engines.Model(adapter.Model)
		if _, ok := e.loaded[site.Adapter{Model: adapter.Model}]; !ok || model == nil {
			continue
		}
		if _, held := e.loaded[adapter]; held || e.occupiedSlots() < engines.AdapterCapacity(model) {
			return site.Order{Adapter: adapter, Version: view.Versions[adapter]}, true
		}
		if evicted, ok := e.evictionCandidate(now); ok {
			return site.Order{Unload: true, Adapter: evicted}, true
		}
	}
	return site.Order{}, false
}

// coldLoadCount returns the number of adapters that all owned engines load from
// the weight store.
func (c *Controller) coldLoadCount() int {
	count := 0
	for _, e := range c.engines {
		_, cold := e.loadCounts()
		count += cold
	}
	return count
}

// updateColdLoadLimit sets the number of adapters that owned engines may load from
// the weight store at once: this host's share of the site's limit by number of
// engines, rounded up, plus one so that a busy zone can use what other zones
// leave unused.
func (c *Controller) updateColdLoadLimit(view *site.View) {
	engineCount, loadsPerSecond := 0, 0.0
	for _, server := range view.Servers {
		if service := view.Service(server.Service); service != nil && service.Engines != nil {
			engineCount++
			loadsPerSecond = max(loadsPerSecond, service.Engines.LoadsPerSecond)
		}
	}
	total := maxLoadsPerRateUnit * max(int(loadsPerSecond/modelLoadRateUnit+0.5), 1)
	c.coldLoadLimit = (total*len(c.engines)+engineCount-1)/max(engineCount, 1) + 1
}

// startReport reads the engine's report on a worker goroutine.
func (c *Controller) startReport(ctx context.Context, e *engine) {
	e.callInFlight = true
	server := e.server
	c.lifecycle.Go(func() {
		report, err := c.Engines.ReadReport(ctx, server)
		c.results <- &reportResult{engine: e, report: report, err: err}
	})
}

// startOrder sends one order on a worker goroutine. An engine gets one order at a
// time.
func (c *Controller) startOrder(ctx context.Context, e *engine, order site.Order) {
	e.callInFlight = true
	order.ExpectedOrderCount, order.Holder, order.Epoch = e.acceptedOrders, c.Host, e.epoch
	if order.Unload {
		// Published before the order is sent, so that other hosts stop sending
		// requests for the adapter before it is unloaded.
		delete(e.loaded, order.Adapter)
		c.publishResidencies(e)
	}
	server := e.server
	c.lifecycle.Go(func() {
		outcome, err := c.Engines.SendOrder(ctx, server, order)
		c.results <- &orderResult{engine: e, order: order, outcome: outcome, err: err}
	})
}

// A reportResult is the outcome of reading an engine's report.
type reportResult struct {
	engine *engine
	report site.EngineReport
	err    error
}

func (r *reportResult) handle(_ context.Context, c *Controller) {
	e := r.engine
	e.callInFlight = false
	now := time.Now()
	if r.err != nil {
		e.nextOrderAt = now.Add(orderRetryDelay)
		e.failedReports++
		if e.failedReports == maxFailedReports {
			c.Log.Warn().Err(r.err).Str("engine", string(e.server.ID)).Int("waiting", len(e.pending)).Msg("engine does not answer")
		}
		if e.isUnreachable() {
			e.refuseAll(e.unreachableError())
		}
		return
	}
	if e.isUnreachable() {
		c.Log.Info().Str("engine", string(e.server.ID)).Msg("engine answers again")
	}
	e.failedReports, e.unansweredOrders = 0, 0
	before := e.modelLoadCount()
	e.applyReport(r.report, now)
	c.modelLoadCount += e.modelLoadCount() - before
	c.publishResidencies(e)
}

// orderRetryDelay is the time before the next order or report to an engine after
// one that was refused, failed or outdated, and after an unload that waits for
// its requests.
const orderRetryDelay = 100 * time.Millisecond

// An orderResult is the outcome of sending an order.
type orderResult struct {
	engine  *engine
	order   site.Order
	outcome site.OrderOutcome
	err     error
}

func (r *orderResult) handle(_ context.Context, c *Controller) {
	e, now := r.engine, time.Now()
	e.callInFlight = false
	before := e.modelLoadCount()
	c.Log.Debug().Str("engine", string(e.server.ID)).Bool("unload", r.order.Unload).Str("adapter", r.order.Adapter.Name).
		Int("version", r.order.Version).Int("expected", r.order.ExpectedOrderCount).Str("outcome", string(r.outcome)).Err(r.err).Msg("order")
	e.unansweredOrders++
	if r.outcome != site.OrderUnknown {
		e.unansweredOrders = 0
	}
	if e.unansweredOrders >= maxUnansweredOrders {
		e.reportCurrent = false
	}
	if r.order.Unload {
		e.handleUnloadResult(r, now)
	} else {
		e.handleLoadResult(r, now)
	}
	c.modelLoadCount += e.modelLoadCount() - before
	c.publishResidencies(e)
}

// handleUnloadResult applies the outcome of an unload order. Only an unload that
// was carried out frees a slot.
func (e *engine) handleUnloadResult(r *orderResult, now time.Time) {
	switch r.outcome {
	case site.OrderAlreadySatisfied:
		// An engine that did not hold the adapter has not counted this order.
		// It then refuses the next order, and the count is read from a report.
		e.recordAcceptedOrder()
		e.cached[r.order.Adapter] = true
		e.slots.recordFreed(now)
	case site.OrderAccepted:
		// The engine unloads the adapter once its requests have ended; the report
		// shows when that has happened.
		e.recordAcceptedOrder()
		e.reportCurrent, e.nextOrderAt = false, now.Add(orderRetryDelay)
	case site.OrderUnknown:
		e.orderToRepeat = &r.order
	default:
		e.orderToRepeat = nil
		e.reportCurrent, e.nextOrderAt = false, now.Add(orderRetryDelay)
	}
}

// handleLoadResult applies the outcome of a load order or of a status check of a
// load.
func (e *engine) handleLoadResult(r *orderResult, now time.Time) {
	adapter := r.order.Adapter
	l := e.loads[adapter]
	switch r.outcome {
	case site.OrderAlreadySatisfied:
		delete(e.loads, adapter)
		e.orderToRepeat = nil
		e.loaded[adapter] = max(r.order.Version, e.loaded[adapter], 1)
		e.cached[adapter] = true
		e.lastUsed[adapter] = now
		e.admitPending(now)
	case site.OrderAccepted:
		if l == nil {
			e.recordAcceptedOrder()
			l = &load{version: r.order.Version, warm: e.cached[adapter], startedAt: now}
			e.loads[adapter] = l
			l.pollAt = now.Add(coldLoadDuration)
			switch {
			case adapter.Name == "":
				l.pollAt = now.Add(modelPollInterval)
			case l.warm:
				l.pollAt = now.Add(warmLoadDuration)
			}
			return
		}
		l.pollAt = now.Add(loadPollInterval)
		if adapter.Name == "" {
			l.pollAt = now.Add(modelPollInterval)
		}
	case site.OrderUnknown:
		if l != nil {
			l.pollAt = now.Add(loadPollInterval)
			return
		}
		e.unconfirmedLoads[adapter] = true
		e.orderToRepeat = &r.order
	default:
		e.orderToRepeat = nil
		if l != nil && now.Sub(l.startedAt) < loadTimeout {
			l.pollAt = now.Add(loadPollInterval)
			if adapter.Name == "" {
				l.pollAt = now.Add(modelPollInterval)
			}
			return
		}
		delete(e.loads, adapter)
		e.reportCurrent, e.nextOrderAt = false, now.Add(orderRetryDelay)
	}
}
