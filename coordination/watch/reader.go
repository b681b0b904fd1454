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
	// Rows returns all rows of a table.
	Rows(ctx context.Context, table site.Table) (site.Changes, error)
	// Feed waits for rows that changed after a position.
	Feed(ctx context.Context, table site.Table, after site.Position, wait time.Duration) (site.Changes, error)
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
	// startPatience is how long a host that has just started waits for an owner's
	// word of the bulky table, unless the store is near. When all hosts start
	// together, their reads of a large desired state fill the link between the
	// regions for seconds.
	startPatience = 2 * time.Second
	// StaleLimit is the age of the last word of the store from which a host reads
	// the store itself. It leaves a second of the 2.5 s in which a change is to
	// be in force.
	StaleLimit = 1500 * time.Millisecond
)

// A Reader is the duty that reads the store while this host has to. Its exported
// fields are set before Run.
type Reader struct {
	Store   Store
	Watcher *Watcher
	// Gone is the error of a Feed whose history was dropped.
	Gone error
	// Owner says whether this host owns a zone and therefore reads for others.
	Owner func() bool
	// Lively names the table that is read with short waits, as a sign of life.
	Lively site.Table
	// Bulky names the table that a starting host rather learns from an owner.
	Bulky site.Table
	Log   zerolog.Logger

	lifecycle duty.Lifecycle
	started   time.Time
	lost      atomic.Bool
	// near says that the store's first answer came as fast as within a region.
	near atomic.Bool
}

// Run reads until ctx ends or Close is called.
func (r *Reader) Run(ctx context.Context) error {
	return r.lifecycle.Run(ctx, func(ctx context.Context) error {
		r.started = time.Now()
		for _, table := range r.Watcher.Tables {
			r.lifecycle.Work(func() { r.follow(ctx, table) })
		}
		<-ctx.Done()
		return ctx.Err()
	})
}

// Close ends the duty and waits until it has ended.
func (r *Reader) Close() error {
	return r.lifecycle.Close()
}

// needed says whether this host has to read the table itself.
func (r *Reader) needed(table site.Table) bool {
	if table == r.Bulky && r.Watcher.Position(table) == 0 && !r.Owner() && !r.near.Load() && time.Since(r.started) < startPatience {
		return false
	}
	return r.Owner() || r.Watcher.Age() > StaleLimit || !r.Watcher.Complete()
}

// due says whether to read the table now. While the store is lost, one table shows
// when it is back.
func (r *Reader) due(table site.Table) bool {
	return r.needed(table) && (table == r.Lively || !r.lost.Load())
}

// lookPause is how long a table that is not due is left alone.
func (r *Reader) lookPause(table site.Table) time.Duration {
	if table == r.Bulky && r.Watcher.Position(table) == 0 {
		return bulkyPause
	}
	return idlePause
}

func (r *Reader) follow(ctx context.Context, table site.Table) {
	reread := r.Watcher.Position(table) == 0
	failures := 0
	for ctx.Err() == nil {
		if !r.due(table) {
			duty.Pause(ctx, r.lookPause(table))
			continue
		}
		began := time.Now()
		changes, err := r.read(ctx, table, reread, failures)
		if errors.Is(err, r.Gone) {
			reread = true
			continue
		}
		if err != nil {
			r.failed(ctx, table, err)
			pause := r.retryPause(failures)
			failures++
			duty.Pause(ctx, pause/2+rand.N(pause))
			continue
		}
		failures = 0
		if r.Watcher.Position(table) == 0 && time.Since(began) < nearLimit {
			r.near.Store(true)
		}
		if r.lost.Swap(false) {
			r.Log.Info().Msg("store regained")
		}
		r.Watcher.Contact(0)
		reread = !r.Watcher.Learn(changes)
		pause := readerPause
		if r.Watcher.View().Desired == nil {
			pause = firstPause
		}
		duty.Pause(ctx, pause)
	}
}

// retryPause returns the mean pause after a failed read that follows others.
func (r *Reader) retryPause(failures int) time.Duration {
	longest := spareRetry
	if r.Owner() || !r.Watcher.Complete() {
		longest = ownerRetry
	}
	return min(failurePause<<min(failures, 4), longest)
}

// read reads the whole table, or what changed. failures are the failed reads
// before it.
func (r *Reader) read(ctx context.Context, table site.Table, whole bool, failures int) (site.Changes, error) {
	after := r.Watcher.Position(table)
	if whole || after == 0 {
		if failures == 0 && !r.Watcher.Complete() {
			bounded, cancel := context.WithTimeout(ctx, firstLimit)
			defer cancel()
			ctx = bounded
		}
		return r.Store.Rows(ctx, table)
	}
	wait := feedWait
	if table == r.Lively || !r.Owner() {
		wait = serverWait
	}
	return r.Store.Feed(ctx, table, after, wait)
}

func (r *Reader) failed(ctx context.Context, table site.Table, err error) {
	if ctx.Err() != nil {
		return
	}
	r.Watcher.Outage()
	if !r.lost.Swap(true) {
		r.Log.Warn().Err(err).Str("table", string(table)).Dur("store-age", r.Watcher.Age()).Msg("store lost")
	}
}
