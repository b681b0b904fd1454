package watch

import (
	"slices"
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
	// completeThrough is the position up to which all changes are known. All rows are of its
	// history.
	completeThrough site.Position
	rows            map[string]*rowEntry
	// wasFullyRead means that the whole table was received at least once.
	wasFullyRead bool
	// tombstonesDroppedThrough is the highest position of a dropped tombstone.
	tombstonesDroppedThrough site.Position
	// gaps are the spans in which rows may have been written and deleted that were never
	// known here, in the order in which they arose.
	gaps []site.Gap
}

// A rowEntry is a row with its decoded value.
type rowEntry struct {
	row site.Row
	// decoded is empty for a deleted row.
	decoded DecodedRow
	// carried is used in place of decoded until carriedUntil: the row as it was before an outage
	// of the store, whose writer is expected to write it again. It is empty for all other rows.
	carried      DecodedRow
	carriedUntil time.Time
	// deletedAt is when the deletion was applied here, and gone is the server that the row was
	// of, if it was one.
	deletedAt time.Time
	gone      site.Incarnation
}

// current returns what the row stands for at the given time.
func (e *rowEntry) current(now time.Time) DecodedRow {
	if now.Before(e.carriedUntil) {
		return e.carried
	}
	return e.decoded
}

// latest returns what the row stood for when it was last known, also if it has been deleted
// since.
func (e *rowEntry) latest() DecodedRow {
	if e.carriedUntil.IsZero() {
		return e.decoded
	}
	return e.carried
}

// maxGaps bounds the number of gaps of a table. Beyond it the two oldest become one.
const maxGaps = 8

// changesSince returns the changes of the table after a position, and the whole table if
// a tombstone that is needed may be missing or if the position is of another history. Rows of a whole table that have not changed
// since the position have no value, because the host that asks has it.
func (c *tableState) changesSince(name site.Table, after site.Position) site.Changes {
	changes := site.Changes{Table: name, CompleteThrough: c.completeThrough, Age: time.Since(c.confirmedAt)}
	changes.FullTable = c.completeThrough > after &&
		(after < c.tombstonesDroppedThrough || after == 0 || after.Era() != c.completeThrough.Era() || c.isInGap(after))
	if !changes.FullTable {
		changes.Gap = c.gapAfter(after)
	}
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

// isInGap reports whether a host that knows the table up to a position may know rows whose
// deletion is not known here.
func (c *tableState) isInGap(position site.Position) bool {
	return slices.ContainsFunc(c.gaps, func(g site.Gap) bool { return g.After < position && position < g.Until })
}

// gapAfter returns a gap that covers all gaps from a position on.
func (c *tableState) gapAfter(position site.Position) site.Gap {
	var all site.Gap
	for _, g := range c.gaps {
		if g.Until > position {
			all = all.Union(g)
		}
	}
	return all
}

// addGap records a gap. A gap between neighbouring positions has no position within it.
func (c *tableState) addGap(gap site.Gap) {
	if gap.Until <= gap.After+1 {
		return
	}
	c.gaps = append(c.gaps, gap)
	if len(c.gaps) > maxGaps {
		c.gaps[1] = c.gaps[0].Union(c.gaps[1])
		c.gaps = slices.Delete(c.gaps, 0, 1)
	}
}

// addGapOf records the gap that the changes leave. A table that is received as a whole does
// not list the rows that were deleted: those known before are, those written and deleted
// since are not known.
func (c *tableState) addGapOf(changes site.Changes) {
	switch {
	case !changes.FullTable:
		c.addGap(changes.Gap)
	case c.wasFullyRead:
		c.addGap(site.Gap{After: c.completeThrough, Until: changes.CompleteThrough})
	default:
		c.addGap(site.Gap{Until: changes.CompleteThrough})
	}
}

// deletionsIn returns a tombstone for each known row that a full table lacks. Its position is
// that of the full table, so that hosts which were in step before get it.
func (c *tableState) deletionsIn(full site.Changes) []site.Row {
	listed := make(map[string]bool, len(full.Rows))
	for _, row := range full.Rows {
		listed[row.Key] = true
	}
	var deletions []site.Row
	for key, e := range c.rows {
		if !listed[key] && !e.row.Deleted && e.row.Position <= full.CompleteThrough {
			deletions = append(deletions, site.Row{Key: key, Position: max(e.row.Position+1, full.CompleteThrough), Deleted: true})
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
		if now.Before(e.carriedUntil) {
			wait = min(wait, e.carriedUntil.Sub(now))
		}
		if !e.row.Deleted {
			continue
		}
		retention := tombstoneRetentionTime - now.Sub(e.deletedAt)
		if retention > 0 {
			wait = min(wait, retention)
			continue
		}
		c.tombstonesDroppedThrough = max(c.tombstonesDroppedThrough, e.row.Position)
		delete(c.rows, key)
	}
	return wait
}
