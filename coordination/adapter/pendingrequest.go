package adapter

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A pendingRequest waits until its adapter is loaded on an engine and the engine
// admits it. The goroutine of Run owns it.
type pendingRequest struct {
	request site.PlaceRequest
	// latencyDeadline is the latest time of admission at which the request can
	// still meet its latency target. At deadline it is refused.
	latencyDeadline, deadline time.Time
	// lastUse is the time after which a turn at any server is of no use.
	lastUse time.Time
	// turnDeadline is the latest useful time of admission to a server that states a
	// limit.
	turnDeadline time.Time
	// canceled is closed when the caller of Place no longer waits.
	canceled <-chan struct{}
	reply    chan placeResult
}

// A placeResult is the reply to a pendingRequest.
type placeResult struct {
	placement site.Placement
	err       error
}

// isAbandoned reports whether nobody waits for the reply any more: the wait was
// canceled or its deadline has passed.
func (d *pendingRequest) isAbandoned(now time.Time) bool {
	select {
	case <-d.canceled:
		return true
	default:
		return !now.Before(d.deadline)
	}
}

func (d *pendingRequest) handle(_ context.Context, c *Controller) {
	e := c.engineFor(d.request)
	if e == nil || e.server.Incarnation != d.request.Server || c.ordersStopped.Load() {
		d.reply <- placeResult{err: verdict.NewNotRun(verdict.CodeNotOwner, "engine %s is not owned by this host", d.request.Server.ID)}
		return
	}
	capacity := 0
	if service := c.Views.View().Service(e.server.Service); service != nil && service.Engines != nil {
		if model := service.Engines.Model(d.request.Adapter.Model); model != nil {
			capacity = service.Engines.AdapterCapacity(model)
		}
	}
	e.handleRequest(d, capacity, time.Now())
}

// engineFor returns the record of the server that the request is for, or nil if this host
// does not own the server's zone.
func (c *Controller) engineFor(r site.PlaceRequest) *engine {
	if isForPlainServer(r) {
		return c.plainServer(r.Server)
	}
	e := c.engines[r.Server.ID]
	if e == nil || e.server.Incarnation != r.Server {
		c.refreshEngines()
		e = c.engines[r.Server.ID]
	}
	return e
}
