// Package table has the plain structs of the platform's transactional table.
// The interfaces to it are declared by their users.
package table

// A Key names a record. Its parts are kebab case, joined by slashes.
type Key string

// A Version is the number of the transaction that wrote a record last. It grows
// over the whole table, so that a record which was deleted and written again
// never has a version that it had before. An absent record has version 0.
type Version uint64

// A Record is a record as read.
type Record struct {
	Key Key `json:"key"`
	// Version is 0 when the record is absent; Value is then empty.
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
}

// A Write sets or deletes one record if its condition holds.
type Write struct {
	Key Key `json:"key"`
	// Expected is the version that the record must have; 0 means absent.
	Expected Version `json:"expected"`
	// Unconditional ignores Expected.
	Unconditional bool `json:"unconditional,omitempty"`
	// Delete removes the record; Value is then ignored.
	Delete bool   `json:"delete,omitempty"`
	Value  []byte `json:"value,omitempty"`
}

// A Transaction is carried out in one step. It costs one write of the table's
// rate, whatever the number of its writes.
type Transaction struct {
	// Writes touch different keys.
	Writes []Write `json:"writes"`
	// Independent lets each write succeed or fail by its own condition.
	// Otherwise all conditions must hold, or nothing is written.
	Independent bool `json:"independent,omitempty"`
}

// A WriteResult is the outcome of one write of a transaction.
type WriteResult struct {
	// Applied says that the condition held and the write took effect.
	Applied bool `json:"applied"`
	// Current is the record after the transaction.
	Current Record `json:"current"`
}
