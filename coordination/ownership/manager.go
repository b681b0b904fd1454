package ownership

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// Leases are the leases of this host, such as a *lease.Manager.
type Leases interface {
	LeaseChecker
	Acquire(name lease.Name, rank int) bool
	Release(name lease.Name) bool
	Transfer(ctx context.Context, name lease.Name, to fleet.HostName, start fleet.StartNumber) (fleet.Epoch, error)
	AcceptTransfer(ctx context.Context, name lease.Name, epoch fleet.Epoch) error
}

// A FailureDomain tells what stands in the failure domain of this host.
type FailureDomain interface {
	// Engines returns the engines of the failure domain.
	Engines() []fleet.Engine
	// Hosts returns the live entry hosts of the failure domain. Leaving and
	// silent hosts are left out.
	Hosts() []fleet.Host
}

// HandOverSender carries hand-overs to other hosts.
type HandOverSender interface {
	// HandOver returns nil when the host has adopted the engine.
	HandOver(ctx context.Context, to fleet.Host, handOver fleet.HandOver) error
}

const (
	// DefaultCandidateLimit keeps one host besides the owner watching each
	// lease. Each watching host reads the record once per renewal interval.
	DefaultCandidateLimit = 2
	// DefaultReviewInterval is the time between two looks at the candidates.
	DefaultReviewInterval = time.Second
	// handOverTries bounds the calls to the next owner; if all fail, it gains
	// the lease from the table and takes the engine over without the lists.
	handOverTries = 3
)

// A Manager is the duty that starts and closes the Owners of one host. Its fields
// are set before Run and not changed afterwards.
type Manager struct {
	// Host is this host.
	Host fleet.Host
	// Leases are the leases of this host. They are closed after the Manager.
	Leases Leases
	// Events is the ring that Leases reports to. The Manager is its only reader.
	Events *ring.Ring[lease.Event]
	// FailureDomain and HandOvers reach the other hosts.
	FailureDomain FailureDomain
	HandOvers     HandOverSender
	// CandidateLimit is the number of hosts that want the lease of an engine.
	CandidateLimit int
	// ReviewInterval is the time between two looks at the candidates.
	ReviewInterval time.Duration

	// The fields below are passed to each Owner.

	Engines   EngineClient
	Budget    LoadBudget
	Placement PlacementPolicy
	Holders   HoldingsCollector
	Settings  Settings
	Logger    zerolog.Logger

	lifecycle duty.Lifecycle
	prepare   sync.Once
	messages  *ring.Ring[groupMessage]
	results   chan groupMessage
	ended     chan struct{}
	end       sync.Once
	// directory is replaced with each change and never modified.
	directory atomic.Pointer[directory]

	// The fields below belong to the goroutine of Run.

	wanted map[fleet.EngineName]int
	owners map[fleet.EngineName]*Owner
	moved  map[fleet.EngineName]fleet.HostName
	// leaving names the engines whose Owners close before their leases are
	// released.
	leaving  map[fleet.EngineName]bool
	stopping bool
	// handing is the number of hand-overs in flight; stops wait for them.
	handing  int
	failures []error
	stops    []chan error
}

// A directory is what other goroutines see of the Manager.
type directory struct {
	owners map[fleet.EngineName]*Owner
	moved  map[fleet.EngineName]fleet.HostName
}

// A groupMessage is handled on the goroutine of Run.
type groupMessage interface {
	handle(ctx context.Context, g *Manager)
}

func (g *Manager) setup() {
	g.prepare.Do(func() {
		g.messages = ring.New[groupMessage](ringCapacity)
		g.results = make(chan groupMessage)
		g.ended = make(chan struct{})
		g.wanted = make(map[fleet.EngineName]int)
		g.owners = make(map[fleet.EngineName]*Owner)
		g.leaving = make(map[fleet.EngineName]bool)
		g.moved = make(map[fleet.EngineName]fleet.HostName)
		g.CandidateLimit = orDefault(g.CandidateLimit, DefaultCandidateLimit)
		g.ReviewInterval = orDefault(g.ReviewInterval, DefaultReviewInterval)
		g.directory.Store(&directory{})
	})
}

// Run owns engines until ctx ends or Close is called.
func (g *Manager) Run(ctx context.Context) error {
	g.setup()
	defer g.end.Do(func() { close(g.ended) })
	return g.lifecycle.Run(ctx, g.loop)
}

// Close closes all Owners and waits until they have ended.
func (g *Manager) Close() error {
	return g.lifecycle.Close()
}

// Owner returns the Owner of an engine, if this host has one.
func (g *Manager) Owner(engine fleet.EngineName) (*Owner, bool) {
	g.setup()
	o, ok := g.directory.Load().owners[engine]
	return o, ok
}

// AcquireGrant asks the Owner of the engine for a grant. Its error is a
// *verdict.Error with verdict NotRun.
func (g *Manager) AcquireGrant(ctx context.Context, demand dispatch.GrantRequest) (fleet.Grant, error) {
	o, ok := g.Owner(demand.Engine)
	if !ok {
		return fleet.Grant{}, refuseNotOwner(demand.Engine, g.directory.Load().moved[demand.Engine])
	}
	return o.AcquireGrant(ctx, demand)
}

// Release ends grants on an engine and reports whether its Owner took the
// message.
func (g *Manager) Release(engine fleet.EngineName, requests []fleet.RequestID) bool {
	o, ok := g.Owner(engine)
	return ok && o.Release(requests)
}

// Summaries returns the summaries of all owned engines.
func (g *Manager) Summaries() []fleet.EngineSummary {
	g.setup()
	var summaries []fleet.EngineSummary
	for _, o := range g.directory.Load().owners {
		summaries = append(summaries, o.Summary())
	}
	return summaries
}

// AcceptHandOver holds the lease of a planned hand-over and takes its lists over. When
// it returns nil, this host owns the engine.
func (g *Manager) AcceptHandOver(ctx context.Context, handOver fleet.HandOver) error {
	g.setup()
	engine, ok := g.engine(handOver.Engine)
	if !ok {
		return fmt.Errorf("hand-over of engine %s: the engine is not known here", handOver.Engine)
	}
	if _, err := g.call(func(reply chan error) groupMessage { return expect{engine: engine.Name, reply: reply} }); err != nil {
		return fmt.Errorf("hand-over of engine %s: %w", engine.Name, err)
	}
	if err := g.Leases.AcceptTransfer(ctx, LeaseName(engine.Name), handOver.Epoch); err != nil {
		return fmt.Errorf("hand-over of engine %s: %w", engine.Name, err)
	}
	_, err := g.call(func(reply chan error) groupMessage {
		return groupAdoption{engine: engine, handOver: handOver, reply: reply}
	})
	return err
}

// HandOverAll passes all engines to their next candidates and wants no more. It
// returns when all hand-overs have ended; an engine whose hand-over failed stays
// owned, and its error is returned. It may be called again.
func (g *Manager) HandOverAll(ctx context.Context) error {
	g.setup()
	called, err := g.call(func(reply chan error) groupMessage {
		return stop{ctx: ctx, reply: reply}
	})
	if !called {
		return fmt.Errorf("hand over all engines: %w", err)
	}
	return err
}

// call sends a message and waits for its reply.
func (g *Manager) call(message func(reply chan error) groupMessage) (bool, error) {
	reply := make(chan error, 1)
	if !g.messages.Offer(message(reply)) {
		return false, errors.New("the ring of the owners' group is full")
	}
	select {
	case err := <-reply:
		return true, err
	case <-g.ended:
		return false, duty.ErrClosed
	}
}

func (g *Manager) engine(name fleet.EngineName) (fleet.Engine, bool) {
	engines := g.FailureDomain.Engines()
	i := slices.IndexFunc(engines, func(e fleet.Engine) bool { return e.Name == name })
	if i < 0 {
		return fleet.Engine{}, false
	}
	return engines[i], true
}

func (g *Manager) loop(ctx context.Context) error {
	ticker := time.NewTicker(g.ReviewInterval)
	defer ticker.Stop()
	g.review(ctx)
	for {
		select {
		case <-ctx.Done():
			g.finish()
			return ctx.Err()
		case e := <-g.Events.Messages():
			g.change(ctx, e)
		case m := <-g.messages.Messages():
			m.handle(ctx, g)
		case m := <-g.results:
			m.handle(ctx, g)
		case <-ticker.C:
			g.review(ctx)
		}
	}
}

func (g *Manager) finish() {
	for _, o := range g.owners {
		_ = o.Close()
	}
	clear(g.owners)
	g.publish()
}

func (g *Manager) publish() {
	g.directory.Store(&directory{owners: maps.Clone(g.owners), moved: maps.Clone(g.moved)})
}

// review wants the leases of the engines for which this host is a candidate.
// An engine that is owned stays, whatever the order of the candidates is now.
func (g *Manager) review(ctx context.Context) {
	if g.stopping {
		return
	}
	engines := g.FailureDomain.Engines()
	hosts := g.FailureDomain.Hosts()
	known := make(map[fleet.EngineName]bool)
	for _, engine := range engines {
		known[engine.Name] = true
		if g.leaving[engine.Name] {
			continue
		}
		if o, ok := g.owners[engine.Name]; ok {
			if o.Engine != engine {
				g.leave(ctx, engine.Name)
			}
			continue
		}
		rank := slices.IndexFunc(CandidateHosts(engine.Name, hosts), func(h fleet.Host) bool { return h.Name == g.Host.Name })
		last, wanted := g.wanted[engine.Name]
		switch {
		case rank >= 0 && rank < g.CandidateLimit:
			if (!wanted || last != rank) && g.Leases.Acquire(LeaseName(engine.Name), rank) {
				g.wanted[engine.Name] = rank
			}
		case wanted && g.Leases.Release(LeaseName(engine.Name)):
			delete(g.wanted, engine.Name)
		}
	}
	for name := range g.owners {
		if !known[name] {
			g.leave(ctx, name)
		}
	}
	for name := range g.wanted {
		if !known[name] && g.owners[name] == nil && g.Leases.Release(LeaseName(name)) {
			delete(g.wanted, name)
		}
	}
}

// leave closes an Owner and then releases its lease.
func (g *Manager) leave(ctx context.Context, name fleet.EngineName) {
	g.leaving[name] = true
	delete(g.wanted, name)
	g.drop(name, func() {
		select {
		case g.results <- left{engine: name}:
		case <-ctx.Done():
		}
	})
}

// left says that the Owner of an engine has closed.
type left struct {
	engine fleet.EngineName
}

func (l left) handle(_ context.Context, g *Manager) {
	delete(g.leaving, l.engine)
	g.Leases.Release(LeaseName(l.engine))
}

// drop closes an Owner on a worker goroutine and then calls after.
func (g *Manager) drop(name fleet.EngineName, after func()) {
	o := g.owners[name]
	delete(g.owners, name)
	g.publish()
	g.lifecycle.Go(func() {
		_ = o.Close()
		after()
	})
}

// change follows a lease.
func (g *Manager) change(ctx context.Context, e lease.Event) {
	name, ok := g.named(e.Name)
	if !ok {
		return
	}
	o := g.owners[name]
	switch e.Type {
	case lease.Gained:
		if o != nil && o.Epoch == e.Epoch {
			return
		}
		if o != nil {
			g.drop(name, func() {})
		}
		engine, ok := g.engine(name)
		if _, wanted := g.wanted[name]; !ok || !wanted || g.stopping {
			// The lease came after it was no longer wanted. No Owner starts, because
			// a released lease tells others that nothing is granted under it.
			g.Leases.Release(e.Name)
			delete(g.wanted, name)
			return
		}
		g.start(ctx, engine, e.Epoch, PreviousHolder{Host: e.PreviousHolder, Start: e.PreviousStart, Released: e.Released})
	case lease.Expired:
		// The Owner goes on with resident instances.
	case lease.Lost:
		delete(g.wanted, name)
		if e.Holder != "" && e.Holder != g.Host.Name {
			g.moved[name] = e.Holder
			g.publish()
		}
		if o == nil || o.Epoch != e.Epoch {
			return
		}
		o.lost = true
		if !o.handingOver.Load() {
			g.drop(name, func() {})
		}
	}
}

// named returns the engine of a lease.
func (g *Manager) named(name lease.Name) (fleet.EngineName, bool) {
	for _, engine := range g.FailureDomain.Engines() {
		if LeaseName(engine.Name) == name {
			return engine.Name, true
		}
	}
	for engine := range g.owners {
		if LeaseName(engine) == name {
			return engine, true
		}
	}
	return "", false
}

// start runs a new Owner.
func (g *Manager) start(ctx context.Context, engine fleet.Engine, epoch fleet.Epoch, previous PreviousHolder) *Owner {
	o := &Owner{
		Engine: engine, Host: g.Host.Name, Epoch: epoch, PreviousHolder: previous,
		Engines: g.Engines, Leases: g.Leases, Budget: g.Budget, Placement: g.Placement, Holders: g.Holders,
		Settings: g.Settings, Logger: g.Logger,
	}
	o.setup()
	g.owners[engine.Name] = o
	delete(g.moved, engine.Name)
	g.publish()
	g.lifecycle.Go(func() {
		if err := o.Run(ctx); err != nil && !errors.Is(err, duty.ErrClosed) {
			g.Logger.Error().Err(err).Str("engine", string(engine.Name)).Msg("owner ended")
		}
	})
	return o
}

// expect announces the lease of a hand-over, which may be gained before the
// lists are adopted.
type expect struct {
	engine fleet.EngineName
	reply  chan error
}

func (e expect) handle(_ context.Context, g *Manager) {
	if g.stopping {
		e.reply <- errors.New("this host stops")
		return
	}
	g.wanted[e.engine] = 0
	e.reply <- nil
}

// groupAdoption is the message of AcceptHandOver.
type groupAdoption struct {
	engine   fleet.Engine
	handOver fleet.HandOver
	reply    chan error
}

func (a groupAdoption) handle(ctx context.Context, g *Manager) {
	o := g.owners[a.engine.Name]
	if o == nil || o.Epoch < a.handOver.Epoch {
		if o != nil {
			g.drop(a.engine.Name, func() {})
		}
		o = g.start(ctx, a.engine, a.handOver.Epoch, PreviousHolder{Host: a.handOver.From})
	}
	a.reply <- o.AcceptHandOver(a.handOver)
}

// stop is the message of HandOverAll.
type stop struct {
	ctx   context.Context
	reply chan error
}

func (s stop) handle(ctx context.Context, g *Manager) {
	g.stopping = true
	for name := range g.wanted {
		if g.owners[name] == nil && g.Leases.Release(LeaseName(name)) {
			delete(g.wanted, name)
		}
	}
	g.stops = append(g.stops, s.reply)
	hosts := slices.DeleteFunc(slices.Clone(g.FailureDomain.Hosts()), func(h fleet.Host) bool { return h.Name == g.Host.Name })
	for name, o := range g.owners {
		if !o.handingOver.CompareAndSwap(false, true) {
			continue
		}
		g.handing++
		candidates := CandidateHosts(name, hosts)
		g.lifecycle.Go(func() {
			r := g.handOver(s.ctx, o, candidates)
			select {
			case g.results <- r:
			case <-ctx.Done():
			}
		})
	}
	g.answerStops()
}

// handOver runs on a worker goroutine.
func (g *Manager) handOver(ctx context.Context, o *Owner, candidates []fleet.Host) handedOver {
	r := handedOver{owner: o}
	name := LeaseName(o.Engine.Name)
	if len(candidates) == 0 {
		_ = o.Close()
		g.Leases.Release(name)
		return r
	}
	to := candidates[0]
	handOver, err := o.HandOver(ctx, to.Name, func(ctx context.Context) (fleet.Epoch, error) {
		return g.Leases.Transfer(ctx, name, to.Name, to.Start)
	})
	if err != nil {
		r.err = err
		return r
	}
	r.to = to.Name
	// The lease has moved, so the lists are sent even if the caller stops waiting.
	_, err = backoff.Retry(context.WithoutCancel(ctx), func() (struct{}, error) {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.settings.OrderTimeout)
		defer cancel()
		return struct{}{}, g.HandOvers.HandOver(bounded, to, handOver)
	}, backoff.WithMaxTries(handOverTries))
	if err != nil {
		g.Logger.Warn().Err(err).Str("engine", string(o.Engine.Name)).Str("next owner", string(to.Name)).
			Msg("the next owner did not confirm the hand-over; it takes the engine over from the lease")
	}
	_ = o.Close()
	return r
}

// handedOver is the result of a hand-over.
type handedOver struct {
	owner *Owner
	to    fleet.HostName
	err   error
}

func (r handedOver) handle(_ context.Context, g *Manager) {
	g.handing--
	r.owner.handingOver.Store(false)
	name := r.owner.Engine.Name
	if r.err != nil {
		g.failures = append(g.failures, r.err)
		if r.owner.lost && g.owners[name] == r.owner {
			g.drop(name, func() {})
		}
	} else {
		if r.to != "" {
			g.moved[name] = r.to
		}
		if g.owners[name] == r.owner {
			delete(g.owners, name)
		}
		delete(g.wanted, name)
		g.publish()
	}
	g.answerStops()
}

// answerStops ends the calls of HandOverAll when no hand-over is in flight.
func (g *Manager) answerStops() {
	if g.handing > 0 {
		return
	}
	for _, reply := range g.stops {
		reply <- errors.Join(g.failures...)
	}
	g.stops, g.failures = nil, nil
}

// NotOwnerRefusal says whether err is a refusal because this host does not own the
// engine, and returns the owner as far as known.
func NotOwnerRefusal(err error) (fleet.HostName, bool) {
	var known *verdict.Error
	var cause *NotOwnerError
	if !errors.As(err, &known) || known.Code != verdict.CodeNotOwner {
		return "", false
	}
	if errors.As(err, &cause) {
		return cause.Owner, true
	}
	return "", true
}
