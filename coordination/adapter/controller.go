// Package adapter keeps adapters loaded on the engines of the zones that this
// host owns. One duty gives all orders to these engines.
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

// EngineClient gives orders to engines.
type EngineClient interface {
	// SendOrder gives one order. Its error explains every outcome but accepted and holds.
	SendOrder(ctx context.Context, server *site.Server, order site.Order) (site.OrderOutcome, error)
	// ReadReport reads the state of an engine.
	ReadReport(ctx context.Context, server *site.Server) (site.EngineReport, error)
}

// ZoneLeases tells which zones this host owns.
type ZoneLeases interface {
	// OrderEpoch returns the epoch of the zone's lease and whether orders may be
	// given under it at this moment.
	OrderEpoch(zone string) (uint64, bool)
}

// ViewSource has the newest view of the site.
type ViewSource interface {
	View() *site.View
}

// A Balancer is this host's own knowledge of servers. Other hosts are told, and
// tell, by way of their questions.
type Balancer interface {
	UpdateResidency(residency site.Residency) bool
	UpdateRunningCounts(running map[site.ServerID]int)
	InFlight(zones map[string]bool) []site.InFlight
}

const (
	// demandCapacity bounds the messages that wait for the duty.
	demandCapacity = 4096
	// tick is the longest pause between two looks at the engines.
	tick = 100 * time.Millisecond
	// transitPerEngine is the number of adapters that an engine loads at once.
	transitPerEngine = 4
	// transitUnit is the number of adapters that all engines may load at once
	// before every load slows down, for each loadsUnit of base models that the
	// weight store allows in a second. The platform does not tell the number.
	transitUnit = 8
	// answerMargin is how long before its MaxWait ends a demand is refused, so
	// that the reason reaches the host that asked.
	answerMargin = 40 * time.Millisecond
	loadsUnit    = 4.5
)

// A Controller is the duty that orders for engines. Its exported fields are set
// before Run.
type Controller struct {
	// Host is the name under which orders are given.
	Host string
	// Regions has the region of each zone.
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
	// residencies is replaced with each change and never modified.
	residencies atomic.Pointer[map[site.ServerID]site.Residency]
	// running has the requests on each engine; it is replaced, not modified.
	running  atomic.Pointer[map[site.ServerID]int]
	stopping atomic.Bool
	// sequence numbers the changes of residencies.
	sequence uint64
	// modelLoads is the number of base models being loaded.
	modelLoads int
}

// A message is handled on the goroutine of Run.
type message interface {
	handle(ctx context.Context, o *Controller)
}

// A demand asks for an adapter on an engine.
type demand struct {
	request site.PlaceRequest
	// due is until when the request can be answered in time.
	due, ends time.Time
	// gone is closed when nobody waits any more.
	gone  <-chan struct{}
	reply chan answer
}

// An answer is the end of a demand.
type answer struct {
	placement site.Placement
	err       error
}

// dead says whether nobody waits for the answer.
func (d *demand) dead(now time.Time) bool {
	select {
	case <-d.gone:
		return true
	default:
		return !now.Before(d.ends)
	}
}

// counts are the requests of a host on engines.
type counts struct {
	host string
	list []site.InFlight
}

func (o *Controller) prepare() {
	o.once.Do(func() {
		o.messages = ring.New[message](demandCapacity)
		o.results = make(chan message, 256)
		o.engines = make(map[site.ServerID]*engine)
		o.residencies.Store(&map[site.ServerID]site.Residency{})
		o.running.Store(&map[site.ServerID]int{})
	})
}

// Run orders until ctx ends or Close is called.
func (o *Controller) Run(ctx context.Context) error {
	o.prepare()
	return o.lifecycle.Run(ctx, o.loop)
}

// Close ends the duty and waits until it has ended. Orders in flight are
// answered or given up before it returns.
func (o *Controller) Close() error {
	return o.lifecycle.Close()
}

// StopOrders ends the giving of orders for good, before the leases are released.
func (o *Controller) StopOrders() {
	o.stopping.Store(true)
}

// Place waits until the adapter is loaded on the engine and the request has its
// turn there. Its error is a *verdict.Error with verdict NotRun.
func (o *Controller) Place(ctx context.Context, request site.PlaceRequest) (site.Placement, error) {
	o.prepare()
	now := time.Now()
	d := &demand{request: request, due: now.Add(request.SlackTime), ends: now.Add(request.MaxWait - answerMargin), gone: ctx.Done(), reply: make(chan answer, 1)}
	if !o.messages.Offer(d) {
		return site.Placement{}, verdict.NewNotRun(verdict.CodeOverloaded, "too many demands for adapters wait")
	}
	select {
	case a := <-d.reply:
		return a.placement, a.err
	case <-ctx.Done():
		return site.Placement{}, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeDeadline, Message: "adapter " + request.Adapter.Name + " was not loaded in time", Cause: ctx.Err()}
	}
}

// UpdateInFlight notes the requests of a host on engines; engines of other owners are
// ignored. An empty list shows that the host lives.
func (o *Controller) UpdateInFlight(host string, list []site.InFlight) {
	o.prepare()
	o.messages.Offer(counts{host: host, list: list})
}

// RunningCounts returns the requests on each own engine.
func (o *Controller) RunningCounts() map[site.ServerID]int {
	o.prepare()
	return *o.running.Load()
}

// ResidenciesSince returns what this host's engines hold, as far as it changed after
// the known sequence, and the sequence up to which that is complete.
func (o *Controller) ResidenciesSince(known uint64) ([]site.Residency, uint64) {
	o.prepare()
	var changed []site.Residency
	newest := known
	for _, residency := range *o.residencies.Load() {
		if residency.Sequence > known {
			changed = append(changed, residency)
			newest = max(newest, residency.Sequence)
		}
	}
	return changed, newest
}

func (o *Controller) loop(ctx context.Context) error {
	timer := time.NewTimer(tick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			o.refuseRest()
			return ctx.Err()
		case m := <-o.messages.Messages():
			m.handle(ctx, o)
		case m := <-o.results:
			m.handle(ctx, o)
		case <-timer.C:
			o.refresh()
		}
		wait := tick
		for _, e := range o.engines {
			wait = min(wait, o.advance(ctx, e))
		}
		timer.Reset(max(wait, time.Millisecond))
	}
}

// refuseRest refuses the demands that wait when the duty ends.
func (o *Controller) refuseRest() {
	stopped := verdict.NewNotRun(verdict.CodeStopping, "the owner of the engines stops")
	for _, e := range o.engines {
		e.refuseAll(stopped)
	}
	for {
		select {
		case m := <-o.messages.Messages():
			if d, ok := m.(*demand); ok {
				d.reply <- answer{err: stopped}
			}
		default:
			return
		}
	}
}

// refresh follows the view and the tenure: engines come, restart and go.
func (o *Controller) refresh() {
	view := o.Views.View()
	changed := false
	for id, e := range o.engines {
		server := view.Servers[id]
		_, held := o.Leases.OrderEpoch(e.server.Zone)
		if server == nil || !held || server.Incarnation != e.server.Incarnation {
			e.refuseAll(verdict.NewNotRun(verdict.CodeNotOwner, "engine %s has another owner or start", id))
			o.modelLoads -= e.modelLoads()
			delete(o.engines, id)
			changed = true
			continue
		}
		e.server = server
		if server.State != site.Ready {
			e.refuseAll(verdict.NewNotRun(verdict.CodeBackendRefused, "engine %s leaves", id))
		}
	}
	for id, server := range view.Servers {
		service := view.Service(server.Service)
		if service == nil || service.Engines == nil || o.engines[id] != nil {
			continue
		}
		if epoch, held := o.Leases.OrderEpoch(server.Zone); held && !o.stopping.Load() {
			o.engines[id] = newEngine(server, o.Regions[server.Zone], epoch)
		}
	}
	if changed {
		o.publish(nil)
	}
	o.count()
}

// count takes over this host's own requests and publishes what runs.
func (o *Controller) count() {
	zones := make(map[string]bool)
	for _, e := range o.engines {
		zones[e.server.Zone] = true
	}
	now := time.Now()
	o.takeCounts(counts{host: o.Host, list: o.Balancer.InFlight(zones)}, now)
	running := make(map[site.ServerID]int, len(o.engines))
	for id, e := range o.engines {
		e.runs.forget(now)
		running[id] = e.runs.total
	}
	o.running.Store(&running)
	o.Balancer.UpdateRunningCounts(running)
}

// publish replaces the residencies, with a new one of the engine if it is given.
func (o *Controller) publish(e *engine) {
	next := make(map[site.ServerID]site.Residency, len(o.engines))
	maps.Copy(next, *o.residencies.Load())
	for id := range next {
		if o.engines[id] == nil {
			delete(next, id)
		}
	}
	if e != nil && o.engines[e.server.ID] == e {
		o.sequence++
		residency := e.residency(o.sequence)
		next[e.server.ID] = residency
		o.Balancer.UpdateResidency(residency)
	}
	o.residencies.Store(&next)
}

func (d *demand) handle(_ context.Context, o *Controller) {
	e := o.engines[d.request.Server.ID]
	if e == nil || e.server.Incarnation != d.request.Server {
		o.refresh()
		e = o.engines[d.request.Server.ID]
	}
	if e == nil || e.server.Incarnation != d.request.Server || o.stopping.Load() {
		d.reply <- answer{err: verdict.NewNotRun(verdict.CodeNotOwner, "engine %s is not owned by this host", d.request.Server.ID)}
		return
	}
	room := 0
	if service := o.Views.View().Service(e.server.Service); service != nil && service.Engines != nil {
		if model := service.Engines.Model(d.request.Adapter.Model); model != nil {
			room = service.Engines.AdapterCapacity(model)
		}
	}
	e.demand(d, room, time.Now())
}

func (n counts) handle(_ context.Context, o *Controller) {
	o.takeCounts(n, time.Now())
}

// takeCounts takes over the requests of a host on all own engines.
func (o *Controller) takeCounts(n counts, now time.Time) {
	told := make(map[site.ServerID]map[site.Adapter]int, len(n.list))
	for _, sent := range n.list {
		told[sent.Server] = sent.Adapters
	}
	for id, e := range o.engines {
		e.runs.heard[n.host] = now
		if adapters, ok := told[id]; ok {
			e.runs.report(n.host, adapters)
		} else {
			e.runs.unmentioned(n.host, now)
		}
	}
}
