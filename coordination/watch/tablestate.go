package watch

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// tombstoneRetentionTime is how long deleted rows are kept for the hosts that follow
// this one. A host whose position is older than a dropped tombstone gets the whole
// table.
const tombstoneRetentionTime = time.Minute

// A tableState holds the known rows of one table, including tombstones.
type tableState struct {
	// confirmedAt is the latest time at which the store is known to have confirmed
	// that there were no changes after completeThrough, in its reply to this host or
	// to the host that sent the changes.
	confirmedAt time.Time
	// completeThrough is the position up to which all changes are known.
	completeThrough site.Position
	rows            map[string]*rowEntry
	// wasFullyRead means that the whole table was received at least once.
	wasFullyRead bool
	// deletionsKnownAfter is the position after which rows has a tombstone for every
	// deleted row. Up to it tombstones may be missing: they were dropped, or the table
	// was received as a whole, which does not list deleted rows.
	deletionsKnownAfter site.Position
}

// A rowEntry is a row with its decoded value.
type rowEntry struct {
	row     site.Row
	decoded DecodedRow
	// usableUntil is the end of the grace period of a server whose row expired
	// around an outage of the store. It is zero for all other rows.
	usableUntil time.Time
	// deletedAt is when the deletion was applied here.
	deletedAt time.Time
}

// changesSince returns the changes of the table after a position, and the whole table if
// a tombstone that is needed may be missing. Rows of a whole table that have not changed
// since the position have no value, because the host that asks has it.
func (c *tableState) changesSince(name site.Table, after site.Position) site.Changes {
	changes := site.Changes{Table: name, CompleteThrough: c.completeThrough, Age: time.Since(c.confirmedAt)}
	changes.FullTable = c.completeThrough > after && (after < c.deletionsKnownAfter || after == 0)
	for _, e := range c.rows {
		switch {
		case e.row.Deleted && changes.FullTable:
		case e.row.Position > after:
			changes.Rows = append(changes.Rows, e.row)
		case changes.FullTable:
			changes.Rows = append(changes.Rows, site.Row{Key: e.row.Key, Position: e.row.Position})
		}
	}
	return changes
}

// deletionsIn returns a tombstone for each known row that a full table lacks.
func (c *tableState) deletionsIn(full site.Changes) []site.Row {
	listed := make(map[string]bool, len(full.Rows))
	for _, row := range full.Rows {
		listed[row.Key] = true
	}
	var deletions []site.Row
	for key, e := range c.rows {
		if !listed[key] && !e.row.Deleted && e.row.Position <= full.CompleteThrough {
			deletions = append(deletions, site.Row{Key: key, Position: max(e.row.Position+1, c.completeThrough), Deleted: true})
		}
	}
	return deletions
}

// confirm records that the store confirmed all changes up to a position at the given
// time. A source that is behind the known rows does not confirm them.
func (c *tableState) confirm(completeThrough site.Position, at time.Time) {
	if completeThrough < c.completeThrough {
		return
	}
	c.completeThrough = completeThrough
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// dropTombstones deletes tombstones past their retention time and returns the time until
// the next one is due or the next grace period ends, or an hour if there is none.
func (c *tableState) dropTombstones(now time.Time) time.Duration {
	wait := time.Hour
	for key, e := range c.rows {
		if !e.row.Deleted {
			continue
		}
		if now.Before(e.usableUntil) {
			wait = min(wait, e.usableUntil.Sub(now))
		}
		retention := tombstoneRetentionTime - now.Sub(e.deletedAt)
		if retention > 0 {
			wait = min(wait, retention)
			continue
		}
		c.deletionsKnownAfter = max(c.deletionsKnownAfter, e.row.Position)
		delete(c.rows, key)
	}
	return wait
}
