package ownership

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// Leases acquires, transfers and releases the leases of this host. A
// *lease.Manager implements it and says what each method does.
type Leases interface {
	LeaseChecker
	Acquire(name lease.Name, rank int) bool
	Release(name lease.Name) bool
	Transfer(ctx context.Context, name lease.Name, to fleet.HostName, start fleet.StartNumber) (fleet.Epoch, error)
	AcceptTransfer(ctx context.Context, name lease.Name, epoch fleet.Epoch) error
}

// A FailureDomain lists the engines and entry hosts in the failure domain of this
// host.
type FailureDomain interface {
	// Engines returns all engines of the failure domain.
	Engines() []fleet.Engine
	// Hosts returns the live entry hosts of the failure domain. Hosts that are
	// leaving or not heard from are left out.
	Hosts() []fleet.Host
}

// HandOverSender sends hand-overs to other hosts.
type HandOverSender interface {
	// HandOver returns nil when the host has adopted the engine.
	HandOver(ctx context.Context, to fleet.Host, handOver fleet.HandOver) error
}

const (
	// DefaultCandidateLimit is the default of Manager.CandidateLimit: the owner and
	// one more host. Each candidate reads the lease record once per renewal interval.
	DefaultCandidateLimit = 2
	// DefaultReviewInterval is the default of Manager.ReviewInterval.
	DefaultReviewInterval = time.Second
	// handOverTries bounds the calls to the next owner. If all fail, the next owner
	// gains the lease from the table and takes the engine over without the lists
	// of instances and grants.
	handOverTries = 3
)

// A Manager starts and closes the Owners of one host as the host gains and loses
// the leases of engines. The exported fields are set before Run and not changed
// afterwards.
type Manager struct {
	// Host is this host with the start number of its process.
	Host fleet.Host
	// Leases holds the leases of this host. It is closed after the Manager.
	Leases Leases
	// Events receives the lease events of Leases. The Manager is its only reader.
	Events *ring.Ring[lease.Event]
	// FailureDomain lists the engines and hosts, and HandOverSender sends hand-overs to
	// the hosts.
	FailureDomain  FailureDomain
	HandOverSender HandOverSender
	// CandidateLimit is the number of hosts that compete for the lease of an engine.
	CandidateLimit int
	// ReviewInterval is the time between two checks of the engines for which this
	// host is a candidate.
	ReviewInterval time.Duration

	// The fields below are passed to each Owner.

	Engines           EngineClient
	Budget            LoadBudget
	Placement         PlacementPolicy
	HoldingsCollector HoldingsCollector
	Settings          Settings
	Logger            zerolog.Logger

	lifecycle duty.Lifecycle
	setupOnce sync.Once
	messages  *ring.Ring[managerMessage]
	results   chan managerMessage
	ended     chan struct{}
	endOnce   sync.Once
	// directory is replaced with each change; a published directory is never
	// modified.
	directory atomic.Pointer[directory]

	// The fields below belong to the goroutine of Run.

	// requestedRanks holds the rank of this host for each engine whose lease it
	// competes for or holds.
	requestedRanks map[fleet.EngineName]int
	owners         map[fleet.EngineName]*Owner
	// nextOwners holds the hosts that own engines after this host, as far as known.
	nextOwners map[fleet.EngineName]fleet.HostName
	// closing names the engines whose Owners are being closed before their leases
	// are released.
	closing  map[fleet.EngineName]bool
	stopping bool
	// handOversInFlight is the number of hand-overs that HandOverAll has started and
	// that have not ended. When it is 0, the calls of HandOverAll that wait on
	// handOverAllReplies return with handOverErrors.
	handOversInFlight  int
	handOverErrors     []error
	handOverAllReplies []chan error
}

// A directory is the state of the Manager that other goroutines read.
type directory struct {
	owners     map[fleet.EngineName]*Owner
	nextOwners map[fleet.EngineName]fleet.HostName
}

// A managerMessage is a call or a worker's result that the goroutine of Run
// handles.
type managerMessage interface {
	handle(ctx context.Context, m *Manager)
}

func (m *Manager) setup() {
	m.setupOnce.Do(func() {
		m.messages = ring.New[managerMessage](ringCapacity)
		m.results = make(chan managerMessage)
		m.ended = make(chan struct{})
		m.requestedRanks = make(map[fleet.EngineName]int)
		m.owners = make(map[fleet.EngineName]*Owner)
		m.closing = make(map[fleet.EngineName]bool)
		m.nextOwners = make(map[fleet.EngineName]fleet.HostName)
		m.CandidateLimit = orDefault(m.CandidateLimit, DefaultCandidateLimit)
		m.ReviewInterval = orDefault(m.ReviewInterval, DefaultReviewInterval)
		m.directory.Store(&directory{})
	})
}

// Run starts and closes Owners until ctx ends or Close is called.
func (m *Manager) Run(ctx context.Context) error {
	m.setup()
	defer m.endOnce.Do(func() { close(m.ended) })
	return m.lifecycle.Run(ctx, m.loop)
}

// Close closes all Owners and waits until they have ended.
func (m *Manager) Close() error {
	return m.lifecycle.Close()
}

// Owner returns the Owner of an engine, if this host has one.
func (m *Manager) Owner(engine fleet.EngineName) (*Owner, bool) {
	m.setup()
	o, ok := m.directory.Load().owners[engine]
	return o, ok
}

// AcquireGrant gets a grant from this host's Owner of the engine. Its error is a
// *verdict.Error with verdict NotRun; NotOwnerRefusal recognizes that this host does
// not own the engine.
func (m *Manager) AcquireGrant(ctx context.Context, request dispatch.GrantRequest) (fleet.Grant, error) {
	o, ok := m.Owner(request.Engine)
	if !ok {
		return fleet.Grant{}, newNotOwnerRefusal(request.Engine, m.directory.Load().nextOwners[request.Engine])
	}
	return o.AcquireGrant(ctx, request)
}

// Release ends one grant of each request on an engine. It returns false when this
// host does not own the engine or the Owner's message ring is full.
func (m *Manager) Release(engine fleet.EngineName, requests []fleet.RequestID) bool {
	o, ok := m.Owner(engine)
	return ok && o.Release(requests)
}

// Summaries returns the summaries of all owned engines.
func (m *Manager) Summaries() []fleet.EngineSummary {
	m.setup()
	var summaries []fleet.EngineSummary
	for _, o := range m.directory.Load().owners {
		summaries = append(summaries, o.Summary())
	}
	return summaries
}

// call sends a message to the goroutine of Run and waits for its reply. It returns
// false when there was no reply.
func (m *Manager) call(message func(reply chan error) managerMessage) (bool, error) {
	reply := make(chan error, 1)
	if !m.messages.Offer(message(reply)) {
		return false, errors.New("the message ring of the ownership manager is full")
	}
	select {
	case err := <-reply:
		return true, err
	case <-m.ended:
		return false, duty.ErrClosed
	}
}

// findEngine returns the engine with the name, if the failure domain has it.
func (m *Manager) findEngine(name fleet.EngineName) (fleet.Engine, bool) {
	engines := m.FailureDomain.Engines()
	i := slices.IndexFunc(engines, func(e fleet.Engine) bool { return e.Name == name })
	if i < 0 {
		return fleet.Engine{}, false
	}
	return engines[i], true
}

func (m *Manager) loop(ctx context.Context) error {
	ticker := time.NewTicker(m.ReviewInterval)
	defer ticker.Stop()
	m.reviewCandidacy(ctx)
	for {
		select {
		case <-ctx.Done():
			m.closeOwners()
			return ctx.Err()
		case e := <-m.Events.Messages():
			m.handleLeaseEvent(ctx, e)
		case received := <-m.messages.Messages():
			received.handle(ctx, m)
		case received := <-m.results:
			received.handle(ctx, m)
		case <-ticker.C:
			m.reviewCandidacy(ctx)
		}
	}
}

func (m *Manager) closeOwners() {
	for _, o := range m.owners {
		_ = o.Close()
	}
	clear(m.owners)
	m.publishDirectory()
}

// publishDirectory makes changes of owners and nextOwners visible to other
// goroutines.
func (m *Manager) publishDirectory() {
	m.directory.Store(&directory{owners: maps.Clone(m.owners), nextOwners: maps.Clone(m.nextOwners)})
}

// closeOwner removes an Owner from the directory, closes it on a worker goroutine
// and then calls after.
func (m *Manager) closeOwner(name fleet.EngineName, after func()) {
	o := m.owners[name]
	delete(m.owners, name)
	m.publishDirectory()
	m.lifecycle.Go(func() {
		_ = o.Close()
		after()
	})
}

// startOwner starts a new Owner and adds it to the directory.
func (m *Manager) startOwner(ctx context.Context, engine fleet.Engine, epoch fleet.Epoch, previous PreviousHolder) *Owner {
	o := &Owner{
		Engine: engine, Host: m.Host.Name, Epoch: epoch, PreviousHolder: previous,
		Engines: m.Engines, Leases: m.Leases, Budget: m.Budget, Placement: m.Placement, HoldingsCollector: m.HoldingsCollector,
		Settings: m.Settings, Logger: m.Logger,
	}
	o.setup()
	m.owners[engine.Name] = o
	delete(m.nextOwners, engine.Name)
	m.publishDirectory()
	m.lifecycle.Go(func() {
		if err := o.Run(ctx); err != nil && !errors.Is(err, duty.ErrClosed) {
			m.Logger.Error().Err(err).Str("engine", string(engine.Name)).Msg("owner ended")
		}
	})
	return o
}
