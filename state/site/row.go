package site

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/table"
)

// A Table names a table of the platform's store.
type Table string

// A Position is a point in the history of the store. Positions of a new history, after the
// store has come back from an older copy, are higher than all positions of the one before; 0
// stands for the time before the first transaction.
type Position = table.Version

// A Row is a row of the store, or a tombstone if it was deleted.
type Row struct {
	// Key is unique within the table.
	Key string
	// Value is empty in a deleted row, and in a row of a whole table that the receiver
	// has already at this position.
	Value []byte
	// Position is the transaction that wrote or deleted the row last.
	Position Position
	// Deleted says that the row is a tombstone.
	Deleted bool
}

// Changes are the rows of a table that changed after a position, or the whole table.
type Changes struct {
	// Table is the table that the rows belong to.
	Table Table
	// FullTable says that Rows are all rows of the table, so that rows which are
	// missing were deleted.
	FullTable bool
	// Rows are the changed rows, in no order.
	Rows []Row
	// CompleteThrough is the position up to which Rows has every change.
	CompleteThrough Position
	// Gap is a span of positions in which the sender may not know all deletions. It is
	// empty in a whole table.
	Gap Gap
	// Age is the time since the store confirmed that there were no changes after
	// CompleteThrough.
	Age time.Duration
}

// A Gap is a span of positions, both excluded, in which rows may have been written and
// deleted without a trace. A host that knows a table up to a position in the gap may know
// such rows. The zero value is empty.
type Gap struct {
	After, Until Position
}

// Union returns the smallest gap that covers both.
func (g Gap) Union(other Gap) Gap {
	switch {
	case other == Gap{}:
		return g
	case g == Gap{}:
		return other
	default:
		return Gap{After: min(g.After, other.After), Until: max(g.Until, other.Until)}
	}
}
