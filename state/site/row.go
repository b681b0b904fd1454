package site

// A Table names a table of the platform's store.
type Table string

// A Position is a point in the history of the store. It grows with each
// transaction; 0 is before the first.
type Position uint64

// A Row is a row of the store, or the mark that it was deleted.
type Row struct {
	Key string
	// Value is empty in a deleted row.
	Value []byte
	// Position is that of the transaction which wrote or deleted the row.
	Position Position
	Deleted  bool
}

// Changes are the rows of a table that changed up to a position.
type Changes struct {
	Table Table
	// FullTable says that Rows are all rows of the table, so that rows which are
	// missing were deleted.
	FullTable bool
	Rows      []Row
	// CompleteThrough is the position up to which the changes are complete.
	CompleteThrough Position
}
