// Package ownership decides what runs on a model engine: one duty for each
// owned engine keeps its instances and grants and orders loads and evictions.
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

// EngineClient carries orders to engines. Errors of Load and Unload are
// *verdict.Error where the engine answered: NotRun means that the order was not
// and never will be carried out, Ran that it was carried out and failed. After
// any other error the order may still take effect.
type EngineClient interface {
	// Load loads an instance; loading a resident instance succeeds.
	Load(ctx context.Context, engine fleet.Engine, instance fleet.Instance, epoch fleet.Epoch) error
	// Unload removes an instance. Its error has code CodeUnknownInstance when
	// the instance is not resident.
	Unload(ctx context.Context, engine fleet.Engine, instance fleet.Instance, epoch fleet.Epoch) error
	// Cancel ends a request. When it returns nil, the request does not run.
	Cancel(ctx context.Context, engine fleet.Engine, request fleet.RequestID) error
	// ReadReport returns what the engine says of itself at the time of the call.
	ReadReport(ctx context.Context, engine fleet.Engine) (fleet.EngineReport, error)
}

// LeaseChecker tells whether a lease may be used now. It is safe for concurrent use.
type LeaseChecker interface {
	Valid(name lease.Name) (fleet.Epoch, bool)
}

// A LoadBudget shares the weight store's load rate.
type LoadBudget interface {
	// Acquire waits until a load may begin.
	Acquire(ctx context.Context, engine fleet.EngineName, adapter fleet.AdapterReference, urgency configuration.Urgency) error
}

// A PriorityLoadBudget is a Budget that orders the loads of all engines by the
// priority that the Placement gives them. An Owner uses AcquirePriority in place
// of Acquire where its Budget has it.
type PriorityLoadBudget interface {
	LoadBudget
	// AcquirePriority waits until a load may begin. The Owner ends ctx and asks
	// again when the priority has grown.
	AcquirePriority(ctx context.Context, engine fleet.EngineName, priority float64) error
}

// HoldingsCollector asks entry hosts for the grants that they hold.
type HoldingsCollector interface {
	// CollectHoldings asks all known hosts for their grants on the engine from owners
	// before the epoch. It first finds out whether the former owner has ended.
	// With an error, the grants that were learned are returned too.
	CollectHoldings(ctx context.Context, engine fleet.EngineName, epoch fleet.Epoch, previous PreviousHolder) (Holdings, error)
}

// A PreviousHolder is the process that owned an engine before.
type PreviousHolder struct {
	// Host is empty when there was no earlier owner.
	Host  fleet.HostName
	Start fleet.StartNumber
	// Released says that the former owner stopped granting and then gave its
	// lease up.
	Released bool
}

// Holdings are the grants that entry hosts hold on an engine.
type Holdings struct {
	// Grants have their remaining durations, counted from the answer.
	Grants []fleet.Grant
	// Complete says that every known host answered. A host that answered uses
	// no grant of an earlier epoch that reaches it later.
	Complete bool
	// PreviousHolderEnded says that the former owner's process had ended before the
	// hosts were asked.
	PreviousHolderEnded bool
}

// Settings are the limits of an Owner. Zero fields mean the defaults.
type Settings struct {
	// IsolatedServiceLimit is how long an owner grants resident instances after
	// its lease was valid last. All hosts use the same value.
	IsolatedServiceLimit time.Duration
	// GrantLimit is the longest duration of a grant. All hosts use the same value.
	GrantLimit time.Duration
	// OrderTimeout bounds one order.
	OrderTimeout time.Duration
	// ReportInterval is the time between two reports of the engine.
	ReportInterval time.Duration
	// LoadConcurrencyLimit is the number of loads and unloads in flight on the engine, and
	// of permits that it waits for.
	LoadConcurrencyLimit int
	// QueueLimit is the number of demands that wait for their adapters.
	QueueLimit int
	// MaxBackoff is the longest pause after failed loads of one adapter.
	MaxBackoff time.Duration
}

// The defaults of Settings.
const (
	DefaultIsolatedServiceLimit = 15 * time.Minute
	DefaultGrantLimit           = 2 * time.Minute
	DefaultOrderTimeout         = 10 * time.Second
	DefaultReportInterval       = time.Second
	DefaultLoadConcurrencyLimit = 2
	DefaultQueueLimit           = 1024
	DefaultMaxBackoff           = time.Minute
)

const (
	// ringCapacity bounds the messages that wait for the duty.
	ringCapacity = 4096
	// cancelLimit bounds the cancels in flight on one engine.
	cancelLimit = 8
	// cancelDelay lets a release arrive that the holder sent at the grant's end.
	cancelDelay = time.Second
	// holdingsInterval is the pause between two questions to the holders.
	holdingsInterval = 5 * time.Second
)

func (s Settings) complete() Settings {
	return Settings{
		IsolatedServiceLimit: orDefault(s.IsolatedServiceLimit, DefaultIsolatedServiceLimit),
		GrantLimit:           orDefault(s.GrantLimit, DefaultGrantLimit),
		OrderTimeout:         orDefault(s.OrderTimeout, DefaultOrderTimeout),
		ReportInterval:       orDefault(s.ReportInterval, DefaultReportInterval),
		LoadConcurrencyLimit: orDefault(s.LoadConcurrencyLimit, DefaultLoadConcurrencyLimit),
		QueueLimit:           orDefault(s.QueueLimit, DefaultQueueLimit),
		MaxBackoff:           orDefault(s.MaxBackoff, DefaultMaxBackoff),
	}
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// LeaseName returns the name of the lease of an engine.
func LeaseName(engine fleet.EngineName) lease.Name {
	return lease.Name("engine/" + string(engine))
}

// A NotOwnerError says that this host does not own the engine. It is the cause
// of a refusal with code CodeNotOwner.
type NotOwnerError struct {
	Engine fleet.EngineName
	// Owner is the owner as far as known, or empty.
	Owner fleet.HostName
}

// Error names the engine and its owner.
func (e *NotOwnerError) Error() string {
	if e.Owner == "" {
		return fmt.Sprintf("engine %s is not owned by this host", e.Engine)
	}
	return fmt.Sprintf("engine %s is owned by %s", e.Engine, e.Owner)
}

func refuseNotOwner(engine fleet.EngineName, owner fleet.HostName) *verdict.Error {
	refusal := verdict.NewNotRun(verdict.CodeNotOwner, "no grant on engine %s", engine)
	refusal.Cause = &NotOwnerError{Engine: engine, Owner: owner}
	return refusal
}

// An Owner is the duty that owns one engine under one epoch. Its fields are set
// before Run and not changed afterwards.
type Owner struct {
	// Engine is the engine.
	Engine fleet.Engine
	// Host is this host.
	Host fleet.HostName
	// Epoch is the epoch of the lease LeaseName(Engine.Name).
	Epoch fleet.Epoch
	// PreviousHolder is the owner with the epoch before Epoch.
	PreviousHolder PreviousHolder

	Engines   EngineClient
	Leases    LeaseChecker
	Budget    LoadBudget
	Placement PlacementPolicy
	Holders   HoldingsCollector
	Settings  Settings
	Logger    zerolog.Logger

	lifecycle duty.Lifecycle
	prepare   sync.Once
	messages  *ring.Ring[message]
	// results receives what workers bring back. A worker waits until the duty
	// takes its result, so that none is lost.
	results chan message
	ended   chan struct{}
	end     sync.Once
	summary atomic.Pointer[fleet.EngineSummary]
	// handingOver is used by the Manager, which waits for one hand-over at a time.
	handingOver atomic.Bool
	// lost belongs to the Manager: the lease is lost for good.
	lost bool

	// The fields below belong to the goroutine of Run.

	settings Settings
	// began is when this owner began; no earlier owner had a valid lease then.
	began time.Time
	// heldAt is a time at which the lease was valid; zero when it never was.
	heldAt time.Time
	// start is the engine's start number; 0 until it is known.
	start   fleet.StartNumber
	report  fleet.EngineReport
	entries map[fleet.Instance]*entry
	// foreign is the number of instances on the engine with names that are not ours.
	foreign int
	// unanswered holds the instances with an unload order that was not answered.
	// Such an order may arrive late, so the names are not loaded again.
	unanswered map[fleet.Instance]*unanswered
	pins       map[fleet.RequestID][]*pin
	canceling  map[fleet.RequestID]bool
	cancelAt   map[fleet.RequestID]time.Time
	overdue    map[fleet.RequestID]*overdue
	queues     map[fleet.AdapterReference]*queue
	waiting    int
	failures   map[fleet.AdapterReference]*failure

	// orders counts the orders sent, and inFlight those without an answer.
	orders   uint64
	inFlight int
	loads    int
	// wants are the permits asked for, and permits is the number of those that
	// are held until permitEnd.
	wants     []*want
	permits   int
	permitEnd time.Time
	// reviseAt is when the wants are compared again with what waits.
	reviseAt  time.Time
	fencing   bool
	fenced    bool
	reporting bool
	reportAt  time.Time
	// acquire is the context of waits for the budget; a hand-over ends them.
	acquire       context.Context
	cancelAcquire context.CancelFunc

	takeover takeover
	handing  *handing
	// superseded says that a later owner exists; moved names it when known.
	superseded bool
	moved      fleet.HostName
}

// A message is handled on the goroutine of Run.
type message interface {
	handle(ctx context.Context, o *Owner, now time.Time)
}

// A state is the state of an instance on the engine.
type state int

const (
	// stateLoading has a load order in flight.
	stateLoading state = iota
	// stateResident is loaded.
	stateResident
	// stateUnloading has an unload order in flight, or to be sent.
	stateUnloading
	// stateUncertain is not known to be loaded or unloaded.
	stateUncertain
)

// An entry is an instance that takes a slot of the engine.
type entry struct {
	instance fleet.Instance
	state    state
	// usable says that the instance may be granted while it is resident.
	usable bool
	// adopted says that a planned hand-over named the instance.
	adopted bool
	// pins is the number of pins on the instance. It is never unloaded while
	// pins is more than 0.
	pins int
	used time.Time
	// unloadAt is when a failed unload may be tried again.
	unloadAt time.Time
}

// A pin is a grant as the owner keeps it.
type pin struct {
	entry   *entry
	request fleet.RequestID
	holder  fleet.HostName
	end     time.Time
}

// A queue is the demands that wait for one adapter.
type queue struct {
	adapter fleet.AdapterReference
	asks    []*ask
}

// A failure is the back-off of an adapter whose load failed.
type failure struct {
	backoff *backoff.ExponentialBackOff
	until   time.Time
}

func (o *Owner) setup() {
	o.prepare.Do(func() {
		o.settings = o.Settings.complete()
		o.messages = ring.New[message](ringCapacity)
		o.results = make(chan message)
		o.ended = make(chan struct{})
		o.entries = make(map[fleet.Instance]*entry)
		o.unanswered = make(map[fleet.Instance]*unanswered)
		o.pins = make(map[fleet.RequestID][]*pin)
		o.canceling = make(map[fleet.RequestID]bool)
		o.cancelAt = make(map[fleet.RequestID]time.Time)
		o.overdue = make(map[fleet.RequestID]*overdue)
		o.queues = make(map[fleet.AdapterReference]*queue)
		o.failures = make(map[fleet.AdapterReference]*failure)
		o.summary.Store(&fleet.EngineSummary{Engine: o.Engine.Name, Owner: o.Host, Epoch: o.Epoch})
	})
}

// Run owns the engine until ctx ends or Close is called.
func (o *Owner) Run(ctx context.Context) error {
	o.setup()
	defer o.end.Do(func() { close(o.ended) })
	return o.lifecycle.Run(ctx, o.loop)
}

// Close ends the duty and waits until it has ended. Nothing is granted
// afterwards. Grants in force go on; the next owner learns of them from their
// holders.
func (o *Owner) Close() error {
	return o.lifecycle.Close()
}

// AcquireGrant returns a grant, or a *verdict.Error with verdict NotRun. It waits for
// the adapter's load at most for the request's MaxWait.
func (o *Owner) AcquireGrant(ctx context.Context, demand dispatch.GrantRequest) (fleet.Grant, error) {
	o.setup()
	a := &ask{demand: demand, arrived: time.Now(), reply: make(chan answer, 1)}
	if !o.messages.Offer(a) {
		return fleet.Grant{}, o.refuseFull()
	}
	select {
	case r := <-a.reply:
		return r.result()
	case <-ctx.Done():
	case <-o.ended:
	}
	if a.settled.CompareAndSwap(false, true) {
		code := verdict.CodeCanceled
		if ctx.Err() == nil {
			code = verdict.CodeStopping
		}
		refusal := verdict.NewNotRun(code, "demand on engine %s ended", o.Engine.Name)
		refusal.Cause = ctx.Err()
		return fleet.Grant{}, refusal
	}
	return (<-a.reply).result()
}

func (o *Owner) refuseFull() *verdict.Error {
	refusal := verdict.NewNotRun(verdict.CodeOverloaded, "owner of engine %s has too many demands", o.Engine.Name)
	refusal.RetryAfter = o.settings.ReportInterval
	return refusal
}

// Release ends one grant of each request, the oldest first. It is called at
// most once for each grant that AcquireGrant returned, and before the holder demands
// for the same request again. It reports whether the ring had room. A grant
// whose release is lost ends by its time.
func (o *Owner) Release(requests []fleet.RequestID) bool {
	o.setup()
	return o.messages.Offer(releases{requests: requests})
}

// AcceptHandOver takes over the instances and grants of a planned hand-over to this
// owner's epoch.
func (o *Owner) AcceptHandOver(handOver fleet.HandOver) error {
	o.setup()
	if handOver.Engine != o.Engine.Name || handOver.Epoch != o.Epoch {
		return fmt.Errorf("hand-over of engine %s with epoch %d: this owner has engine %s with epoch %d",
			handOver.Engine, handOver.Epoch, o.Engine.Name, o.Epoch)
	}
	if !o.messages.Offer(adoption{handOver: handOver, received: time.Now()}) {
		return fmt.Errorf("hand-over of engine %s: the owner's ring is full", handOver.Engine)
	}
	return nil
}

// Summary returns what other hosts are told of the engine.
func (o *Owner) Summary() fleet.EngineSummary {
	o.setup()
	return *o.summary.Load()
}

func (o *Owner) loop(ctx context.Context) error {
	o.began = time.Now()
	o.acquire, o.cancelAcquire = context.WithCancel(ctx)
	o.takeover.released(o.PreviousHolder, o.began)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			o.cancelAcquire()
			o.finish()
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

// step does what is due and returns the time until something is due again.
func (o *Owner) step(ctx context.Context, now time.Time) time.Duration {
	held := o.holds(now)
	o.refuseImpatient(now)
	o.prune(now)
	o.startReport(ctx, now)
	if held && !o.superseded {
		o.startCancels(ctx, now)
		o.askHolders(ctx, now)
	}
	if held && !o.superseded && o.handing == nil && o.start != 0 {
		o.fence(ctx)
		o.schedule(ctx, now)
		o.clean(ctx, now)
	}
	if !held {
		o.refuseLoads()
	}
	o.proceedHandover(ctx, now)
	o.summarize()
	return o.next(now)
}

func (o *Owner) next(now time.Time) time.Duration {
	next := now.Add(o.settings.ReportInterval)
	if !o.reporting && o.reportAt.Before(next) {
		next = o.reportAt
	}
	for _, q := range o.queues {
		for _, a := range q.asks {
			if end := a.arrived.Add(a.demand.MaxWait); end.Before(next) {
				next = end
			}
		}
	}
	return max(next.Sub(now), time.Millisecond)
}

// holds says whether the lease is valid under this owner's epoch.
func (o *Owner) holds(now time.Time) bool {
	epoch, ok := o.Leases.Valid(LeaseName(o.Engine.Name))
	if ok && epoch > o.Epoch {
		o.superseded = true
	}
	if !ok || epoch != o.Epoch {
		return false
	}
	// now was read before Valid, so heldAt is not later than the lease's end.
	// A process that was paused past the end counts from before the pause.
	o.heldAt = now
	return true
}

// mayGrant says whether resident instances may be granted.
func (o *Owner) mayGrant(now time.Time) bool {
	if o.superseded || o.handing != nil && o.handing.frozen {
		return false
	}
	return o.holds(now) || !o.heldAt.IsZero() && now.Before(o.heldAt.Add(o.settings.IsolatedServiceLimit))
}

// post brings a worker's result to the duty.
func (o *Owner) post(ctx context.Context, m message) {
	select {
	case o.results <- m:
	case <-ctx.Done():
	}
}

// finish refuses all demands.
func (o *Owner) finish() {
	refusal := verdict.NewNotRun(verdict.CodeStopping, "owner of engine %s stops", o.Engine.Name)
	if o.moved != "" {
		refusal = refuseNotOwner(o.Engine.Name, o.moved)
	}
	for _, q := range o.queues {
		for _, a := range q.asks {
			a.refuse(refusal)
		}
	}
}

// summarize publishes a summary if something changed.
func (o *Owner) summarize() {
	last := o.summary.Load()
	var instances []fleet.Instance
	for _, e := range o.entries {
		if e.state == stateResident && e.usable {
			instances = append(instances, e.instance)
		}
	}
	slices.SortFunc(instances, func(a, b fleet.Instance) int { return strings.Compare(a.String(), b.String()) })
	s := fleet.EngineSummary{
		Engine: o.Engine.Name, Owner: o.Host, Epoch: o.Epoch, Version: last.Version, Start: o.start,
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
