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

// Engines gives orders to engines.
type Engines interface {
	// Order gives one order. Its error explains every outcome but accepted and holds.
	Order(ctx context.Context, server *site.Server, order site.Order) (site.OrderOutcome, error)
	// Report reads the state of an engine.
	Report(ctx context.Context, server *site.Server) (site.Report, error)
}

// Tenure tells which zones this host owns.
type Tenure interface {
	// Epoch returns the epoch of the zone's lease and whether orders may be
	// given under it at this moment.
	Epoch(zone string) (uint64, bool)
}

// Views has the newest view of the site.
type Views interface {
	View() *site.View
}

// Learners are told of every change of a residency.
type Learners interface {
	Learn(residency site.Residency)
}

const (
	// demandCapacity bounds the messages that wait for the duty.
	demandCapacity = 4096
	// tick is the longest pause between two looks at the engines.
	tick = 100 * time.Millisecond
	// transitPerEngine is the number of adapters that an engine loads at once.
	transitPerEngine = 4
	// transitTotal is the number of adapters that all engines may load at once
	// before every load slows down.
	transitTotal = 8
)

// An Owner is the duty that orders for engines. Its exported fields are set
// before Run.
type Owner struct {
	// Host is the name under which orders are given.
	Host     string
	Engines  Engines
	Tenure   Tenure
	Views    Views
	Learners Learners
	Log      zerolog.Logger

	lifecycle duty.Lifecycle
	once      sync.Once
	messages  *ring.Ring[message]
	results   chan message
	engines   map[site.ServerID]*engine
	// residencies is replaced with each change and never modified.
	residencies atomic.Pointer[map[site.ServerID]site.Residency]
	stopping    atomic.Bool
	// modelLoads is the number of base models being loaded.
	modelLoads int
}

// A message is handled on the goroutine of Run.
type message interface {
	handle(ctx context.Context, o *Owner)
}

// A demand asks for an adapter on an engine.
type demand struct {
	request site.PlaceRequest
	missing bool
	ends    time.Time
	// gone is closed when nobody waits any more.
	gone  <-chan struct{}
	reply chan error
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

// uses report that adapters were used.
type uses []site.Use

func (o *Owner) prepare() {
	o.once.Do(func() {
		o.messages = ring.New[message](demandCapacity)
		o.results = make(chan message, 256)
		o.engines = make(map[site.ServerID]*engine)
		o.residencies.Store(&map[site.ServerID]site.Residency{})
	})
}

// Run orders until ctx ends or Close is called.
func (o *Owner) Run(ctx context.Context) error {
	o.prepare()
	return o.lifecycle.Run(ctx, o.loop)
}

// Close ends the duty and waits until it has ended. Orders in flight are
// answered or given up before it returns.
func (o *Owner) Close() error {
	return o.lifecycle.Close()
}

// Stop ends the giving of orders for good, before the leases are released.
func (o *Owner) Stop() {
	o.stopping.Store(true)
}

// Place waits until the adapter is loaded on the engine. Its error is a
// *verdict.Error with verdict NotRun. missing says that the engine denied having
// the adapter.
func (o *Owner) Place(ctx context.Context, request site.PlaceRequest, missing bool) error {
	o.prepare()
	now := time.Now()
	d := &demand{request: request, missing: missing, ends: now.Add(request.Patience), gone: ctx.Done(), reply: make(chan error, 1)}
	if !o.messages.Offer(d) {
		return verdict.Refuse(verdict.CodeOverloaded, "too many demands for adapters wait")
	}
	select {
	case err := <-d.reply:
		return err
	case <-ctx.Done():
		return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeDeadline, Message: "adapter " + request.Adapter.Name + " was not loaded in time", Cause: ctx.Err()}
	}
}

// Used notes that adapters were used; engines of other owners are ignored.
func (o *Owner) Used(list []site.Use) {
	o.prepare()
	if len(list) > 0 {
		o.messages.Offer(uses(list))
	}
}

// Residencies returns what this host's engines hold, as far as it changed since
// the known sequences.
func (o *Owner) Residencies(known map[site.ServerID]uint64) []site.Residency {
	o.prepare()
	var changed []site.Residency
	for id, residency := range *o.residencies.Load() {
		if known[id] != residency.Sequence {
			changed = append(changed, residency)
		}
	}
	return changed
}

func (o *Owner) loop(ctx context.Context) error {
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
func (o *Owner) refuseRest() {
	stopped := verdict.Refuse(verdict.CodeStopping, "the owner of the engines stops")
	for _, e := range o.engines {
		e.refuseAll(stopped)
	}
	for {
		select {
		case m := <-o.messages.Messages():
			if d, ok := m.(*demand); ok {
				d.reply <- stopped
			}
		default:
			return
		}
	}
}

// refresh follows the view and the tenure: engines come, restart and go.
func (o *Owner) refresh() {
	view := o.Views.View()
	changed := false
	for id, e := range o.engines {
		server := view.Servers[id]
		_, held := o.Tenure.Epoch(e.server.Zone)
		if server == nil || !held || server.Incarnation != e.server.Incarnation {
			e.refuseAll(verdict.Refuse(verdict.CodeNotOwner, "engine %s has another owner or start", id))
			o.modelLoads -= e.modelLoads()
			delete(o.engines, id)
			changed = true
			continue
		}
		e.server = server
	}
	for id, server := range view.Servers {
		service := view.Service(server.Service)
		if service == nil || service.Engines == nil || o.engines[id] != nil {
			continue
		}
		if epoch, held := o.Tenure.Epoch(server.Zone); held && !o.stopping.Load() {
			o.engines[id] = newEngine(server, epoch)
		}
	}
	if changed {
		o.publish(nil)
	}
}

// publish replaces the residencies, with a new one of the engine if it is given.
func (o *Owner) publish(e *engine) {
	next := make(map[site.ServerID]site.Residency, len(o.engines))
	maps.Copy(next, *o.residencies.Load())
	for id := range next {
		if o.engines[id] == nil {
			delete(next, id)
		}
	}
	if e != nil && o.engines[e.server.ID] == e {
		residency := e.residency()
		next[e.server.ID] = residency
		o.Learners.Learn(residency)
	}
	o.residencies.Store(&next)
}

func (d *demand) handle(_ context.Context, o *Owner) {
	e := o.engines[d.request.Server.ID]
	if e == nil || e.server.Incarnation != d.request.Server {
		o.refresh()
		e = o.engines[d.request.Server.ID]
	}
	if e == nil || e.server.Incarnation != d.request.Server || o.stopping.Load() {
		d.reply <- verdict.Refuse(verdict.CodeNotOwner, "engine %s is not owned by this host", d.request.Server.ID)
		return
	}
	e.demand(d, time.Now())
}

func (u uses) handle(_ context.Context, o *Owner) {
	now := time.Now()
	for _, use := range u {
		if e := o.engines[use.Server]; e != nil {
			e.used[use.Adapter] = now
		}
	}
}
