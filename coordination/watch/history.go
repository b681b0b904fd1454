package watch

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// The store may come back from an older copy, in a new history (see table.Era). Rows and
// positions of two histories are not compared: a table goes over to a new history as a whole,
// with a read of all its rows, and never back.
//
// The copy has rows as they were some seconds ago, and lacks those written since. Operators,
// servers and hosts write them again. Until then the rows that were known before are the better
// ones.

// hostGracePeriod is how long the registration of a host stays in use that the store has lost,
// or has an older one of. A host learns of a new history within 2 s from the owner of its zone
// and writes its row at once; other hosts read it up to 3 s later.
const hostGracePeriod = 5 * time.Second

// isOutdated reports whether changes are from a history that the store has lost, or a whole
// table that is older than the known one. Changes to a history that is not known yet are no use
// either, unless they are the whole table. The mutex is held.
func (w *Cache) isOutdated(c *tableState, a arrival) bool {
	position, known := a.changes.CompleteThrough, c.completeThrough
	isOlder := position.Era() < known.Era() || a.changes.FullTable && position < known
	isPart := position.Era() > known.Era() && known > 0 && !a.changes.FullTable
	if (isOlder || isPart) && len(a.changes.Rows) > 0 {
		w.Log.Info().Str("table", string(a.changes.Table)).Str("source", a.source).Int("rows", len(a.changes.Rows)).
			Uint64("era", uint64(position.Era())).Uint64("position", position.Transaction()).
			Uint64("known-era", uint64(known.Era())).Uint64("known-position", known.Transaction()).Msg("changes are outdated and left out")
	}
	return isOlder || isPart
}

// enterHistory replaces the rows of a table, which were of an earlier history, by a whole table
// of a new one. The mutex is held.
func (w *Cache) enterHistory(c *tableState, a arrival, now time.Time) {
	changes, known := a.changes, c.rows
	c.rows = make(map[string]*rowEntry, len(changes.Rows))
	c.tombstonesDroppedThrough, c.gaps = 0, nil
	c.addGap(site.Gap{Until: changes.CompleteThrough})
	for _, row := range changes.Rows {
		c.rows[row.Key] = w.restoredRow(changes.Table, row, known[row.Key], now)
	}
	lost := 0
	for key, e := range known {
		if c.rows[key] == nil && e.current(now) != (DecodedRow{}) {
			c.rows[key] = lostRow(site.Row{Key: key, Position: changes.CompleteThrough, Deleted: true}, e.current(now), now)
			lost++
		}
	}
	w.Log.Warn().Str("table", string(changes.Table)).Str("source", a.source).Int("rows", len(changes.Rows)).Int("lost", lost).
		Uint64("era", uint64(changes.CompleteThrough.Era())).Uint64("position", changes.CompleteThrough.Transaction()).
		Uint64("known-position", c.completeThrough.Transaction()).Msg("store has a new history")
}

// lostRow returns the entry of a row that the store has lost. It stays in use while its writer
// may write it again.
func lostRow(deletion site.Row, before DecodedRow, now time.Time) *rowEntry {
	e := &rowEntry{row: deletion, deletedAt: now, carried: before, carriedUntil: now.Add(hostGracePeriod)}
	if before.Server != nil {
		e.gone, e.carriedUntil = before.Server.Incarnation, now.Add(expiredServerGracePeriod)
	}
	return e
}

// restoredRow returns the entry of a row that the store has in its new history. The row may be
// an old copy, or may have been written again. known is the row in the history before, or nil.
func (w *Cache) restoredRow(table site.Table, row site.Row, known *rowEntry, now time.Time) *rowEntry {
	e := &rowEntry{row: row, decoded: w.decode(table, row, known)}
	if known == nil {
		return e
	}
	before := known.latest()
	switch {
	case e.decoded.Server != nil:
		e.decoded.Server, e.gone = restoredServer(e.decoded.Server, known), known.gone
	case e.decoded.Host != nil && before.Host != nil && e.decoded.Host.Start <= before.Host.Start:
		e.carried, e.carriedUntil = before, now.Add(hostGracePeriod)
	case e.decoded.Version > 0 && e.decoded.Version < before.Version:
		// Versions are declared upwards, so this is a copy.
		e.decoded = before
	}
	return e
}

// restoredServer returns the server of a row that the store has in its new history, or nil if
// the server is not to be used. The row may be a copy from before the server said that it
// leaves, or from before it was gone; a server that is still there writes its row again within a
// heartbeat interval.
func restoredServer(server *site.Server, known *rowEntry) *site.Server {
	if known.row.Deleted && known.carriedUntil.IsZero() && known.gone == server.Incarnation {
		return nil
	}
	before := known.latest().Server
	if before != nil && before.Incarnation == server.Incarnation && before.State == site.Draining {
		return before
	}
	return server
}
