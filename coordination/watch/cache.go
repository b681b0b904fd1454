// Package watch keeps a host's view of the site current: the desired state, the
// servers, the declared adapter versions and the other entry hosts. The hosts
// that own zones read the platform's store; the other hosts follow these owners.
package watch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/table"
)

const (
	// arrivalCapacity is the number of changes that can wait for the cache's
	// goroutine. A change that the full ring refuses is read again, because the
	// table's position does not advance.
	arrivalCapacity = 256
	// expiredServerGracePeriod is how long a server whose row expired during or
	// shortly after an outage of the store stays usable. Live servers write their
	// rows again within 2 s.
	expiredServerGracePeriod = 2 * time.Second
	// postOutageWindow is the time after an outage of the store during which the
	// deletion of a server's row counts as its expiry. No grace period goes on after it, because
	// a server that is still missing then is gone.
	postOutageWindow = 3 * time.Second
)

// A Decoder decodes the rows of the platform's tables.
type Decoder interface {
	// Decode returns the decoded row. It returns an error if the row is malformed.
	Decode(table site.Table, row site.Row) (DecodedRow, error)
}

// A DecodedRow is the decoded value of one row. At most one of Desired, Server,
// Host and Version is set.
type DecodedRow struct {
	Desired *site.DesiredState
	Server  *site.Server
	Host    *site.Host
	// Version is the declared version of Adapter; 0 if the row declares none.
	Adapter site.Adapter
	Version int
	// Problems describes malformed parts of the row, and what counts in their place, for a
	// log line. It is empty if there are none. It has names of organisations and routes,
	// but no key and no malformed value.
	Problems string
}

// A Cache is the duty that applies changes of the site's tables and publishes the
// resulting view. Its exported fields are set before Run.
type Cache struct {
	Decoder Decoder
	// Tables lists the tables from which the view is built.
	Tables []site.Table
	// SlowTable is a table whose changes need not be known as soon as those of the
	// other tables; empty if there is none.
	SlowTable site.Table
	Log       zerolog.Logger

	lifecycle duty.Lifecycle
	once      sync.Once
	arrivals  *ring.Ring[arrival]
	view      atomic.Pointer[site.View]
	// synced is closed when isSynced becomes true.
	synced chan struct{}
	// isSynced means that every table was read at least once and a desired state is
	// known. It stays true from then on.
	isSynced atomic.Bool
	// lastOutage is the time of the last failure to reach the store, and lastStoreReply that
	// of its last reply to this host, in nanoseconds since started.
	started        time.Time
	lastOutage     atomic.Int64
	lastStoreReply atomic.Int64

	// mutex guards tables. Only the goroutine of Run changes them; the goroutines
	// that answer other hosts and the store reader read them.
	mutex  sync.Mutex
	tables map[site.Table]*tableState
}

// An arrival carries changes to the goroutine of Run.
type arrival struct {
	changes site.Changes
	// source is the host that sent the changes, or StoreSource.
	source string
	// confirmedAt is when the store confirmed that the changes are complete.
	confirmedAt time.Time
	// applied is closed once the changes are applied. It may be nil.
	applied chan struct{}
}

// errCacheBusy means that too many changes wait for the cache.
var errCacheBusy = errors.New("too many changes wait to be applied")

// StoreSource is the source of changes that this host read from the store itself.
const StoreSource = "store"

func (w *Cache) prepare() {
	w.once.Do(func() {
		w.started = time.Now()
		w.synced = make(chan struct{})
		w.arrivals = ring.New[arrival](arrivalCapacity)
		w.tables = make(map[site.Table]*tableState)
		for _, table := range w.Tables {
			w.tables[table] = &tableState{rows: make(map[string]*rowEntry), confirmedAt: w.started.Add(-unknownAge)}
		}
		empty := &site.View{}
		empty.BuildIndex()
		w.view.Store(empty)
		w.lastOutage.Store(int64(-time.Hour))
		w.lastStoreReply.Store(int64(-time.Hour))
	})
}

// Run applies changes to the view until ctx ends or Close is called.
func (w *Cache) Run(ctx context.Context) error {
	w.prepare()
	return w.lifecycle.Run(ctx, w.loop)
}

// Close ends the duty and waits until it has ended.
func (w *Cache) Close() error {
	return w.lifecycle.Close()
}

// View returns the newest view. It is empty before the first changes and never
// nil.
func (w *Cache) View() *site.View {
	w.prepare()
	return w.view.Load()
}

// Enqueue passes changes to the goroutine of Run and reports whether the ring had
// room. Refused changes have to be read again. source is the host that sent the
// changes, or StoreSource.
func (w *Cache) Enqueue(changes site.Changes, source string) bool {
	w.prepare()
	w.recordStoreReply(source)
	return w.arrivals.Offer(arrival{changes: changes, source: source, confirmedAt: time.Now().Add(-changes.Age)})
}

// Apply does the same and waits until the changes are applied, or ctx ends.
func (w *Cache) Apply(ctx context.Context, changes site.Changes, source string) error {
	w.prepare()
	w.recordStoreReply(source)
	applied := make(chan struct{})
	if !w.arrivals.Offer(arrival{changes: changes, source: source, confirmedAt: time.Now().Add(-changes.Age), applied: applied}) {
		return errCacheBusy
	}
	select {
	case <-applied:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// RecordOutage records that the store could not be reached just now.
func (w *Cache) RecordOutage() {
	w.prepare()
	w.lastOutage.Store(int64(time.Since(w.started)))
}

// recordStoreReply records that the store replied to this host just now if it is the source.
func (w *Cache) recordStoreReply(source string) {
	if source == StoreSource {
		w.lastStoreReply.Store(int64(time.Since(w.started)))
	}
}

// isStoreLost reports whether the store could not be reached and has not replied to this
// host since.
func (w *Cache) isStoreLost() bool {
	w.prepare()
	return w.lastOutage.Load() > w.lastStoreReply.Load()
}

// HasSynced reports whether all tables were read at least once and a desired
// state is known. It stays true from then on.
func (w *Cache) HasSynced() bool {
	w.prepare()
	return w.isSynced.Load()
}

// Synced returns a channel that is closed when HasSynced becomes true.
func (w *Cache) Synced() <-chan struct{} {
	w.prepare()
	return w.synced
}

// Position returns the position up to which all changes of the table are known; 0
// if the table was never read.
func (w *Cache) Position(table site.Table) site.Position {
	w.prepare()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.tables[table].completeThrough
}

// Positions returns the position of every table, as Position does.
func (w *Cache) Positions() map[site.Table]site.Position {
	w.prepare()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	positions := make(map[site.Table]site.Position, len(w.tables))
	for name, c := range w.tables {
		positions[name] = c.completeThrough
	}
	return positions
}

// ChangesSince returns the changes of each table after the given positions, and
// the whole table where a tombstone that is needed may be missing. For a table without
// changes it returns only how far and how recently the table is known. Tables that
// were never fully read are left out. It returns nil if no positions are given.
func (w *Cache) ChangesSince(positions map[site.Table]site.Position) []site.Changes {
	w.prepare()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(positions) == 0 {
		return nil
	}
	var all []site.Changes
	for name, c := range w.tables {
		if c.wasFullyRead {
			all = append(all, c.changesSince(name, positions[name]))
		}
	}
	return all
}

func (w *Cache) loop(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-w.arrivals.Messages():
			changed := w.apply(a, time.Now())
			if a.applied != nil {
				close(a.applied)
			}
			if !changed {
				continue
			}
		case <-timer.C:
			w.mutex.Lock()
			before, next := w.publish()
			w.mutex.Unlock()
			w.logChanges(before, next)
		}
		timer.Reset(w.dropTombstones(time.Now()))
	}
}

// dropTombstones deletes tombstones past their retention time and returns the time
// until the next grace period of an expired server or the next retention time ends, or
// an hour if there is none.
func (w *Cache) dropTombstones(now time.Time) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	wait := time.Hour
	for _, c := range w.tables {
		wait = min(wait, c.dropTombstones(now))
	}
	return max(wait, time.Millisecond)
}

// Era returns the highest era of the known tables.
func (w *Cache) Era() table.Era {
	var era table.Era
	for _, position := range w.Positions() {
		era = max(era, position.Era())
	}
	return era
}
