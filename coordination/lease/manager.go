// Package lease holds leases with fencing epochs in the platform's transactional
// table. It uses monotonic clock readings only and does not compare clocks of
// different hosts.
package lease

import (
	"context"
	"errors"
	"fmt"
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

// A validLease is a held lease as seen by Valid.
type validLease struct {
	epoch   fleet.Epoch
	expires time.Time
}

// A message is a request or a worker's result that the goroutine of Run handles.
type message interface {
	handle(ctx context.Context, k *Manager)
}

// A lease is the Manager's state of one lease.
type lease struct {
	name   Name
	wanted bool
	rank   int
	// recordKnown means that record and version were read or written at least once.
	recordKnown bool
	record      Record
	version     table.Version
	// malformed means that the record cannot be parsed; it is not overwritten.
	malformed bool
	// firstSeen is when this version was first seen. The record was written before.
	firstSeen time.Time
	// held means that this process holds the lease until expires under
	// reportedEpoch.
	held    bool
	expires time.Time
	// reportedEpoch is the last epoch reported as gained and not yet as lost, or 0.
	reportedEpoch fleet.Epoch
	// unresolvedVersion is the version that an unresolved transfer of this host may
	// still replace, or 0. The lease is not held on a record of this version.
	unresolvedVersion table.Version
	// releasing means that a release is to be written, until releaseDeadline.
	releasing       bool
	releaseDeadline time.Time
	// accessPending means that a worker reads or writes the record.
	accessPending bool
	// nextAccess is when the record is read or written next, unless the lease is
	// held.
	nextAccess time.Time
}

func (k *Manager) setup() {
	k.setupOnce.Do(func() {
		k.messages = ring.New[message](messageCapacity)
		k.results = make(chan message, maxOperations+1)
		k.ended = make(chan struct{})
		k.leases = make(map[Name]*lease)
		k.sentAt = make(map[uint64]time.Time)
		if k.Duration == 0 {
			k.Duration = DefaultDuration
		}
		if k.RenewalInterval == 0 {
			k.RenewalInterval = DefaultRenewalInterval
		}
		if k.SafetyMargin == 0 {
			k.SafetyMargin = DefaultSafetyMargin
		}
		if k.TableTimeout == 0 {
			k.TableTimeout = DefaultTableTimeout
		}
	})
}

// Run holds the acquired leases until ctx ends or Close is called. At the end it
// makes one attempt to release the leases that it holds.
func (k *Manager) Run(ctx context.Context) error {
	k.setup()
	defer k.endOnce.Do(func() { close(k.ended) })
	return k.lifecycle.Run(ctx, k.loop)
}

// Close ends the duty and waits until it has ended. A lease that is still held is
// released, so the users of leases are closed first.
func (k *Manager) Close() error {
	return k.lifecycle.Close()
}

// Acquire requests a lease. A candidate of rank r waits r renewal intervals
// longer than needed, so that the candidate of rank 0 comes first. A second call
// changes the rank. Acquire reports whether the ring had room.
func (k *Manager) Acquire(name Name, rank int) bool {
	k.setup()
	return k.messages.Offer(acquireRequest{name: name, rank: rank})
}

// Release gives up a lease, or the request for it. The caller must have stopped
// all use of the lease, and of everything that it issued under the lease. Release
// reports whether the ring had room.
func (k *Manager) Release(name Name) bool {
	k.setup()
	return k.messages.Offer(releaseRequest{name: name})
}

// Transfer passes a held lease to the given process with the epoch raised by one
// and returns the new epoch. The lease is not valid from the call on. After an
// error other than ErrUnresolved it is valid again if it was valid before.
func (k *Manager) Transfer(ctx context.Context, name Name, to fleet.HostName, start fleet.StartNumber) (fleet.Epoch, error) {
	if to == k.Host && start == k.Start {
		return 0, fmt.Errorf("transfer of lease %s to its holder: %w", name, ErrNotHeld)
	}
	return k.runOperation(ctx, operation{name: name, to: to, start: start})
}

// AcceptTransfer takes a lease that another host transferred to this process with
// the given epoch. When it returns nil, the lease is valid.
func (k *Manager) AcceptTransfer(ctx context.Context, name Name, epoch fleet.Epoch) error {
	_, err := k.runOperation(ctx, operation{name: name, acceptedEpoch: epoch})
	return err
}

// Valid returns the epoch of a held lease and whether the lease may be used. It
// may be called by any goroutine; the result holds for the moment of the call
// only.
func (k *Manager) Valid(name Name) (fleet.Epoch, bool) {
	leases := k.validLeases.Load()
	if leases == nil {
		return 0, false
	}
	t, ok := (*leases)[name]
	if !ok || !k.now().Before(t.expires) {
		return 0, false
	}
	return t.epoch, true
}

// now returns the time on the monotonic clock plus the time that the machine was
// suspended.
func (k *Manager) now() time.Time {
	if k.SuspendedDuration == nil {
		return time.Now()
	}
	return time.Now().Add(k.SuspendedDuration())
}

// runOperation queues a transfer or an accepted transfer and waits for its
// outcome.
func (k *Manager) runOperation(ctx context.Context, o operation) (fleet.Epoch, error) {
	k.setup()
	o.reply = make(chan operationReply, 1)
	if !k.messages.Offer(o) {
		return 0, fmt.Errorf("lease %s: %w", o.name, ErrBusy)
	}
	select {
	case r := <-o.reply:
		return r.epoch, r.err
	case <-ctx.Done():
		return 0, fmt.Errorf("lease %s: %w: %w", o.name, ErrUnresolved, ctx.Err())
	case <-k.ended:
		select {
		case r := <-o.reply:
			return r.epoch, r.err
		default:
			return 0, fmt.Errorf("lease %s: %w", o.name, ErrBusy)
		}
	}
}

func (k *Manager) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			k.releaseAll(ctx)
			return ctx.Err()
		case m := <-k.messages.Messages():
			m.handle(ctx, k)
		case m := <-k.results:
			m.handle(ctx, k)
		case <-timer.C:
		}
		timer.Reset(k.step(ctx, k.now()))
	}
}

// step does all work that is due and returns the time until the next work is due.
func (k *Manager) step(ctx context.Context, now time.Time) time.Duration {
	k.expireLeases(now)
	k.startOperations(ctx)
	if !k.roundPending {
		k.startRound(ctx, now)
	}
	k.publishValidLeases()
	k.sendEvents()
	return max(k.nextStep(now).Sub(now), 0)
}

// nextStep returns when the next renewal, expiry, access or event is due, but at
// most one renewal interval from now.
func (k *Manager) nextStep(now time.Time) time.Time {
	next := now.Add(k.RenewalInterval)
	if len(k.unsentEvents) > 0 {
		next = now.Add(eventRetryDelay)
	}
	for _, l := range k.leases {
		if l.held && l.expires.Before(next) {
			next = l.expires
		}
		if k.roundPending || l.accessPending {
			continue
		}
		due := l.nextAccess
		if l.held && !l.releasing {
			due = k.nextRenewal
		}
		if due.Before(next) {
			next = due
		}
	}
	return next
}

// expireLeases ends the leases that were not renewed in time and forgets the
// times of writes that are older than a lease.
func (k *Manager) expireLeases(now time.Time) {
	for _, l := range k.leases {
		if l.held && !now.Before(l.expires) {
			l.held = false
			l.nextAccess = now
			k.publishPending = true
			k.queueEvent(Event{Name: l.name, Type: Expired, Epoch: l.reportedEpoch})
		}
	}
	for number, sent := range k.sentAt {
		if now.Sub(sent) > k.Duration {
			delete(k.sentAt, number)
		}
	}
}

// isOwn reports whether the record names this process as the holder.
func (k *Manager) isOwn(r Record) bool {
	return r.Holder == k.Host && r.Start == k.Start
}

// takeoverTime returns when this host may take a lease whose record does not name
// this process as the holder.
func (k *Manager) takeoverTime(l *lease) time.Time {
	delay := time.Duration(l.rank) * k.RenewalInterval
	if l.record.Holder == "" {
		return l.firstSeen.Add(delay)
	}
	if k.PredecessorsEnded && l.record.Holder == k.Host {
		return l.firstSeen
	}
	duration := max(k.Duration, time.Duration(l.record.DurationMilliseconds)*time.Millisecond)
	return l.firstSeen.Add(duration + k.SafetyMargin + delay)
}

// jitter returns d changed at random by up to a tenth.
func (k *Manager) jitter(d time.Duration) time.Duration {
	return d - d/10 + rand.N(d/5+1)
}

// applyObservation updates the lease from its record. at is a time that is not
// before the record was written.
func (k *Manager) applyObservation(l *lease, record table.Record, at, now time.Time) {
	parsed, err := decode(record)
	l.malformed = err != nil
	if err != nil {
		k.Logger.Error().Err(err).Msg("lease record is malformed and is not overwritten")
		return
	}
	if !l.recordKnown || record.Version != l.version {
		l.firstSeen = at
	}
	l.recordKnown, l.record, l.version = true, parsed, record.Version
	if l.unresolvedVersion != 0 && l.version != l.unresolvedVersion {
		l.unresolvedVersion = 0
	}
	if !k.isOwn(parsed) {
		k.loseLease(l, parsed.Holder)
		l.releasing = false
		return
	}
	if l.reportedEpoch != 0 && l.reportedEpoch != parsed.Epoch {
		k.loseLease(l, parsed.Holder)
	}
	if !l.wanted && !l.releasing {
		l.releasing, l.releaseDeadline = true, now.Add(k.Duration)
	}
	sent, ok := k.sentAt[parsed.WriteNumber]
	if !ok || l.releasing || l.unresolvedVersion != 0 {
		return
	}
	expires := sent.Add(k.Duration - k.SafetyMargin)
	if !now.Before(expires) {
		return
	}
	if !l.held {
		l.reportedEpoch = parsed.Epoch
		k.queueEvent(Event{
			Name: l.name, Type: Gained, Epoch: parsed.Epoch,
			PreviousHolder: parsed.PreviousHolder, PreviousStart: parsed.PreviousStart, Released: parsed.Released,
		})
	}
	l.held, l.expires, k.publishPending = true, expires, true
}

// loseLease ends the holding of a lease for good. It reports the epoch as lost if
// the epoch was reported as gained.
func (k *Manager) loseLease(l *lease, holder fleet.HostName) {
	if l.reportedEpoch != 0 {
		k.queueEvent(Event{Name: l.name, Type: Lost, Epoch: l.reportedEpoch, Holder: holder})
	}
	l.reportedEpoch, l.held, k.publishPending = 0, false, true
}

func (k *Manager) queueEvent(e Event) {
	k.unsentEvents = append(k.unsentEvents, e)
}

// sendEvents sends the queued events in order until the ring is full. It drops
// them if Events is nil.
func (k *Manager) sendEvents() {
	for len(k.unsentEvents) > 0 {
		if k.Events != nil && !k.Events.Offer(k.unsentEvents[0]) {
			return
		}
		k.unsentEvents = k.unsentEvents[1:]
	}
}

// publishValidLeases replaces the map that Valid reads, if it has changed.
func (k *Manager) publishValidLeases() {
	if !k.publishPending {
		return
	}
	k.publishPending = false
	leases := make(map[Name]validLease)
	for name, l := range k.leases {
		if l.held && l.unresolvedVersion == 0 {
			leases[name] = validLease{epoch: l.reportedEpoch, expires: l.expires}
		}
	}
	k.validLeases.Store(&leases)
}

// releaseAll makes all leases invalid and makes one attempt to release them in the
// table.
func (k *Manager) releaseAll(ctx context.Context) {
	var writes []table.Write
	for _, l := range k.leases {
		if l.held && !l.accessPending && l.unresolvedVersion == 0 {
			writes = append(writes, table.Write{Key: l.name.Key(), Expected: l.version, Value: l.record.releasedRecord().encode()})
		}
		k.loseLease(l, "")
	}
	k.publishValidLeases()
	k.sendEvents()
	if len(writes) == 0 {
		return
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), k.TableTimeout)
	defer cancel()
	if _, err := k.Table.Commit(limited, table.Transaction{Writes: writes, Independent: true}); err != nil {
		k.Logger.Warn().Err(err).Msg("held leases could not be released on shutdown")
	}
}

// An acquireRequest is the message of Acquire.
type acquireRequest struct {
	name Name
	rank int
}

func (w acquireRequest) handle(_ context.Context, k *Manager) {
	k.markWanted(w.name, w.rank)
}

// markWanted marks the lease as wanted with the rank, adds it if it is new, and
// returns it.
func (k *Manager) markWanted(name Name, rank int) *lease {
	l, ok := k.leases[name]
	if !ok {
		l = &lease{name: name}
		k.leases[name] = l
	}
	if rank < l.rank {
		l.nextAccess = k.now()
	}
	l.wanted, l.rank = true, rank
	return l
}

// A releaseRequest is the message of Release.
type releaseRequest struct {
	name Name
}

func (r releaseRequest) handle(_ context.Context, k *Manager) {
	l, ok := k.leases[r.name]
	if !ok {
		return
	}
	l.wanted = false
	if l.recordKnown && k.isOwn(l.record) && !l.releasing {
		now := k.now()
		l.releasing, l.releaseDeadline, l.nextAccess = true, now.Add(k.Duration), now
	}
	k.loseLease(l, "")
}
