// Package adapter loads and unloads LoRA adapters on the engines of the failure
// domains (zones) that this host owns. A single goroutine, the Controller, sends
// all orders to these engines.
package adapter

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// EngineClient sends orders to engines and reads their reports.
type EngineClient interface {
	// SendOrder sends one order and returns its outcome. The error is the cause
	// of any outcome other than OrderAccepted and OrderAlreadySatisfied.
	SendOrder(ctx context.Context, server *site.Server, order site.Order) (site.OrderOutcome, error)
	// ReadReport reads the current state of an engine.
	ReadReport(ctx context.Context, server *site.Server) (site.EngineReport, error)
}

// ZoneLeases reports which zones this host owns.
type ZoneLeases interface {
	// OrderEpoch returns the epoch of the lease on the zone, and whether this
	// host may currently send orders under it.
	OrderEpoch(zone string) (uint64, bool)
}

// ViewSource returns the newest view of the site.
type ViewSource interface {
	View() *site.View
}

// A Balancer chooses servers for the requests of this host. The Controller
// updates it directly; other hosts exchange the same data with this host by
// polling.
type Balancer interface {
	UpdateResidency(residency site.Residency) bool
	UpdateRunningCounts(running map[site.ServerID]int)
	InFlight(zones map[string]bool) []site.InFlight
	// IsAvailable reports whether a server may get requests and orders of this host.
	IsAvailable(server *site.Server) bool
}

const (
	// messageCapacity is the number of messages that may wait for the Controller.
	messageCapacity = 4096
	// loopInterval is the longest time between two checks of all engines.
	loopInterval = 100 * time.Millisecond
	// maxLoadsPerEngine is the number of adapters that one engine loads at once.
	maxLoadsPerEngine = 4
	// maxLoadsPerRateUnit is the number of adapters that all engines together may
	// load from the weight store at once, for each modelLoadRateUnit of the
	// store's load rate. Beyond it every load slows down. The platform does not
	// report this number.
	maxLoadsPerRateUnit = 8
	// refusalMargin is how long before the end of its MaxWait a request is
	// refused, so that the reason reaches the requesting host in time.
	refusalMargin = 40 * time.Millisecond
	// modelLoadRateUnit is a load rate of the weight store, in base models per
	// second.
	modelLoadRateUnit = 4.5
)

// A Controller decides on and sends the orders to the engines that this host
// owns, and admits requests to them. Its exported fields are set before Run and
// not changed afterwards.
type Controller struct {
	// Host is the name of this host, sent with each order.
	Host string
	// Regions maps each zone to its region.
	Regions  map[string]string
	Engines  EngineClient
	Leases   ZoneLeases
	Views    ViewSource
	Balancer Balancer
	Log      zerolog.Logger

	lifecycle duty.Lifecycle
	once      sync.Once
	messages  *ring.Ring[message]
	results   chan message
	engines   map[site.ServerID]*engine
	// plainServers are the servers of plain services that have stated a limit.
	plainServers map[site.ServerID]*engine
	// residencies is the last published state of each owned engine. The map is
	// replaced on each change and never modified.
	residencies atomic.Pointer[map[site.ServerID]site.Residency]
	// runningByEngine is the load of each owned engine as a number of requests. The
	// map is replaced on each change and never modified.
	runningByEngine atomic.Pointer[map[site.ServerID]int]
	ordersStopped   atomic.Bool
	// sequence is the number of the newest published residency.
	sequence uint64
	// modelLoadCount is the number of base models that owned engines are loading.
	modelLoadCount int
	// coldLoadLimit is the number of adapters that owned engines may load from the weight
	// store at once. It follows from the view and is updated with the set of engines, because
	// it takes a look at all servers.
	coldLoadLimit int
}

// A message is an input of the Controller, handled on the goroutine of Run.
type message interface {
	handle(ctx context.Context, c *Controller)
}

func (c *Controller) prepare() {
	c.once.Do(func() {
		c.messages = ring.New[message](messageCapacity)
		c.results = make(chan message, 256)
		c.engines = make(map[site.ServerID]*engine)
		c.plainServers = make(map[site.ServerID]*engine)
		c.residencies.Store(&map[site.ServerID]site.Residency{})
		c.runningByEngine.Store(&map[site.ServerID]int{})
	})
}

// Run controls the engines until ctx ends or Close is called.
func (c *Controller) Run(ctx context.Context) error {
	c.prepare()
	return c.lifecycle.Run(ctx, c.loop)
}

// Close stops the Controller and waits until Run has returned. Orders in flight
// are completed or canceled before that.
func (c *Controller) Close() error {
	return c.lifecycle.Close()
}

// StopOrders permanently stops the sending of orders. It is called before the
// zone leases are released.
func (c *Controller) StopOrders() {
	c.ordersStopped.Store(true)
}

// Place waits until the adapter is loaded on the engine and the engine admits the
// request. Its error is a *verdict.Error with verdict NotRun.
func (c *Controller) Place(ctx context.Context, request site.PlaceRequest) (site.Placement, error) {
	c.prepare()
	now := time.Now()
	d := &pendingRequest{request: request, latencyDeadline: now.Add(request.SlackTime), deadline: now.Add(request.MaxWait - refusalMargin), canceled: ctx.Done(), reply: make(chan placeResult, 1)}
	d.lastUse = now.Add(request.TimeLeft)
	d.turnDeadline = latestTurn(request, now, d.latencyDeadline, d.deadline)
	if !c.messages.Offer(d) {
		return site.Placement{}, verdict.NewNotRun(verdict.CodeOverloaded, "too many requests wait for adapters")
	}
	select {
	case a := <-d.reply:
		return a.placement, a.err
	case <-ctx.Done():
		return site.Placement{}, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeDeadline, Message: "adapter " + request.Adapter.Name + " was not loaded in time", Cause: ctx.Err()}
	}
}

// UpdateInFlight records the requests that a host has in flight on the engines of
// this host; engines of other owners are ignored. An empty list shows that the
// host is alive.
func (c *Controller) UpdateInFlight(host string, list []site.InFlight) {
	c.prepare()
	c.messages.Offer(inFlightReport{host: host, requests: list})
}

// UpdateEndedRuns records requests that have ended on the engines of this host.
func (c *Controller) UpdateEndedRuns(runs []site.EndedRuns) {
	c.prepare()
	c.messages.Offer(endedRunsReport{runs: runs})
}

// RunningCounts returns the load of each owned engine as a number of running requests. The
// map must not be modified.
func (c *Controller) RunningCounts() map[site.ServerID]int {
	c.prepare()
	return *c.runningByEngine.Load()
}

// ResidenciesSince returns the residencies of owned engines that changed after
// the known sequence number, and the newest sequence number among them, or known
// if none has changed.
func (c *Controller) ResidenciesSince(known uint64) ([]site.Residency, uint64) {
	c.prepare()
	var changed []site.Residency
	newest := known
	for _, residency := range *c.residencies.Load() {
		if residency.Sequence > known {
			changed = append(changed, residency)
			newest = max(newest, residency.Sequence)
		}
	}
	return changed, newest
}

func (c *Controller) loop(ctx context.Context) error {
	timer := time.NewTimer(loopInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.refuseWaiting()
			return ctx.Err()
		case m := <-c.messages.Messages():
			m.handle(ctx, c)
		case m := <-c.results:
			m.handle(ctx, c)
		case <-timer.C:
			c.refreshEngines()
		}
		wait := loopInterval
		for _, e := range c.engines {
			wait = min(wait, c.advance(ctx, e))
		}
		for _, e := range c.plainServers {
			wait = min(wait, e.servePending(time.Now()))
		}
		timer.Reset(max(wait, time.Millisecond))
	}
}

// refuseWaiting refuses all waiting requests when the Controller stops.
func (c *Controller) refuseWaiting() {
	stopped := verdict.NewNotRun(verdict.CodeStopping, "the owner of the engines is shutting down")
	for _, e := range c.engines {
		e.refuseAll(stopped)
	}
	for _, e := range c.plainServers {
		e.refuseAll(stopped)
	}
	for {
		select {
		case m := <-c.messages.Messages():
			if d, ok := m.(*pendingRequest); ok {
				d.reply <- placeResult{err: stopped}
			}
		default:
			return
		}
	}
}

// refreshEngines updates the set of controlled engines from the view and the zone
// leases: it drops engines that are gone, have restarted or belong to another
// owner, and adds new ones.
func (c *Controller) refreshEngines() {
	view := c.Views.View()
	changed := false
	for id, e := range c.engines {
		server := view.Servers[id]
		_, held := c.Leases.OrderEpoch(e.server.Zone)
		if server == nil || !held || server.Incarnation != e.server.Incarnation {
			e.refuseAll(verdict.NewNotRun(verdict.CodeNotOwner, "engine %s is gone, has restarted or has another owner", id))
			c.modelLoadCount -= e.modelLoadCount()
			delete(c.engines, id)
			changed = true
			continue
		}
		e.server = server
		if server.State != site.Ready {
			e.refuseAll(verdict.NewNotRun(verdict.CodeBackendRefused, "engine %s is draining", id))
		}
	}
	for id, server := range view.Servers {
		service := view.Service(server.Service)
		if service == nil || service.Engines == nil || c.engines[id] != nil {
			continue
		}
		if epoch, held := c.Leases.OrderEpoch(server.Zone); held && !c.ordersStopped.Load() {
			c.engines[id] = newEngine(server, c.Regions[server.Zone], epoch)
		}
	}
	c.updateColdLoadLimit(view)
	c.dropPlainServers(view)
	if changed {
		c.publishResidencies(nil)
	}
	c.updateRunningCounts()
}

// updateRunningCounts applies this host's own requests in flight, and publishes
// the number of running requests on each engine.
func (c *Controller) updateRunningCounts() {
	zones := make(map[string]bool)
	for _, e := range c.engines {
		zones[e.server.Zone] = true
	}
	now := time.Now()
	c.applyInFlightReport(inFlightReport{host: c.Host, requests: c.Balancer.InFlight(zones)}, now)
	running := make(map[site.ServerID]int, len(c.engines))
	for id, e := range c.engines {
		e.running.dropSilentHosts(now)
		running[id] = e.equivalentRequests(now)
	}
	c.runningByEngine.Store(&running)
	c.Balancer.UpdateRunningCounts(running)
}

// publishResidencies removes the residencies of engines that are no longer
// controlled, and publishes the current residency of e unless e is nil.
func (c *Controller) publishResidencies(e *engine) {
	next := make(map[site.ServerID]site.Residency, len(c.engines))
	maps.Copy(next, *c.residencies.Load())
	for id := range next {
		if c.engines[id] == nil {
			delete(next, id)
		}
	}
	if e != nil && c.engines[e.server.ID] == e {
		c.sequence++
		residency := e.residency(c.sequence)
		next[e.server.ID] = residency
		c.Balancer.UpdateResidency(residency)
	}
	c.residencies.Store(&next)
}
