package table

// An Era numbers the histories of the store. A store that comes back from an older copy has
// lost its last transactions and goes on in a new history, in which it gives their numbers out
// again. Later histories have higher eras; the first one has era 0.
type Era uint64

// A Version is a point in the history of the store: the era of the history and the number of a
// transaction in it. Versions of later eras are higher than all versions of earlier ones, so
// that an ordinary comparison never takes a transaction of a lost history for a newer one. The
// zero value stands for the time before the first transaction.
//
// It grows over the whole table, so that a record which was deleted and written again never has
// a version that it had before. An absent record has version 0.
type Version uint64

const (
	// transactionBits is the number of bits of a Version that hold the transaction: enough
	// for 30 years at 1,200 transactions a second.
	transactionBits = 40
	// MaxTransaction is the highest number of a transaction that a Version can hold.
	MaxTransaction = 1<<transactionBits - 1
	// MaxEra is the highest era that a Version can hold.
	MaxEra = 1<<(64-transactionBits) - 1
)

// NewVersion returns the version of a transaction. Neither value exceeds its maximum.
func NewVersion(era Era, transaction uint64) Version {
	return Version(uint64(era)<<transactionBits | transaction)
}

// Era returns the era of the history that the version belongs to.
func (v Version) Era() Era { return Era(v >> transactionBits) }

// Transaction returns the number of the transaction in its history.
func (v Version) Transaction() uint64 { return uint64(v) & MaxTransaction }
