// Package claim ensures that requests that must not be repeated run at most once. An
// entry host claims such a request with a conditional insert into the platform's table
// before it dispatches the request, and records the outcome in the same record.
package claim

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// Limits on request ids and claims.
const (
	// MaxRequestIDAge is the maximum age of a request id. Older ids are refused.
	MaxRequestIDAge = 24 * time.Hour
	// MaxRequestIDClockSkew is how far the time in a request id may be ahead of this
	// host's clock.
	MaxRequestIDClockSkew = 5 * time.Minute
	// Lifetime is how long a claim stays in the table. It exceeds MaxRequestIDAge plus
	// MaxRequestIDClockSkew by 55 min, which covers clock differences between hosts.
	Lifetime = 25 * time.Hour
	// MaxResponseBytes is the size in bytes of the largest response body that is recorded
	// with an outcome. A larger response is recorded as "ran" without its body.
	MaxResponseBytes = 64 << 10
)

// Defaults for the zero fields of Settings.
const (
	defaultGroupCommitDelay    = 2 * time.Millisecond
	defaultTransactionRate     = 40 // transactions per second
	defaultTransactionBurst    = 20 // transactions
	defaultGroupWriteLimit     = 64 // writes per transaction, or keys per read
	defaultInFlightLimit       = 4  // transactions and reads
	defaultPeerQueryLimit      = 16
	defaultCapacity            = 4096 // request keys, and calls of Claim
	defaultRetainedBytesLimit  = 16 << 20
	defaultOperationTimeout    = time.Second
	defaultTableFailureTimeout = time.Second
	defaultCloseTimeout        = 10 * time.Second
)

// Table is the part of the platform's table that a Registry uses. A read sees all
// transactions that were confirmed before it.
type Table interface {
	// Read returns the records of keys in the order of keys. The version of an absent
	// record is 0.
	Read(ctx context.Context, keys []table.Key) ([]table.Record, error)
	// Commit executes a transaction. An error that is table.ErrUnavailable and not
	// table.ErrOutcomeUnknown proves that the transaction had no effect.
	Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error)
}

// PeerClient queries other entry hosts about claims that they made.
type PeerClient interface {
	// ClaimStatus returns the status of a claim at the host that made it. A host that has
	// restarted since, and so has another start number, returns booking.StatusUnknown.
	ClaimStatus(ctx context.Context, host fleet.HostName, start fleet.StartNumber, key booking.Key, token booking.ClaimToken) (booking.ClaimStatus, error)
}

// Counts holds the event counters of a Registry since its start, and the number of its
// entries.
type Counts struct {
	// Granted is the number of handles returned by Claim.
	Granted uint64
	// Transactions is the number of transactions sent to the table, and Writes is the
	// number of writes in them.
	Transactions, Writes uint64
	// Abandoned is the number of claims given up while it was unknown whether they were
	// in the table.
	Abandoned uint64
	// Replaced is the number of released or abandoned records that a new claim replaced.
	Replaced uint64
	// RejectedMessages is the number of messages refused because the ring of the duty was
	// full.
	RejectedMessages uint64
	// Entries is the number of request keys in memory at present.
	Entries uint64
}
