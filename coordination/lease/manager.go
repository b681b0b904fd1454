// Package lease holds leases with fencing epochs in the platform's
// transactional table. It uses monotonic clock readings only and does not
// compare clocks of different hosts.
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

// The defaults of a Manager.
const (
	DefaultDuration        = 10 * time.Second
	DefaultRenewalInterval = 3 * time.Second
	DefaultSafetyMargin    = time.Second
	DefaultTableTimeout    = 2 * time.Second
)

const (
	// ringCapacity bounds the calls that wait for the duty.
	ringCapacity = 1024
	// operationLimit bounds the transfers and adoptions in flight.
	operationLimit = 32
	// eventRetry is the pause before events are offered again to a full ring.
	eventRetry = 50 * time.Millisecond
)

// The errors of a Manager.
var (
	// ErrNotHeld means that this host does not hold the lease.
	ErrNotHeld = errors.New("lease not held")
	// ErrBusy means that the Manager's ring is full or that it has ended.
	ErrBusy = errors.New("lease keeper busy")
	// ErrUnresolved means that the table did not tell whether a transfer took
	// effect. The lease is not valid until the table tells.
	ErrUnresolved = errors.New("lease transfer unresolved")
)

// A Table is the platform's transactional table. Commit returns an error that
// is table.ErrUnavailable only if nothing was written; after any other error
// the writes may have taken effect, or may do so later.
type Table interface {
	Read(ctx context.Context, keys []table.Key) ([]table.Record, error)
	Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error)
}

// A Manager is the duty that holds all leases of one host. Its fields are set
// before Run and not changed afterwards.
type Manager struct {
	// Host and Start identify this process. Start differs for each process of
	// a host.
	Host  fleet.HostName
	Start fleet.StartNumber
	// PredecessorsEnded says that no earlier process of Host can still run, because this
	// one holds its sockets. Leases of an earlier process are then taken at once.
	PredecessorsEnded bool
	// Table keeps the records.
	Table Table
	// Duration is the length of a lease, counted from before the write was
	// sent. Zero means DefaultDuration.
	Duration time.Duration
	// RenewalInterval is the mean time between renewals; each is moved by up to a tenth.
	// Zero means DefaultRenewalInterval.
	RenewalInterval time.Duration
	// SafetyMargin is how long before its end a lease is no longer valid, and how much
	// longer than Duration other hosts wait. Zero means DefaultSafetyMargin.
	SafetyMargin time.Duration
	// TableTimeout bounds one call of Table. Zero means DefaultTableTimeout.
	TableTimeout time.Duration
	// SuspendedDuration returns how long the machine has been suspended in all, which the
	// steady clock leaves out. Without it a holder that wakes would trust a lease
	// that others have taken over. It may be nil; its value never falls.
	SuspendedDuration func() time.Duration
	// Events receives the changes. It may be nil. Events that find it full are
	// kept and offered again in order.
	Events *ring.Ring[Event]
	// Logger receives failures of the table and malformed records.
	Logger zerolog.Logger

	lifecycle duty.Lifecycle
	prepare   sync.Once
	messages  *ring.Ring[message]
	// results has room for one round and all operations, so that a worker's
	// result is never refused.
	results chan message
	ended   chan struct{}
	end     sync.Once
	// valid is replaced with each change and never modified.
	valid atomic.Pointer[map[Name]tenure]

	// The fields below belong to the goroutine of Run.
	leases  map[Name]*lease
	writes  uint64
	sent    map[uint64]time.Time
	renewAt time.Time
	// failures counts the failed rounds in a row.
	failures   int
	inRound    bool
	operations int
	queue      []operation
	unsent     []Event
	changed    bool
}

// A tenure is a held lease as seen by Valid.
type tenure struct {
	epoch   fleet.Epoch
	expires time.Time
}

// A message is handled on the goroutine of Run.
type message interface {
	handle(ctx context.Context, k *Manager)
}

// A lease is what the Manager knows of one lease.
type lease struct {
	name   Name
	wanted bool
	rank   int
	// known says that record and version were read or written at least once.
	known   bool
	record  Record
	version table.Version
	// malformed says that the record cannot be parsed; it is left alone.
	malformed bool
	// seen is when this version was first seen. The record was written before.
	seen time.Time
	// held says that the lease is held until expires under tenure.
	held    bool
	expires time.Time
	// tenure is the last epoch reported as gained and not yet as lost, or 0.
	tenure fleet.Epoch
	// barred is the version that an unresolved transfer of this host may still
	// replace. The lease is not held on a record of this version.
	barred table.Version
	// releasing says that a release is to be written, until releaseEnd.
	releasing  bool
	releaseEnd time.Time
	// busy says that a worker reads or writes the record.
	busy bool
	// due is when the record is read or written next, unless held.
	due time.Time
}

func (k *Manager) setup() {
	k.prepare.Do(func() {
		k.messages = ring.New[message](ringCapacity)
		k.results = make(chan message, operationLimit+1)
		k.ended = make(chan struct{})
		k.leases = make(map[Name]*lease)
		k.sent = make(map[uint64]time.Time)
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

// Run holds the wanted leases until ctx ends or Close is called. At the end it
// tries once to release what it holds.
func (k *Manager) Run(ctx context.Context) error {
	k.setup()
	defer k.end.Do(func() { close(k.ended) })
	return k.lifecycle.Run(ctx, k.loop)
}

// Close ends the duty and waits until it has ended. A lease that is still held
// is released, so the users of leases are closed first.
func (k *Manager) Close() error {
	return k.lifecycle.Close()
}

// Acquire asks for a lease. A candidate of rank r waits r renewal intervals longer
// than needed, so that the candidate of rank 0 comes first. A second call
// changes the rank. It reports whether the ring had room.
func (k *Manager) Acquire(name Name, rank int) bool {
	k.setup()
	return k.messages.Offer(want{name: name, rank: rank})
}

// Release gives up a lease, or the wish for it. Its caller has stopped all use
// of the lease, and of whatever it gave out under the lease. It reports whether
// the ring had room.
func (k *Manager) Release(name Name) bool {
	k.setup()
	return k.messages.Offer(release{name: name})
}

// Transfer passes a held lease to the given process with the epoch raised by
// one and returns the new epoch. The lease is not valid from the call on. After
// an error other than ErrUnresolved it is valid again if it was valid before.
func (k *Manager) Transfer(ctx context.Context, name Name, to fleet.HostName, start fleet.StartNumber) (fleet.Epoch, error) {
	if to == k.Host && start == k.Start {
		return 0, fmt.Errorf("transfer of lease %s to its holder: %w", name, ErrNotHeld)
	}
	return k.operate(ctx, operation{name: name, to: to, start: start})
}

// AcceptTransfer holds a lease that another host transferred to this process with the
// given epoch. When it returns nil, the lease is valid.
func (k *Manager) AcceptTransfer(ctx context.Context, name Name, epoch fleet.Epoch) error {
	_, err := k.operate(ctx, operation{name: name, adopt: epoch})
	return err
}

// Valid returns the epoch of a held lease and whether the lease may be used. It
// may be called by any goroutine; the result is true for the moment of the call
// only.
func (k *Manager) Valid(name Name) (fleet.Epoch, bool) {
	leases := k.valid.Load()
	if leases == nil {
		return 0, false
	}
	t, ok := (*leases)[name]
	if !ok || !k.now().Before(t.expires) {
		return 0, false
	}
	return t.epoch, true
}

// now returns the time on the steady clock, with the time that the machine was
// suspended.
func (k *Manager) now() time.Time {
	if k.SuspendedDuration == nil {
		return time.Now()
	}
	return time.Now().Add(k.SuspendedDuration())
}

func (k *Manager) operate(ctx context.Context, o operation) (fleet.Epoch, error) {
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
			k.finish(ctx)
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

// step does what is due and returns the time until something is due again.
func (k *Manager) step(ctx context.Context, now time.Time) time.Duration {
	k.expire(now)
	k.startOperations(ctx)
	if !k.inRound {
		k.startRound(ctx, now)
	}
	k.publish()
	k.flush()
	return max(k.next(now).Sub(now), 0)
}

func (k *Manager) next(now time.Time) time.Time {
	next := now.Add(k.RenewalInterval)
	if len(k.unsent) > 0 {
		next = now.Add(eventRetry)
	}
	for _, l := range k.leases {
		if l.held && l.expires.Before(next) {
			next = l.expires
		}
		if k.inRound || l.busy {
			continue
		}
		due := l.due
		if l.held && !l.releasing {
			due = k.renewAt
		}
		if due.Before(next) {
			next = due
		}
	}
	return next
}

func (k *Manager) expire(now time.Time) {
	for _, l := range k.leases {
		if l.held && !now.Before(l.expires) {
			l.held = false
			l.due = now
			k.changed = true
			k.emit(Event{Name: l.name, Type: Expired, Epoch: l.tenure})
		}
	}
	for number, sent := range k.sent {
		if now.Sub(sent) > k.Duration {
			delete(k.sent, number)
		}
	}
}

// mine says whether the record names this process.
func (k *Manager) mine(r Record) bool {
	return r.Holder == k.Host && r.Start == k.Start
}

// takeAt returns when this host may take a lease that names another process.
func (k *Manager) takeAt(l *lease) time.Time {
	delay := time.Duration(l.rank) * k.RenewalInterval
	if l.record.Holder == "" {
		return l.seen.Add(delay)
	}
	if k.PredecessorsEnded && l.record.Holder == k.Host {
		return l.seen
	}
	duration := max(k.Duration, time.Duration(l.record.DurationMilliseconds)*time.Millisecond)
	return l.seen.Add(duration + k.SafetyMargin + delay)
}

func (k *Manager) jitter(d time.Duration) time.Duration {
	return d - d/10 + rand.N(d/5+1)
}

// observe takes over what the table said of a record at the given time, which
// is not before the record was written.
func (k *Manager) observe(l *lease, record table.Record, at, now time.Time) {
	parsed, err := decode(record)
	l.malformed = err != nil
	if err != nil {
		k.Logger.Error().Err(err).Msg("lease record is malformed and is left alone")
		return
	}
	if !l.known || record.Version != l.version {
		l.seen = at
	}
	l.known, l.record, l.version = true, parsed, record.Version
	if l.barred != 0 && l.version != l.barred {
		l.barred = 0
	}
	if !k.mine(parsed) {
		k.lose(l, parsed.Holder)
		l.releasing = false
		return
	}
	if l.tenure != 0 && l.tenure != parsed.Epoch {
		k.lose(l, parsed.Holder)
	}
	if !l.wanted && !l.releasing {
		l.releasing, l.releaseEnd = true, now.Add(k.Duration)
	}
	sent, ok := k.sent[parsed.WriteNumber]
	if !ok || l.releasing || l.barred != 0 {
		return
	}
	expires := sent.Add(k.Duration - k.SafetyMargin)
	if !now.Before(expires) {
		return
	}
	if !l.held {
		l.tenure = parsed.Epoch
		k.emit(Event{
			Name: l.name, Type: Gained, Epoch: parsed.Epoch,
			PreviousHolder: parsed.PreviousHolder, PreviousStart: parsed.PreviousStart, Released: parsed.Released,
		})
	}
	l.held, l.expires, k.changed = true, expires, true
}

// lose ends the tenure of a lease for good.
func (k *Manager) lose(l *lease, holder fleet.HostName) {
	if l.tenure != 0 {
		k.emit(Event{Name: l.name, Type: Lost, Epoch: l.tenure, Holder: holder})
	}
	l.tenure, l.held, k.changed = 0, false, true
}

func (k *Manager) emit(e Event) {
	k.unsent = append(k.unsent, e)
}

func (k *Manager) flush() {
	for len(k.unsent) > 0 {
		if k.Events != nil && !k.Events.Offer(k.unsent[0]) {
			return
		}
		k.unsent = k.unsent[1:]
	}
}

func (k *Manager) publish() {
	if !k.changed {
		return
	}
	k.changed = false
	leases := make(map[Name]tenure)
	for name, l := range k.leases {
		if l.held && l.barred == 0 {
			leases[name] = tenure{epoch: l.tenure, expires: l.expires}
		}
	}
	k.valid.Store(&leases)
}

// finish makes all leases invalid and tries once to release them.
func (k *Manager) finish(ctx context.Context) {
	var writes []table.Write
	for _, l := range k.leases {
		if l.held && !l.busy && l.barred == 0 {
			writes = append(writes, table.Write{Key: l.name.Key(), Expected: l.version, Value: l.record.released().encode()})
		}
		k.lose(l, "")
	}
	k.publish()
	k.flush()
	if len(writes) == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), k.TableTimeout)
	defer cancel()
	if _, err := k.Table.Commit(bounded, table.Transaction{Writes: writes, Independent: true}); err != nil {
		k.Logger.Warn().Err(err).Msg("leases were not released at the end")
	}
}

// want is the message of Acquire.
type want struct {
	name Name
	rank int
}

func (w want) handle(_ context.Context, k *Manager) {
	k.lease(w.name, w.rank)
}

// lease returns the wanted lease of the name.
func (k *Manager) lease(name Name, rank int) *lease {
	l, ok := k.leases[name]
	if !ok {
		l = &lease{name: name}
		k.leases[name] = l
	}
	if rank < l.rank {
		l.due = k.now()
	}
	l.wanted, l.rank = true, rank
	return l
}

// release is the message of Release.
type release struct {
	name Name
}

func (r release) handle(_ context.Context, k *Manager) {
	l, ok := k.leases[r.name]
	if !ok {
		return
	}
	l.wanted = false
	if l.known && k.mine(l.record) && !l.releasing {
		now := k.now()
		l.releasing, l.releaseEnd, l.due = true, now.Add(k.Duration), now
	}
	k.lose(l, "")
}
