// Package watch keeps a host's view of the site current: the desired state, the
// servers, the declared adapter versions and the other entry hosts. A few hosts
// read the platform's store and the others follow them.
package watch

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// arrivalCapacity is the room for changes that wait for the duty. A refused
	// change is read again, because the position does not move.
	arrivalCapacity = 256
	// lapseGrace is how long a server whose row lapsed around an outage of the
	// store stays usable. Live servers write their rows again within 2 s.
	lapseGrace = 2 * time.Second
	// outageMemory is how long after an outage a missing row counts as lapsed.
	outageMemory = 3 * time.Second
	// tombstoneLimit is how long deletions are kept for hosts that follow. A host
	// that knows less is sent the whole table.
	tombstoneLimit = time.Minute
)

// A Decoder turns rows into what they mean. Fields not meant by the row stay nil.
type Decoder interface {
	Decode(table site.Table, row site.Row) (DecodedRow, error)
}

// A DecodedRow is the meaning of one row; at most one of its parts is set.
type DecodedRow struct {
	Desired *site.DesiredState
	Server  *site.Server
	Host    *site.Host
	// Version is the declared version of Adapter; 0 if the row declares none.
	Adapter site.Adapter
	Version int
}

// A Cache is the duty that owns the view. Its exported fields are set before Run.
type Cache struct {
	Decoder Decoder
	// Tables are the tables that make up the view.
	Tables []site.Table
	Log    zerolog.Logger

	lifecycle duty.Lifecycle
	once      sync.Once
	arrivals  *ring.Ring[site.Changes]
	view      atomic.Pointer[site.View]
	// known is closed when the view is complete for the first time.
	known    chan struct{}
	complete atomic.Bool
	// contact and outage are nanoseconds since started: the last word of the
	// store, and the last failure to reach it.
	started time.Time
	contact atomic.Int64
	outage  atomic.Int64

	// mutex guards tables, which only the duty changes and other hosts' calls read.
	mutex  sync.Mutex
	tables map[site.Table]*content
}

// content is what is known of one table.
type content struct {
	upto  site.Position
	rows  map[string]*entry
	whole bool
	// forgotten is the highest position of a deletion that is no longer kept.
	forgotten site.Position
}

// An entry is a row with its meaning.
type entry struct {
	row  site.Row
	fact DecodedRow
	// lapsed is set for a deleted server that may come back, until the time.
	lapsed time.Time
	// deleted is when the deletion arrived.
	deleted time.Time
}

func (w *Cache) prepare() {
	w.once.Do(func() {
		w.started = time.Now()
		w.known = make(chan struct{})
		w.arrivals = ring.New[site.Changes](arrivalCapacity)
		w.tables = make(map[site.Table]*content)
		for _, table := range w.Tables {
			w.tables[table] = &content{rows: make(map[string]*entry)}
		}
		empty := &site.View{}
		empty.BuildIndex()
		w.view.Store(empty)
		w.contact.Store(int64(-time.Hour))
		w.outage.Store(int64(-time.Hour))
	})
}

// Run keeps the view until ctx ends or Close is called.
func (w *Cache) Run(ctx context.Context) error {
	w.prepare()
	return w.lifecycle.Run(ctx, w.loop)
}

// Close ends the duty and waits until it has ended.
func (w *Cache) Close() error {
	return w.lifecycle.Close()
}

// View returns the newest view. It is never nil.
func (w *Cache) View() *site.View {
	w.prepare()
	return w.view.Load()
}

// Enqueue takes changes over. It reports whether the ring had room.
func (w *Cache) Enqueue(changes site.Changes) bool {
	w.prepare()
	return w.arrivals.Offer(changes)
}

// RecordContact notes that the store was heard of the given time ago.
func (w *Cache) RecordContact(age time.Duration) {
	w.prepare()
	at := int64(time.Since(w.started) - age)
	for {
		known := w.contact.Load()
		if known >= at || w.contact.CompareAndSwap(known, at) {
			return
		}
	}
}

// StoreAge returns the time since the store was last heard of, here or at a host
// that this one follows.
func (w *Cache) StoreAge() time.Duration {
	w.prepare()
	return time.Since(w.started) - time.Duration(w.contact.Load())
}

// RecordOutage notes that the store could not be reached.
func (w *Cache) RecordOutage() {
	w.prepare()
	w.outage.Store(int64(time.Since(w.started)))
}

// HasSynced says whether all tables were read at least once and a desired state
// is known.
func (w *Cache) HasSynced() bool {
	w.prepare()
	return w.complete.Load()
}

// Synced is closed when the view is complete for the first time.
func (w *Cache) Synced() <-chan struct{} {
	w.prepare()
	return w.known
}

// Position returns how far the table is known.
func (w *Cache) Position(table site.Table) site.Position {
	w.prepare()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.tables[table].upto
}

// Positions returns how far all tables are known.
func (w *Cache) Positions() map[site.Table]site.Position {
	w.prepare()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	positions := make(map[site.Table]site.Position, len(w.tables))
	for name, c := range w.tables {
		positions[name] = c.upto
	}
	return positions
}

// ChangesSince returns what changed after the positions; nothing if there are none.
func (w *Cache) ChangesSince(positions map[site.Table]site.Position) []site.Changes {
	w.prepare()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(positions) == 0 {
		return nil
	}
	var all []site.Changes
	for name, c := range w.tables {
		after, upto := positions[name], c.upto
		if !c.whole || upto <= after {
			continue
		}
		changes := site.Changes{Table: name, CompleteThrough: upto, FullTable: after < c.forgotten || after == 0}
		for _, e := range c.rows {
			if e.row.Position > after && (!changes.FullTable || !e.row.Deleted) {
				changes.Rows = append(changes.Rows, e.row)
			}
		}
		all = append(all, changes)
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
		case changes := <-w.arrivals.Messages():
			w.apply(changes, time.Now())
		case <-timer.C:
			w.publish()
		}
		timer.Reset(w.sweep(time.Now()))
	}
}

// apply takes the rows over that are newer than the known ones. Rows may arrive
// twice and out of order, because several hosts tell of them.
func (w *Cache) apply(changes site.Changes, now time.Time) {
	w.mutex.Lock()
	c := w.tables[changes.Table]
	if c == nil || changes.FullTable && changes.CompleteThrough < c.upto {
		w.mutex.Unlock()
		return
	}
	changed := false
	listed := make(map[string]bool, len(changes.Rows))
	for _, row := range changes.Rows {
		listed[row.Key] = true
		changed = w.applyRow(c, changes.Table, row, now) || changed
	}
	if changes.FullTable {
		for key, e := range c.rows {
			if !listed[key] && !e.row.Deleted && e.row.Position <= changes.CompleteThrough {
				gone := site.Row{Key: key, Position: max(e.row.Position+1, c.upto), Deleted: true}
				changed = w.applyRow(c, changes.Table, gone, now) || changed
			}
		}
		c.whole = true
	}
	c.upto = max(c.upto, changes.CompleteThrough)
	whole := true
	for _, table := range w.tables {
		whole = whole && table.upto > 0
	}
	w.mutex.Unlock()
	if changed {
		w.publish()
	}
	if whole && w.View().Desired != nil && !w.complete.Swap(true) {
		close(w.known)
	}
}

func (w *Cache) applyRow(c *content, table site.Table, row site.Row, now time.Time) bool {
	known := c.rows[row.Key]
	if known != nil && known.row.Position >= row.Position {
		return false
	}
	e := &entry{row: row}
	if row.Deleted {
		e.deleted = now
		if known != nil && known.fact.Server != nil && known.fact.Server.State == site.Ready &&
			time.Since(w.started)-time.Duration(w.outage.Load()) < outageMemory {
			e.fact, e.lapsed = known.fact, now.Add(lapseGrace)
		}
		c.rows[row.Key] = e
		return true
	}
	fact, err := w.Decoder.Decode(table, row)
	if err != nil {
		w.Log.Warn().Err(err).Str("table", string(table)).Str("key", row.Key).
			Uint64("position", uint64(row.Position)).Msg("row cannot be decoded and is left out")
	}
	if fact.Desired == nil && err != nil && known != nil && known.fact.Desired != nil {
		// The last desired state that could be read stays in force.
		fact = known.fact
	}
	e.fact = fact
	c.rows[row.Key] = e
	return true
}

// sweep drops old deletions and returns the time until the view changes by itself.
func (w *Cache) sweep(now time.Time) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	wait := time.Hour
	for _, c := range w.tables {
		for key, e := range c.rows {
			if !e.row.Deleted {
				continue
			}
			if !e.lapsed.IsZero() && now.Before(e.lapsed) {
				wait = min(wait, e.lapsed.Sub(now))
			}
			if now.Sub(e.deleted) > tombstoneLimit {
				c.forgotten = max(c.forgotten, e.row.Position)
				delete(c.rows, key)
			}
		}
	}
	return max(wait, time.Millisecond)
}

// publish replaces the view.
func (w *Cache) publish() {
	now := time.Now()
	before := w.view.Load()
	next := &site.View{
		Servers:  make(map[site.ServerID]*site.Server),
		Versions: make(map[site.Adapter]int),
		Hosts:    make(map[string]*site.Host),
	}
	w.mutex.Lock()
	for _, c := range w.tables {
		for _, e := range c.rows {
			if e.row.Deleted && !now.Before(e.lapsed) {
				continue
			}
			add(next, e.fact)
		}
	}
	w.mutex.Unlock()
	if next.Desired == nil || before.Desired != nil && next.Desired.Version < before.Desired.Version {
		next.Desired = before.Desired
	}
	next.BuildIndex()
	w.view.Store(next)
	w.logChanges(before, next)
}

// add puts one fact into a view that is not yet published.
func add(view *site.View, fact DecodedRow) {
	switch {
	case fact.Desired != nil:
		view.Desired = fact.Desired
	case fact.Server != nil:
		view.Servers[fact.Server.ID] = fact.Server
	case fact.Host != nil:
		view.Hosts[fact.Host.Name] = fact.Host
	case fact.Version > 0:
		view.Versions[fact.Adapter] = fact.Version
	}
}

// logChanges writes a line for each change of what the host believes.
func (w *Cache) logChanges(before, next *site.View) {
	if next.Desired != nil && (before.Desired == nil || before.Desired.Version != next.Desired.Version) {
		w.Log.Info().Int64("version", next.Desired.Version).Int("routes", len(next.Desired.Routes)).
			Dur("store-age", w.StoreAge()).Msg("desired state in force")
	}
	for id, server := range next.Servers {
		known := before.Servers[id]
		if known == nil || known.State != server.State || known.StartUnixMilli != server.StartUnixMilli {
			w.Log.Info().Str("server", string(id)).Str("service", string(server.Service)).
				Str("state", string(server.State)).Int64("born", server.StartUnixMilli).Msg("server announced")
		}
	}
	for id := range before.Servers {
		if next.Servers[id] == nil {
			w.Log.Info().Str("server", string(id)).Msg("server is gone")
		}
	}
	for zone, host := range next.Owners {
		if known := before.Owners[zone]; known == nil || known.Name != host.Name || known.Start != host.Start {
			w.Log.Info().Str("zone", zone).Str("owner", host.Name).Uint64("epoch", host.OwnedZones[zone]).Msg("zone has a new owner")
		}
	}
	if len(before.Versions) != len(next.Versions) || !maps.Equal(before.Versions, next.Versions) {
		w.Log.Info().Int("declared", len(next.Versions)).Msg("adapter versions changed")
	}
}
