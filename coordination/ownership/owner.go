// Package ownership decides which adapter instances run on a model engine. For
// each engine that this host owns, one goroutine (an Owner) tracks the instances
// on the engine, grants them to entry hosts, and orders loads and evictions.
package ownership

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// EngineClient sends orders to engines. Errors of Load and Unload are
// *verdict.Error where the engine answered: NotRun means that the order was not
// and never will be carried out, Ran that it was carried out and failed. After
// any other error the order may still take effect.
type EngineClient interface {
	// Load loads an instance; loading a resident instance succeeds.
	Load(ctx context.Context, engine fleet.Engine, instance fleet.Instance, epoch fleet.Epoch) error
	// Unload removes an instance. Its error has code CodeUnknownInstance when
	// the instance is not resident.
	Unload(ctx context.Context, engine fleet.Engine, instance fleet.Instance, epoch fleet.Epoch) error
	// Cancel ends a request. When it returns nil, the request no longer runs.
	Cancel(ctx context.Context, engine fleet.Engine, request fleet.RequestID) error
	// ReadReport returns the engine's current start number, instances and load.
	ReadReport(ctx context.Context, engine fleet.Engine) (fleet.EngineReport, error)
}

// LeaseChecker reports whether this host holds a valid lease. It is safe for
// concurrent use.
type LeaseChecker interface {
	// Valid returns the epoch under which this host holds the lease. It returns
	// false when the lease is not valid now.
	Valid(name lease.Name) (fleet.Epoch, bool)
}

// A LoadBudget limits the rate at which engines load weights from the weight
// store, which all engines share.
type LoadBudget interface {
	// Acquire waits until a load of the adapter may begin.
	Acquire(ctx context.Context, engine fleet.EngineName, adapter fleet.AdapterReference, urgency configuration.Urgency) error
}

// A PriorityLoadBudget is a LoadBudget that orders the loads of all engines by
// the priority that the PlacementPolicy gives them. An Owner whose Budget
// implements it calls AcquirePriority and never Acquire.
type PriorityLoadBudget interface {
	LoadBudget
	// AcquirePriority waits until a load may begin. When the priority has grown,
	// the Owner cancels ctx and calls AcquirePriority again.
	AcquirePriority(ctx context.Context, engine fleet.EngineName, priority float64) error
}

// HoldingsCollector queries entry hosts for the grants that they hold.
type HoldingsCollector interface {
	// CollectHoldings queries all known hosts for their grants on the engine that
	// were issued in earlier epochs. Before that it checks whether the process of
	// the previous owner has ended. Together with an error it returns the grants
	// of the hosts that did answer.
	CollectHoldings(ctx context.Context, engine fleet.EngineName, epoch fleet.Epoch, previous PreviousHolder) (Holdings, error)
}

// A PreviousHolder is the process that held the lease of an engine in the
// epoch before.
type PreviousHolder struct {
	// Host is empty when there was no previous owner.
	Host  fleet.HostName
	Start fleet.StartNumber
	// Released says that the previous owner stopped granting and then released
	// its lease.
	Released bool
}

// Holdings are the grants that entry hosts hold on an engine.
type Holdings struct {
	// Grants carry their remaining durations, counted from each host's answer.
	Grants []fleet.Grant
	// Complete says that every known host answered. A host that has answered
	// rejects grants of earlier epochs that reach it afterwards.
	Complete bool
	// PreviousHolderEnded says that the previous owner's process had ended before
	// the hosts were queried.
	PreviousHolderEnded bool
}

const (
	// ringCapacity is the number of messages that can wait for one goroutine.
	ringCapacity = 4096
	// maxCancelsInFlight bounds the cancel orders in flight on one engine.
	maxCancelsInFlight = 8
	// cancelDelay is the time between the end of a grant and the cancel of its
	// request. A release that the holder sent at the end can arrive meanwhile.
	cancelDelay = time.Second
	// holdingsInterval is the time between two collections of holdings.
	holdingsInterval = 5 * time.Second
)

// LeaseName returns the name of the lease of an engine.
func LeaseName(engine fleet.EngineName) lease.Name {
	return lease.Name("engine/" + string(engine))
}

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

// An instanceState is the state of an instance on the engine, as far as its
// owner knows it.
type instanceState int

const (
	// stateLoading means that a load order is in flight.
	stateLoading instanceState = iota
	// stateResident means that the instance is loaded.
	stateResident
	// stateUnloading means that an unload order is in flight or about to be sent.
	stateUnloading
	// stateUncertain means that the instance may or may not be loaded.
	stateUncertain
)

// A residency is the owner's record of an instance that takes a slot of the engine.
type residency struct {
	instance fleet.Instance
	state    instanceState
	// grantable says that the owner may grant the instance while it is resident.
	// An instance of an earlier epoch is grantable only if no order of an earlier
	// owner can unload it any more.
	grantable bool
	// adopted says that the previous owner passed the instance on in a planned
	// hand-over.
	adopted bool
	// pinCount is the number of pins on the instance. It is never unloaded while
	// pinCount is more than 0.
	pinCount int
	lastUsed time.Time
	// nextUnloadAt is the earliest time for the next unload order after one failed.
	nextUnloadAt time.Time
}

// A pin is the owner's record of a grant. It keeps the instance from being
// unloaded until the grant is released or its request is canceled.
type pin struct {
	residency *residency
	request   fleet.RequestID
	holder    fleet.HostName
	end       time.Time
}

// An adapterQueue holds the grant requests that wait for the load of one adapter.
type adapterQueue struct {
	adapter fleet.AdapterReference
	waiters []*waiter
}

// A loadBackoff delays the next load of an adapter whose load failed.
type loadBackoff struct {
	backoff *backoff.ExponentialBackOff
	retryAt time.Time
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

// AcquireGrant returns a grant, or a *verdict.Error with verdict NotRun. It waits
// for the load of the adapter for at most the request's MaxWait.
func (o *Owner) AcquireGrant(ctx context.Context, request dispatch.GrantRequest) (fleet.Grant, error) {
	o.setup()
	w := &waiter{request: request, arrived: time.Now(), reply: make(chan grantResult, 1)}
	if !o.messages.Offer(w) {
		return fleet.Grant{}, o.newOverloadedRefusal()
	}
	select {
	case r := <-w.reply:
		return r.result()
	case <-ctx.Done():
	case <-o.ended:
	}
	if w.settled.CompareAndSwap(false, true) {
		code := verdict.CodeCanceled
		if ctx.Err() == nil {
			code = verdict.CodeStopping
		}
		refusal := verdict.NewNotRun(code, "grant request on engine %s ended before a grant was given", o.Engine.Name)
		refusal.Cause = ctx.Err()
		return fleet.Grant{}, refusal
	}
	return (<-w.reply).result()
}

// newOverloadedRefusal returns the refusal for a full queue or message ring.
func (o *Owner) newOverloadedRefusal() *verdict.Error {
	refusal := verdict.NewNotRun(verdict.CodeOverloaded, "owner of engine %s has too many grant requests", o.Engine.Name)
	refusal.RetryAfter = o.settings.ReportInterval
	return refusal
}

// Release ends one grant of each request, the oldest first. It is called at
// most once for each grant that AcquireGrant returned, and before the holder requests
// a further grant for the same request. It returns false when the message
// ring is full; the grants then last until their durations have passed.
func (o *Owner) Release(requests []fleet.RequestID) bool {
	o.setup()
	return o.messages.Offer(releaseMessage{requests: requests})
}

// AcceptHandOver adopts the instances and grants of a planned hand-over. An error
// means that the hand-over is for another engine or epoch, or that the message
// ring is full.
func (o *Owner) AcceptHandOver(handOver fleet.HandOver) error {
	o.setup()
	if handOver.Engine != o.Engine.Name || handOver.Epoch != o.Epoch {
		return fmt.Errorf("hand-over of engine %s with epoch %d: this owner has engine %s with epoch %d",
			handOver.Engine, handOver.Epoch, o.Engine.Name, o.Epoch)
	}
	if !o.messages.Offer(adoptMessage{handOver: handOver, received: time.Now()}) {
		return fmt.Errorf("hand-over of engine %s: the owner's message ring is full", handOver.Engine)
	}
	return nil
}

// Summary returns the state of the engine that is published to other hosts.
func (o *Owner) Summary() fleet.EngineSummary {
	o.setup()
	return *o.summary.Load()
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

// holdsLease reports whether the lease is valid under this owner's epoch, and
// records that it was or that a later epoch has begun.
func (o *Owner) holdsLease(now time.Time) bool {
	epoch, ok := o.Leases.Valid(LeaseName(o.Engine.Name))
	if ok && epoch > o.Epoch {
		o.superseded = true
	}
	if !ok || epoch != o.Epoch {
		return false
	}
	// now was read before Valid was called, so leaseValidAt is not later than the
	// lease's end, even if the process was paused in between.
	o.leaseValidAt = now
	return true
}

// mayGrant reports whether resident instances may be granted: with a valid
// lease, or for IsolatedServiceLimit after it was last valid.
func (o *Owner) mayGrant(now time.Time) bool {
	if o.superseded || o.pendingHandOver != nil && o.pendingHandOver.grantingStopped {
		return false
	}
	return o.holdsLease(now) || !o.leaseValidAt.IsZero() && now.Before(o.leaseValidAt.Add(o.settings.IsolatedServiceLimit))
}

// postResult passes a worker's result to the goroutine of Run.
func (o *Owner) postResult(ctx context.Context, m message) {
	select {
	case o.results <- m:
	case <-ctx.Done():
	}
}

// refuseAllWaiters refuses all queued grant requests when Run ends.
func (o *Owner) refuseAllWaiters() {
	refusal := verdict.NewNotRun(verdict.CodeStopping, "owner of engine %s is stopping", o.Engine.Name)
	if o.nextOwner != "" {
		refusal = newNotOwnerRefusal(o.Engine.Name, o.nextOwner)
	}
	for _, q := range o.queues {
		for _, w := range q.waiters {
			w.refuse(refusal)
		}
	}
}

// publishSummary replaces the summary if something changed. Its Version grows
// only with changes of the instances or of the engine's start number.
func (o *Owner) publishSummary() {
	last := o.summary.Load()
	var instances []fleet.Instance
	for _, e := range o.residencies {
		if e.state == stateResident && e.grantable {
			instances = append(instances, e.instance)
		}
	}
	slices.SortFunc(instances, func(a, b fleet.Instance) int { return strings.Compare(a.String(), b.String()) })
	s := fleet.EngineSummary{
		Engine: o.Engine.Name, Owner: o.Host, Epoch: o.Epoch, Version: last.Version, Start: o.engineStart,
		Instances: instances, Running: o.report.Running, Waiting: o.report.Waiting,
	}
	same := slices.Equal(instances, last.Instances) && s.Start == last.Start
	if same && s.Running == last.Running && s.Waiting == last.Waiting {
		return
	}
	if !same {
		s.Version++
	}
	o.summary.Store(&s)
}
