// Package table has the plain structs of the platform's transactional table. The
// packages that read and write the table declare their own interfaces to it.
package table

// A Key names a record. Its parts are joined by slashes. The first part names the
// kind of record, such as lease, and is in kebab case.
type Key string

// A Record is the result of reading a key, whether or not the table has a record
// under it.
type Record struct {
	// Key is the key that was read.
	Key Key `json:"key"`
	// Version is 0 if the record is absent; Value is then empty.
	Version Version `json:"version"`
	// Value is the stored value; its encoding is that of the package that wrote it.
	Value []byte `json:"value"`
}

// A Write sets or deletes one record if the record has the expected version.
type Write struct {
	// Key is the key of the record.
	Key Key `json:"key"`
	// Expected is the version that the record must have for the write to take
	// effect; 0 means that the record must be absent.
	Expected Version `json:"expected"`
	// Unconditional says that the write takes effect whatever the version is.
	// Expected is then ignored.
	Unconditional bool `json:"unconditional,omitempty"`
	// Delete says that the record is removed. Value is then ignored.
	Delete bool `json:"delete,omitempty"`
	// Value is the new value of the record.
	Value []byte `json:"value,omitempty"`
}

// A Transaction is a set of writes that the table carries out in one step. It counts as
// one write towards the table's write rate, whatever the number of its writes.
type Transaction struct {
	// Writes are the writes to carry out; no two of them have the same key.
	Writes []Write `json:"writes"`
	// Independent says that each write takes effect if its own condition holds.
	// Otherwise nothing is written unless all conditions hold.
	Independent bool `json:"independent,omitempty"`
}

// A WriteResult is the outcome of one write of a transaction.
type WriteResult struct {
	// Applied says that the write took effect.
	Applied bool `json:"applied"`
	// Current is the record after the transaction, also if the write was not
	// applied.
	Current Record `json:"current"`
}
