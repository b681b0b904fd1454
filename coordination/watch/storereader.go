package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// A Store is a client of the platform's store.
type Store interface {
	// ReadTable returns all rows of a table.
	ReadTable(ctx context.Context, table site.Table) (site.Changes, error)
	// WatchTable waits up to the given time for rows that changed after a position.
	// It returns no rows if there were none.
	WatchTable(ctx context.Context, table site.Table, after site.Position, wait time.Duration) (site.Changes, error)
}

const (
	// readDelay is the pause between two reads of one table. It lets one call carry
	// the changes of many servers, because each call is paid for.
	readDelay = 700 * time.Millisecond
	// ownerWatchWait is how long the store holds a read of a table by an owner if
	// nothing changed. Until the reply the owner cannot tell that its rows are
	// complete, so a longer wait makes them look older to the hosts that follow it.
	// slowWatchWait is the wait for SlowTable.
	ownerWatchWait = 500 * time.Millisecond
	slowWatchWait  = 3 * time.Second
	// watchWait is the wait on a host that owns no zone. Each read is paid for.
	watchWait = 900 * time.Millisecond
	// idleCheckInterval is the time between two checks of whether a table that this
	// host does not read at present has to be read.
	idleCheckInterval = 150 * time.Millisecond
	// initialRetryDelay is the mean delay after the first failed read. It doubles
	// with each further failure up to maxOwnerRetryDelay. On a host that has synced
	// and owns no zone it doubles up to maxOtherRetryDelay, because refused calls
	// are paid for too.
	initialRetryDelay  = 350 * time.Millisecond
	maxOwnerRetryDelay = 700 * time.Millisecond
	maxOtherRetryDelay = 2 * time.Second
	// firstReadTimeout bounds the first read of a table by a starting host, because
	// a store that was silent at the start may be back at once. Further reads have
	// the time that a large table needs.
	firstReadTimeout = 600 * time.Millisecond
	// largeTableCheckInterval is how often a starting host checks whether it has to
	// read LargeTable itself.
	largeTableCheckInterval = 25 * time.Millisecond
	// sameRegionReadTime is the duration of a table's first read below which the
	// store counts as being in this host's region: a connection and a call over the
	// link between regions take 24 ms each, and a table of 20 KB takes 16 ms over a
	// link of 10 Mbit/s.
	sameRegionReadTime = 60 * time.Millisecond
	// initialReadDelay replaces readDelay on a host that has no desired state yet.
	initialReadDelay = 250 * time.Millisecond
	// ownerReplyWindow is how long a host that has just started waits for an owner
	// to send LargeTable, unless the store is in its region. When all hosts start
	// together, their reads of a large desired state fill the link between the
	// regions for seconds.
	ownerReplyWindow = 2 * time.Second
)

// A StoreReader is the duty that reads the store for this host and, on an owner
// of a zone, for the hosts that follow it. Its exported fields are set before
// Run.
type StoreReader struct {
	Store Store
	Cache *Cache
	// ErrHistoryGone is the error with which WatchTable reports that the store no
	// longer has the changes after the position. The whole table is then read.
	ErrHistoryGone error
	// IsZoneOwner reports whether this host owns a zone and therefore reads for
	// other hosts.
	IsZoneOwner func() bool
	// LivenessTable is the only table that is read during an outage, in order to
	// notice when the store is back.
	LivenessTable site.Table
	// LargeTable is the table that a starting host gets from an owner if it can.
	LargeTable site.Table
	Log        zerolog.Logger

	lifecycle duty.Lifecycle
	started   time.Time
	// storeLost means that a read failed and none has succeeded since.
	storeLost atomic.Bool
	// storeInRegion means that the first read of a table was as fast as within a
	// region.
	storeInRegion atomic.Bool
}

// Refresh reads the changes of a table once and applies them, without waiting for changes
// to come. It fails if the table is not known yet or has to be read as a whole, which
// readRepeatedly does. Each call is paid for.
func (r *StoreReader) Refresh(ctx context.Context, table site.Table) error {
	after := r.Cache.Position(table)
	if after == 0 {
		return errTableUnknown
	}
	began := time.Now()
	changes, err := r.Store.WatchTable(ctx, table, after, 0)
	if err != nil {
		return err
	}
	changes.Age = time.Since(began)
	return r.Cache.Apply(ctx, changes, StoreSource)
}

// errTableUnknown means that a table was never read.
var errTableUnknown = errors.New("table is not known yet")

// Run reads the store, with a goroutine for each table, until ctx ends or Close
// is called.
func (r *StoreReader) Run(ctx context.Context) error {
	return r.lifecycle.Run(ctx, func(ctx context.Context) error {
		r.started = time.Now()
		for _, table := range r.Cache.Tables {
			r.lifecycle.Go(func() { r.readRepeatedly(ctx, table) })
		}
		<-ctx.Done()
		return ctx.Err()
	})
}

// Close ends the duty and waits until it has ended.
func (r *StoreReader) Close() error {
	return r.lifecycle.Close()
}

// isReadNeeded reports whether this host has to read the table itself.
func (r *StoreReader) isReadNeeded(table site.Table) bool {
	if table == r.LargeTable && r.Cache.Position(table) == 0 && !r.IsZoneOwner() && !r.storeInRegion.Load() && time.Since(r.started) < ownerReplyWindow {
		return false
	}
	return r.Cache.timeUntilOutdated(table) <= 0 || r.IsZoneOwner() || !r.Cache.HasSynced()
}

// isReadDue reports whether to read the table now. During an outage only
// LivenessTable is read, for all tables, to notice when the store is back.
func (r *StoreReader) isReadDue(table site.Table) bool {
	switch {
	case !r.storeLost.Load():
		return r.isReadNeeded(table)
	case table == r.LivenessTable:
		return slices.ContainsFunc(r.Cache.Tables, r.isReadNeeded)
	default:
		return false
	}
}

// checkInterval returns the pause until a table that is not due is checked again.
func (r *StoreReader) checkInterval(table site.Table) time.Duration {
	if table == r.LargeTable && r.Cache.Position(table) == 0 {
		return largeTableCheckInterval
	}
	if remaining := r.Cache.timeUntilOutdated(table); remaining > 0 {
		return min(remaining, idleCheckInterval)
	}
	return idleCheckInterval
}

// readRepeatedly reads one table into the cache until ctx ends.
func (r *StoreReader) readRepeatedly(ctx context.Context, table site.Table) {
	reread := r.Cache.Position(table) == 0
	failures := 0
	for ctx.Err() == nil {
		if !r.isReadDue(table) {
			duty.Sleep(ctx, r.checkInterval(table))
			continue
		}
		began := time.Now()
		changes, err := r.read(ctx, table, reread, failures)
		if errors.Is(err, r.ErrHistoryGone) {
			r.Log.Info().Str("table", string(table)).Uint64("known-position", r.Cache.Position(table).Transaction()).
				Uint64("known-era", uint64(r.Cache.Position(table).Era())).Msg("store no longer has the changes; table is read again")
			reread = true
			continue
		}
		if err != nil {
			r.recordFailure(ctx, table, err)
			pause := r.retryDelay(failures)
			failures++
			duty.Sleep(ctx, pause/2+rand.N(pause))
			continue
		}
		failures = 0
		if r.Cache.Position(table) == 0 && time.Since(began) < sameRegionReadTime {
			r.storeInRegion.Store(true)
		}
		if r.storeLost.Swap(false) {
			r.Log.Info().Msg("store regained")
		}
		if changes.FullTable {
			changes.Age = time.Since(began)
		}
		reread = !r.Cache.Enqueue(changes, StoreSource)
		pause := readDelay
		if r.Cache.View().Desired == nil {
			pause = initialReadDelay
		}
		duty.Sleep(ctx, pause)
	}
}

// retryDelay returns the mean delay after a failed read. failures is the number
// of failures in a row before it.
func (r *StoreReader) retryDelay(failures int) time.Duration {
	longest := maxOtherRetryDelay
	if r.IsZoneOwner() || !r.Cache.HasSynced() {
		longest = maxOwnerRetryDelay
	}
	return min(initialRetryDelay<<min(failures, 4), longest)
}

// read returns the whole table if whole is true or the table is not known yet,
// and otherwise waits for changes. failures is the number of failed reads in a
// row before this one.
func (r *StoreReader) read(ctx context.Context, table site.Table, whole bool, failures int) (site.Changes, error) {
	after := r.Cache.Position(table)
	if whole || after == 0 {
		if failures == 0 && !r.Cache.HasSynced() {
			limited, cancel := context.WithTimeout(ctx, firstReadTimeout)
			defer cancel()
			ctx = limited
		}
		return r.Store.ReadTable(ctx, table)
	}
	return r.Store.WatchTable(ctx, table, after, r.watchWait(table))
}

// watchWait returns how long the store is to hold a read of the table if nothing
// changed.
func (r *StoreReader) watchWait(table site.Table) time.Duration {
	switch {
	case r.storeLost.Load():
		// All tables that have to be read wait for this reply.
		return 0
	case !r.IsZoneOwner():
		return watchWait
	case table == r.Cache.SlowTable:
		return slowWatchWait
	default:
		return ownerWatchWait
	}
}

// recordFailure records an outage, and logs it if no outage was recorded before.
func (r *StoreReader) recordFailure(ctx context.Context, table site.Table, err error) {
	if ctx.Err() != nil {
		return
	}
	r.Cache.RecordOutage()
	if !r.storeLost.Swap(true) {
		r.Log.Warn().Err(err).Str("table", string(table)).Dur("store-age", r.Cache.StoreAge()).Msg("store lost")
	}
}
