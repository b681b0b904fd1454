package watch

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// apply applies the rows that are newer than the known ones and reports whether there
// were any. Rows may arrive twice and out of order, because the store and several
// hosts send them.
func (w *Cache) apply(a arrival, now time.Time) (changed bool) {
	changes := a.changes
	w.mutex.Lock()
	c := w.tables[changes.Table]
	if c == nil || w.isOutdated(c, a) {
		w.mutex.Unlock()
		return false
	}
	if changes.CompleteThrough.Era() > c.completeThrough.Era() && c.wasFullyRead {
		w.enterHistory(c, a, now)
		changed = true
	} else {
		changed = w.applyRows(c, changes, now)
	}
	age := now.Sub(c.confirmedAt)
	c.confirm(changes.CompleteThrough, a.confirmedAt)
	allRead := true
	for _, table := range w.tables {
		allRead = allRead && table.completeThrough > 0
	}
	var before, next *site.View
	if changed {
		before, next = w.publish()
	}
	w.mutex.Unlock()
	if changed {
		w.logDesired(before, next, a.source, age)
		w.logChanges(before, next)
	}
	if allRead && w.View().Desired != nil && !w.isSynced.Swap(true) {
		close(w.synced)
	}
	return changed
}

// applyRows applies changes within one history and reports whether there were any.
func (w *Cache) applyRows(c *tableState, changes site.Changes, now time.Time) (changed bool) {
	for _, row := range changes.Rows {
		changed = w.applyRow(c, changes.Table, row, now) || changed
	}
	c.addGapOf(changes)
	if changes.FullTable {
		for _, deletion := range c.deletionsIn(changes) {
			changed = w.applyRow(c, changes.Table, deletion, now) || changed
		}
		c.wasFullyRead = true
	}
	return changed
}

// applyRow stores a row that is newer than the known one and reports whether it
// did.
func (w *Cache) applyRow(c *tableState, table site.Table, row site.Row, now time.Time) bool {
	known := c.rows[row.Key]
	if known != nil && known.row.Position >= row.Position {
		return false
	}
	if !row.Deleted {
		c.rows[row.Key] = &rowEntry{row: row, decoded: w.decode(table, row, known)}
		return true
	}
	e := &rowEntry{row: row, deletedAt: now}
	if known != nil && known.row.Deleted {
		e.gone, e.carried, e.carriedUntil = known.gone, known.carried, known.carriedUntil
	}
	if known != nil && known.decoded.Server != nil {
		e.gone = known.decoded.Server.Incarnation
		outage := w.started.Add(time.Duration(w.lastOutage.Load()))
		until := earlier(now.Add(expiredServerGracePeriod), outage.Add(postOutageWindow))
		if known.decoded.Server.State == site.Ready && now.Before(until) {
			e.carried, e.carriedUntil = known.decoded, until
		}
	}
	c.rows[row.Key] = e
	return true
}

// decode decodes a row that is not deleted. The last desired state that could be read stays
// applied if the row has one that cannot. known may be nil.
func (w *Cache) decode(table site.Table, row site.Row, known *rowEntry) DecodedRow {
	decoded, err := w.Decoder.Decode(table, row)
	if err == nil {
		if decoded.Problems != "" {
			w.Log.Warn().Str("table", string(table)).Str("key", row.Key).Uint64("position", row.Position.Transaction()).
				Uint64("era", uint64(row.Position.Era())).Str("problems", decoded.Problems).Msg("row has malformed parts, which are left out")
		}
		return decoded
	}
	w.Log.Warn().Err(err).Str("table", string(table)).Str("key", row.Key).Uint64("position", row.Position.Transaction()).
		Uint64("era", uint64(row.Position.Era())).Msg("row cannot be decoded and is left out")
	if decoded.Desired == nil && known != nil && known.decoded.Desired != nil {
		return known.decoded
	}
	return decoded
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
