// Package ownership decides which adapter instances run on a model engine. For
// each engine that this host owns, one goroutine (an Owner) tracks the instances
// on the engine, grants them to entry hosts, and orders loads and evictions.
package ownership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// ringCapacity is the number of messages that can wait for one goroutine.
const ringCapacity = 4096

// An Owner owns one engine under one epoch: it alone grants the engine's
// instances and orders loads and unloads in this epoch. The exported fields are
// set before Run and not changed afterwards.
type Owner struct {
	// Engine is the engine that is owned.
	Engine fleet.Engine
	// Host is the name of this host.
	Host fleet.HostName
	// Epoch is the epoch of the lease LeaseName(Engine.Name).
	Epoch fleet.Epoch
	// PreviousHolder is the process that owned the engine in the epoch before.
	PreviousHolder PreviousHolder

	Engines           EngineClient
	Leases            LeaseChecker
	Budget            LoadBudget
	Placement         PlacementPolicy
	HoldingsCollector HoldingsCollector
	Settings          Settings
	Logger            zerolog.Logger

	lifecycle duty.Lifecycle
	setupOnce sync.Once
	messages  *ring.Ring[message]
	// results receives the results of worker goroutines. It is unbuffered and a
	// worker waits until its result is taken, so that none is lost.
	results chan message
	ended   chan struct{}
	endOnce sync.Once
	summary atomic.Pointer[fleet.EngineSummary]
	// handingOver belongs to the Manager: a hand-over of this owner is in flight.
	// The Manager starts no second one meanwhile.
	handingOver atomic.Bool
	// leaseLost belongs to the Manager: the lease was lost, not only expired.
	leaseLost bool

	// The fields below belong to the goroutine of Run.

	settings Settings
	// startedAt is when Run began. No earlier owner had a valid lease then.
	startedAt time.Time
	// leaseValidAt is the last time at which the lease was seen to be valid; zero
	// when it never was.
	leaseValidAt time.Time
	// engineStart is the engine's start number; 0 until it is known.
	engineStart fleet.StartNumber
	report      fleet.EngineReport
	residencies map[fleet.Instance]*residency
	// foreignCount is the number of instances on the engine whose names are not
	// instance names of this system. They take slots but are never unloaded.
	foreignCount int
	// unansweredUnloads holds the instances with an unload order that was not
	// answered. Such an order may arrive late, so these names are not loaded again.
	unansweredUnloads map[fleet.Instance]*unansweredUnload
	// pins holds the grants of each request, the oldest first.
	pins map[fleet.RequestID][]*pin
	// canceling holds the requests with a cancel in flight, and cancelRetryAt the
	// earliest time for the next one after it failed.
	canceling     map[fleet.RequestID]bool
	cancelRetryAt map[fleet.RequestID]time.Time
	lateReleases  map[fleet.RequestID]*lateReleases
	queues        map[fleet.AdapterReference]*adapterQueue
	// queuedCount is the number of waiters in all queues.
	queuedCount  int
	loadBackoffs map[fleet.AdapterReference]*loadBackoff

	// orderCount is the number of load, unload and fence orders started so far.
	// unansweredOrders is the number of such orders and of cancels in flight;
	// loadsInFlight counts only the loads and unloads among them.
	orderCount       uint64
	unansweredOrders int
	loadsInFlight    int
	// permitRequests are the load permits that the budget has not granted yet.
	// permitCount is the number of unused permits, which expire at permitsExpireAt.
	permitRequests  []*permitRequest
	permitCount     int
	permitsExpireAt time.Time
	// permitReviewAt is when permitRequests are next compared with the pending loads.
	permitReviewAt time.Time
	// fencePending says that a fence order is in flight, and fenced that one has
	// raised the fencing number of this start of the engine.
	fencePending  bool
	fenced        bool
	reportPending bool
	nextReportAt  time.Time
	// permitContext is the parent context of all permit requests. A hand-over
	// cancels it with cancelPermits.
	permitContext context.Context
	cancelPermits context.CancelFunc

	takeover        takeover
	pendingHandOver *pendingHandOver
	// superseded says that an owner with a later epoch exists. nextOwner is its
	// host, or empty when it is not known.
	superseded bool
	nextOwner  fleet.HostName
}

// A message is a call or a worker's result that the goroutine of Run handles.
type message interface {
	handle(ctx context.Context, o *Owner, now time.Time)
}

// setup prepares the fields of Run and of the methods that may be called before Run.
func (o *Owner) setup() {
	o.setupOnce.Do(func() {
		o.settings = o.Settings.complete()
		o.messages = ring.New[message](ringCapacity)
		o.results = make(chan message)
		o.ended = make(chan struct{})
		o.residencies = make(map[fleet.Instance]*residency)
		o.unansweredUnloads = make(map[fleet.Instance]*unansweredUnload)
		o.pins = make(map[fleet.RequestID][]*pin)
		o.canceling = make(map[fleet.RequestID]bool)
		o.cancelRetryAt = make(map[fleet.RequestID]time.Time)
		o.lateReleases = make(map[fleet.RequestID]*lateReleases)
		o.queues = make(map[fleet.AdapterReference]*adapterQueue)
		o.loadBackoffs = make(map[fleet.AdapterReference]*loadBackoff)
		o.summary.Store(&fleet.EngineSummary{Engine: o.Engine.Name, Owner: o.Host, Epoch: o.Epoch})
	})
}

// Run owns the engine until ctx ends or Close is called.
func (o *Owner) Run(ctx context.Context) error {
	o.setup()
	defer o.endOnce.Do(func() { close(o.ended) })
	return o.lifecycle.Run(ctx, o.loop)
}

// Close ends Run and waits until it has ended. Nothing is granted afterwards.
// Unexpired grants stay valid; the next owner learns of them from their holders.
func (o *Owner) Close() error {
	return o.lifecycle.Close()
}

func (o *Owner) loop(ctx context.Context) error {
	o.startedAt = time.Now()
	o.permitContext, o.cancelPermits = context.WithCancel(ctx)
	o.takeover.recordRelease(o.PreviousHolder, o.startedAt)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			o.cancelPermits()
			o.refuseAllWaiters()
			return ctx.Err()
		case m := <-o.messages.Messages():
			m.handle(ctx, o, time.Now())
		case m := <-o.results:
			m.handle(ctx, o, time.Now())
		case <-timer.C:
		}
		timer.Reset(o.step(ctx, time.Now()))
	}
}

// step starts the work that is due and returns the time until the next step.
func (o *Owner) step(ctx context.Context, now time.Time) time.Duration {
	leaseHeld := o.holdsLease(now)
	o.refuseTimedOutWaiters(now)
	o.prune(now)
	o.startReport(ctx, now)
	if leaseHeld && !o.superseded {
		o.startCancels(ctx, now)
		o.collectHoldings(ctx, now)
	}
	if leaseHeld && !o.superseded && o.pendingHandOver == nil && o.engineStart != 0 {
		o.startFence(ctx)
		o.schedule(ctx, now)
		o.unloadUngrantable(ctx, now)
	}
	if !leaseHeld {
		o.refuseQueuesWithoutLease()
	}
	o.advanceHandOver(ctx, now)
	o.publishSummary()
	return o.untilNextStep(now)
}

// untilNextStep returns the time until a report is due, a waiter's MaxWait has
// passed, or a report interval has passed, whichever is first.
func (o *Owner) untilNextStep(now time.Time) time.Duration {
	next := now.Add(o.settings.ReportInterval)
	if !o.reportPending && o.nextReportAt.Before(next) {
		next = o.nextReportAt
	}
	for _, q := range o.queues {
		for _, w := range q.waiters {
			if end := w.arrived.Add(w.request.MaxWait); end.Before(next) {
				next = end
			}
		}
	}
	return max(next.Sub(now), time.Millisecond)
}

// prune forgets releases that are no longer expected, and back-offs that ended
// more than MaxBackoff ago.
func (o *Owner) prune(now time.Time) {
	for request, late := range o.lateReleases {
		if late.count == 0 || now.After(late.expectedUntil) {
			delete(o.lateReleases, request)
		}
	}
	for adapter, b := range o.loadBackoffs {
		if now.After(b.retryAt.Add(o.settings.MaxBackoff)) {
			delete(o.loadBackoffs, adapter)
		}
	}
}

// postResult passes a worker's result to the goroutine of Run.
func (o *Owner) postResult(ctx context.Context, m message) {
	select {
	case o.results <- m:
	case <-ctx.Done():
	}
}
