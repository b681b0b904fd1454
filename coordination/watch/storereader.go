package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// A Store is the platform's store.
type Store interface {
	// ReadTable returns all rows of a table.
	ReadTable(ctx context.Context, table site.Table) (site.Changes, error)
	// WatchTable waits for rows that changed after a position.
	WatchTable(ctx context.Context, table site.Table, after site.Position, wait time.Duration) (site.Changes, error)
}

const (
	// readerPause is the time between two reads of one table. It lets one call
	// carry the changes of many servers, because each call is paid for.
	readerPause = 700 * time.Millisecond
	// feedWait is how long the store holds a read of a table that seldom changes; a
	// connection that went silent is noticed a little later.
	// serverWait is the wait for servers, which shows that the store is alive.
	feedWait   = 3 * time.Second
	serverWait = 900 * time.Millisecond
	// idlePause is how often an idle reader looks whether it is needed.
	idlePause = 150 * time.Millisecond
	// failurePause is the mean pause after a failed read. It doubles with each
	// further one up to ownerRetry, and up to spareRetry on a host that has a view
	// and reads for nobody else, because refused calls are paid for as well.
	failurePause = 350 * time.Millisecond
	ownerRetry   = 700 * time.Millisecond
	spareRetry   = 2 * time.Second
	// firstLimit bounds the first read of a starting host, because a store that was
	// silent at the start may be back at once. Further reads have the time that a
	// large table needs.
	firstLimit = 600 * time.Millisecond
	// bulkyPause is how often a starting host looks whether it needs the bulky table.
	bulkyPause = 25 * time.Millisecond
	// nearLimit is the time of a first read that shows that the store stands in
	// this host's region: a connection and a call over the link between regions
	// take 24 ms each, and a table of 20 KB takes 16 ms over a link of 10 Mbit/s.
	nearLimit = 60 * time.Millisecond
	// firstPause is the pause of a host that has no desired state yet.
	firstPause = 250 * time.Millisecond
	// startMaxWait is how long a host that has just started waits for an owner's
	// word of the bulky table, unless the store is near. When all hosts start
	// together, their reads of a large desired state fill the link between the
	// regions for seconds.
	startMaxWait = 2 * time.Second
	// MaxStoreAge is the age of the last word of the store from which a host reads
	// the store itself. It leaves a second of the 2.5 s in which a change is to
	// be in force.
	MaxStoreAge = 1500 * time.Millisecond
)

// A StoreReader is the duty that reads the store while this host has to. Its exported
// fields are set before Run.
type StoreReader struct {
	Store Store
	Cache *Cache
	// ErrHistoryGone is the error of WatchTable when the history was dropped.
	ErrHistoryGone error
	// IsZoneOwner says whether this host owns a zone and therefore reads for others.
	IsZoneOwner func() bool
	// LivenessTable names the table that is read with short waits, as a sign of life.
	LivenessTable site.Table
	// LargeTable names the table that a starting host rather learns from an owner.
	LargeTable site.Table
	Log        zerolog.Logger

	lifecycle duty.Lifecycle
	started   time.Time
	lost      atomic.Bool
	// near says that the store's first answer came as fast as within a region.
	near atomic.Bool
}

// Run reads until ctx ends or Close is called.
func (r *StoreReader) Run(ctx context.Context) error {
	return r.lifecycle.Run(ctx, func(ctx context.Context) error {
		r.started = time.Now()
		for _, table := range r.Cache.Tables {
			r.lifecycle.Go(func() { r.follow(ctx, table) })
		}
		<-ctx.Done()
		return ctx.Err()
	})
}

// Close ends the duty and waits until it has ended.
func (r *StoreReader) Close() error {
	return r.lifecycle.Close()
}

// needed says whether this host has to read the table itself.
func (r *StoreReader) needed(table site.Table) bool {
	if table == r.LargeTable && r.Cache.Position(table) == 0 && !r.IsZoneOwner() && !r.near.Load() && time.Since(r.started) < startMaxWait {
		return false
	}
	return r.IsZoneOwner() || r.Cache.StoreAge() > MaxStoreAge || !r.Cache.HasSynced()
}

// due says whether to read the table now. While the store is lost, one table shows
// when it is back.
func (r *StoreReader) due(table site.Table) bool {
	return r.needed(table) && (table == r.LivenessTable || !r.lost.Load())
}

// lookPause is how long a table that is not due is left alone.
func (r *StoreReader) lookPause(table site.Table) time.Duration {
	if table == r.LargeTable && r.Cache.Position(table) == 0 {
		return bulkyPause
	}
	return idlePause
}

func (r *StoreReader) follow(ctx context.Context, table site.Table) {
	reread := r.Cache.Position(table) == 0
	failures := 0
	for ctx.Err() == nil {
		if !r.due(table) {
			duty.Sleep(ctx, r.lookPause(table))
			continue
		}
		began := time.Now()
		changes, err := r.read(ctx, table, reread, failures)
		if errors.Is(err, r.ErrHistoryGone) {
			reread = true
			continue
		}
		if err != nil {
			r.failed(ctx, table, err)
			pause := r.retryPause(failures)
			failures++
			duty.Sleep(ctx, pause/2+rand.N(pause))
			continue
		}
		failures = 0
		if r.Cache.Position(table) == 0 && time.Since(began) < nearLimit {
			r.near.Store(true)
		}
		if r.lost.Swap(false) {
			r.Log.Info().Msg("store regained")
		}
		r.Cache.RecordContact(0)
		reread = !r.Cache.Enqueue(changes)
		pause := readerPause
		if r.Cache.View().Desired == nil {
			pause = firstPause
		}
		duty.Sleep(ctx, pause)
	}
}

// retryPause returns the mean pause after a failed read that follows others.
func (r *StoreReader) retryPause(failures int) time.Duration {
	longest := spareRetry
	if r.IsZoneOwner() || !r.Cache.HasSynced() {
		longest = ownerRetry
	}
	return min(failurePause<<min(failures, 4), longest)
}

// read reads the whole table, or what changed. failures are the failed reads
// before it.
func (r *StoreReader) read(ctx context.Context, table site.Table, whole bool, failures int) (site.Changes, error) {
	after := r.Cache.Position(table)
	if whole || after == 0 {
		if failures == 0 && !r.Cache.HasSynced() {
			bounded, cancel := context.WithTimeout(ctx, firstLimit)
			defer cancel()
			ctx = bounded
		}
		return r.Store.ReadTable(ctx, table)
	}
	wait := feedWait
	if table == r.LivenessTable || !r.IsZoneOwner() {
		wait = serverWait
	}
	return r.Store.WatchTable(ctx, table, after, wait)
}

func (r *StoreReader) failed(ctx context.Context, table site.Table, err error) {
	if ctx.Err() != nil {
		return
	}
	r.Cache.RecordOutage()
	if !r.lost.Swap(true) {
		r.Log.Warn().Err(err).Str("table", string(table)).Dur("store-age", r.Cache.StoreAge()).Msg("store lost")
	}
}
