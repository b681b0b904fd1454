// Package lease holds leases with fencing epochs in the platform's transactional
// table. It uses monotonic clock readings only and does not compare clocks of
// different hosts.
package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// The values that a Manager uses for fields that are zero.
const (
	DefaultDuration        = 10 * time.Second
	DefaultRenewalInterval = 3 * time.Second
	DefaultSafetyMargin    = time.Second
	DefaultTableTimeout    = 2 * time.Second
)

const (
	// messageCapacity bounds the calls that wait for the goroutine of Run, and
	// separately the operations that it has queued.
	messageCapacity = 1024
	// maxOperations bounds the transfers and accepted transfers in flight.
	maxOperations = 32
	// eventRetryDelay is the delay before events are offered again to a full ring.
	eventRetryDelay = 50 * time.Millisecond
)

// The errors of a Manager.
var (
	// ErrNotHeld means that this host does not hold the lease.
	ErrNotHeld = errors.New("lease not held")
	// ErrBusy means that too many calls are waiting or that the Manager has ended.
	ErrBusy = errors.New("lease manager busy")
	// ErrUnresolved means that it is not known whether a transfer took effect,
	// because the table did not answer. The lease is not valid until a read of its
	// record shows the outcome.
	ErrUnresolved = errors.New("lease transfer unresolved")
)

// A Table is the platform's transactional table. Commit returns an error that is
// table.ErrUnavailable only if nothing was written; after any other error the
// writes may have taken effect, or may do so later.
type Table interface {
	Read(ctx context.Context, keys []table.Key) ([]table.Record, error)
	Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error)
	// Era returns the highest era that the table has answered from.
	Era() table.Era
}

// A Manager is the duty that holds all leases of one host. Its exported fields
// are set before Run and not changed afterwards.
type Manager struct {
	// Host and Start identify this process. Start differs for each process of a
	// host.
	Host  fleet.HostName
	Start fleet.StartNumber
	// PredecessorsEnded means that no earlier process of Host can still run,
	// because this one holds its sockets. Leases of an earlier process are then
	// taken at once.
	PredecessorsEnded bool
	// Table stores the lease records.
	Table Table
	// Duration is the length of a lease, counted from before the write was sent.
	// Zero means DefaultDuration.
	Duration time.Duration
	// RenewalInterval is the mean time between renewals; each is moved by up to a
	// tenth. Zero means DefaultRenewalInterval.
	RenewalInterval time.Duration
	// SafetyMargin is how long before its end a lease stops being valid, and how
	// much longer than Duration other hosts wait before they take the lease. Zero
	// means DefaultSafetyMargin.
	SafetyMargin time.Duration
	// TableTimeout bounds one Commit of Table; a Read has half of it. Zero means
	// DefaultTableTimeout.
	TableTimeout time.Duration
	// SuspendedDuration returns how long the machine has been suspended in all,
	// which the monotonic clock leaves out. Without it a holder that wakes would
	// trust a lease that others have taken over. It may be nil; its value never
	// falls.
	SuspendedDuration func() time.Duration
	// Events receives the events of all leases. It may be nil. Events that a full
	// ring refuses are kept and offered again in order.
	Events *ring.Ring[Event]
	// Logger receives failures of the table and malformed records.
	Logger zerolog.Logger

	lifecycle duty.Lifecycle
	setupOnce sync.Once
	messages  *ring.Ring[message]
	// results has room for one round and all operations, so that a worker never
	// blocks on it.
	results chan message
	ended   chan struct{}
	endOnce sync.Once
	// validLeases holds the leases that Valid reports. The map is replaced with
	// each change and never modified.
	validLeases atomic.Pointer[map[Name]validLease]

	// The fields below belong to the goroutine of Run.
	leases          map[Name]*lease
	lastWriteNumber uint64
	// era is the era of the table, and eraSince when this process first knew of it.
	era      table.Era
	eraSince time.Time
	// sentAt holds the time just before each write was sent, by write number.
	// Entries older than Duration are dropped.
	sentAt      map[uint64]time.Time
	nextRenewal time.Time
	// failedRounds counts the failed rounds in a row.
	failedRounds      int
	roundPending      bool
	pendingOperations int
	queuedOperations  []operation
	unsentEvents      []Event
	// publishPending means that validLeases has to be replaced.
	publishPending bool
}

// A message is a request or a worker's result that the goroutine of Run handles.
type message interface {
	handle(ctx context.Context, m *Manager)
}

func (m *Manager) setup() {
	m.setupOnce.Do(func() {
		m.messages = ring.New[message](messageCapacity)
		m.results = make(chan message, maxOperations+1)
		m.ended = make(chan struct{})
		m.leases = make(map[Name]*lease)
		m.sentAt = make(map[uint64]time.Time)
		if m.Duration == 0 {
			m.Duration = DefaultDuration
		}
		if m.RenewalInterval == 0 {
			m.RenewalInterval = DefaultRenewalInterval
		}
		if m.SafetyMargin == 0 {
			m.SafetyMargin = DefaultSafetyMargin
		}
		if m.TableTimeout == 0 {
			m.TableTimeout = DefaultTableTimeout
		}
	})
}

// Run holds the acquired leases until ctx ends or Close is called. At the end it
// makes one attempt to release the leases that it holds.
func (m *Manager) Run(ctx context.Context) error {
	m.setup()
	defer m.endOnce.Do(func() { close(m.ended) })
	return m.lifecycle.Run(ctx, m.loop)
}

// Close ends the duty and waits until it has ended. A lease that is still held is
// released, so the users of leases are closed first.
func (m *Manager) Close() error {
	return m.lifecycle.Close()
}

// now returns the time on the monotonic clock plus the time that the machine was
// suspended.
func (m *Manager) now() time.Time {
	if m.SuspendedDuration == nil {
		return time.Now()
	}
	return time.Now().Add(m.SuspendedDuration())
}

func (m *Manager) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			m.releaseAll(ctx)
			return ctx.Err()
		case received := <-m.messages.Messages():
			received.handle(ctx, m)
		case received := <-m.results:
			received.handle(ctx, m)
		case <-timer.C:
		}
		timer.Reset(m.step(ctx, m.now()))
	}
}

// step does all work that is due and returns the time until the next work is due.
func (m *Manager) step(ctx context.Context, now time.Time) time.Duration {
	m.updateEra(now)
	m.expireLeases(now)
	m.startOperations(ctx)
	if !m.roundPending {
		m.startRound(ctx, now)
	}
	m.publishValidLeases()
	m.sendEvents()
	return max(m.nextStep(now).Sub(now), 0)
}

// nextStep returns when the next renewal, expiry, access or event is due, but at
// most one renewal interval from now.
func (m *Manager) nextStep(now time.Time) time.Time {
	next := now.Add(m.RenewalInterval)
	if len(m.unsentEvents) > 0 {
		next = now.Add(eventRetryDelay)
	}
	for _, l := range m.leases {
		if l.held && l.expires.Before(next) {
			next = l.expires
		}
		if m.roundPending || l.accessPending {
			continue
		}
		due := l.nextAccess
		if l.held && !l.releasing {
			due = m.nextRenewal
		}
		if due.Before(next) {
			next = due
		}
	}
	return next
}

// jitter returns d changed at random by up to a tenth.
func (m *Manager) jitter(d time.Duration) time.Duration {
	return d - d/10 + rand.N(d/5+1)
}
